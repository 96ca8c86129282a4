package backend

import (
	"slices"
	"time"
)

const (
	// paceInterval and paceSamples are the least time and the least number of responses between two changes of the share.
	// Fewer responses have a high median by chance too often.
	paceInterval = 500 * time.Millisecond
	paceSamples  = 6
	// maxPaceSamples bounds the responses that are remembered.
	maxPaceSamples = 256
	// paceTarget is the part of the objective that the median response may take. With 0.4 a few slow responses by chance
	// refused some requests of a service at half of its load.
	paceTarget = 0.6
	// paceDown and paceUp are how far the share falls and rises: it falls within a second to what a third less servers
	// carry, and comes back within some seconds.
	paceDown = 0.93
	paceUp   = 0.05
	// minPace is the least share: a service that is slow for another reason than its load is not shut.
	minPace = 0.4
	// pacedLoad is the part of all slots from which on responses are late because of the load.
	pacedLoad = 0.6
)

// pace is the share of a service's plain requests that a node admits. Plain requests are shorter than the interval at which
// nodes tell their loads, so that the time of their responses shows an overload sooner and better than these figures: an
// overloaded service answers everything late, one that gets what it can carry answers it on time.
type pace struct {
	share   float64
	millis  []float64 // of the responses since the last change
	changed time.Time
	wasLate bool // at the last change
}

func newPace() *pace { return &pace{share: 1} }

// observe takes the time of a response.
func (p *pace) observe(millis float64) {
	if len(p.millis) < maxPaceSamples {
		p.millis = append(p.millis, millis)
	}
}

// adapt changes the share if enough responses have come since it was changed last.
func (p *pace) adapt(objective time.Duration, now time.Time) {
	if len(p.millis) < paceSamples || now.Sub(p.changed) < paceInterval {
		return
	}
	slices.Sort(p.millis)
	isLate := p.millis[len(p.millis)/2] > paceTarget*objective.Seconds()*1000
	switch {
	case !isLate:
		p.share = min(p.share+paceUp, 1)
	case p.share < 1 || p.wasLate: // a single late median comes with chance bursts at half load too
		p.share = max(p.share*paceDown, minPace)
	}
	p.wasLate = isLate
	p.millis, p.changed = p.millis[:0], now
}
