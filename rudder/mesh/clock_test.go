package mesh

import (
	"log/slog"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// A node that was stopped or suspended reads the digests that waited in its socket when it goes on. The confirmations of
// the configuration in them must keep their age: counted from the time of receipt, they would let a request run whose key
// was revoked during the pause.
func TestDigestQueuedInSocketKeepsConfirmationAge(t *testing.T) {
	const (
		second        = boottime.Instant(time.Second)
		peerClockLead = 100 * second // how far the peer's clock is ahead of this node's
	)
	for name, c := range map[string]struct {
		wasHeardBefore bool    // digests of the peer were received before the pause
		pause          int     // seconds
		hasRestarted   bool    // the peer's process restarted during the pause
		wantConfirmed  [2]bool // a confirmation time is given by a digest received right after the pause, and by one 2 s later
	}{
		"peer that is known":          {wasHeardBefore: true, pause: 4, wantConfirmed: [2]bool{true, true}},
		"long pause":                  {wasHeardBefore: true, pause: 300, wantConfirmed: [2]bool{true, true}},
		"peer that is new":            {pause: 4, wantConfirmed: [2]bool{false, true}},
		"peer that started meanwhile": {wasHeardBefore: true, pause: 4, hasRestarted: true, wantConfirmed: [2]bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var received []*Member
			m := New("127.0.0.1:2", nil, nil, func(m *Member) { received = append(received, m) }, slog.New(slog.DiscardHandler))
			deliver := func(incarnation int64, sentAt, receivedAt boottime.Instant) *Member {
				m.handleDigest(Digest{Node: "b", Incarnation: incarnation, State: Ready, ConfirmationAgeMillis: 200,
					BootClockMillis: time.Duration(sentAt + peerClockLead).Milliseconds()}, "127.0.0.1:1", receivedAt)
				return received[len(received)-1]
			}
			check := func(member *Member, sentAt boottime.Instant, wantConfirmed bool) {
				t.Helper()
				at, found := member.ConfigConfirmedAt()
				if found != wantConfirmed {
					t.Fatalf("digest sent at %s gives a confirmation time: %t, want %t", time.Duration(sentAt), found, wantConfirmed)
				}
				if confirmedAt := sentAt.Add(-200 * time.Millisecond); found && at > confirmedAt {
					t.Fatalf("confirmation time is %s too late", at.Sub(confirmedAt))
				}
			}
			const delay = boottime.Instant(5 * time.Millisecond)
			start := 10 * second
			if c.wasHeardBefore {
				for i := range boottime.Instant(12) {
					deliver(1, start+i*second/4, start+i*second/4+delay)
				}
			}
			pausedAt := start + 3*second
			resumedAt := pausedAt + boottime.Instant(c.pause)*second
			incarnation := int64(1)
			if c.hasRestarted {
				incarnation = 2
			}
			// Only the digests of the first two seconds of the pause fit into the socket.
			for i := range boottime.Instant(8) {
				sentAt := pausedAt + i*second/4
				check(deliver(incarnation, sentAt, resumedAt), sentAt, c.wantConfirmed[0])
			}
			for i := range boottime.Instant(8) {
				deliver(incarnation, resumedAt+i*second/4, resumedAt+i*second/4+delay)
			}
			sentAt := resumedAt + 2*second
			check(deliver(incarnation, sentAt, sentAt+delay), sentAt, c.wantConfirmed[1])
		})
	}
}

// The time of day in a digest belongs to the time at which the digest was sent: digests that waited in the socket while
// this node was paused must not set back the median time.
func TestMedianTimeIgnoresDigestsQueuedDuringPause(t *testing.T) {
	m := newTestMesh()
	for _, pause := range []time.Duration{0, 0, 5 * time.Second} {
		for _, name := range []string{"b", "c"} {
			now := boottime.Now()
			// The first digests lie in the past, so that the peers' clocks are known when the last ones arrive.
			receivedAt := now.Add(-10 * time.Second)
			if m.members[name] != nil {
				receivedAt = now
			}
			sentAt := receivedAt.Add(-pause)
			m.handleDigest(Digest{Node: name, Incarnation: 1, State: Ready, BootClockMillis: time.Duration(sentAt).Milliseconds(),
				WallClockMillis: time.Now().Add(-now.Sub(sentAt)).UnixMilli()}, "127.0.0.1:1", receivedAt)
		}
	}
	if offset := time.Until(m.MedianTime()); offset < -time.Second || offset > time.Second {
		t.Fatalf("median time differs from the time of day by %s, want at most 1 s", offset)
	}
}
