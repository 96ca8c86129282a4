package backend

import (
	"slices"
	"time"
)

const (
	// throttleInterval and minThrottleSamples are the minimum time and the minimum number of responses between two changes
	// of the admitted share. The median of fewer responses is too often high by chance.
	throttleInterval   = 500 * time.Millisecond
	minThrottleSamples = 6
	// maxThrottleSamples bounds the number of response times kept between two changes.
	maxThrottleSamples = 256
	// throttleTarget is the part of the objective that the median response time may take. With 0.4, a few responses that
	// were slow by chance caused refusals at a service with half of the load it can carry.
	throttleTarget = 0.6
	// throttleDecrease multiplies the admitted share when responses are late, and throttleIncrease is added to it when they
	// are on time. With a change each throttleInterval, it falls within 3 s to what a third fewer servers carry, and recovers
	// within 4 s.
	throttleDecrease = 0.93
	throttleIncrease = 0.05
	// minAdmittedShare is the lower bound of the admitted share: a service that is slow for a reason other than load stays
	// available.
	minAdmittedShare = 0.4
	// throttleMinLoad is the share of used slots from which on late responses are attributed to load and requests refused.
	throttleMinLoad = 0.6
)

// throttle adapts the share of a service's plain requests that a node admits, by additive increase and multiplicative
// decrease on the median response time. Plain requests are shorter than the interval at which nodes exchange their loads, so
// response times show an overload sooner and more reliably than those loads: an overloaded service answers every request
// late, one within its capacity answers on time.
type throttle struct {
	admittedShare  float64
	responseMillis []float64 // response times since the last change
	changedAt      time.Time
	wasLate        bool // whether the median was late at the last change
}

func newThrottle() *throttle { return &throttle{admittedShare: 1} }

// observe adds a response time.
func (t *throttle) observe(responseMillis float64) {
	if len(t.responseMillis) < maxThrottleSamples {
		t.responseMillis = append(t.responseMillis, responseMillis)
	}
}

// adapt changes the admitted share if enough time has passed and enough responses have come since the last change.
func (t *throttle) adapt(objective time.Duration, now time.Time) {
	if len(t.responseMillis) < minThrottleSamples || now.Sub(t.changedAt) < throttleInterval {
		return
	}
	slices.Sort(t.responseMillis)
	isLate := t.responseMillis[len(t.responseMillis)/2] > throttleTarget*objective.Seconds()*1000
	switch {
	case !isLate:
		t.admittedShare = min(t.admittedShare+throttleIncrease, 1)
	case t.admittedShare < 1 || t.wasLate: // a single late median also occurs in random bursts at half load
		t.admittedShare = max(t.admittedShare*throttleDecrease, minAdmittedShare)
	}
	t.wasLate = isLate
	t.responseMillis, t.changedAt = t.responseMillis[:0], now
}
