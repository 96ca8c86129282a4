package dispatch

import (
	"math"
	"time"

	"chestnutrudder.example/rudder/limit"
)

const (
	// peakHalfLife: long runs hold their slots for seconds, so that room for short ones has to be kept for longer.
	peakHalfLife = 30 * time.Second
	// maxReservedShare is the part of all slots that short requests can keep from long ones.
	maxReservedShare = 0.25
)

// classLoad remembers how many short requests were in progress at one time. As many slots are kept from long requests:
// long runs that began together end together, and in between short requests would find no slot within their target.
type classLoad struct {
	shortInProgress int // short requests that wait or run
	longPlaced      int // long requests that run
	shortPeak       float64
	shortPeakAt     time.Time
}

// addShort counts a short request.
func (p *classLoad) addShort(now time.Time) {
	p.shortInProgress++
	p.shortPeak = max(p.decayedShortPeak(now), float64(p.shortInProgress))
	p.shortPeakAt = now
}

func (p *classLoad) decayedShortPeak(now time.Time) float64 {
	return p.shortPeak * math.Exp2(-float64(max(0, now.Sub(p.shortPeakAt)))/float64(peakHalfLife))
}

// freeSlotsForLong returns how many more long requests may run.
func (s *scheduler) freeSlotsForLong(now time.Time) int {
	slots := 0
	for _, b := range s.backends {
		slots += b.maxRuns(s.betweenTokens())
	}
	if s.queue.FIFO {
		return slots // the baseline knows no classes
	}
	reserve := min(math.Round(s.classLoad.decayedShortPeak(now)), math.Floor(maxReservedShare*float64(slots)))
	return slots - int(reserve) - s.classLoad.longPlaced
}

// adjustLongPlaced counts a request that is placed (+1) or released (-1).
func (s *scheduler) adjustLongPlaced(t *task, delta int) {
	if t.item.Class == limit.ClassLong {
		s.classLoad.longPlaced += delta
	}
}
