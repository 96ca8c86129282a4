package dispatch

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	breakerFailureThreshold = 3 // broken streams in a row; a failed connection opens the breaker at once
	breakerInitialBackoff   = 200 * time.Millisecond
	breakerMaxBackoff       = 10 * time.Second
)

// breaker is a circuit breaker for one backend server. While it is open, no run is placed; after a back-off, one run is let
// through as a probe.
type breaker struct {
	consecutiveFailures int
	isOpen              bool
	openUntil           time.Time
	isProbing           bool
	retryBackoff        *backoff.ExponentialBackOff
}

func newBreaker() breaker {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = breakerInitialBackoff
	retryBackoff.MaxInterval = breakerMaxBackoff
	retryBackoff.RandomizationFactor = 0.2
	return breaker{retryBackoff: retryBackoff}
}

// allowsPlacement reports whether a run may be placed now.
func (b *breaker) allowsPlacement(now time.Time) bool {
	return !b.isOpen || (!b.isProbing && !now.Before(b.openUntil))
}

// recordPlacement notes that a run was placed; while the breaker is open, that run is the probe.
func (b *breaker) recordPlacement() { b.isProbing = b.isOpen }

// recordSuccess closes the breaker and resets its back-off.
func (b *breaker) recordSuccess() {
	if b.isOpen || b.consecutiveFailures > 0 {
		b.retryBackoff.Reset()
	}
	b.isOpen, b.isProbing, b.consecutiveFailures = false, false, 0
}

// recordFailure counts a failure. It opens the breaker at the threshold, or immediately if openAtOnce is set. If the breaker
// is open, it starts another back-off.
func (b *breaker) recordFailure(now time.Time, openAtOnce bool) {
	b.consecutiveFailures++
	if !openAtOnce && !b.isOpen && b.consecutiveFailures < breakerFailureThreshold {
		return
	}
	b.isOpen, b.isProbing = true, false
	b.openUntil = now.Add(b.retryBackoff.NextBackOff())
}

// recordInconclusiveEnd notes the end of a run that is neither a success nor a failure of the backend server.
func (b *breaker) recordInconclusiveEnd() { b.isProbing = false }
