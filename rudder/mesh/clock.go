package mesh

import (
	"time"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// minObservationTime is how long a peer must have been heard before its digests can be dated: among those of this time is
	// one that neither waited in a socket nor was delayed on the way.
	minObservationTime = time.Second
	// minDelayWindow is how long a reading counts at least. Clocks drift apart by some milliseconds in this time.
	minDelayWindow = time.Minute
)

// peerClock finds out when a peer sent a digest, in readings of this node's clock. The time of reading does not tell it:
// the digests that arrive while a node is stopped or suspended wait in its socket. Both clocks go on during a
// suspension, so that their difference is constant and the digest that was read with the least delay shows it best.
type peerClock struct {
	incarnation     int64
	firstReceivedAt boottime.Instant // when the first digest was read
	windowStartedAt boottime.Instant // when the current window began
	currentMin      time.Duration    // least difference between reading and sending in the current window
	previousMin     time.Duration    // and in the one before
}

// observe takes the times of one digest and returns when it was sent, by this node's clock. The second result is false
// while the peer's clock is not known well enough; the time is then that of reading.
func (c *peerClock) observe(incarnation int64, sentAt, receivedAt boottime.Instant) (boottime.Instant, bool) {
	difference := receivedAt.Sub(sentAt)
	switch {
	case c.incarnation != incarnation || c.firstReceivedAt == 0:
		*c = peerClock{incarnation: incarnation, firstReceivedAt: receivedAt, windowStartedAt: receivedAt, currentMin: difference, previousMin: difference}
	case receivedAt.Sub(c.windowStartedAt) > minDelayWindow:
		// The window ends with a reading, not by itself: after a long pause the first readings are late ones.
		c.windowStartedAt, c.previousMin, c.currentMin = receivedAt, c.currentMin, difference
	default:
		c.currentMin = min(c.currentMin, difference)
	}
	if receivedAt.Sub(c.firstReceivedAt) < minObservationTime {
		return receivedAt, false
	}
	return sentAt.Add(min(c.currentMin, c.previousMin)), true
}
