package resource

import (
	"slices"
	"time"
)

// candidate is a connection that may give way, and how much it should.
type candidate struct {
	charge *Charge
	score  float64
}

// evictMemory closes connections, those first that hold the most memory for the longest time behind, until the wanted bytes and
// a batch are free. The caller holds a.mu.
func (a *Account) evictMemory(newcomer *Charge, wanted int64) {
	goal := wanted + a.capacity/batchDivisor
	candidates := a.candidates(&a.search, func(c *Charge, lag time.Duration) float64 {
		if c == newcomer {
			return 0
		}
		return float64(c.bytes) * lag.Seconds()
	})
	for _, next := range candidates {
		if goal <= 0 || a.leaving > a.capacity/leavingDivisor {
			return
		}
		goal -= next.charge.bytes
		a.evict(next.charge, ClosedMemory)
	}
}

// evictConnections closes a batch of connections at a port, those first whose callers are furthest behind. The caller holds
// a.mu.
func (a *Account) evictConnections(p *Port) {
	candidates := a.candidates(&p.search, func(c *Charge, lag time.Duration) float64 {
		if c.port != p {
			return 0
		}
		return lag.Seconds()
	})
	for _, next := range candidates[:min(len(candidates), 1+p.max/batchDivisor)] {
		a.evict(next.charge, ClosedConnections)
	}
}

// candidates returns the connections whose callers are behind and have a score, the highest first. The caller holds a.mu.
func (a *Account) candidates(s *search, score func(c *Charge, lag time.Duration) float64) []candidate {
	now := elapsed()
	if s.isTooSoon(now) {
		return nil
	}
	var list []candidate
	for c := range a.charges {
		if lag := c.lag(now); lag >= minLag && !c.isLeaving {
			if points := score(c, lag); points > 0 {
				list = append(list, candidate{c, points})
			}
		}
	}
	s.endedAt, s.isFruitless = now, len(list) == 0
	slices.SortFunc(list, func(x, y candidate) int {
		switch {
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		}
		return 0
	})
	return list
}

// evict lets a connection be closed. Its memory is free from now on, except that of all closed ones together is bounded. The
// caller holds a.mu and releases it by unlock.
func (a *Account) evict(c *Charge, reason Reason) {
	c.isLeaving = true
	a.used -= c.bytes
	a.leaving += c.bytes
	c.port.leaving++
	a.toClose = append(a.toClose, c.closeConn)
	a.reports.count(reason, c.port.name)
}
