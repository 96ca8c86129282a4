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
func (m *Mesh) addForTest(name string, off time.Duration, incarnation int64) {
	m.take(Digest{Node: name, Incarnation: incarnation, State: Ready, WallMillis: time.Now().Add(off).UnixMilli()}, "127.0.0.1:1", boottime.Now())
}

func newTestMesh() *Mesh {
	return New("127.0.0.1:2", nil, nil, func(Member) {}, slog.New(slog.DiscardHandler))
}

// A clock that jumps on some nodes, this one included, must not move the time that usage is counted by.
func TestTimeFollowsTheMajority(t *testing.T) {
	m := newTestMesh()
	m.addForTest("b", 0, 1)
	m.addForTest("c", 40*time.Minute, 1)
	m.addForTest("d", -40*time.Minute, 1)
	m.addForTest("e", 5*time.Millisecond, 1)
	if off := time.Until(m.Time()); off > time.Second || off < -time.Second {
		t.Fatalf("agreed time is off by %s", off)
	}
}

// A datagram from before a restart of its sender that comes late must not bring back old totals.
func TestDigestOfEarlierIncarnationIsDropped(t *testing.T) {
	m := newTestMesh()
	m.addForTest("b", 0, 2)
	m.addForTest("b", 0, 1)
	if members := m.Members(); len(members) != 1 || members[0].Incarnation != 2 {
		t.Fatalf("members %+v", members)
	}
}

// Nodes that know one address of each other learn all others through the digests.
func TestNodesFindEachOther(t *testing.T) {
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
		for len(m.Members()) < len(meshes)-1 {
			if time.Now().After(deadline) {
				t.Fatalf("%s hears %d nodes, want %d", m.Self, len(m.Members()), len(meshes)-1)
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
	heard := make(chan Member, 1)
	m := New(conn.LocalAddr().String(), nil, func() Digest { return Digest{} }, func(m Member) { heard <- m }, slog.New(slog.DiscardHandler))
	go m.Run(ctx, conn)
	sender, err := net.Dial("udp4", m.Self)
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	var datagrams [][]byte
	for _, value := range []any{map[int]any{1: 5}, Digest{}, Digest{Node: "b", State: Ready}} {
		data, err := encoding.Marshal(value)
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
	if member := <-heard; member.Node != "b" {
		t.Fatalf("heard %+v", member)
	}
}

// FuzzDigest guards against a datagram that ends the receiving task.
func FuzzDigest(f *testing.F) {
	data, err := encoding.Marshal(busyDigest())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	m := newTestMesh()
	f.Fuzz(func(_ *testing.T, data []byte) { m.read(data, "127.0.0.1:1", boottime.Now()) })
}

// busyDigest is what a node of 75 tells that serves 16 organisations and has requests at 10 runners.
func busyDigest() Digest {
	d := Digest{
		Node: "front-marikina-24", Incarnation: 1774444910000, FailureDomain: "marikina", Address: "10.1.0.24:8424", State: Ready,
		BootMillis: 86_400_000, WallMillis: 1774444910000, ConfigVersion: 123, ProofAge: 812,
		Loads: map[string]backend.PeerLoad{}, Demand: map[string]float64{"huny53a": 0.73}, Uses: map[string]quota.Usage{}, Runs: usage.Windows{},
		Peers: []string{"10.1.0.20:9100", "10.1.0.21:9100", "10.1.0.22:9100", "10.1.0.23:9100"},
	}
	for i := range 10 {
		d.Loads[fmt.Sprintf("i-b1c2b6f2%02d", i)] = backend.PeerLoad{Running: 1, PendingTokens: []int{0, 6610}}
	}
	counts := usage.Counts{}
	for i := range 16 {
		name := fmt.Sprintf("organ%02d", i)
		d.Uses[name] = quota.Usage{Taken: 234567, Level: 1179045}
		counts[name] = 40
	}
	d.Runs[354064196] = counts
	return d
}

// All nodes tell all others. At 75 nodes and two digests a second, 1 kB each is 1.2 Mbit/s of a node's link of 10 Mbit/s.
func TestDigestStaysSmall(t *testing.T) {
	data, err := encoding.Marshal(busyDigest())
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 1000 {
		t.Fatalf("digest of a busy node has %d bytes", len(data))
	}
	var d Digest
	if err := cbor.Unmarshal(data, &d); err != nil || !reflect.DeepEqual(d, busyDigest()) {
		t.Fatalf("digest is read back as %+v, error %v", d, err)
	}
}

// An urgent digest must not replace what the peer's last whole digest said, its state above all.
func TestUrgentDigestKeepsTheWholeOne(t *testing.T) {
	var learnt []Member
	m := New("127.0.0.1:2", nil, nil, func(m Member) { learnt = append(learnt, m) }, slog.New(slog.DiscardHandler))
	now := boottime.Now()
	m.take(Digest{Node: "b", Incarnation: 1, State: Ready, Address: "127.0.0.1:3"}, "127.0.0.1:1", now)
	m.take(Digest{Node: "b", Incarnation: 1, Urgent: true, Uses: map[string]quota.Usage{"o": {Taken: 1}}}, "127.0.0.1:1", now)
	m.take(Digest{Node: "b", Incarnation: 0, Urgent: true}, "127.0.0.1:1", now) // from before a restart
	if members := m.Members(); len(members) != 1 || members[0].State != Ready || members[0].Address == "" {
		t.Fatalf("members %+v", members)
	}
	if len(learnt) != 2 || learnt[1].Uses["o"].Taken != 1 {
		t.Fatalf("learnt %+v", learnt)
	}
}

// What two nodes ask for all must reach the others sooner than they begin to ask by themselves, however many nodes there
// are.
func TestNodesThatOthersRelyOnTellOften(t *testing.T) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan time.Time, 100)
	compose := func() Digest {
		told <- time.Now()
		return Digest{Node: "a", Incarnation: 1}
	}
	m := New(conn.LocalAddr().String(), nil, compose, func(Member) {}, slog.New(slog.DiscardHandler))
	for i := range 200 {
		m.addForTest(fmt.Sprint(i), 0, 1)
	}
	m.Often = func() bool { return true }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx, conn)
	first := <-told
	if pause := (<-told).Sub(first); pause >= maxInterval {
		t.Fatalf("second digest comes after %s, want about %s", pause, Interval)
	}
}
