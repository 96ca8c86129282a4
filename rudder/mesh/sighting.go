package mesh

import (
	"maps"
	"slices"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/internal/turn"
)

const (
	// sightingsPerDigest is the number of peers of which one digest tells when the sender heard from them. As many digests
	// as there are peers arrive in an interval, so that each peer is told of about twice.
	sightingsPerDigest = 2
	// sightingAllowance is how much longer than a reachable peer one may be silent that still counts as living: other nodes
	// tell of it in turn.
	sightingAllowance = BaseInterval * 4
)

// lastSeenAt returns when this node or one of its peers last heard from the member.
func (m *Member) lastSeenAt() boottime.Instant { return max(m.ReceivedAt, m.sightedAt) }

// nextSightings returns the sightings for one digest. Only digests that came from the peer itself count: what others told
// may not be passed on, since it would be taken for newer at each step.
func (m *Mesh) nextSightings() []PeerSighting {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var list []PeerSighting
	for _, name := range turn.Take(m.names(), m.addressRotation, sightingsPerDigest) {
		member := m.members[name]
		if age := now.Sub(member.heardAt); member.heardAt > 0 && age <= RemoveAfter {
			list = append(list, PeerSighting{Node: name, AgeMillis: age.Milliseconds()})
		}
	}
	return list
}

// applySightings notes what a peer tells of others. It adds no members: this node sends digests to the addresses that peers
// tell, and gets the digests of those nodes in turn.
func (m *Mesh) applySightings(sightings []PeerSighting, receivedAt boottime.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range sightings {
		member, known := m.members[s.Node]
		if !known || s.AgeMillis < 0 || s.AgeMillis > RemoveAfter.Milliseconds() {
			continue
		}
		seenAt := receivedAt.Add(-millisDuration(s.AgeMillis))
		if seenAt <= member.sightedAt {
			continue
		}
		updated := *member
		updated.sightedAt = seenAt
		m.members[s.Node] = &updated
		m.markSeen(member.sourceAddress, seenAt)
	}
}

// LivingMembers returns the peers that this node or a peer of it heard from recently, sorted by node name. While they are
// the smaller part of the known peers, it returns all of these: this node may be the one that is cut off. The members must
// not be changed.
func (m *Mesh) LivingMembers() []*Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	names := m.names()
	living, known := make([]*Member, 0, len(names)), make([]*Member, 0, len(names))
	for _, name := range names {
		member := m.members[name]
		known = append(known, member)
		if m.isReachable(member, now) || now.Sub(member.lastSeenAt()) <= m.reachableTimeout(member)+sightingAllowance {
			living = append(living, member)
		}
	}
	const self = 1
	if 2*(len(living)+self) < len(known)+self {
		return known
	}
	return living
}

// names returns the names of all members, sorted. The caller holds the lock.
func (m *Mesh) names() []string {
	if m.sortedNames == nil {
		m.sortedNames = slices.Sorted(maps.Keys(m.members))
	}
	return m.sortedNames
}
