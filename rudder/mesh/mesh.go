// Package mesh exchanges state between the nodes of the relay: each node sends a digest of its state to others one to four
// times a second, in one UDP datagram. Digests hold running totals, so that the next digest makes up for a lost one and none
// is acknowledged. They are CBOR with numbered fields.
//
// Up to maxDirectNodes nodes, each node sends its digests to all others. Above that, digests stay within the failure domain,
// and each node sends summaries of its failure domain to some nodes of every other one, in turn: the datagrams of a node then
// grow with the size of a failure domain and the number of failure domains, not with the number of nodes.
package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/internal/turn"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// BaseInterval is the pause between two digests of a node that has at most maxPeersAtBaseInterval peers.
	BaseInterval = 250 * time.Millisecond
	// Each peer above maxPeersAtBaseInterval lengthens the pause by intervalPerExtraPeer, up to maxInterval, so that the
	// processor time for digests grows less than the number of nodes.
	maxPeersAtBaseInterval = 12
	intervalPerExtraPeer   = 5 * time.Millisecond
	maxInterval            = time.Second
	// urgentInterval is the pause between two rounds of urgent digests of a node that has at most maxPeersAtBaseInterval
	// peers.
	urgentInterval = 100 * time.Millisecond
	// summaryDelayAllowance is added to that time for peers that are known from summaries: a digest is up to one interval old
	// when a summary tells of it, and a summary may be lost.
	summaryDelayAllowance = 3 * summaryInterval
	// unreachableAfterIntervals is the number of digest intervals without a digest after which a peer counts as unreachable.
	unreachableAfterIntervals = 4.8
	// RemoveAfter is how long an unreachable peer is kept: until then it is sent digests and counts as a node that may serve.
	RemoveAfter = 20 * time.Second
	// maxDatagramBytes is the largest UDP payload over IPv4.
	maxDatagramBytes = 65507
	// newAddressPeriod is how long an address counts as new to a node.
	newAddressPeriod = 5 * time.Second
	// addressesPerDigest is the number of peer addresses in one digest. Successive digests go through all addresses.
	addressesPerDigest    = 4
	newAddressesPerDigest = 12
)

// Mesh sends this node's digests to its peers and receives theirs. The exported fields are set before Run is called.
type Mesh struct {
	SelfAddress   string // IP:port of this node's socket
	FailureDomain string // of this node
	ComposeDigest func() Digest
	// NeedsShortInterval reports whether peers rely on this node to call the object API for them; it then sends a digest
	// each BaseInterval, however many peers there are. Nil means that they do not.
	NeedsShortInterval func() bool
	// ComposeUrgentDigests returns what must not wait for the next full digest. It is called each urgentInterval, less often
	// with many peers. Nil means that the node sends no urgent digests.
	ComposeUrgentDigests func() []UrgentDigest
	// OnDigest is called with each accepted digest, full, brief or urgent.
	OnDigest func(*Member)
	// OnSummary is called after OnDigest with each summary. Nil means that summaries only update the members.
	OnSummary func(*Summary)
	// NearLimitOrganisations returns the organisations whose usage is included in every summary, not only in full ones. Nil
	// means none.
	NearLimitOrganisations func() map[string]bool
	Log                    *slog.Logger

	mu              sync.Mutex
	members         map[string]*Member          // by node name; a member is replaced, not changed
	sortedNames     []string                    // of members; nil if it has to be rebuilt
	localCount      int                         // members in this node's failure domain
	ownDigest       *Member                     // the last full digest of this node, with later urgent ones merged
	summaries       map[string]*receivedSummary // the latest by failure domain
	peerClocks      map[string]*peerClock       // by node name
	targetsSeenAt   map[string]boottime.Instant // by address: when it was last heard from or added
	targetsAddedAt  map[string]boottime.Instant // by address: when it became known, for newAddressPeriod at least
	addressRotation int
	sendSoon        chan struct{} // has a value when the next full digest must not wait for the end of the interval
	now             func() boottime.Instant
	sleep           func(time.Duration)
}

// New returns a mesh that initially knows the peers at the seed addresses.
func New(selfAddress string, seeds []string, composeDigest func() Digest, onDigest func(*Member), log *slog.Logger) *Mesh {
	m := &Mesh{
		SelfAddress: selfAddress, ComposeDigest: composeDigest, OnDigest: onDigest, Log: log,
		members: map[string]*Member{}, summaries: map[string]*receivedSummary{}, peerClocks: map[string]*peerClock{}, targetsSeenAt: map[string]boottime.Instant{},
		targetsAddedAt: map[string]boottime.Instant{},
		// Nodes that start at the same time must not all tell the same addresses.
		addressRotation: rand.IntN(1 << 16), sendSoon: make(chan struct{}, 1), now: boottime.Now, sleep: time.Sleep,
	}
	m.AddAddresses(seeds)
	return m
}

// AddAddresses adds addresses of peers to send digests to. It skips known and empty addresses and the node's own, and logs
// and drops those that are not IP:port.
func (m *Mesh) AddAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, a := range addresses {
		if _, known := m.targetsSeenAt[a]; known || a == m.SelfAddress || a == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a); err != nil {
			m.Log.Warn("Dropped a malformed address of a peer.", "bytes", len(a), "error", fmt.Sprintf("%.100s", err.Error()))
			continue
		}
		m.targetsSeenAt[a], m.targetsAddedAt[a] = now, now
	}
}

// markSeen records that a peer at the address was heard from. The caller holds the lock.
func (m *Mesh) markSeen(address string, at boottime.Instant) {
	if _, known := m.targetsSeenAt[address]; !known {
		m.targetsAddedAt[address] = at
	}
	m.targetsSeenAt[address] = max(m.targetsSeenAt[address], at)
}

// Run sends and receives digests until ctx ends; then it closes conn.
func (m *Mesh) Run(ctx context.Context, conn net.PacketConn) {
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go m.receive(ctx, conn)
	if m.ComposeUrgentDigests != nil {
		go m.sendUrgentDigests(ctx, conn)
	}
	go m.sendSummaries(ctx, conn)
	for ctx.Err() == nil {
		isShort := m.NeedsShortInterval != nil && m.NeedsShortInterval()
		beganAt := time.Now()
		m.sendDigest(conn, isShort)
		interval := m.currentInterval()
		if isShort {
			interval = BaseInterval
		}
		m.awaitNextDigest(ctx, interval-time.Since(beganAt))
	}
}

// awaitNextDigest waits for a time, until SendSoon is called or until ctx ends.
func (m *Mesh) awaitNextDigest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.sendSoon:
	}
}

// SendSoon makes Run send the next full digest now, or after the round that is being sent.
func (m *Mesh) SendSoon() {
	select {
	case m.sendSoon <- struct{}{}:
	default: // it is to be sent already
	}
}

// sendUrgentDigests sends urgent digests until ctx ends.
func (m *Mesh) sendUrgentDigests(ctx context.Context, conn net.PacketConn) {
	for ctx.Err() == nil {
		for _, u := range m.ComposeUrgentDigests() {
			targets := []string{m.addressOf(u.Recipient)}
			if u.Recipient == "" {
				m.mergeOwnUsages(u.QuotaUsages)
				targets, _ = m.targets()
			}
			m.send(conn, u.Digest, targets, m.urgentPause())
		}
		sleep.For(ctx, m.urgentPause())
	}
}

// urgentPause returns the pause between two rounds of urgent digests. It grows with the number of peers like that of full
// digests, to limit the load on the receivers.
func (m *Mesh) urgentPause() time.Duration {
	return urgentInterval * m.currentInterval() / BaseInterval
}

// addressOf returns the address from which a peer sends its digests, empty if it is not known.
func (m *Mesh) addressOf(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if member, known := m.members[name]; known {
		return member.sourceAddress
	}
	return ""
}

// currentInterval returns the pause between two full digests for the present number of peers.
func (m *Mesh) currentInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.digestInterval()
}

// digestInterval is currentInterval. The caller holds the lock.
func (m *Mesh) digestInterval() time.Duration {
	if m.usesSummaries() {
		return intervalForLocalPeers(m.localCount)
	}
	return intervalForPeers(len(m.members))
}

// SendNow sends a digest at once to all peers, for a change of this node's state that peers must not learn late.
func (m *Mesh) SendNow(conn net.PacketConn) { m.sendDigest(conn, true) }

// sendDigest sends a full digest to the peers of the failure domain, or to all while there are few nodes. With toAll it also
// sends a brief one to the other peers.
func (m *Mesh) sendDigest(conn net.PacketConn, toAll bool) {
	digest := m.ComposeDigest()
	m.setOwnDigest(digest)
	direct, others := m.targets()
	digest.PeerAddresses = m.nextPeerAddresses(slices.Concat(direct, others))
	digest.Sightings = m.nextSightings()
	within := m.roundDuration(toAll)
	if toAll && len(others) > 0 {
		within /= 2
	}
	m.send(conn, digest, direct, within)
	if toAll && len(others) > 0 {
		m.send(conn, digest.brief(), others, within)
	}
}

// send encodes a digest and sends it to the given addresses within the given time.
func (m *Mesh) send(conn net.PacketConn, digest Digest, targets []string, within time.Duration) {
	data, err := digestEncoding.Marshal(digest)
	if err != nil || len(data) > maxDatagramBytes {
		m.Log.Error("Digest cannot be encoded or is too large to send.", "bytes", len(data), "error", err)
		return
	}
	m.sendPaced(conn, data, targets, within)
}

// targets returns the addresses to send to, sorted: those that get full digests, and those of peers that get summaries
// instead. It drops addresses and members that have been silent for longer than RemoveAfter.
func (m *Mesh) targets() (direct, summarized []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.removeSilentMembers(now)
	remote := map[string]bool{}
	if m.usesSummaries() {
		for _, member := range m.members {
			if member.FailureDomain != m.FailureDomain {
				remote[member.sourceAddress] = true
			}
		}
	}
	for address, seenAt := range m.targetsSeenAt {
		switch {
		case now.Sub(seenAt) > RemoveAfter:
			delete(m.targetsSeenAt, address)
			delete(m.targetsAddedAt, address)
		case remote[address]:
			summarized = append(summarized, address)
		default:
			direct = append(direct, address)
		}
	}
	slices.Sort(direct)
	slices.Sort(summarized)
	return direct, summarized
}

// nextPeerAddresses returns up to addressesPerDigest of the given addresses, and up to newAddressesPerDigest of those that
// became known recently, so that the addresses of starting nodes spread fast. Successive calls go through all addresses.
func (m *Mesh) nextPeerAddresses(targets []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var recent []string
	for _, address := range targets {
		if addedAt, found := m.targetsAddedAt[address]; found && now.Sub(addedAt) < newAddressPeriod {
			recent = append(recent, address)
		}
	}
	m.addressRotation++
	return append(turn.Take(recent, m.addressRotation, newAddressesPerDigest), turn.Take(targets, m.addressRotation, addressesPerDigest)...)
}

// receive reads and handles datagrams until ctx ends.
func (m *Mesh) receive(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, source, err := conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.Log.Warn("Reading from the mesh socket failed; trying again.", "error", err)
				time.Sleep(BaseInterval)
			}
			continue
		}
		m.handleDatagram(buffer[:n], source.String(), m.now())
	}
}

// handleDatagram decodes one datagram and handles its digest. It logs and drops a malformed one.
func (m *Mesh) handleDatagram(data []byte, source string, receivedAt boottime.Instant) {
	var d Digest
	if err := cbor.Unmarshal(data, &d); err != nil || d.Node == "" {
		m.Log.Warn("Malformed digest dropped.", "from", source, "error", err)
		return
	}
	m.handleDigest(d, source, receivedAt)
}

// handleDigest records a digest that was read from the socket at the given time and passes it to OnDigest.
func (m *Mesh) handleDigest(d Digest, source string, receivedAt boottime.Instant) {
	member := &Member{Digest: d, ReceivedAt: receivedAt, SentAt: receivedAt, heardAt: receivedAt, sourceAddress: source}
	m.mu.Lock()
	previous, known := m.members[d.Node]
	if known && previous.Incarnation > d.Incarnation {
		m.mu.Unlock()
		return // sent before the peer's last restart and delayed
	}
	if d.IsUrgent {
		if known && previous.Incarnation == d.Incarnation {
			m.members[d.Node] = previous.withUsages(d.QuotaUsages)
		}
		m.mu.Unlock()
		m.OnDigest(member)
		return
	}
	if d.BootClockMillis > 0 {
		if m.peerClocks[d.Node] == nil {
			m.peerClocks[d.Node] = &peerClock{}
		}
		sentAt := boottime.Instant(time.Duration(d.BootClockMillis) * time.Millisecond)
		member.SentAt, member.HasReliableSentAt = m.peerClocks[d.Node].observe(d.Incarnation, sentAt, receivedAt)
	}
	member.IsSummarized = d.IsBrief || m.isSummarized(d.FailureDomain, receivedAt)
	m.setMember(member)
	m.markSeen(source, receivedAt)
	m.mu.Unlock()
	if !known || previous.Incarnation != d.Incarnation || previous.State != d.State {
		m.Log.Info("Peer is new, has restarted or has changed its state.", "peer", d.Node, "state", d.State,
			"address", d.Address, "config_version", d.ConfigVersion)
	}
	m.AddAddresses(d.PeerAddresses)
	m.applySightings(d.Sightings, receivedAt)
	m.OnDigest(member)
	if d.Summary != nil {
		m.handleSummary(d.Summary, receivedAt)
	}
}

// millisDuration returns a duration that is given in milliseconds.
func millisDuration(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// millis returns an instant as milliseconds since the host booted.
func millis(i boottime.Instant) int64 { return time.Duration(i).Milliseconds() }
