package mesh

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/sleep"
)

// Summary is the state of the nodes of one failure domain, as the sender heard it from them. What can be added up is given as
// a sum; the usage of organisations is given for each node, since a sum would fall whenever a node restarts.
type Summary struct {
	FailureDomain string                      `cbor:"1,keyasint,omitempty"`
	Loads         map[string]backend.PeerLoad `cbor:"2,keyasint,omitempty"` // sums by backend server
	Demand        map[string]float64          `cbor:"3,keyasint,omitempty"` // sums by service
	Organisations []string                    `cbor:"5,keyasint,omitempty"` // whose usage the summary holds
	Levels        []float64                   `cbor:"6,keyasint,omitempty"` // of the sender's buckets, as Organisations
	Nodes         []NodeSummary               `cbor:"7,keyasint,omitempty"` // the sender included
	// LostServices is Digest.LostServices by node. It is no field of NodeSummary, which nodes of earlier versions decode as a list of
	// known length.
	LostServices map[string][]string `cbor:"8,keyasint,omitempty"`
}

// NodeSummary is the state of one node in a Summary.
type NodeSummary struct {
	_              struct{} `cbor:",toarray"`
	Node           string
	Incarnation    int64
	AgeMillis      int64 // since the sender heard from the node
	State          State
	ConfigVersion  int64
	HoldsDutyLease bool
	Address        string // for callers; empty unless the summary is full or the node has started recently
	MeshAddress    string // likewise
	IsWarmingUp    bool
	// HasAllUsages is true if Taken covers all organisations that the node reports.
	HasAllUsages bool
	Taken        []float64 // as Organisations; unknownTaken for an organisation that the node does not report
}

// unknownTaken stands in NodeSummary.Taken for an organisation that the node has not reported.
const unknownTaken = -1

// UsagesOf returns the usage of a node in the summary by organisation.
func (s *Summary) UsagesOf(n *NodeSummary) map[string]quota.Usage {
	usages := map[string]quota.Usage{}
	for i := range min(len(n.Taken), len(s.Organisations), len(s.Levels)) {
		if n.Taken[i] != unknownTaken {
			usages[s.Organisations[i]] = quota.Usage{Taken: n.Taken[i], Level: s.Levels[i]}
		}
	}
	return usages
}

// receivedSummary is the latest summary of a failure domain.
type receivedSummary struct {
	*Summary
	receivedAt boottime.Instant
}

// summaryTimeout is how long the latest summary of a failure domain counts.
const summaryTimeout = 4 * summaryInterval

// usesSummaries reports whether there are so many nodes that digests stay within the failure domain. The caller holds the
// lock.
func (m *Mesh) usesSummaries() bool {
	return len(m.members) >= maxDirectNodes && m.localCount < len(m.members)
}

// UsesSummaries reports whether there are so many nodes that digests stay within the failure domain.
func (m *Mesh) UsesSummaries() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usesSummaries()
}

// isSummarized reports whether a recent summary covers another failure domain. The caller holds the lock.
func (m *Mesh) isSummarized(failureDomain string, now boottime.Instant) bool {
	s, found := m.summaries[failureDomain]
	return found && failureDomain != m.FailureDomain && now.Sub(s.receivedAt) < summaryTimeout
}

// PeerDemand returns the demand for a service at all peers: from their digests, and from the summaries of failure domains.
func (m *Mesh) PeerDemand(service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	sum := 0.0
	for _, member := range m.reachableMembers(now) {
		if !m.isSummarized(member.FailureDomain, now) {
			sum += member.Demand[service]
		}
	}
	for failureDomain, s := range m.summaries {
		if m.isSummarized(failureDomain, now) {
			sum += s.Demand[service]
		}
	}
	return sum
}

// setOwnDigest records a full digest of this node for the next summaries.
func (m *Mesh) setOwnDigest(d Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	self := &Member{Digest: d, ReceivedAt: now, SentAt: now, sourceAddress: m.SelfAddress, startKnownAt: now}
	if m.ownDigest != nil {
		self.startKnownAt = m.ownDigest.startKnownAt
	}
	m.ownDigest = self
}

// mergeOwnUsages adds the usages of an urgent digest of this node to those for the next summaries.
func (m *Mesh) mergeOwnUsages(usages map[string]quota.Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ownDigest != nil {
		m.ownDigest = m.ownDigest.withUsages(usages)
	}
}

// withUsages returns a copy of the member in which the given usages replace those of the same organisations.
func (m *Member) withUsages(usages map[string]quota.Usage) *Member {
	if len(usages) == 0 {
		return m
	}
	updated := *m
	updated.QuotaUsages = maps.Clone(m.QuotaUsages)
	if updated.QuotaUsages == nil {
		updated.QuotaUsages = map[string]quota.Usage{}
	}
	maps.Copy(updated.QuotaUsages, usages)
	return &updated
}

// sendSummaries sends a summary to some nodes of each other failure domain in each round, until ctx ends.
func (m *Mesh) sendSummaries(ctx context.Context, conn net.PacketConn) {
	for sleep.For(ctx, summaryInterval) {
		// Rounds are numbered by the time on which the nodes agree, so that the senders choose different recipients.
		m.sendSummary(conn, m.MedianTime().UnixMilli()/summaryInterval.Milliseconds())
	}
}

// sendSummary sends the summary of one round to its recipients, if there are any.
func (m *Mesh) sendSummary(conn net.PacketConn, round int64) {
	recipients := m.chooseRecipients(round)
	if len(recipients) == 0 {
		return
	}
	digest := m.composeSummary(round%fullSummaryDivisor == 0)
	direct, summarized := m.targets()
	digest.PeerAddresses = m.nextPeerAddresses(slices.Concat(direct, summarized))
	m.send(conn, digest, recipients, summaryInterval)
}

// chooseRecipients returns the addresses to which this node sends its summary in a round; none while digests go to all
// nodes.
func (m *Mesh) chooseRecipients(round int64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.usesSummaries() || m.ownDigest == nil {
		return nil
	}
	rank, senders := 0, 1
	remote := map[string][]*Member{} // by failure domain
	for _, member := range m.reachableMembers(m.now()) {
		switch {
		case member.FailureDomain != m.FailureDomain:
			remote[member.FailureDomain] = append(remote[member.FailureDomain], member)
		case member.Node < m.ownDigest.Node:
			rank++
			senders++
		default:
			senders++
		}
	}
	var addresses []string
	for _, recipients := range remote {
		for _, i := range summaryRecipients(rank, senders, len(recipients), round) {
			addresses = append(addresses, recipients[i].sourceAddress)
		}
	}
	return addresses
}

// composeSummary returns a brief digest with the summary of this node's failure domain.
func (m *Mesh) composeSummary(isFull bool) Digest {
	var nearLimit map[string]bool
	if m.NearLimitOrganisations != nil {
		nearLimit = m.NearLimitOrganisations()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	nodes := []*Member{m.ownDigest}
	for _, member := range m.reachableMembers(now) {
		if member.FailureDomain == m.FailureDomain {
			nodes = append(nodes, member)
		}
	}
	d := m.ownDigest.brief()
	elapsed := now.Sub(m.ownDigest.ReceivedAt).Milliseconds()
	d.BootClockMillis, d.WallClockMillis = millis(now), time.Now().UnixMilli()
	if d.ConfirmationAgeMillis >= 0 {
		d.ConfirmationAgeMillis += elapsed
	}
	if d.ConfigAnswerAgeMillis > 0 {
		d.ConfigAnswerAgeMillis += elapsed
	}
	d.Registry = RegistryDelta{}
	d.Summary = summarize(nodes, now, isFull, nearLimit)
	return d
}

// summarize returns the summary of the nodes of a failure domain; the first one is the sender.
func summarize(nodes []*Member, now boottime.Instant, isFull bool, nearLimit map[string]bool) *Summary {
	sender := nodes[0]
	s := &Summary{FailureDomain: sender.FailureDomain, Loads: map[string]backend.PeerLoad{}, Demand: map[string]float64{}}
	organisations := map[string]bool{}
	for _, n := range nodes {
		for id, l := range n.Loads {
			s.Loads[id] = s.Loads[id].Add(l)
		}
		for service, runners := range n.Demand {
			s.Demand[service] += runners
		}
		for organisation := range n.QuotaUsages {
			// The levels of a node that has just started are not known well enough to be passed on.
			if !sender.IsWarmingUp && (isFull || n.IsWarmingUp || nearLimit[organisation]) {
				organisations[organisation] = true
			}
		}
	}
	s.Organisations = slices.Sorted(maps.Keys(organisations))
	for _, organisation := range s.Organisations {
		s.Levels = append(s.Levels, sender.QuotaUsages[organisation].Level)
	}
	for _, n := range nodes {
		entry := NodeSummary{
			Node: n.Node, Incarnation: n.Incarnation, AgeMillis: now.Sub(n.ReceivedAt).Milliseconds(), State: n.State,
			ConfigVersion: n.ConfigVersion, HoldsDutyLease: n.HoldsDutyLease, IsWarmingUp: n.IsWarmingUp,
			HasAllUsages: !sender.IsWarmingUp && (isFull || n.IsWarmingUp),
		}
		if isFull || now.Sub(n.startKnownAt) < newAddressPeriod {
			entry.Address, entry.MeshAddress = n.Address, n.sourceAddress
		}
		for _, organisation := range s.Organisations {
			taken := float64(unknownTaken)
			if usage, isReported := n.QuotaUsages[organisation]; isReported {
				taken = usage.Taken
			}
			entry.Taken = append(entry.Taken, taken)
		}
		s.Nodes = append(s.Nodes, entry)
		if len(n.LostServices) > 0 {
			if s.LostServices == nil {
				s.LostServices = map[string][]string{}
			}
			s.LostServices[n.Node] = n.LostServices
		}
	}
	return s
}

// handleSummary updates the members of another failure domain from a summary and passes it to OnSummary.
func (m *Mesh) handleSummary(s *Summary, receivedAt boottime.Instant) {
	if s.FailureDomain == m.FailureDomain {
		return
	}
	m.mu.Lock()
	m.summaries[s.FailureDomain] = &receivedSummary{Summary: s, receivedAt: receivedAt}
	for i := range s.Nodes {
		m.updateMember(s, &s.Nodes[i], receivedAt)
	}
	m.mu.Unlock()
	if m.OnSummary != nil {
		m.OnSummary(s)
	}
}

// updateMember updates one member from a summary unless a later digest of it is known. A peer that is not known is added
// when a full summary tells its addresses. The caller holds the lock.
func (m *Mesh) updateMember(s *Summary, n *NodeSummary, receivedAt boottime.Instant) {
	if n.AgeMillis < 0 || n.AgeMillis > RemoveAfter.Milliseconds() {
		return
	}
	heardAt := receivedAt.Add(-time.Duration(n.AgeMillis) * time.Millisecond)
	previous, known := m.members[n.Node]
	isSameStart := known && previous.Incarnation == n.Incarnation
	if known && (previous.Incarnation > n.Incarnation || isSameStart && previous.ReceivedAt >= heardAt) {
		return
	}
	if !isSameStart && n.MeshAddress == "" || m.ownDigest != nil && n.Node == m.ownDigest.Node {
		return
	}
	updated := &Member{Digest: Digest{Node: n.Node, Incarnation: n.Incarnation, FailureDomain: s.FailureDomain, ConfirmationAgeMillis: -1}, IsSummarized: true}
	if isSameStart {
		*updated = *previous
	}
	updated.State, updated.ConfigVersion, updated.HoldsDutyLease, updated.ReceivedAt = n.State, n.ConfigVersion, n.HoldsDutyLease, heardAt
	updated.LostServices = s.LostServices[n.Node]
	if n.MeshAddress != "" {
		updated.Address, updated.sourceAddress = n.Address, n.MeshAddress
	}
	m.setMember(updated)
	m.markSeen(updated.sourceAddress, heardAt)
	if !isSameStart || previous.State != n.State {
		m.Log.Info("A summary told of a peer that is new, has restarted or has changed its state.", "peer", n.Node, "state", n.State,
			"address", updated.Address, "config_version", n.ConfigVersion)
	}
}
