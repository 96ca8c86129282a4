package dispatch

import (
	"math"
	"time"

	"chestnutrudder.example/rudder/engine"
)

const (
	// prefixHalfLife: cache events come late or not at all, so that a block that was not seen for long may be evicted.
	prefixHalfLife = 2 * time.Minute
	// maxPrefixBlocks bounds the copy; it is above what the engines hold.
	maxPrefixBlocks = 16384
)

// prefixCacheEstimate is what the dispatcher believes of a runner's prefix cache.
type prefixCacheEstimate struct {
	lastSeen     map[uint64]time.Time
	lastSequence int64 // sequence number of the last cache event taken
}

func newPrefixCacheEstimate() prefixCacheEstimate {
	return prefixCacheEstimate{lastSeen: map[uint64]time.Time{}}
}

// expectedCachedTokens returns how many leading tokens are likely cached: whole blocks, weighed by the age of the belief.
func (p *prefixCacheEstimate) expectedCachedTokens(blocks []uint64, now time.Time) int {
	tokens := 0.0
	for _, b := range blocks {
		at, found := p.lastSeen[b]
		if !found {
			break
		}
		age := max(0, now.Sub(at))
		tokens += engine.BlockTokens * math.Exp2(-float64(age)/float64(prefixHalfLife))
	}
	return int(tokens)
}

// markCached notes blocks that the runner holds.
func (p *prefixCacheEstimate) markCached(blocks []uint64, now time.Time) {
	for _, b := range blocks {
		p.lastSeen[b] = now
	}
	if len(p.lastSeen) > maxPrefixBlocks {
		p.evictOlderHalf()
	}
}

// evictOlderHalf drops the older half.
func (p *prefixCacheEstimate) evictOlderHalf() {
	var oldest, newest time.Time
	for _, at := range p.lastSeen {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
		if at.After(newest) {
			newest = at
		}
	}
	middle := oldest.Add(newest.Sub(oldest) / 2)
	for b, at := range p.lastSeen {
		if !at.After(middle) {
			delete(p.lastSeen, b)
		}
	}
}

// applyRunStart takes what a runner says at the start of a run: the blocks beyond the cached ones were not there.
func (p *prefixCacheEstimate) applyRunStart(blocks []uint64, cachedTokens int, now time.Time) {
	for _, b := range blocks[min(len(blocks), cachedTokens/engine.BlockTokens):] {
		delete(p.lastSeen, b)
	}
	p.markCached(blocks, now) // prefilled by now
}

// applyEvents applies cache events in order. After a gap nothing older is believed.
func (p *prefixCacheEstimate) applyEvents(events engine.CacheEvents, now time.Time) {
	for _, e := range events.Events {
		if e.Sequence <= p.lastSequence {
			continue
		}
		if e.Sequence != p.lastSequence+1 {
			clear(p.lastSeen)
		}
		p.lastSequence = e.Sequence
		if e.Stored {
			p.markCached(e.Blocks, now)
			continue
		}
		for _, b := range e.Blocks {
			delete(p.lastSeen, b)
		}
	}
}
