// Package mesh exchanges state between the nodes of the relay: each node sends a digest of its state to all others one to
// four times a second, in one UDP datagram. Digests hold running totals, so that the next digest makes up for a lost one and
// none is acknowledged. They are CBOR with numbered fields: since every node sends to every other one, digests encoded as
// JSON were most of the bytes between failure domains and half of the processor time of 75 nodes.
package mesh

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/sleep"
	"chestnutrudder.example/rudder/usage"
)

// State is the state of a node as seen by callers.
type State string

// The states of a node.
const (
	Starting State = "starting" // not ready to serve callers
	Ready    State = "ready"
	Draining State = "draining" // stopping; callers are sent to other nodes
)

// Digest is the state that a node sends to its peers. Points in time other than the readings of the sender's clocks are given
// as ages, since the clocks of nodes differ.
type Digest struct {
	Node string `cbor:"1,keyasint,omitempty"`
	// Incarnation identifies one start of the node's process. A later start has a higher value.
	Incarnation   int64  `cbor:"2,keyasint,omitempty"`
	FailureDomain string `cbor:"3,keyasint,omitempty"`
	Address       string `cbor:"4,keyasint,omitempty"` // IP:port for callers
	State         State  `cbor:"5,keyasint,omitempty"`
	// BootClockMillis is the sender's clock of package boottime when it composed the digest; 0 if unknown.
	BootClockMillis int64 `cbor:"6,keyasint,omitempty"`
	// WallClockMillis is the sender's time of day when it composed the digest, in Unix milliseconds.
	WallClockMillis int64 `cbor:"7,keyasint,omitempty"`
	ConfigVersion   int64 `cbor:"8,keyasint,omitempty"`
	// ConfirmationAgeMillis is the time since the sender's configuration was last confirmed as the newest; -1 if it never
	// was.
	ConfirmationAgeMillis int64 `cbor:"9,keyasint,omitempty"`
	// HoldsDutyLease is true if the sender performs the duties that one node performs for all.
	HoldsDutyLease bool                        `cbor:"10,keyasint,omitempty"`
	Loads          map[string]backend.PeerLoad `cbor:"11,keyasint,omitempty"` // the sender's requests by backend server
	// Demand is the number of runners that the requests to the sender keep busy, by service.
	Demand      map[string]float64     `cbor:"12,keyasint,omitempty"`
	QuotaUsages map[string]quota.Usage `cbor:"13,keyasint,omitempty"` // by organisation
	// CrashCounts is the number of servers that crashed while they ran a request, by the request's fingerprint.
	CrashCounts map[string]int `cbor:"14,keyasint,omitempty"`
	// RunsByWindow counts the requests that backend servers began to run, by usage window and organisation.
	RunsByWindow  usage.Windows `cbor:"15,keyasint,omitempty"`
	PeerAddresses []string      `cbor:"16,keyasint,omitempty"` // mesh addresses of some peers of the sender
	Registry      RegistryDelta `cbor:"17,keyasint,omitempty"`
	// IsWarmingUp is true while the sender may not know all that was admitted before its start; see quota.Ledger.IsWarmingUp.
	IsWarmingUp bool `cbor:"18,keyasint,omitempty"`
	// IsUrgent marks a digest that is sent between two full ones. It holds only Node, Incarnation and either some
	// QuotaUsages with IsWarmingUp or some RunsByWindow.
	IsUrgent bool `cbor:"19,keyasint,omitempty"`
}

// RegistryDelta holds the latest changes that a node knows in the platform's registry of backend servers.
type RegistryDelta struct {
	_             struct{} `cbor:",toarray"`
	FromRevision  int64    // Changes are all changes after this revision
	Revision      int64    // up to and including this one; 0 if none is known
	AgeMillis     int64    // since Revision was known to be the newest
	CallAgeMillis int64    // since the sender's last answered call to the object API
	Changes       []RegistryChange
}

// RegistryChange is the addition, update or removal of one backend server in the registry.
type RegistryChange struct {
	_        struct{} `cbor:",toarray"`
	Revision int64    // of the answer in which the sender received the change
	Server   backend.Entry
	Removed  bool // Server holds only the ID
}

// Member is a peer with a digest received from it.
type Member struct {
	Digest
	ReceivedAt        boottime.Instant
	SentAt            boottime.Instant // by this node's clock; equals ReceivedAt while HasReliableSentAt is false
	HasReliableSentAt bool             // SentAt is exact enough to derive the age of the peer's information from it
	sourceAddress     string           // IP:port of the peer's socket
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
	// unreachableAfterIntervals is the number of digest intervals without a digest after which a peer counts as unreachable.
	unreachableAfterIntervals = 4.8
	// removeAfter is how long an unreachable peer is kept: until then it is sent digests and counts as a node that may serve.
	removeAfter = 20 * time.Second
	// maxDatagramBytes is the largest UDP payload over IPv4.
	maxDatagramBytes = 65507
	// addressesPerDigest is the number of peer addresses in one digest. Successive digests go through all addresses.
	addressesPerDigest = 4
)

// digestEncoding encodes each floating-point number in the shortest form that keeps its value.
var digestEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Mesh sends this node's digests to its peers and receives theirs. The exported fields are set before Run is called.
type Mesh struct {
	SelfAddress   string // IP:port of this node's socket
	ComposeDigest func() Digest
	// NeedsShortInterval reports whether peers rely on this node to call the object API for them; it then sends a digest
	// each BaseInterval, however many peers there are. Nil means that they do not.
	NeedsShortInterval func() bool
	// ComposeUrgentDigests returns what must not wait for the next full digest. It is called each urgentInterval, less often
	// with many peers. Nil means that the node sends no urgent digests.
	ComposeUrgentDigests func() []UrgentDigest
	// OnDigest is called with each accepted digest, full or urgent.
	OnDigest func(Member)
	Log      *slog.Logger

	mu              sync.Mutex
	members         map[string]Member           // by node name
	peerClocks      map[string]*peerClock       // by node name
	targetsSeenAt   map[string]boottime.Instant // by address: when it was last heard from or added
	addressRotation int
}

// New returns a mesh that initially knows the peers at the seed addresses.
func New(selfAddress string, seeds []string, composeDigest func() Digest, onDigest func(Member), log *slog.Logger) *Mesh {
	m := &Mesh{
		SelfAddress: selfAddress, ComposeDigest: composeDigest, OnDigest: onDigest, Log: log,
		members: map[string]Member{}, peerClocks: map[string]*peerClock{}, targetsSeenAt: map[string]boottime.Instant{},
	}
	m.AddAddresses(seeds)
	return m
}

// AddAddresses adds addresses of peers to send digests to. It skips known and empty addresses and the node's own.
func (m *Mesh) AddAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	for _, a := range addresses {
		if _, known := m.targetsSeenAt[a]; !known && a != m.SelfAddress && a != "" {
			m.targetsSeenAt[a] = now
		}
	}
}

// Run sends and receives digests until ctx ends; then it closes conn.
func (m *Mesh) Run(ctx context.Context, conn net.PacketConn) {
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go m.receive(ctx, conn)
	if m.ComposeUrgentDigests != nil {
		go m.sendUrgentDigests(ctx, conn)
	}
	for ctx.Err() == nil {
		m.sendDigest(conn)
		if m.NeedsShortInterval != nil && m.NeedsShortInterval() {
			sleep.For(ctx, BaseInterval)
		} else {
			sleep.For(ctx, m.currentInterval())
		}
	}
}

// UrgentDigest is a digest that is sent between two full ones, to all peers or to one.
type UrgentDigest struct {
	Digest
	Recipient string // node name of the peer; empty for all peers
}

// sendUrgentDigests sends urgent digests until ctx ends.
func (m *Mesh) sendUrgentDigests(ctx context.Context, conn net.PacketConn) {
	for ctx.Err() == nil {
		for _, u := range m.ComposeUrgentDigests() {
			targets := []string{m.addressOf(u.Recipient)}
			if u.Recipient == "" {
				targets = m.pruneTargets()
			}
			m.send(conn, u.Digest, targets)
		}
		// The pause grows with the number of peers like that of full digests, to limit the load on the receivers.
		sleep.For(ctx, urgentInterval*m.currentInterval()/BaseInterval)
	}
}

// addressOf returns the address from which a peer sends its digests, empty if it is not known.
func (m *Mesh) addressOf(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[name].sourceAddress
}

// currentInterval returns the pause between two full digests for the present number of peers.
func (m *Mesh) currentInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return intervalForPeers(len(m.members))
}

// intervalForPeers returns the pause between two full digests of a node with the given number of peers.
func intervalForPeers(peers int) time.Duration {
	return min(BaseInterval+time.Duration(max(peers-maxPeersAtBaseInterval, 0))*intervalPerExtraPeer, maxInterval)
}

// unreachableAfter returns the time without a digest after which a peer counts as unreachable. The caller holds the lock.
func (m *Mesh) unreachableAfter() time.Duration {
	return time.Duration(unreachableAfterIntervals * float64(intervalForPeers(len(m.members))))
}

// SendNow sends a digest at once, for a change of this node's state that peers must not learn late.
func (m *Mesh) SendNow(conn net.PacketConn) { m.sendDigest(conn) }

// sendDigest sends a full digest to all targets.
func (m *Mesh) sendDigest(conn net.PacketConn) {
	digest := m.ComposeDigest()
	targets := m.pruneTargets()
	digest.PeerAddresses = m.nextPeerAddresses(targets)
	m.send(conn, digest, targets)
}

// send encodes a digest and sends it to the given addresses.
func (m *Mesh) send(conn net.PacketConn, digest Digest, targets []string) {
	data, err := digestEncoding.Marshal(digest)
	if err != nil || len(data) > maxDatagramBytes {
		m.Log.Error("Digest cannot be encoded or is too large to send.", "bytes", len(data), "error", err)
		return
	}
	for _, target := range targets {
		address, err := netip.ParseAddrPort(target)
		if err != nil {
			continue // AddAddresses takes addresses from peers unchecked; handleDatagram logs malformed digests
		}
		// The next digest makes up for one that could not be sent.
		_, _ = conn.WriteTo(data, net.UDPAddrFromAddrPort(address))
	}
}

// pruneTargets returns the addresses to send to, sorted. It drops addresses and members that have been silent for longer
// than removeAfter.
func (m *Mesh) pruneTargets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	var list []string
	for address, seenAt := range m.targetsSeenAt {
		if now.Sub(seenAt) > removeAfter {
			delete(m.targetsSeenAt, address)
			continue
		}
		list = append(list, address)
	}
	for name, member := range m.members {
		if now.Sub(member.ReceivedAt) > removeAfter {
			m.Log.Info("Peer sent no digest for too long and was removed.", "peer", name)
			delete(m.members, name)
			delete(m.peerClocks, name)
		}
	}
	slices.Sort(list)
	return list
}

// nextPeerAddresses returns up to addressesPerDigest of the given addresses. Successive calls go through all of them.
func (m *Mesh) nextPeerAddresses(targets []string) []string {
	if len(targets) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addressRotation++
	var list []string
	for i := range min(addressesPerDigest, len(targets)) {
		list = append(list, targets[(m.addressRotation*addressesPerDigest+i)%len(targets)])
	}
	return list
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
		m.handleDatagram(buffer[:n], source.String(), boottime.Now())
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
	member := Member{Digest: d, ReceivedAt: receivedAt, SentAt: receivedAt, sourceAddress: source}
	m.mu.Lock()
	previous, known := m.members[d.Node]
	if known && previous.Incarnation > d.Incarnation {
		m.mu.Unlock()
		return // sent before the peer's last restart and delayed
	}
	if d.IsUrgent {
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
	m.members[d.Node] = member
	m.targetsSeenAt[source] = member.ReceivedAt
	m.mu.Unlock()
	if !known || previous.Incarnation != d.Incarnation || previous.State != d.State {
		m.Log.Info("Peer is new, has restarted or has changed its state.", "peer", d.Node, "state", d.State,
			"address", d.Address, "config_version", d.ConfigVersion)
	}
	m.AddAddresses(d.PeerAddresses)
	m.OnDigest(member)
}

// ReachableMembers returns the peers that have sent a digest recently, sorted by node name.
func (m *Mesh) ReachableMembers() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	timeout := m.unreachableAfter()
	var list []Member
	for _, member := range m.members {
		if now.Sub(member.ReceivedAt) <= timeout {
			list = append(list, member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// CountNodes returns how many nodes are reachable and how many are known that may serve: all reachable nodes, and the
// unreachable ones that were not draining. Both include this node.
func (m *Mesh) CountNodes() (reachable, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reachable, known = 1, 1
	now := boottime.Now()
	timeout := m.unreachableAfter()
	for _, member := range m.members {
		isReachable := now.Sub(member.ReceivedAt) <= timeout
		if isReachable {
			reachable++
		}
		if isReachable || member.State != Draining {
			known++
		}
	}
	return reachable, known
}

// MedianTime returns the time of day that most nodes agree on: this node's boottime clock plus the median, over all nodes,
// of the difference between the time of day and that clock. Wall clocks that jump on a minority of nodes do not move it.
func (m *Mesh) MedianTime() time.Time {
	now := boottime.Now()
	offsets := []int64{time.Now().UnixMilli() - millis(now)}
	m.mu.Lock()
	for _, member := range m.members {
		offsets = append(offsets, member.WallClockMillis-millis(member.SentAt))
	}
	m.mu.Unlock()
	slices.Sort(offsets)
	return time.UnixMilli(millis(now) + offsets[len(offsets)/2])
}

// millis returns an instant as milliseconds since the host booted.
func millis(i boottime.Instant) int64 { return time.Duration(i).Milliseconds() }
