package mesh

import (
	"slices"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// Member is a peer with the latest digest received from it. If a summary told of the peer later, State, Address,
// ConfigVersion and HoldsDutyLease are from that.
type Member struct {
	Digest
	ReceivedAt        boottime.Instant // when the peer was last heard from, directly or by the sender of a summary
	SentAt            boottime.Instant // by this node's clock; equals ReceivedAt while HasReliableSentAt is false
	HasReliableSentAt bool             // SentAt is exact enough to derive the age of the peer's information from it
	heardAt           boottime.Instant // when this node last got a full or brief digest from the peer itself; 0 if never
	sightedAt         boottime.Instant // when this node or a peer that told of it last heard from the peer
	sourceAddress     string           // IP:port of the peer's socket
	startKnownAt      boottime.Instant // when this incarnation of the peer was first heard of
	// IsSummarized is true if the peer's part in Loads is also in the current summary of its failure domain.
	IsSummarized bool
}

// transitAllowance is added to the age of a confirmation that a peer passes on. It covers the minimum transit time, which
// SentAt does not include; within a region that is a few milliseconds.
const transitAllowance = 100 * time.Millisecond

// ConfigConfirmedAt returns when the peer's configuration was last confirmed as the newest, by this node's clock. The
// second result is false if the digest does not contain that time or its send time is not known reliably.
func (m Member) ConfigConfirmedAt() (boottime.Instant, bool) {
	if m.ConfirmationAgeMillis < 0 || !m.HasReliableSentAt {
		return 0, false
	}
	return m.SentAt.Add(-time.Duration(m.ConfirmationAgeMillis)*time.Millisecond - transitAllowance), true
}

// ConfigAnsweredAt returns when the object API last answered a call of the peer for the configuration, by this node's clock. The
// second result is false if it never did or the send time of the digest is not known reliably.
func (m Member) ConfigAnsweredAt() (boottime.Instant, bool) {
	if m.ConfigAnswerAgeMillis <= 0 || !m.HasReliableSentAt {
		return 0, false
	}
	return m.SentAt.Add(-time.Duration(m.ConfigAnswerAgeMillis-1) * time.Millisecond), true
}

// MeshAddress returns the IP:port from which the peer sends its digests.
func (m *Member) MeshAddress() string { return m.sourceAddress }

// KnownSince returns when this node first heard of the present process of the peer.
func (m Member) KnownSince() boottime.Instant { return m.startKnownAt }

// ReachableMembers returns the peers that were heard from recently, sorted by node name. The members must not be changed.
func (m *Mesh) ReachableMembers() []*Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachableMembers(m.now())
}

// reachableMembers is ReachableMembers at the given time. The caller holds the lock.
func (m *Mesh) reachableMembers(now boottime.Instant) []*Member {
	names := m.names()
	list := make([]*Member, 0, len(names))
	for _, name := range names {
		if member := m.members[name]; m.isReachable(member, now) {
			list = append(list, member)
		}
	}
	return list
}

// isReachable reports whether a peer was heard from recently. The caller holds the lock.
func (m *Mesh) isReachable(member *Member, now boottime.Instant) bool {
	return now.Sub(member.ReceivedAt) <= m.reachableTimeout(member)
}

// reachableTimeout returns how long a peer may be silent and still count as reachable. The caller holds the lock.
func (m *Mesh) reachableTimeout(member *Member) time.Duration {
	timeout := time.Duration(unreachableAfterIntervals * float64(m.digestInterval()))
	if m.usesSummaries() && member.FailureDomain != m.FailureDomain {
		timeout += summaryDelayAllowance
	}
	return timeout
}

// setMember replaces what is known of a peer. The caller holds the lock.
func (m *Mesh) setMember(member *Member) {
	previous, known := m.members[member.Node]
	if !known {
		m.sortedNames = nil
	}
	member.startKnownAt = member.ReceivedAt
	if known && previous.Incarnation == member.Incarnation {
		member.startKnownAt, member.sightedAt = previous.startKnownAt, previous.sightedAt
	}
	if known && previous.FailureDomain == m.FailureDomain {
		m.localCount--
	}
	if member.FailureDomain == m.FailureDomain {
		m.localCount++
	}
	m.members[member.Node] = member
}

// removeMember forgets a peer. The caller holds the lock.
func (m *Mesh) removeMember(member *Member) {
	if member.FailureDomain == m.FailureDomain {
		m.localCount--
	}
	m.sortedNames = nil
	delete(m.members, member.Node)
	delete(m.peerClocks, member.Node)
}

// maxLoggedPeers bounds the names in one log line about several peers.
const maxLoggedPeers = 8

// removeSilentMembers removes the peers that have been silent for longer than RemoveAfter. The caller holds the lock.
func (m *Mesh) removeSilentMembers(now boottime.Instant) {
	var removed []string
	for name, member := range m.members {
		if now.Sub(member.lastSeenAt()) > RemoveAfter {
			m.removeMember(member)
			removed = append(removed, name)
		}
	}
	if len(removed) == 0 {
		return
	}
	slices.Sort(removed)
	m.Log.Info("Peers sent no digest for too long and were removed.", "removed", len(removed), "peers", removed[:min(len(removed), maxLoggedPeers)], "known_peers", len(m.members))
}

// CountNodes returns how many nodes are reachable and how many are known that may serve: all reachable nodes, and the
// unreachable ones that were not draining. Both include this node.
func (m *Mesh) CountNodes() (reachable, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reachable, known = 1, 1
	now := m.now()
	for _, member := range m.members {
		isReachable := m.isReachable(member, now)
		if isReachable {
			reachable++
		}
		if isReachable || member.State != Draining {
			known++
		}
	}
	return reachable, known
}

// KnownMembers returns the peers that serve callers as far as is known: all reachable ones, and the unreachable ones that were not
// draining. The members must not be changed.
func (m *Mesh) KnownMembers() []*Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var list []*Member
	for _, name := range m.names() {
		if member := m.members[name]; m.isReachable(member, now) || member.State != Draining {
			list = append(list, member)
		}
	}
	return list
}

// CountUnheardAddresses returns the number of known addresses of other nodes from which none of the known peers sends.
func (m *Mesh) CountUnheardAddresses() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := make(map[string]bool, len(m.members))
	for _, member := range m.members {
		heard[member.sourceAddress] = true
	}
	count := 0
	now := m.now()
	for address, seenAt := range m.targetsSeenAt {
		if !heard[address] && now.Sub(seenAt) <= RemoveAfter {
			count++
		}
	}
	return count
}

// SilenceLimit returns how long a peer may be silent and still count as reachable, for the peers that are heard least often.
func (m *Mesh) SilenceLimit() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := time.Duration(unreachableAfterIntervals * float64(m.digestInterval()))
	if m.usesSummaries() {
		limit += summaryDelayAllowance
	}
	return limit
}

// CountDirectPeers counts the peers whose digests this node gets from themselves; where summaries are used, these are the peers of the
// failure domain. matching are the reachable ones that match, running those that may run (the reachable ones, and the unreachable ones
// that were not draining), and stopped the other ones, which count for RemoveAfter.
func (m *Mesh) CountDirectPeers(matches func(*Member) bool) (matching, running, stopped int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, usesSummaries := m.now(), m.usesSummaries()
	for _, member := range m.members {
		if usesSummaries && member.FailureDomain != m.FailureDomain {
			continue
		}
		isReachable := m.isReachable(member, now)
		if isReachable && matches(member) {
			matching++
		}
		if isReachable || member.State != Draining {
			running++
		} else {
			stopped++
		}
	}
	return matching, running, stopped
}

// MedianTime returns the time of day that most nodes agree on: this node's boottime clock plus the median, over all nodes,
// of the difference between the time of day and that clock. Wall clocks that jump on a minority of nodes do not move it.
func (m *Mesh) MedianTime() time.Time {
	now := m.now()
	offsets := []int64{time.Now().UnixMilli() - millis(now)}
	m.mu.Lock()
	for _, member := range m.members {
		if member.WallClockMillis != 0 { // known only from a digest of the peer itself
			offsets = append(offsets, member.WallClockMillis-millis(member.SentAt))
		}
	}
	m.mu.Unlock()
	slices.Sort(offsets)
	return time.UnixMilli(millis(now) + offsets[len(offsets)/2])
}
