package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/usage"
)

// addTestPeer adds a peer whose time of day differs from this node's by the given offset.
func (m *Mesh) addTestPeer(name string, clockOffset time.Duration, incarnation int64) {
	m.handleDigest(Digest{Node: name, Incarnation: incarnation, State: Ready, WallClockMillis: time.Now().Add(clockOffset).UnixMilli()}, "127.0.0.1:1", boottime.Now())
}

func newTestMesh() *Mesh {
	return New("127.0.0.1:2", nil, nil, func(*Member) {}, slog.New(slog.DiscardHandler))
}

// Usage is counted by the median time. A wall clock that jumps on a minority of nodes must not move it.
func TestMedianTimeIgnoresOutlyingClocks(t *testing.T) {
	m := newTestMesh()
	m.addTestPeer("b", 0, 1)
	m.addTestPeer("c", 40*time.Minute, 1)
	m.addTestPeer("d", -40*time.Minute, 1)
	m.addTestPeer("e", 5*time.Millisecond, 1)
	if offset := time.Until(m.MedianTime()); offset > time.Second || offset < -time.Second {
		t.Fatalf("median time differs from the time of day by %s, want at most 1 s", offset)
	}
}

// A delayed datagram from before a restart of its sender must not bring back old totals.
func TestDigestOfEarlierIncarnationIsDropped(t *testing.T) {
	m := newTestMesh()
	m.addTestPeer("b", 0, 2)
	m.addTestPeer("b", 0, 1)
	if members := m.ReachableMembers(); len(members) != 1 || members[0].Incarnation != 2 {
		t.Fatalf("reachable members are %+v, want incarnation 2 of one peer", members)
	}
}

// Nodes that know only the address of the first node learn all other addresses from the digests.
func TestNodesDiscoverEachOtherFromOneSeed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var meshes []*Mesh
	seed := ""
	for _, name := range []string{"a", "b", "c", "d"} {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		selfAddress := conn.LocalAddr().String()
		m := New(selfAddress, []string{seed}, func() Digest { return Digest{Node: name, State: Ready, Incarnation: 1} }, func(*Member) {}, slog.New(slog.DiscardHandler))
		if seed == "" {
			seed = selfAddress
		}
		meshes = append(meshes, m)
		go m.Run(ctx, conn)
	}
	deadline := time.Now().Add(30 * time.Second)
	for _, m := range meshes {
		for len(m.ReachableMembers()) < len(meshes)-1 {
			if time.Now().After(deadline) {
				t.Fatalf("mesh %s reaches %d peers, want %d", m.SelfAddress, len(m.ReachableMembers()), len(meshes)-1)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// A malformed datagram must not end the goroutine that receives digests.
func TestMalformedDatagramIsIgnored(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan *Member, 1)
	m := New(conn.LocalAddr().String(), nil, func() Digest { return Digest{} }, func(m *Member) { received <- m }, slog.New(slog.DiscardHandler))
	go m.Run(ctx, conn)
	sender, err := net.Dial("udp4", m.SelfAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	var datagrams [][]byte
	for _, value := range []any{map[int]any{1: 5}, Digest{}, Digest{Node: "b", State: Ready}} {
		data, err := digestEncoding.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		datagrams = append(datagrams, data)
	}
	valid := datagrams[2]
	for _, data := range append([][]byte{nil, []byte("{"), []byte(`{"n":"b"}`), valid[:len(valid)-1]}, datagrams...) {
		if _, err := sender.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	if member := <-received; member.Node != "b" {
		t.Fatalf("first accepted digest is %+v, want the one of node b", member)
	}
}

// FuzzDigest guards against datagrams that make handleDatagram panic, which would end the node.
func FuzzDigest(f *testing.F) {
	data, err := digestEncoding.Marshal(loadedNodeDigest())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	m := newTestMesh()
	f.Fuzz(func(_ *testing.T, data []byte) { m.handleDatagram(data, "127.0.0.1:1", boottime.Now()) })
}

// loadedNodeDigest returns the digest of one of 75 nodes that serves 16 organisations and has requests at 10 runners.
func loadedNodeDigest() Digest {
	d := Digest{
		Node: "front-marikina-24", Incarnation: 1774444910000, FailureDomain: "marikina", Address: "10.1.0.24:8424", State: Ready,
		BootClockMillis: 86_400_000, WallClockMillis: 1774444910000, ConfigVersion: 123, ConfirmationAgeMillis: 812,
		Loads: map[string]backend.PeerLoad{}, Demand: map[string]float64{"huny53a": 0.73}, QuotaUsages: map[string]quota.Usage{}, RunsByWindow: usage.Windows{},
		PeerAddresses: []string{"10.1.0.20:9100", "10.1.0.21:9100", "10.1.0.22:9100", "10.1.0.23:9100"},
	}
	for i := range 10 {
		d.Loads[fmt.Sprintf("i-b1c2b6f2%02d", i)] = backend.PeerLoad{Running: 1, PendingTokens: []int{0, 6610}}
	}
	counts := usage.Counts{}
	for i := range 16 {
		name := fmt.Sprintf("organ%02d", i)
		d.QuotaUsages[name] = quota.Usage{Taken: 234567, Level: 1179045}
		counts[name] = 40
	}
	d.RunsByWindow[354064196] = counts
	return d
}

// Every node sends its digests to every other one: with 75 nodes, two digests a second and 1 kB for each digest, they take
// 1.2 Mbit/s of a node's link of 10 Mbit/s.
func TestDigestOfLoadedNodeFitsInOneKilobyte(t *testing.T) {
	data, err := digestEncoding.Marshal(loadedNodeDigest())
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 1000 {
		t.Fatalf("digest of a loaded node has %d bytes, want at most 1000", len(data))
	}
	var d Digest
	if err := cbor.Unmarshal(data, &d); err != nil || !reflect.DeepEqual(d, loadedNodeDigest()) {
		t.Fatalf("digest is decoded as %+v with error %v, want the encoded one", d, err)
	}
}

// An urgent digest must not replace the content of the peer's last full digest, above all its state.
func TestUrgentDigestDoesNotReplaceFullDigest(t *testing.T) {
	var received []*Member
	m := New("127.0.0.1:2", nil, nil, func(m *Member) { received = append(received, m) }, slog.New(slog.DiscardHandler))
	now := boottime.Now()
	m.handleDigest(Digest{Node: "b", Incarnation: 1, State: Ready, Address: "127.0.0.1:3"}, "127.0.0.1:1", now)
	m.handleDigest(Digest{Node: "b", Incarnation: 1, IsUrgent: true, QuotaUsages: map[string]quota.Usage{"o": {Taken: 1}}}, "127.0.0.1:1", now)
	m.handleDigest(Digest{Node: "b", Incarnation: 0, IsUrgent: true}, "127.0.0.1:1", now) // from before a restart
	if members := m.ReachableMembers(); len(members) != 1 || members[0].State != Ready || members[0].Address == "" {
		t.Fatalf("reachable members are %+v, want one with the state and address of its full digest", members)
	}
	if len(received) != 2 || received[1].QuotaUsages["o"].Taken != 1 {
		t.Fatalf("accepted digests are %+v, want the full one and the urgent one of the same incarnation", received)
	}
}

// Two nodes call the object API for all. Their digests must reach the other nodes before these begin to call by themselves,
// however many nodes there are.
func TestShortIntervalDoesNotDependOnPeerCount(t *testing.T) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent := make(chan time.Time, 100)
	composeDigest := func() Digest {
		sent <- time.Now()
		return Digest{Node: "a", Incarnation: 1}
	}
	m := New(conn.LocalAddr().String(), nil, composeDigest, func(*Member) {}, slog.New(slog.DiscardHandler))
	for i := range 200 {
		m.addTestPeer(fmt.Sprint(i), 0, 1)
	}
	m.NeedsShortInterval = func() bool { return true }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx, conn)
	first := <-sent
	if pause := (<-sent).Sub(first); pause >= maxInterval {
		t.Fatalf("second digest was sent after %s, want about %s", pause, BaseInterval)
	}
}

// The address in a node's record, as another writer left it, was told to all peers; a huge one made every digest too large
// for a datagram.
func TestMalformedAddressesAreNotTold(t *testing.T) {
	m := newTestMesh()
	m.AddAddresses([]string{strings.Repeat("x", 1<<20), "127.0.0.1", "127.0.0.1:99999", "127.0.0.1:-1", "host:80", "127.0.0.1:3"})
	direct, _ := m.targets()
	if told := m.nextPeerAddresses(direct); !slices.Equal(direct, []string{"127.0.0.1:3"}) || slices.ContainsFunc(told, func(a string) bool { return a != "127.0.0.1:3" }) {
		t.Errorf("%d addresses are sent digests and %d told, want only 127.0.0.1:3", len(direct), len(told))
	}
}

// Guards against counting what a peer of another process knew: a peer that has restarted counts as known since its new start, and
// one that is silent does not count as reachable.
func TestDirectPeersAreCountedByTheirPresentProcess(t *testing.T) {
	m := newTestMesh()
	clock := boottime.Instant(time.Hour)
	m.now = func() boottime.Instant { return clock }
	for _, name := range []string{"a", "b", "c"} {
		m.handleDigest(Digest{Node: name, Incarnation: 1, UsageFinalThrough: 7}, name, clock)
	}
	since := clock
	count := func(d time.Duration) (matching, running, stopped int) {
		return m.CountDirectPeers(func(member *Member) bool { return member.KnownSince() <= since.Add(d) && member.UsageFinalThrough == 7 })
	}
	m.handleDigest(Digest{Node: "d", Incarnation: 1, State: Draining}, "d", clock)
	if matching, running, stopped := count(0); matching != 3 || running != 4 || stopped != 0 {
		t.Errorf("%d of %d peers and %d stopped ones, want 3 of 4 and 0", matching, running, stopped)
	}
	clock = clock.Add(10 * time.Second)
	m.handleDigest(Digest{Node: "a", Incarnation: 1, UsageFinalThrough: 7}, "a", clock)
	m.handleDigest(Digest{Node: "b", Incarnation: 2, UsageFinalThrough: 7}, "b", clock)
	if matching, running, stopped := count(time.Second); matching != 1 || running != 3 || stopped != 1 {
		t.Errorf("one peer restarted, one silent, one stopped: %d of %d peers and %d stopped ones, want 1 of 3 and 1", matching, running, stopped)
	}
}
