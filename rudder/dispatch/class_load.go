package dispatch

import (
	"math"
	"time"

	"chestnutrudder.example/rudder/limit"
)

const (
	// peakHalfLife is the half-life of the peak of short requests. Long runs hold their slots for seconds, so that slots for
	// short requests have to be reserved for longer than that.
	peakHalfLife = 30 * time.Second
	// maxReservedShare is the largest share of all slots that is reserved for short requests.
	maxReservedShare = 0.25
)

// classLoad counts the requests in progress by class. As many slots as the recent peak of short requests are reserved for
// them: long runs that start together end together, and in between short requests would find no slot within their target.
type classLoad struct {
	shortInProgress int     // waiting and placed
	longPlaced      int     // on runners
	shortPeak       float64 // highest recent shortInProgress, without the decay since shortPeakAt
	shortPeakAt     time.Time
}

// addShort counts an admitted short request and updates the peak.
func (l *classLoad) addShort(now time.Time) {
	l.shortInProgress++
	l.shortPeak = max(l.decayedShortPeak(now), float64(l.shortInProgress))
	l.shortPeakAt = now
}

// decayedShortPeak returns the peak of short requests, halved for each peakHalfLife since it was recorded.
func (l *classLoad) decayedShortPeak(now time.Time) float64 {
	return l.shortPeak * math.Exp2(-float64(max(0, now.Sub(l.shortPeakAt)))/float64(peakHalfLife))
}

// freeSlotsForLong returns how many more long requests may be placed.
func (s *scheduler) freeSlotsForLong(now time.Time) int {
	slots := 0
	for _, b := range s.backends {
		slots += b.maxRuns(s.betweenTokens())
	}
	if s.queue.FIFO {
		return slots // the FIFO baseline does not distinguish classes
	}
	reserve := min(math.Round(s.classLoad.decayedShortPeak(now)), math.Floor(maxReservedShare*float64(slots)))
	return slots - int(reserve) - s.classLoad.longPlaced
}

// adjustLongPlaced updates the count of placed long requests when a task is placed (+1) or released (-1).
func (s *scheduler) adjustLongPlaced(t *task, delta int) {
	if t.item.Class == limit.ClassLong {
		s.classLoad.longPlaced += delta
	}
}
