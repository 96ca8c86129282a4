package backend

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one result in the moving failure rate: about the last 8 results count.
	failureWeight = 0.12
	// ejectRate is the failure rate above which a server gets no new work for a while.
	ejectRate = 0.35
	// firstEjection and longestEjection bound how long a failing server is left out before one request probes it.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
)

// health is what this node has seen of a server's failures.
type health struct {
	rate     float64 // moving share of failed requests, as of at
	at       time.Time
	until    time.Time
	ejection time.Duration
	probing  bool
}

// failureMemory is after how long without a result half of a failure rate is forgotten, so that a server that failed gets
// work again also where the others are good enough.
const failureMemory = 3 * time.Second

// failureRate returns the share of failed requests, 0 to 1.
func (h *health) failureRate(now time.Time) float64 {
	if h.rate == 0 {
		return 0
	}
	return h.rate * math.Exp2(-now.Sub(h.at).Seconds()/failureMemory.Seconds())
}

// result moves the failure rate towards 1 or 0.
func (h *health) result(failure float64, now time.Time) {
	before := h.failureRate(now)
	h.rate, h.at = before+failureWeight*(failure-before), now
}

// ejected reports whether the server is left out now.
func (h *health) ejected(now time.Time) bool { return now.Before(h.until) || h.probing }

// placed notes that a request goes to the server; the first one after an ejection is a probe.
func (h *health) placed(now time.Time) {
	if !h.until.IsZero() && !now.Before(h.until) {
		h.probing = true
	}
}

// succeeded takes a complete response.
func (h *health) succeeded(now time.Time) {
	h.result(0, now)
	if h.probing || !h.until.IsZero() {
		*h = health{}
	}
}

// failed takes a failure. A failed connection or a broken one (hard) leaves the server out at once, a failed response
// only when many fail.
func (h *health) failed(now time.Time, hard bool) {
	h.result(1, now)
	if !hard && h.rate < ejectRate && !h.probing {
		return
	}
	h.ejection = min(max(2*h.ejection, firstEjection), longestEjection)
	h.until = now.Add(h.ejection)
	h.probing = false
}

// ended notes the end of a request that says nothing about the server.
func (h *health) ended() { h.probing = false }

// speed is how slow a server is compared with what the model predicts.
type speed struct {
	factor float64
	at     time.Time // of the last measurement
}

const (
	speedWeight = 0.2
	// speedMemory is after how long without a measurement half of a server's slowness is forgotten. A server that gets no
	// requests because it was slow would otherwise stay without them.
	speedMemory = 2 * time.Second
)

// slowness returns the factor by which the server is slower than predicted, 1 if unknown.
func (s *speed) slowness(now time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	return 1 + (s.factor-1)*math.Exp2(-now.Sub(s.at).Seconds()/speedMemory.Seconds())
}

// observe takes the ratio of a measured to a predicted time.
func (s *speed) observe(ratio float64, now time.Time) {
	ratio = min(max(ratio, 0.2), 20)
	before := s.slowness(now)
	s.factor, s.at = before+speedWeight*(ratio-before), now
}
