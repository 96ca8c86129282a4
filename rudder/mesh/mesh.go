// Package mesh keeps the nodes of the relay in touch: each tells all others a few times a second how it is, in one
// datagram. A digest holds running totals, so that a lost one is made good by the next and none is acknowledged. Digests are
// CBOR with numbered fields: all nodes tell all others, so that digests were most of the bytes between failure domains and
// half of the processor time of 75 nodes when they were JSON.
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

// State says what a node does for callers.
type State string

// The states of a node.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "draining"
)

// Digest is what a node tells its peers. Times between nodes are given as ages, since their clocks differ.
type Digest struct {
	Node                  string                      `cbor:"1,keyasint,omitempty"`
	Incarnation           int64                       `cbor:"2,keyasint,omitempty"` // differs for each start of a node's process
	FailureDomain         string                      `cbor:"3,keyasint,omitempty"`
	Address               string                      `cbor:"4,keyasint,omitempty"` // IP:port for callers
	State                 State                       `cbor:"5,keyasint,omitempty"`
	BootClockMillis       int64                       `cbor:"6,keyasint,omitempty"` // the sender's reading of package boottime; 0: not known
	WallClockMillis       int64                       `cbor:"7,keyasint,omitempty"` // the sender's time of day
	ConfigVersion         int64                       `cbor:"8,keyasint,omitempty"`
	ConfirmationAgeMillis int64                       `cbor:"9,keyasint,omitempty"` // milliseconds since its configuration was proved to be the newest; -1: never
	HoldsDutyLease        bool                        `cbor:"10,keyasint,omitempty"`
	Loads                 map[string]backend.PeerLoad `cbor:"11,keyasint,omitempty"`
	Demand                map[string]float64          `cbor:"12,keyasint,omitempty"` // runners kept busy, by service
	QuotaUse              map[string]quota.Use        `cbor:"13,keyasint,omitempty"`
	CrashCounts           map[string]int              `cbor:"14,keyasint,omitempty"` // crashed servers by fingerprint of the request
	UsageWindows          usage.Windows               `cbor:"15,keyasint,omitempty"`
	PeerAddresses         []string                    `cbor:"16,keyasint,omitempty"` // some addresses that the sender knows
	Registry              RegistryDelta               `cbor:"17,keyasint,omitempty"`
	RecentlyStarted       bool                        `cbor:"18,keyasint,omitempty"` // what quota.Ledger.Young says
	// IsUrgent digests hold Node, Incarnation and either some QuotaUse with RecentlyStarted or some UsageWindows. They come between two others.
	IsUrgent bool `cbor:"19,keyasint,omitempty"`
}

// RegistryDelta is what a node knows of the outside registry of backend servers.
type RegistryDelta struct {
	_             struct{} `cbor:",toarray"`
	FromRevision  int64    // Changes are all changes after this revision
	Revision      int64    // up to this one; 0: none is known
	AgeMillis     int64    // milliseconds since Revision was the newest
	CallAgeMillis int64    // milliseconds since the node's last answered call
	Changes       []RegistryChange
}

// RegistryChange is one change of the registry.
type RegistryChange struct {
	_        struct{} `cbor:",toarray"`
	Revision int64    // at which the sender learnt it
	Server   backend.Entry
	Removed  bool // only the server's ID is given
}

// Member is a peer as this node heard it last.
type Member struct {
	Digest
	ReceivedAt        boottime.Instant
	SentAt            boottime.Instant // by this node's clock; ReceivedAt while HasReliableSentAt is false
	HasReliableSentAt bool             // whether SentAt is known well enough to grant rights
	sourceAddress     string           // address of its socket
}

// transitAllowance is added to the age of a proof that a peer hands on, for the least time on the way, which SentAt does not
// show. Within a region it is a few milliseconds.
const transitAllowance = 100 * time.Millisecond

// ConfigConfirmedAt returns when the peer's configuration was last proved to be the newest, by this node's clock; false if the
// digest does not show it.
func (m Member) ConfigConfirmedAt() (boottime.Instant, bool) {
	if m.ConfirmationAgeMillis < 0 || !m.HasReliableSentAt {
		return 0, false
	}
	return m.SentAt.Add(-time.Duration(m.ConfirmationAgeMillis)*time.Millisecond - transitAllowance), true
}

const (
	// BaseInterval is the pause between two digests of a node where there are few nodes.
	BaseInterval = 250 * time.Millisecond
	// maxPeersAtBaseInterval is up to how many peers the pause stays; each further one makes it longer by intervalPerExtraPeer, so that the
	// processor time for digests grows less than the number of nodes.
	maxPeersAtBaseInterval = 12
	intervalPerExtraPeer   = 5 * time.Millisecond
	maxInterval            = time.Second
	// urgentInterval is the pause between two urgent digests of a node where there are few nodes.
	urgentInterval = 100 * time.Millisecond
	// unreachableAfterIntervals is after how many missing digests a peer is taken to be out of touch.
	unreachableAfterIntervals = 4.8
	// removeAfter is how long a silent peer is still sent to and counted as a node that may serve.
	removeAfter = 20 * time.Second
	// maxDatagramBytes is the largest UDP payload over IPv4.
	maxDatagramBytes = 65507
	// addressesPerDigest is how many addresses a digest carries, in turn.
	addressesPerDigest = 4
)

// digestEncoding writes floating-point numbers in the fewest bytes that hold them.
var digestEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Mesh sends and receives digests.
type Mesh struct {
	SelfAddress   string // IP:port of this node's socket
	ComposeDigest func() Digest
	// NeedsShortInterval reports whether peers rely on this node's digests for what it asks the object API; it then tells them each
	// BaseInterval, however many they are. Nil means that they do not.
	NeedsShortInterval func() bool
	// ComposeUrgentDigests returns digests that cannot wait. It is asked each urgentInterval.
	ComposeUrgentDigests func() []UrgentDigest
	OnDigest             func(Member)
	Log                  *slog.Logger

	mu              sync.Mutex
	members         map[string]Member           // by node name
	peerClocks      map[string]*peerClock       // by node name
	targetsSeenAt   map[string]boottime.Instant // addresses, with when they were last heard or learnt
	addressRotation int
}

// New returns a mesh that knows the addresses of some peers.
func New(selfAddress string, seeds []string, composeDigest func() Digest, onDigest func(Member), log *slog.Logger) *Mesh {
	m := &Mesh{SelfAddress: selfAddress, ComposeDigest: composeDigest, OnDigest: onDigest, Log: log, members: map[string]Member{}, peerClocks: map[string]*peerClock{}, targetsSeenAt: map[string]boottime.Instant{}}
	m.AddAddresses(seeds)
	return m
}

// AddAddresses takes addresses of peers.
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

// Run sends and receives until ctx ends; then it closes the connection.
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

// UrgentDigest is a digest for all peers or for one of them.
type UrgentDigest struct {
	Digest
	Recipient string // name of the peer; empty for all
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
		// With many nodes the interval grows like that of the other digests, for the sake of the receivers.
		sleep.For(ctx, urgentInterval*m.currentInterval()/BaseInterval)
	}
}

// addressOf returns the address from which a peer tells, empty if it is not known.
func (m *Mesh) addressOf(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[name].sourceAddress
}

// currentInterval returns the pause between two digests for the number of peers known.
func (m *Mesh) currentInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return intervalForPeers(len(m.members))
}

func intervalForPeers(peers int) time.Duration {
	return min(BaseInterval+time.Duration(max(peers-maxPeersAtBaseInterval, 0))*intervalPerExtraPeer, maxInterval)
}

// unreachableAfter returns the time without a digest after which a peer is out of touch. The caller holds the lock.
func (m *Mesh) unreachableAfter() time.Duration {
	return time.Duration(unreachableAfterIntervals * float64(intervalForPeers(len(m.members))))
}

// SendNow sends a digest at once, when the state of this node changes.
func (m *Mesh) SendNow(conn net.PacketConn) { m.sendDigest(conn) }

func (m *Mesh) sendDigest(conn net.PacketConn) {
	digest := m.ComposeDigest()
	targets := m.pruneTargets()
	digest.PeerAddresses = m.nextPeerAddresses(targets)
	m.send(conn, digest, targets)
}

func (m *Mesh) send(conn net.PacketConn, digest Digest, targets []string) {
	data, err := digestEncoding.Marshal(digest)
	if err != nil || len(data) > maxDatagramBytes {
		m.Log.Error("Digest cannot be sent.", "bytes", len(data), "error", err)
		return
	}
	for _, target := range targets {
		address, err := netip.ParseAddrPort(target)
		if err != nil {
			continue // AddAddresses took it from a peer; receive logs malformed digests
		}
		// A datagram that cannot be sent is made good by the next one.
		_, _ = conn.WriteTo(data, net.UDPAddrFromAddrPort(address))
	}
}

// pruneTargets returns the addresses to send to and drops those that have been silent for too long.
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
			m.Log.Info("Node is forgotten.", "peer", name)
			delete(m.members, name)
			delete(m.peerClocks, name)
		}
	}
	slices.Sort(list)
	return list
}

// nextPeerAddresses returns a few addresses of peers, others each time.
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

func (m *Mesh) receive(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, source, err := conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.Log.Warn("Digest could not be received.", "error", err)
				time.Sleep(BaseInterval)
			}
			continue
		}
		m.handleDatagram(buffer[:n], source.String(), boottime.Now())
	}
}

// handleDatagram takes one datagram.
func (m *Mesh) handleDatagram(data []byte, source string, receivedAt boottime.Instant) {
	var d Digest
	if err := cbor.Unmarshal(data, &d); err != nil || d.Node == "" {
		m.Log.Warn("Digest is malformed.", "from", source, "error", err)
		return
	}
	m.handleDigest(d, source, receivedAt)
}

// handleDigest takes a digest that was read at the given time.
func (m *Mesh) handleDigest(d Digest, source string, receivedAt boottime.Instant) {
	member := Member{Digest: d, ReceivedAt: receivedAt, SentAt: receivedAt, sourceAddress: source}
	m.mu.Lock()
	previous, known := m.members[d.Node]
	if known && previous.Incarnation > d.Incarnation {
		m.mu.Unlock()
		return // delayed, from before a restart
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
		m.Log.Info("Node is heard.", "peer", d.Node, "state", d.State, "address", d.Address, "config_version", d.ConfigVersion)
	}
	m.AddAddresses(d.PeerAddresses)
	m.OnDigest(member)
}

// ReachableMembers returns the peers that are in touch, sorted by name.
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

// CountNodes returns how many nodes are in touch and how many are known, this one included in both.
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

// MedianTime returns the time of day that most nodes agree on: this node's clock of the time since boot, corrected by the
// median of all nodes' times of day. A clock that jumps on some nodes does not move it.
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

func millis(i boottime.Instant) int64 { return time.Duration(i).Milliseconds() }
