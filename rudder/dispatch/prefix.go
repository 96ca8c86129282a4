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

// prefixCopy is what the dispatcher believes of a runner's prefix cache.
type prefixCopy struct {
	seen  map[uint64]time.Time
	after int64 // sequence number of the last cache event taken
}

func newPrefixCopy() prefixCopy { return prefixCopy{seen: map[uint64]time.Time{}} }

// expected returns how many leading tokens are likely cached: whole blocks, weighed by the age of the belief.
func (p *prefixCopy) expected(blocks []uint64, now time.Time) int {
	tokens := 0.0
	for _, b := range blocks {
		at, found := p.seen[b]
		if !found {
			break
		}
		age := max(0, now.Sub(at))
		tokens += engine.BlockTokens * math.Exp2(-float64(age)/float64(prefixHalfLife))
	}
	return int(tokens)
}

// learn notes blocks that the runner holds.
func (p *prefixCopy) learn(blocks []uint64, now time.Time) {
	for _, b := range blocks {
		p.seen[b] = now
	}
	if len(p.seen) > maxPrefixBlocks {
		p.trim()
	}
}

// trim drops the older half.
func (p *prefixCopy) trim() {
	var oldest, newest time.Time
	for _, at := range p.seen {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
		if at.After(newest) {
			newest = at
		}
	}
	middle := oldest.Add(newest.Sub(oldest) / 2)
	for b, at := range p.seen {
		if !at.After(middle) {
			delete(p.seen, b)
		}
	}
}

// started takes what a runner says at the start of a run: the blocks beyond the cached ones were not there.
func (p *prefixCopy) started(blocks []uint64, cachedTokens int, now time.Time) {
	for _, b := range blocks[min(len(blocks), cachedTokens/engine.BlockTokens):] {
		delete(p.seen, b)
	}
	p.learn(blocks, now) // prefilled by now
}

// take applies cache events in order. After a gap nothing older is believed.
func (p *prefixCopy) take(events engine.CacheEvents, now time.Time) {
	for _, e := range events.Events {
		if e.Sequence <= p.after {
			continue
		}
		if e.Sequence != p.after+1 {
			clear(p.seen)
		}
		p.after = e.Sequence
		if e.Stored {
			p.learn(e.Blocks, now)
			continue
		}
		for _, b := range e.Blocks {
			delete(p.seen, b)
		}
	}
}
