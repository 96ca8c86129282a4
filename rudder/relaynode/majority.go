package relaynode

import (
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
)

// isMajority reports whether this node and some of its known peers are more than half of the nodes.
func isMajority(peers, knownPeers int) bool { return 2*(peers+1) > knownPeers+1 }

// usagePeers tells the reporter of usage what a majority of the nodes knows. Two majorities have a node in common, so that a report
// of which a majority was told cannot be unknown to all nodes of another one.
type usagePeers struct{ *node }

// HaveNoted implements usage.Peers.
func (p usagePeers) HaveNoted(window int64) bool {
	noted, known := p.mesh.CountDirectPeers(func(m *mesh.Member) bool { return m.UsageFinalThrough >= window })
	return isMajority(noted, known)
}

// WereHeardSince implements usage.Peers.
func (p usagePeers) WereHeardSince(t time.Time) bool {
	instant := boottime.Now().Add(-p.mesh.MedianTime().Sub(t))
	if p.startedAt > instant {
		return false
	}
	heard, known := p.mesh.CountDirectPeers(func(m *mesh.Member) bool { return m.KnownSince() <= instant })
	return isMajority(heard, known)
}
