package relaynode

import (
	"context"
	"net"
	"net/http"
	"time"

	"chestnutrudder.example/rudder/mesh"
)

const (
	// drainServeTime is how long a stopping node goes on to serve new requests: callers keep addresses for a while and find
	// others only with their next question.
	drainServeTime = 3 * time.Second
	// shutdownMargin is kept free before the end of the stop time, for the closing of connections.
	shutdownMargin = 500 * time.Millisecond
	// drainPollInterval is how often a stopping node looks whether it is done.
	drainPollInterval = 100 * time.Millisecond
)

// waitForStop waits until the node is to stop; meanwhile it reads the settings again when asked to.
func (n *node) waitForStop(ctx context.Context, tasksDone <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-tasksDone:
			return
		case <-n.platform.ReloadRequests:
			n.reload()
		}
	}
}

// reload reads the settings again. Addresses stay as they are until the next start.
func (n *node) reload() {
	s, err := n.platform.LoadSettings()
	if err != nil {
		n.log.Error("Settings cannot be read again; the old ones stay in force.", "error", err)
		return
	}
	n.log.Info("Settings are read again.", "mesh_seeds", s.MeshSeeds)
	n.mesh.AddAddresses(s.MeshSeeds)
}

// stop lets requests in progress end: first callers are sent elsewhere while new requests are still served, then new
// requests are refused as not run.
func (n *node) stop(callers *callerServer, meshConn net.PacketConn) {
	startedAt := time.Now()
	n.draining.Store(true)
	// Connections end with their next response. SetKeepAlivesEnabled(false) would close the idle ones at once, and with them
	// requests that are read but not yet handled.
	n.relay.Drain()
	n.mesh.SendNow(meshConn)
	go n.unregister() // beside the requests: the store may be slow
	n.log.Info("Node is stopping.", "requests", n.relay.InProgress(), "deadline_seconds", n.settings.StopTimeout.Seconds())
	time.Sleep(min(drainServeTime, n.settings.StopTimeout/2))
	n.relay.Refuse()
	deadline := startedAt.Add(n.settings.StopTimeout - shutdownMargin)
	for n.relay.InProgress() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	n.log.Info("Node stops.", "requests_cut", n.relay.InProgress(), "after_ms", time.Since(startedAt).Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), shutdownMargin/2)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn("Connections of callers were closed before they were idle.", "error", err)
	}
}

// serveReady answers the readiness check.
func (n *node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

const (
	// addressLifetime is how long callers keep addresses; nodes that stop serve at least as long.
	addressLifetime = 2 * time.Second
	// minLocalNodes is how many ready nodes of a caller's failure domain there must be for it to get only these.
	minLocalNodes = 2
	// maxAddresses bounds an answer.
	maxAddresses = 64
)

// serveAddresses answers the address question with the nodes that are ready, those of the caller's failure domain only
// if there are enough.
func (n *node) serveAddresses(w http.ResponseWriter, r *http.Request) {
	members := n.mesh.ReachableMembers()
	if n.notReadyReason() == "" {
		members = append(members, mesh.Member{Digest: mesh.Digest{Node: n.settings.Node, FailureDomain: n.settings.FailureDomain, Address: n.settings.CallerAddress, State: mesh.Ready}})
	}
	addresses := chooseAddresses(members, n.platform.CallerFailureDomain(r))
	if len(addresses) == 0 {
		http.Error(w, "no node is ready", http.StatusServiceUnavailable)
		return
	}
	lifetime := min(addressLifetime, n.settings.MaxAddressLifetime)
	if err := n.platform.WriteAddresses(w, AddressList{Addresses: addresses, Lifetime: lifetime}); err != nil {
		n.log.Debug("Addresses could not be written.", "error", err)
	}
}

// chooseAddresses returns the addresses of ready nodes.
func chooseAddresses(members []mesh.Member, failureDomain string) []string {
	var local, all []string
	for _, m := range members {
		if m.State != mesh.Ready {
			continue
		}
		all = append(all, m.Address)
		if m.FailureDomain == failureDomain {
			local = append(local, m.Address)
		}
	}
	if len(local) >= minLocalNodes {
		all = local
	}
	return all[:min(len(all), maxAddresses)]
}
