package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/usage"
)

// member adds a peer whose clock is off by the given time.
func (m *Mesh) addTestPeer(name string, clockOffset time.Duration, incarnation int64) {
	m.handleDigest(Digest{Node: name, Incarnation: incarnation, State: Ready, WallClockMillis: time.Now().Add(clockOffset).UnixMilli()}, "127.0.0.1:1", boottime.Now())
}

func newTestMesh() *Mesh {
	return New("127.0.0.1:2", nil, nil, func(Member) {}, slog.New(slog.DiscardHandler))
}

// A clock that jumps on some nodes, this one included, must not move the time that usage is counted by.
func TestMedianTimeIgnoresOutlyingClocks(t *testing.T) {
	m := newTestMesh()
	m.addTestPeer("b", 0, 1)
	m.addTestPeer("c", 40*time.Minute, 1)
	m.addTestPeer("d", -40*time.Minute, 1)
	m.addTestPeer("e", 5*time.Millisecond, 1)
	if offset := time.Until(m.MedianTime()); offset > time.Second || offset < -time.Second {
		t.Fatalf("agreed time is off by %s", offset)
	}
}

// A datagram from before a restart of its sender that comes late must not bring back old totals.
func TestDigestOfEarlierIncarnationIsDropped(t *testing.T) {
	m := newTestMesh()
	m.addTestPeer("b", 0, 2)
	m.addTestPeer("b", 0, 1)
	if members := m.ReachableMembers(); len(members) != 1 || members[0].Incarnation != 2 {
		t.Fatalf("members %+v", members)
	}
}

// Nodes that know one address of each other learn all others through the digests.
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
		self := conn.LocalAddr().String()
		m := New(self, []string{seed}, func() Digest { return Digest{Node: name, State: Ready, Incarnation: 1} }, func(Member) {}, slog.New(slog.DiscardHandler))
		if seed == "" {
			seed = self
		}
		meshes = append(meshes, m)
		go m.Run(ctx, conn)
	}
	deadline := time.Now().Add(30 * time.Second)
	for _, m := range meshes {
		for len(m.ReachableMembers()) < len(meshes)-1 {
			if time.Now().After(deadline) {
				t.Fatalf("%s hears %d nodes, want %d", m.SelfAddress, len(m.ReachableMembers()), len(meshes)-1)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// A malformed datagram must not end the receiving task.
func TestMalformedDatagramIsIgnored(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan Member, 1)
	m := New(conn.LocalAddr().String(), nil, func() Digest { return Digest{} }, func(m Member) { received <- m }, slog.New(slog.DiscardHandler))
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
		t.Fatalf("heard %+v", member)
	}
}

// FuzzDigest guards against a datagram that ends the receiving task.
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

// loadedNodeDigest is what a node of 75 tells that serves 16 organisations and has requests at 10 runners.
func loadedNodeDigest() Digest {
	d := Digest{
		Node: "front-marikina-24", Incarnation: 1774444910000, FailureDomain: "marikina", Address: "10.1.0.24:8424", State: Ready,
		BootClockMillis: 86_400_000, WallClockMillis: 1774444910000, ConfigVersion: 123, ConfirmationAgeMillis: 812,
		Loads: map[string]backend.PeerLoad{}, Demand: map[string]float64{"huny53a": 0.73}, QuotaUse: map[string]quota.Use{}, UsageWindows: usage.Windows{},
		PeerAddresses: []string{"10.1.0.20:9100", "10.1.0.21:9100", "10.1.0.22:9100", "10.1.0.23:9100"},
	}
	for i := range 10 {
		d.Loads[fmt.Sprintf("i-b1c2b6f2%02d", i)] = backend.PeerLoad{Running: 1, Pending: []int{0, 6610}}
	}
	counts := usage.Counts{}
	for i := range 16 {
		name := fmt.Sprintf("organ%02d", i)
		d.QuotaUse[name] = quota.Use{Taken: 234567, Level: 1179045}
		counts[name] = 40
	}
	d.UsageWindows[354064196] = counts
	return d
}

// All nodes tell all others. At 75 nodes and two digests a second, 1 kB each is 1.2 Mbit/s of a node's link of 10 Mbit/s.
func TestDigestOfLoadedNodeFitsInOneKilobyte(t *testing.T) {
	data, err := digestEncoding.Marshal(loadedNodeDigest())
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 1000 {
		t.Fatalf("digest of a busy node has %d bytes", len(data))
	}
	var d Digest
	if err := cbor.Unmarshal(data, &d); err != nil || !reflect.DeepEqual(d, loadedNodeDigest()) {
		t.Fatalf("digest is read back as %+v, error %v", d, err)
	}
}

// An urgent digest must not replace what the peer's last whole digest said, its state above all.
func TestUrgentDigestDoesNotReplaceFullDigest(t *testing.T) {
	var received []Member
	m := New("127.0.0.1:2", nil, nil, func(m Member) { received = append(received, m) }, slog.New(slog.DiscardHandler))
	now := boottime.Now()
	m.handleDigest(Digest{Node: "b", Incarnation: 1, State: Ready, Address: "127.0.0.1:3"}, "127.0.0.1:1", now)
	m.handleDigest(Digest{Node: "b", Incarnation: 1, IsUrgent: true, QuotaUse: map[string]quota.Use{"o": {Taken: 1}}}, "127.0.0.1:1", now)
	m.handleDigest(Digest{Node: "b", Incarnation: 0, IsUrgent: true}, "127.0.0.1:1", now) // from before a restart
	if members := m.ReachableMembers(); len(members) != 1 || members[0].State != Ready || members[0].Address == "" {
		t.Fatalf("members %+v", members)
	}
	if len(received) != 2 || received[1].QuotaUse["o"].Taken != 1 {
		t.Fatalf("learnt %+v", received)
	}
}

// What two nodes ask for all must reach the others sooner than they begin to ask by themselves, however many nodes there
// are.
func TestShortIntervalDoesNotDependOnPeerCount(t *testing.T) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent := make(chan time.Time, 100)
	compose := func() Digest {
		sent <- time.Now()
		return Digest{Node: "a", Incarnation: 1}
	}
	m := New(conn.LocalAddr().String(), nil, compose, func(Member) {}, slog.New(slog.DiscardHandler))
	for i := range 200 {
		m.addTestPeer(fmt.Sprint(i), 0, 1)
	}
	m.NeedsShortInterval = func() bool { return true }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx, conn)
	first := <-sent
	if pause := (<-sent).Sub(first); pause >= maxInterval {
		t.Fatalf("second digest comes after %s, want about %s", pause, BaseInterval)
	}
}
