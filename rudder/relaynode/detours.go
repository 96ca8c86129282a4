package relaynode

import (
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/detour"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/traffic"
)

const (
	// detourIdleTimeout is longer than peers use an idle connection.
	detourIdleTimeout = 15 * time.Second
	// detourPortDivisor gives the part of the connections of callers that peers may open besides.
	detourPortDivisor = 4
)

// handlePathChange tells the peers at once that the path to the servers of a service was lost or is back.
func (n *node) handlePathChange(c backend.PathChange) {
	n.mesh.SendSoon()
	if c.IsLost && c.IsSilent {
		n.relay.LeaveSilentServers(c.Service)
	}
}

// detourPeers returns the peers that can serve requests for a service.
func (n *node) detourPeers(service string) []detour.Peer {
	var peers []detour.Peer
	var known, sum int
	members := n.mesh.ReachableMembers()
	for _, m := range members {
		if !m.IsSummarized {
			known++
			sum += requestsAt(m)
		}
	}
	for _, m := range members {
		if m.State != mesh.Ready || m.MeshAddress() == "" || slices.Contains(m.LostServices, service) {
			continue
		}
		load := requestsAt(m)
		if m.IsSummarized { // only the sum of its failure domain is known
			load = sum / max(known, 1)
		}
		peers = append(peers, detour.Peer{Node: m.Node, Address: m.MeshAddress(), FailureDomain: m.FailureDomain, Load: load})
	}
	return peers
}

// requestsAt returns the requests of a peer that are at backend servers, as it last reported.
func requestsAt(m *mesh.Member) int {
	sum := 0
	for _, l := range m.Loads {
		sum += l.Running
	}
	return sum
}

// newDetourServer returns the server for the requests that peers pass on. It has the address of the mesh, which all peers know.
func (n *node) newDetourServer() (*callerServer, error) {
	listener, err := net.Listen("tcp4", n.settings.MeshAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", n.settings.MeshAddress)
	}
	s := newCallerServer(listener, detour.Handler(n.relay), n.detourLimits, n.logger.Part("detour"))
	s.port = n.resources.NewPort(n.settings.MeshAddress, max(n.resourceLimits.CallerConnections/detourPortDivisor, n.resourceLimits.OtherPortConnections))
	return s, nil
}

// detourLimits returns the limits of the connections of peers.
func (n *node) detourLimits() traffic.Limits {
	limits := n.callerLimits()
	if limits.MaxHeaderBytes == 0 {
		limits.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	limits.MaxHeaderBytes += detour.ExtraHeaderBytes
	limits.IdleTimeout = detourIdleTimeout
	return limits
}
