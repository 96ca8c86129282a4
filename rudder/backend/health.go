package backend

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one result in the moving average of failures, which covers about the last 8 results.
	failureWeight = 0.12
	// ejectionThreshold is the failure rate from which on a server is ejected: it gets no new requests for some time.
	ejectionThreshold = 0.35
	// minEjectionTime and maxEjectionTime bound the length of an ejection, which doubles with each further failure. After it
	// one request probes the server.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
)

// health tracks the failures of a server as seen by this node, and ejects the server when it fails too often.
type health struct {
	rate         float64 // moving average of failed requests at rateAt, 0 to 1
	rateAt       time.Time
	ejectedUntil time.Time
	ejectionTime time.Duration
	isProbing    bool
}

// failureHalfLife is the time in which the failure rate halves while there are no results. Without the decay, a server that
// failed would get no more requests as long as the other servers suffice.
const failureHalfLife = 3 * time.Second

// failureRate returns the decayed share of failed requests, 0 to 1.
func (h *health) failureRate(now time.Time) float64 {
	if h.rate == 0 {
		return 0
	}
	return h.rate * math.Exp2(-now.Sub(h.rateAt).Seconds()/failureHalfLife.Seconds())
}

// recordResult adds a result to the failure rate: 1 for a failure, 0 for a success.
func (h *health) recordResult(failure float64, now time.Time) {
	previous := h.failureRate(now)
	h.rate, h.rateAt = previous+failureWeight*(failure-previous), now
}

// isEjected reports whether the server is ejected or being probed.
func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) || h.isProbing }

// recordPlacement records that a request is placed on the server, and reports whether it is the probe: the first one after an
// ejection.
func (h *health) recordPlacement(now time.Time) (isProbe bool) {
	isProbe = !h.isProbing && !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil)
	h.isProbing = h.isProbing || isProbe
	return isProbe
}

// recordSuccess records a complete response. If the server was ejected, this ends the ejection and resets its state.
func (h *health) recordSuccess(now time.Time) {
	h.recordResult(0, now)
	if h.isProbing || !h.ejectedUntil.IsZero() {
		*h = health{}
	}
}

// recordFailure records a failure. A connection failure or a failed probe ejects the server at once, a failed response only
// when the failure rate has reached ejectionThreshold.
func (h *health) recordFailure(now time.Time, isConnectionFailure bool) {
	h.recordResult(1, now)
	if !isConnectionFailure && h.rate < ejectionThreshold && !h.isProbing {
		return
	}
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.isProbing = false
}

// recordInconclusiveProbe records the end of a probe whose result says nothing about the server. The next request is then
// the probe.
func (h *health) recordInconclusiveProbe() { h.isProbing = false }

// slowdown is the moving average of a server's times to the first byte relative to those that the latency model predicts.
type slowdown struct {
	factor    float64   // at updatedAt; 0 before the first measurement
	updatedAt time.Time // time of the last measurement
}

const (
	// slowdownWeight is the weight of one measurement in the moving average.
	slowdownWeight = 0.2
	// slowdownHalfLife is the time in which the deviation from 1 halves while there are no measurements. Without the decay, a
	// server that gets no requests because it was slow would never get any again.
	slowdownHalfLife = 2 * time.Second
)

// current returns the decayed factor by which the server is slower than predicted, 1 if nothing was measured.
func (s *slowdown) current(now time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	return 1 + (s.factor-1)*math.Exp2(-now.Sub(s.updatedAt).Seconds()/slowdownHalfLife.Seconds())
}

// observe adds a measurement: the ratio of the measured to the predicted time.
func (s *slowdown) observe(ratio float64, now time.Time) {
	ratio = min(max(ratio, 0.2), 20)
	previous := s.current(now)
	s.factor, s.updatedAt = previous+slowdownWeight*(ratio-previous), now
}
