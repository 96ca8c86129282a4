package dispatch

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	breakerFailures = 3 // broken streams in a row; a failed connection opens at once
	breakerFirst    = 200 * time.Millisecond
	breakerLongest  = 10 * time.Second
)

// breaker keeps new work from a backend server that fails. After a back-off one run goes through as a probe.
type breaker struct {
	failures int
	open     bool
	until    time.Time
	probing  bool
	pause    *backoff.ExponentialBackOff
}

func newBreaker() breaker {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = breakerFirst
	pause.MaxInterval = breakerLongest
	pause.RandomizationFactor = 0.2
	return breaker{pause: pause}
}

// allows reports whether a run may be placed now.
func (b *breaker) allows(now time.Time) bool {
	return !b.open || (!b.probing && !now.Before(b.until))
}

// placed notes that a run was placed; while the breaker is open it is the probe.
func (b *breaker) placed() { b.probing = b.open }

// succeeded closes the breaker.
func (b *breaker) succeeded() {
	if b.open || b.failures > 0 {
		b.pause.Reset()
	}
	b.open, b.probing, b.failures = false, false, 0
}

// failed counts a failure; at once opens without counting.
func (b *breaker) failed(now time.Time, atOnce bool) {
	b.failures++
	if !atOnce && !b.open && b.failures < breakerFailures {
		return
	}
	b.open, b.probing = true, false
	b.until = now.Add(b.pause.NextBackOff())
}

// ended notes the end of a run that says nothing about the backend server.
func (b *breaker) ended() { b.probing = false }
