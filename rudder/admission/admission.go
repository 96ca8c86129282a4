// Package admission decides which requests get the capacity of a service when there is too little for all: how much of each
// server is kept free for more urgent requests, and when callers that are refused should come back. The functions are plain
// ones over measured values; package backend measures and applies them.
package admission

import (
	"math"
	"time"
)

// Levels is the number of urgency levels. Level 0 is the most urgent.
const Levels = 10

const (
	// occupancyHalfLife is the time after which measured occupancy counts half: long enough to span the pauses between long
	// streams at a small node, short enough to follow a flood within seconds.
	occupancyHalfLife = 4 * time.Second
	// reservePart is the part of the more urgent requests' share of a service that is kept free for them. They need no more
	// than the variation of their number around its mean.
	reservePart = 0.5
	// maxReservedShare bounds the share of the slots that less urgent requests may not use.
	maxReservedShare = 0.25
)

// Occupancy measures how long requests of each urgency hold the slots of a service, as seen by one node. Its zero value has
// measured nothing.
type Occupancy struct {
	held [Levels]float64 // slot seconds, as of at
	at   time.Time
}

// Add adds a request that has held a slot.
func (o *Occupancy) Add(urgency int, held time.Duration, now time.Time) {
	o.decay(now)
	o.held[level(urgency)] += held.Seconds()
}

func (o *Occupancy) decay(now time.Time) {
	if age := now.Sub(o.at); age > 0 {
		factor := math.Exp2(-age.Seconds() / occupancyHalfLife.Seconds())
		for i := range o.held {
			o.held[i] *= factor
		}
		o.at = now
	}
}

// MoreUrgentShare returns the share of the occupancy that is due to requests more urgent than the given level, 0 to 1.
func (o *Occupancy) MoreUrgentShare(urgency int) float64 {
	moreUrgent, total := 0.0, 0.0
	for l, seconds := range o.held {
		total += seconds
		if l < level(urgency) {
			moreUrgent += seconds
		}
	}
	if total == 0 {
		return 0
	}
	return moreUrgent / total
}

// MoreUrgentLevels returns the number of levels above the given one at which requests have held slots.
func (o *Occupancy) MoreUrgentLevels(urgency int) int {
	levels := 0
	for _, seconds := range o.held[:level(urgency)] {
		if seconds > minLevelSeconds {
			levels++
		}
	}
	return levels
}

// minLevelSeconds is the occupancy below which a level counts as not in use.
const minLevelSeconds = 0.01

func level(urgency int) int { return min(max(urgency, 0), Levels-1) }

// UsableSlots returns how many slots of a server a request may find in use and still be sent there, if the given share of the
// service is used by more urgent requests. Without them it is all slots.
func UsableSlots(slots int, moreUrgentShare float64) int {
	reserved := int(float64(slots) * min(reservePart*moreUrgentShare, maxReservedShare))
	return max(slots-reserved, 1)
}

const (
	// minRetryAfter and maxRetryAfter bound the estimated wait before callers are spread.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// spread is the part of Retry-After that is added at most at random, so that callers that were refused together do not
	// come back together.
	spread = 0.5
)

// RetryAfter returns when a refused caller should come back: after the estimated wait for a free server, later by the same
// again for each more urgent level that competes for it, so that more urgent callers return first. fraction spreads callers,
// 0 to 1.
func RetryAfter(wait time.Duration, moreUrgentLevels int, fraction float64) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait = min(wait*time.Duration(1+moreUrgentLevels), maxRetryAfter)
	return wait + time.Duration(spread*fraction*float64(wait))
}
