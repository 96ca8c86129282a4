package backend

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one result in the moving failure rate: about the last 8 results count.
	failureWeight = 0.12
	// ejectionThreshold is the failure rate above which a server gets no new work for a while.
	ejectionThreshold = 0.35
	// minEjectionTime and maxEjectionTime bound how long a failing server is left out before one request probes it.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
)

// health is what this node has seen of a server's failures.
type health struct {
	rate         float64 // moving share of failed requests, as of rateAt
	rateAt       time.Time
	ejectedUntil time.Time
	ejectionTime time.Duration
	isProbing    bool
}

// failureHalfLife is after how long without a result half of a failure rate is forgotten, so that a server that failed gets
// work again also where the others are good enough.
const failureHalfLife = 3 * time.Second

// failureRate returns the share of failed requests, 0 to 1.
func (h *health) failureRate(now time.Time) float64 {
	if h.rate == 0 {
		return 0
	}
	return h.rate * math.Exp2(-now.Sub(h.rateAt).Seconds()/failureHalfLife.Seconds())
}

// recordResult moves the failure rate towards 1 or 0.
func (h *health) recordResult(failure float64, now time.Time) {
	previous := h.failureRate(now)
	h.rate, h.rateAt = previous+failureWeight*(failure-previous), now
}

// isEjected reports whether the server is left out now.
func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) || h.isProbing }

// recordPlacement notes that a request goes to the server; the first one after an ejection is a probe.
func (h *health) recordPlacement(now time.Time) {
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		h.isProbing = true
	}
}

// recordSuccess takes a complete response.
func (h *health) recordSuccess(now time.Time) {
	h.recordResult(0, now)
	if h.isProbing || !h.ejectedUntil.IsZero() {
		*h = health{}
	}
}

// recordFailure takes a failure. A failed connection or a broken one leaves the server out at once, a failed response
// only when many fail.
func (h *health) recordFailure(now time.Time, isConnectionFailure bool) {
	h.recordResult(1, now)
	if !isConnectionFailure && h.rate < ejectionThreshold && !h.isProbing {
		return
	}
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.isProbing = false
}

// recordInconclusive notes the end of a request that says nothing about the server.
func (h *health) recordInconclusive() { h.isProbing = false }

// slowdown is how slow a server is compared with what the model predicts.
type slowdown struct {
	factor    float64
	updatedAt time.Time // of the last measurement
}

const (
	slowdownWeight = 0.2
	// slowdownHalfLife is after how long without a measurement half of a server's slowness is forgotten. A server that gets no
	// requests because it was slow would otherwise stay without them.
	slowdownHalfLife = 2 * time.Second
)

// current returns the factor by which the server is slower than predicted, 1 if unknown.
func (s *slowdown) current(now time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	return 1 + (s.factor-1)*math.Exp2(-now.Sub(s.updatedAt).Seconds()/slowdownHalfLife.Seconds())
}

// observe takes the ratio of a measured to a predicted time.
func (s *slowdown) observe(ratio float64, now time.Time) {
	ratio = min(max(ratio, 0.2), 20)
	previous := s.current(now)
	s.factor, s.updatedAt = previous+slowdownWeight*(ratio-previous), now
}
