package mesh

import (
	"time"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// minObservationTime is how long digests of a peer must have arrived before the send times of its digests can be
	// estimated: at least one digest in this time neither waited in a socket nor was delayed on the way.
	minObservationTime = time.Second
	// minDelayWindow is the length of the windows whose minimum is kept, and so the shortest time for which a minimum
	// counts. Clocks drift apart by some milliseconds in this time.
	minDelayWindow = time.Minute
)

// peerClock estimates when a peer sent its digests, by this node's clock. The time of receipt does not show it, since
// digests that arrive while this node is stopped or suspended wait in its socket. Both clocks go on during a suspension,
// so that their difference is constant, and the digest that was received with the least delay gives the best estimate of
// it.
type peerClock struct {
	incarnation     int64
	firstReceivedAt boottime.Instant // when the first digest of this incarnation was received
	windowStartedAt boottime.Instant // when the current window began
	currentMin      time.Duration    // least difference between receive time and send time in the current window
	previousMin     time.Duration    // least difference in the previous window
}

// observe takes the send time of a digest by the peer's clock and its receive time by this node's clock, and returns the
// send time by this node's clock. The second result is false while the peer's clock is not known well enough; the first
// one is then the receive time.
func (c *peerClock) observe(incarnation int64, sentAt, receivedAt boottime.Instant) (boottime.Instant, bool) {
	difference := receivedAt.Sub(sentAt)
	switch {
	case c.incarnation != incarnation || c.firstReceivedAt == 0:
		*c = peerClock{incarnation: incarnation, firstReceivedAt: receivedAt, windowStartedAt: receivedAt, currentMin: difference, previousMin: difference}
	case receivedAt.Sub(c.windowStartedAt) > minDelayWindow:
		// A window ends when a digest arrives, not by time alone: the first digests after a long pause are delayed ones, and
		// the minimum from before the pause has to count still.
		c.windowStartedAt, c.previousMin, c.currentMin = receivedAt, c.currentMin, difference
	default:
		c.currentMin = min(c.currentMin, difference)
	}
	if receivedAt.Sub(c.firstReceivedAt) < minObservationTime {
		return receivedAt, false
	}
	return sentAt.Add(min(c.currentMin, c.previousMin)), true
}
