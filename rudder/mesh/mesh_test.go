package mesh

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
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
	for _, text := range []string{"", "{", `{"n":5}`, `{"n":""}`, `{"n":"b","s":"ready"}`} {
		if _, err := sender.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	if member := <-heard; member.Node != "b" {
		t.Fatalf("heard %+v", member)
	}
}
