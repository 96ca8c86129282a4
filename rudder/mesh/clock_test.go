package mesh

import (
	"log/slog"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// A node that was stopped or suspended reads the digests that waited in its socket when it goes on. The proofs in them
// must keep their age: dated by the time of reading they would let a request run whose key was taken away during the pause.
func TestProofThatWaitedInTheSocketKeepsItsAge(t *testing.T) {
	const (
		second = boottime.Instant(time.Second)
		ahead  = 100 * second // how far the peer's clock is ahead of this node's
	)
	for name, c := range map[string]struct {
		heardBefore bool    // the peer was heard before the pause
		pause       int     // seconds
		restarted   bool    // the peer's process was started anew during the pause
		dated       [2]bool // whether the first digest after the pause shows a proof, and one that is read 2 s later
	}{
		"peer that is known":          {heardBefore: true, pause: 4, dated: [2]bool{true, true}},
		"long pause":                  {heardBefore: true, pause: 300, dated: [2]bool{true, true}},
		"peer that is new":            {pause: 4, dated: [2]bool{false, true}},
		"peer that started meanwhile": {heardBefore: true, pause: 4, restarted: true, dated: [2]bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var learnt []Member
			m := New("127.0.0.1:2", nil, nil, func(m Member) { learnt = append(learnt, m) }, slog.New(slog.DiscardHandler))
			tell := func(incarnation int64, sent, heard boottime.Instant) Member {
				m.take(Digest{Node: "b", Incarnation: incarnation, State: Ready, ProofAge: 200,
					BootMillis: time.Duration(sent + ahead).Milliseconds()}, "127.0.0.1:1", heard)
				return learnt[len(learnt)-1]
			}
			check := func(member Member, sent boottime.Instant, dated bool) {
				t.Helper()
				at, found := member.ProvedAt()
				if found != dated {
					t.Fatalf("digest sent at %s shows a proof: %t, want %t", time.Duration(sent), found, dated)
				}
				if proved := sent.Add(-200 * time.Millisecond); found && at > proved {
					t.Fatalf("proof looks %s too young", at.Sub(proved))
				}
			}
			const delay = boottime.Instant(5 * time.Millisecond)
			start := 10 * second
			if c.heardBefore {
				for i := range boottime.Instant(12) {
					tell(1, start+i*second/4, start+i*second/4+delay)
				}
			}
			paused := start + 3*second
			resumed := paused + boottime.Instant(c.pause)*second
			incarnation := int64(1)
			if c.restarted {
				incarnation = 2
			}
			// Digests of the first two seconds of the pause fill the socket.
			for i := range boottime.Instant(8) {
				sent := paused + i*second/4
				check(tell(incarnation, sent, resumed), sent, c.dated[0])
			}
			for i := range boottime.Instant(8) {
				tell(incarnation, resumed+i*second/4, resumed+i*second/4+delay)
			}
			sent := resumed + 2*second
			check(tell(incarnation, sent, sent+delay), sent, c.dated[1])
		})
	}
}

// A peer's time of day counts from when it was sent: digests that waited in the socket must not set back the agreed time.
func TestTimeIgnoresThePauseOfThisNode(t *testing.T) {
	m := newTestMesh()
	for _, pause := range []time.Duration{0, 0, 5 * time.Second} {
		for _, name := range []string{"b", "c"} {
			now := boottime.Now()
			// Readings lie in the past, so that the peers are known when the last digests come.
			heard := now.Add(-10 * time.Second)
			if m.members[name].Dated || m.members[name].HeardAt > 0 {
				heard = now
			}
			sent := heard.Add(-pause)
			m.take(Digest{Node: name, Incarnation: 1, State: Ready, BootMillis: time.Duration(sent).Milliseconds(),
				WallMillis: time.Now().Add(-now.Sub(sent)).UnixMilli()}, "127.0.0.1:1", heard)
		}
	}
	if off := time.Until(m.Time()); off < -time.Second || off > time.Second {
		t.Fatalf("agreed time is off by %s", off)
	}
}
