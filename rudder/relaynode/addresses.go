package relaynode

import (
	"net/http"
	"time"

	"chestnutrudder.example/rudder/mesh"
)

const (
	// addressLifetime is how long callers keep addresses. A stopping node serves new requests for at least as long.
	addressLifetime = 2 * time.Second
	// minLocalNodes is the number of ready nodes in a caller's failure domain from which on the caller gets only these.
	minLocalNodes = 2
	// minReadyShare is the part of the running nodes that must be ready for only these to be told. After an outage of the
	// object API or an end of all nodes, the first ready node would otherwise get the callers of its whole failure domain, for
	// as long as they keep their connections, and be overloaded. The other nodes are ready within a second, and refuse with a
	// short Retry-After until then.
	minReadyShare = 0.5
	// maxAddresses bounds the number of addresses in an answer.
	maxAddresses = 64
)

// serveAddresses answers a caller that looks up the addresses of nodes, with status 503 if none is ready.
func (n *node) serveAddresses(w http.ResponseWriter, r *http.Request) {
	members := append(n.mesh.ReachableMembers(), &mesh.Member{Digest: mesh.Digest{
		Node: n.settings.Node, FailureDomain: n.settings.FailureDomain, Address: n.settings.CallerAddress, State: n.state(),
		LostServices: n.paths.Lost(),
	}})
	addresses := chooseAddresses(members, n.platform.CallerFailureDomain(r))
	if len(addresses) == 0 {
		http.Error(w, "no node is ready", http.StatusServiceUnavailable)
		return
	}
	lifetime := min(addressLifetime, n.settings.MaxAddressLifetime)
	if err := n.platform.WriteAddresses(w, AddressList{Addresses: addresses, Lifetime: lifetime}); err != nil {
		n.log.Debug("Writing addresses to a caller failed.", "error", err)
	}
}

// addressGroup collects the addresses of nodes among which a caller may choose.
type addressGroup struct {
	ready, starting []string
	withPaths       []string // those of ready that have paths to the servers of all services
}

func (g *addressGroup) add(m *mesh.Member) {
	switch m.State {
	case mesh.Ready:
		g.ready = append(g.ready, m.Address)
		if len(m.LostServices) == 0 {
			g.withPaths = append(g.withPaths, m.Address)
		}
	case mesh.Starting:
		g.starting = append(g.starting, m.Address)
	}
}

// carriesItsCallers reports whether so many nodes of the group are ready that they can take the callers of all.
func (g *addressGroup) carriesItsCallers() bool {
	return float64(len(g.ready)) >= minReadyShare*float64(len(g.ready)+len(g.starting))
}

// sparesCutNodes reports whether so many nodes of the group have paths to all servers that they can take the callers of the ready
// ones. Those without a path serve too, but pass requests on.
func (g *addressGroup) sparesCutNodes() bool {
	return len(g.withPaths) > 0 && float64(len(g.withPaths)) >= minReadyShare*float64(len(g.ready))
}

func (g *addressGroup) leaveOutCutNodes() {
	if g.sparesCutNodes() {
		g.ready = g.withPaths
	}
}

// chooseAddresses returns at most maxAddresses addresses: those of the ready nodes of the failure domain if they can take its
// callers, else those of all ready nodes, else those of the nodes that will be ready soon too. It returns none if no node is
// ready: callers then keep the addresses that they have. Ready nodes without a path to the servers of some service are left out
// while enough others are ready.
func chooseAddresses(members []*mesh.Member, failureDomain string) []string {
	var local, all addressGroup
	for _, m := range members {
		all.add(m)
		if m.FailureDomain == failureDomain {
			local.add(m)
		}
	}
	if local.sparesCutNodes() || !all.sparesCutNodes() {
		local.leaveOutCutNodes()
	} else {
		local = addressGroup{} // its callers are better off with nodes elsewhere than with a hop
	}
	all.leaveOutCutNodes()
	var addresses []string
	switch {
	case len(local.ready) >= minLocalNodes && local.carriesItsCallers():
		addresses = local.ready
	case len(all.ready) == 0 || all.carriesItsCallers():
		addresses = all.ready
	case len(local.ready) >= minLocalNodes:
		addresses = append(local.ready, local.starting...)
	default:
		addresses = append(all.ready, all.starting...)
	}
	return addresses[:min(len(addresses), maxAddresses)]
}
