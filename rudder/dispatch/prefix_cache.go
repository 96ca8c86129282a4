package dispatch

import (
	"math"
	"time"

	"chestnutrudder.example/rudder/engine"
)

const (
	// prefixHalfLife is the time after which the probability that a block is still cached is taken to be one half. Cache
	// events come late or not at all, so that a block that has not been seen for long may have been evicted.
	prefixHalfLife = 2 * time.Minute
	// maxPrefixBlocks limits the size of an estimate; it is above what the engines hold.
	maxPrefixBlocks = 16384
)

// prefixCacheEstimate estimates which blocks the prefix cache of a runner holds.
type prefixCacheEstimate struct {
	lastSeen     map[uint64]time.Time
	lastSequence int64 // sequence number of the last cache event that was applied
}

func newPrefixCacheEstimate() prefixCacheEstimate {
	return prefixCacheEstimate{lastSeen: map[uint64]time.Time{}}
}

// expectedCachedTokens returns how many leading tokens are probably cached. It counts whole blocks, each weighted by the
// time since it was last seen.
func (p *prefixCacheEstimate) expectedCachedTokens(blocks []uint64, now time.Time) int {
	tokens := 0.0
	for _, b := range blocks {
		at, found := p.lastSeen[b]
		if !found {
			break
		}
		age := max(0, now.Sub(at))
		tokens += engine.TokensPerBlock * math.Exp2(-float64(age)/float64(prefixHalfLife))
	}
	return int(tokens)
}

// markCached notes that the runner holds the blocks.
func (p *prefixCacheEstimate) markCached(blocks []uint64, now time.Time) {
	for _, b := range blocks {
		p.lastSeen[b] = now
	}
	if len(p.lastSeen) > maxPrefixBlocks {
		p.evictOlderHalf()
	}
}

// evictOlderHalf removes the blocks that were last seen in the older half of the recorded time span.
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

// applyRunStart applies what a runner reports at the start of a run: blocks beyond cachedTokens were not cached.
func (p *prefixCacheEstimate) applyRunStart(blocks []uint64, cachedTokens int, now time.Time) {
	for _, b := range blocks[min(len(blocks), cachedTokens/engine.TokensPerBlock):] {
		delete(p.lastSeen, b)
	}
	p.markCached(blocks, now) // all are prefilled now
}

// applyEvents applies cache events in order. A gap in the sequence numbers invalidates everything seen before it.
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
