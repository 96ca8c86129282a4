package relaynode

import (
	"context"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// isolationDelay is how long a holder of the duties that has lost the majority of the nodes keeps them. The mesh has already
	// tolerated some lost digests before a peer counts as unreachable.
	isolationDelay = 500 * time.Millisecond
	// isolationCheckInterval is the pause between two checks whether the holder of the duties is in a majority.
	isolationCheckInterval = 100 * time.Millisecond
)

// isMajority reports whether this node and some of its known peers are more than half of the nodes.
func isMajority(peers, knownPeers int) bool { return 2*(peers+1) > knownPeers+1 }

// isInMajority reports whether this node hears more than half of the nodes that it knows. Nodes that have ended without notice count
// as known for mesh.RemoveAfter. A node that has just started and has heard none of the nodes whose addresses it knows may be cut off
// from all; it is outside a majority for as long.
func (n *node) isInMajority() bool {
	reachable, known := n.mesh.CountNodes()
	if known == 1 && n.mesh.CountUnheardAddresses() > 0 && boottime.Since(n.startedAt) < mesh.RemoveAfter {
		return false
	}
	return isMajority(reachable-1, known-1)
}

// awaitIsolation returns when this node has been outside a majority for isolationDelay, or when ctx ends.
func (n *node) awaitIsolation(ctx context.Context) {
	lastInMajority := boottime.Now()
	for sleep.For(ctx, isolationCheckInterval) {
		if n.isInMajority() {
			lastInMajority = boottime.Now()
			continue
		}
		if boottime.Since(lastInMajority) >= isolationDelay {
			reachable, known := n.mesh.CountNodes()
			n.log.Warn("This node gives up the duties: it does not hear a majority of the nodes.", "reachable_nodes", reachable, "known_nodes", known)
			return
		}
	}
}

// usagePeers tells the reporter of usage what a majority of the nodes knows. Two majorities have a node in common, so that a report
// of which a majority was told cannot be unknown to all nodes of another one.
type usagePeers struct{ *node }

// HaveNoted implements usage.Peers.
func (p usagePeers) HaveNoted(window int64) bool {
	noted, running, _ := p.mesh.CountDirectPeers(func(m *mesh.Member) bool { return m.UsageFinalThrough >= window })
	return isMajority(noted, running)
}

// HaveToldWithin implements usage.Peers.
func (p usagePeers) HaveToldWithin(d time.Duration) bool {
	instant := boottime.Now().Add(-d)
	told, running, _ := p.mesh.CountDirectPeers(func(m *mesh.Member) bool { return m.SentAt >= instant })
	return isMajority(told, running)
}

// WereHeardSince implements usage.Peers. Nodes that have stopped since count too: they may have been told of a report.
func (p usagePeers) WereHeardSince(t time.Time) bool {
	instant := boottime.Now().Add(-p.mesh.MedianTime().Sub(t))
	if p.startedAt > instant {
		return false
	}
	heard, running, stopped := p.mesh.CountDirectPeers(func(m *mesh.Member) bool { return m.KnownSince() <= instant })
	return isMajority(heard, running+stopped)
}
