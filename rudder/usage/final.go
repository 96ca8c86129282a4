package usage

import (
	"maps"

	"github.com/pkg/errors"
)

// errFinalCountsLost means that the final counts of a window are known to no node that could be asked, though they may have
// been reported.
var errFinalCountsLost = errors.New("a report of the window may have been sent and lost with a restored object API")

// finalCounts holds what this node knows of the final counts of windows besides the object API, which may lose them when it is
// restored from an older copy. Counts that were reported must not be reported again with other ones.
type finalCounts struct {
	own     Windows // final counts that this node stored or read
	through int64   // the latest window whose counts are final, as far as this node or a peer knows; 0 if none
}

// FinalThrough returns the latest window whose counts are final, as far as this node or a peer knows; 0 if there is none.
func (c *Counter) FinalThrough() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.final.through
}

// NoteFinalThrough records that a peer knows final counts of windows up to one.
func (c *Counter) NoteFinalThrough(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.final.through = max(c.final.through, window)
}

// noteFinal records the final counts of a window.
func (c *Counter) noteFinal(window int64, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.final.own == nil {
		c.final.own = Windows{}
	}
	c.final.own[window] = maps.Clone(counts)
	trimWindows(c.final.own, window)
	c.final.through = max(c.final.through, window)
}

// forgetFinal forgets the final counts of a window. The window still counts as one that may have been reported.
func (c *Counter) forgetFinal(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.final.own, window)
}

// finalCounts returns the final counts of a window if this node knows them. mayBeFinal is true if a node may have reported
// counts of the window.
func (c *Counter) finalCounts(window int64) (counts Counts, mayBeFinal bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.final.own[window]), window <= c.final.through
}
