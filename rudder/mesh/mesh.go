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
	Node          string                      `cbor:"1,keyasint,omitempty"`
	Incarnation   int64                       `cbor:"2,keyasint,omitempty"` // differs for each start of a node's process
	FailureDomain string                      `cbor:"3,keyasint,omitempty"`
	Address       string                      `cbor:"4,keyasint,omitempty"` // IP:port for callers
	State         State                       `cbor:"5,keyasint,omitempty"`
	BootMillis    int64                       `cbor:"6,keyasint,omitempty"` // the sender's reading of package boottime; 0: not known
	WallMillis    int64                       `cbor:"7,keyasint,omitempty"` // the sender's time of day
	ConfigVersion int64                       `cbor:"8,keyasint,omitempty"`
	ProofAge      int64                       `cbor:"9,keyasint,omitempty"` // milliseconds since its configuration was proved to be the newest; -1: never
	HoldsLease    bool                        `cbor:"10,keyasint,omitempty"`
	Loads         map[string]backend.PeerLoad `cbor:"11,keyasint,omitempty"`
	Demand        map[string]float64          `cbor:"12,keyasint,omitempty"` // runners kept busy, by service
	Uses          map[string]quota.Usage      `cbor:"13,keyasint,omitempty"`
	Crashes       map[string]int              `cbor:"14,keyasint,omitempty"` // crashed servers by fingerprint of the request
	Runs          usage.Windows               `cbor:"15,keyasint,omitempty"`
	Peers         []string                    `cbor:"16,keyasint,omitempty"` // some addresses that the sender knows
	Registry      Registry                    `cbor:"17,keyasint,omitempty"`
	Young         bool                        `cbor:"18,keyasint,omitempty"` // what quota.Ledger.IsWarmingUp says
	// Urgent digests hold Node, Incarnation and either some Uses with Young or some Runs. They come between two others.
	Urgent bool `cbor:"19,keyasint,omitempty"`
}

// Registry is what a node knows of the outside registry of backend servers.
type Registry struct {
	_        struct{} `cbor:",toarray"`
	From     int64    // Changes are all changes after this revision
	Revision int64    // up to this one; 0: none is known
	Age      int64    // milliseconds since Revision was the newest
	CallAge  int64    // milliseconds since the node's last answered call
	Changes  []RegistryChange
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
	HeardAt boottime.Instant
	SentAt  boottime.Instant // by this node's clock; HeardAt while Dated is false
	Dated   bool             // whether SentAt is known well enough to grant rights
	from    string           // address of its socket
}

// proofDelay is added to the age of a proof that a peer hands on, for the least time on the way, which SentAt does not
// show. Within a region it is a few milliseconds.
const proofDelay = 100 * time.Millisecond

// ProvedAt returns when the peer's configuration was last proved to be the newest, by this node's clock; false if the
// digest does not show it.
func (m Member) ProvedAt() (boottime.Instant, bool) {
	if m.ProofAge < 0 || !m.Dated {
		return 0, false
	}
	return m.SentAt.Add(-time.Duration(m.ProofAge)*time.Millisecond - proofDelay), true
}

const (
	// Interval is the pause between two digests of a node where there are few nodes.
	Interval = 250 * time.Millisecond
	// fewNodes is up to how many peers the pause stays; each further one makes it longer by intervalPerNode, so that the
	// processor time for digests grows less than the number of nodes.
	fewNodes        = 12
	intervalPerNode = 5 * time.Millisecond
	maxInterval     = time.Second
	// urgentInterval is the pause between two urgent digests of a node where there are few nodes.
	urgentInterval = 100 * time.Millisecond
	// silentIntervals is after how many missing digests a peer is taken to be out of touch.
	silentIntervals = 4.8
	// forgetAfter is how long a silent peer is still sent to and counted as a node that may serve.
	forgetAfter = 20 * time.Second
	// maxDatagramBytes is the largest UDP payload over IPv4.
	maxDatagramBytes = 65507
	// toldPeers is how many addresses a digest carries, in turn.
	toldPeers = 4
)

// encoding writes floating-point numbers in the fewest bytes that hold them.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Mesh sends and receives digests.
type Mesh struct {
	Self    string // IP:port of this node's socket
	Compose func() Digest
	// Often reports whether peers rely on this node's digests for what it asks the object API; it then tells them each
	// Interval, however many they are. Nil means that they do not.
	Often func() bool
	// ComposeUrgent returns digests that cannot wait. It is asked each urgentInterval.
	ComposeUrgent func() []Urgent
	Learn         func(Member)
	Log           *slog.Logger

	mu      sync.Mutex
	members map[string]Member           // by node name
	clocks  map[string]*peerClock       // by node name
	targets map[string]boottime.Instant // addresses, with when they were last heard or learnt
	turn    int
}

// New returns a mesh that knows the addresses of some peers.
func New(self string, seeds []string, compose func() Digest, learn func(Member), log *slog.Logger) *Mesh {
	m := &Mesh{Self: self, Compose: compose, Learn: learn, Log: log, members: map[string]Member{}, clocks: map[string]*peerClock{}, targets: map[string]boottime.Instant{}}
	m.Add(seeds)
	return m
}

// Add takes addresses of peers.
func (m *Mesh) Add(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	for _, a := range addresses {
		if _, known := m.targets[a]; !known && a != m.Self && a != "" {
			m.targets[a] = now
		}
	}
}

// Run sends and receives until ctx ends; then it closes the connection.
func (m *Mesh) Run(ctx context.Context, conn net.PacketConn) {
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go m.receive(ctx, conn)
	if m.ComposeUrgent != nil {
		go m.tellUrgent(ctx, conn)
	}
	for ctx.Err() == nil {
		m.tell(conn)
		if m.Often != nil && m.Often() {
			sleep.For(ctx, Interval)
		} else {
			sleep.For(ctx, m.interval())
		}
	}
}

// Urgent is a digest for all peers or for one of them.
type Urgent struct {
	Digest
	Only string // name of the peer; empty for all
}

// tellUrgent sends urgent digests until ctx ends.
func (m *Mesh) tellUrgent(ctx context.Context, conn net.PacketConn) {
	for ctx.Err() == nil {
		for _, u := range m.ComposeUrgent() {
			targets := []string{m.addressOf(u.Only)}
			if u.Only == "" {
				targets = m.aim()
			}
			m.send(conn, u.Digest, targets)
		}
		// With many nodes the interval grows like that of the other digests, for the sake of the receivers.
		sleep.For(ctx, urgentInterval*m.interval()/Interval)
	}
}

// addressOf returns the address from which a peer tells, empty if it is not known.
func (m *Mesh) addressOf(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[name].from
}

// interval returns the pause between two digests for the number of peers known.
func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return intervalFor(len(m.members))
}

func intervalFor(peers int) time.Duration {
	return min(Interval+time.Duration(max(peers-fewNodes, 0))*intervalPerNode, maxInterval)
}

// silentAfter returns the time without a digest after which a peer is out of touch. The caller holds the lock.
func (m *Mesh) silentAfter() time.Duration {
	return time.Duration(silentIntervals * float64(intervalFor(len(m.members))))
}

// Announce sends a digest at once, when the state of this node changes.
func (m *Mesh) Announce(conn net.PacketConn) { m.tell(conn) }

func (m *Mesh) tell(conn net.PacketConn) {
	digest := m.Compose()
	targets := m.aim()
	digest.Peers = m.some(targets)
	m.send(conn, digest, targets)
}

func (m *Mesh) send(conn net.PacketConn, digest Digest, targets []string) {
	data, err := encoding.Marshal(digest)
	if err != nil || len(data) > maxDatagramBytes {
		m.Log.Error("Digest cannot be sent.", "bytes", len(data), "error", err)
		return
	}
	for _, target := range targets {
		address, err := netip.ParseAddrPort(target)
		if err != nil {
			continue // Add took it from a peer; receive logs malformed digests
		}
		// A datagram that cannot be sent is made good by the next one.
		_, _ = conn.WriteTo(data, net.UDPAddrFromAddrPort(address))
	}
}

// aim returns the addresses to send to and drops those that have been silent for too long.
func (m *Mesh) aim() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	var list []string
	for address, at := range m.targets {
		if now.Sub(at) > forgetAfter {
			delete(m.targets, address)
			continue
		}
		list = append(list, address)
	}
	for name, member := range m.members {
		if now.Sub(member.HeardAt) > forgetAfter {
			m.Log.Info("Node is forgotten.", "peer", name)
			delete(m.members, name)
			delete(m.clocks, name)
		}
	}
	slices.Sort(list)
	return list
}

// some returns a few addresses of peers, others each time.
func (m *Mesh) some(targets []string) []string {
	if len(targets) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn++
	var list []string
	for i := range min(toldPeers, len(targets)) {
		list = append(list, targets[(m.turn*toldPeers+i)%len(targets)])
	}
	return list
}

func (m *Mesh) receive(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.Log.Warn("Digest could not be received.", "error", err)
				time.Sleep(Interval)
			}
			continue
		}
		m.read(buffer[:n], from.String(), boottime.Now())
	}
}

// read takes one datagram.
func (m *Mesh) read(data []byte, from string, heard boottime.Instant) {
	var d Digest
	if err := cbor.Unmarshal(data, &d); err != nil || d.Node == "" {
		m.Log.Warn("Digest is malformed.", "from", from, "error", err)
		return
	}
	m.take(d, from, heard)
}

// take takes a digest that was read at the given time.
func (m *Mesh) take(d Digest, from string, heard boottime.Instant) {
	member := Member{Digest: d, HeardAt: heard, SentAt: heard, from: from}
	m.mu.Lock()
	before, known := m.members[d.Node]
	if known && before.Incarnation > d.Incarnation {
		m.mu.Unlock()
		return // delayed, from before a restart
	}
	if d.Urgent {
		m.mu.Unlock()
		m.Learn(member)
		return
	}
	if d.BootMillis > 0 {
		if m.clocks[d.Node] == nil {
			m.clocks[d.Node] = &peerClock{}
		}
		sent := boottime.Instant(time.Duration(d.BootMillis) * time.Millisecond)
		member.SentAt, member.Dated = m.clocks[d.Node].observe(d.Incarnation, sent, heard)
	}
	m.members[d.Node] = member
	m.targets[from] = member.HeardAt
	m.mu.Unlock()
	if !known || before.Incarnation != d.Incarnation || before.State != d.State {
		m.Log.Info("Node is heard.", "peer", d.Node, "state", d.State, "address", d.Address, "config_version", d.ConfigVersion)
	}
	m.Add(d.Peers)
	m.Learn(member)
}

// Members returns the peers that are in touch, sorted by name.
func (m *Mesh) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	silentAfter := m.silentAfter()
	var list []Member
	for _, member := range m.members {
		if now.Sub(member.HeardAt) <= silentAfter {
			list = append(list, member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// Reach returns how many nodes are in touch and how many are known, this one included in both.
func (m *Mesh) Reach() (heard, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, known = 1, 1
	now := boottime.Now()
	silentAfter := m.silentAfter()
	for _, member := range m.members {
		inTouch := now.Sub(member.HeardAt) <= silentAfter
		if inTouch {
			heard++
		}
		if inTouch || member.State != Draining {
			known++
		}
	}
	return heard, known
}

// Time returns the time of day that most nodes agree on: this node's clock of the time since boot, corrected by the
// median of all nodes' times of day. A clock that jumps on some nodes does not move it.
func (m *Mesh) Time() time.Time {
	now := boottime.Now()
	offsets := []int64{time.Now().UnixMilli() - millis(now)}
	m.mu.Lock()
	for _, member := range m.members {
		offsets = append(offsets, member.WallMillis-millis(member.SentAt))
	}
	m.mu.Unlock()
	slices.Sort(offsets)
	return time.UnixMilli(millis(now) + offsets[len(offsets)/2])
}

func millis(i boottime.Instant) int64 { return time.Duration(i).Milliseconds() }
