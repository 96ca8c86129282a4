package dispatch

import (
	"math"
	"time"

	"chestnutrudder.example/rudder/limit"
)

const (
	// peakHalfLife: long runs hold their slots for seconds, so that room for short ones has to be kept for longer.
	peakHalfLife = 30 * time.Second
	// largestReserve is the part of all slots that short requests can keep from long ones.
	largestReserve = 0.25
)

// shortPeak remembers how many short requests were in progress at one time. As many slots are kept from long requests:
// long runs that began together end together, and in between short requests would find no slot within their target.
type shortPeak struct {
	now  int // short requests that wait or run
	long int // long requests that run
	peak float64
	at   time.Time
}

// arrived counts a short request.
func (p *shortPeak) arrived(now time.Time) {
	p.now++
	p.peak = max(p.value(now), float64(p.now))
	p.at = now
}

func (p *shortPeak) value(now time.Time) float64 {
	return p.peak * math.Exp2(-float64(max(0, now.Sub(p.at)))/float64(peakHalfLife))
}

// roomForLong returns how many more long requests may run.
func (s *scheduler) roomForLong(now time.Time) int {
	slots := 0
	for _, b := range s.backends {
		slots += b.slots(s.betweenTokens())
	}
	if s.queue.FIFO {
		return slots // the baseline knows no classes
	}
	reserve := min(math.Round(s.short.value(now)), math.Floor(largestReserve*float64(slots)))
	return slots - int(reserve) - s.short.long
}

// countClass counts a request that is placed (+1) or released (-1).
func (s *scheduler) countClass(t *ticket, by int) {
	if t.item.Class == limit.ClassLong {
		s.short.long += by
	}
}
