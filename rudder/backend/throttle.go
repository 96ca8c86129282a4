package backend

import (
	"slices"
	"time"
)

const (
	// throttleInterval and minThrottleSamples are the least time and the least number of responses between two changes of the share.
	// Fewer responses have a high median by chance too often.
	throttleInterval   = 500 * time.Millisecond
	minThrottleSamples = 6
	// maxThrottleSamples bounds the responses that are remembered.
	maxThrottleSamples = 256
	// throttleTarget is the part of the objective that the median response may take. With 0.4 a few slow responses by chance
	// refused some requests of a service at half of its load.
	throttleTarget = 0.6
	// throttleDecrease and throttleIncrease are how far the share falls and rises: it falls within a second to what a third less servers
	// carry, and comes back within some seconds.
	throttleDecrease = 0.93
	throttleIncrease = 0.05
	// minAdmittedShare is the least share: a service that is slow for another reason than its load is not shut.
	minAdmittedShare = 0.4
	// throttleMinLoad is the part of all slots from which on responses are late because of the load.
	throttleMinLoad = 0.6
)

// throttle is the share of a service's plain requests that a node admits. Plain requests are shorter than the interval at which
// nodes tell their loads, so that the time of their responses shows an overload sooner and better than these figures: an
// overloaded service answers everything late, one that gets what it can carry answers it on time.
type throttle struct {
	admittedShare  float64
	responseMillis []float64 // of the responses since the last change
	changedAt      time.Time
	wasLate        bool // at the last change
}

func newThrottle() *throttle { return &throttle{admittedShare: 1} }

// observe takes the time of a response.
func (t *throttle) observe(responseMillis float64) {
	if len(t.responseMillis) < maxThrottleSamples {
		t.responseMillis = append(t.responseMillis, responseMillis)
	}
}

// adapt changes the share if enough responses have come since it was changed last.
func (t *throttle) adapt(objective time.Duration, now time.Time) {
	if len(t.responseMillis) < minThrottleSamples || now.Sub(t.changedAt) < throttleInterval {
		return
	}
	slices.Sort(t.responseMillis)
	isLate := t.responseMillis[len(t.responseMillis)/2] > throttleTarget*objective.Seconds()*1000
	switch {
	case !isLate:
		t.admittedShare = min(t.admittedShare+throttleIncrease, 1)
	case t.admittedShare < 1 || t.wasLate: // a single late median comes with chance bursts at half load too
		t.admittedShare = max(t.admittedShare*throttleDecrease, minAdmittedShare)
	}
	t.wasLate = isLate
	t.responseMillis, t.changedAt = t.responseMillis[:0], now
}
