package mesh

import (
	"time"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// clockSettles is how long a peer must have been heard before its digests can be dated: among those of this time is
	// one that neither waited in a socket nor was delayed on the way.
	clockSettles = time.Second
	// clockWindow is how long a reading counts at least. Clocks drift apart by some milliseconds in this time.
	clockWindow = time.Minute
)

// peerClock finds out when a peer sent a digest, in readings of this node's clock. The time of reading does not tell it:
// the digests that arrive while a node is stopped or suspended wait in its socket. Both clocks go on during a
// suspension, so that their difference is constant and the digest that was read with the least delay shows it best.
type peerClock struct {
	incarnation int64
	firstAt     boottime.Instant // when the first digest was read
	turnedAt    boottime.Instant // when the current window began
	current     time.Duration    // least difference between reading and sending in the current window
	previous    time.Duration    // and in the one before
}

// observe takes the times of one digest and returns when it was sent, by this node's clock. The second result is false
// while the peer's clock is not known well enough; the time is then that of reading.
func (c *peerClock) observe(incarnation int64, sent, heard boottime.Instant) (boottime.Instant, bool) {
	difference := heard.Sub(sent)
	switch {
	case c.incarnation != incarnation || c.firstAt == 0:
		*c = peerClock{incarnation: incarnation, firstAt: heard, turnedAt: heard, current: difference, previous: difference}
	case heard.Sub(c.turnedAt) > clockWindow:
		// The window ends with a reading, not by itself: after a long pause the first readings are late ones.
		c.turnedAt, c.previous, c.current = heard, c.current, difference
	default:
		c.current = min(c.current, difference)
	}
	if heard.Sub(c.firstAt) < clockSettles {
		return heard, false
	}
	return sent.Add(min(c.current, c.previous)), true
}
