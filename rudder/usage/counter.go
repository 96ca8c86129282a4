// Package usage counts the requests that backend servers began to run, by organisation and window of time, and reports
// the sum over all nodes once for each window. Each node counts its own requests and tells its peers; the node that holds
// the lease of the duty reports.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counts are runs by organisation.
type Counts map[string]int

// Windows are counts by window number. Window k begins k window lengths after the start of 1970.
type Windows map[int64]Counts

// retainedWindows is how many windows a node remembers: a report is due within two windows after its own.
const retainedWindows = 8

// Counter counts the runs of this node and keeps what peers said of theirs. It is safe for concurrent use.
type Counter struct {
	incarnation string // this start of the node's process, as peers name it
	window      time.Duration
	now         func() time.Time // agreed time of all nodes

	mu          sync.Mutex
	own         Windows
	peers       map[string]Windows // by peer incarnation
	peerUpdates int                // calls of Own
	changed     map[int64]bool     // windows that have changed since the last call of Changed
}

// NewCounter returns a counter. self names this start of the node's process as peers do in Learn, now gives the time that
// the nodes agree on.
func NewCounter(incarnation string, window time.Duration, now func() time.Time) *Counter {
	return &Counter{incarnation: incarnation, window: window, now: now, own: Windows{}, peers: map[string]Windows{}, changed: map[int64]bool{}}
}

// WindowIndex returns the number of the window of a time.
func (c *Counter) WindowIndex(t time.Time) int64 { return t.UnixNano() / int64(c.window) }

// WindowEnd returns when a window ends.
func (c *Counter) WindowEnd(index int64) time.Time { return time.Unix(0, (index+1)*int64(c.window)) }

// CountRun counts a run that begins now.
func (c *Counter) CountRun(organisation string) {
	if organisation == "" {
		return
	}
	index := c.WindowIndex(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, found := c.own[index]
	if !found {
		counts = Counts{}
		c.own[index] = counts
		trimWindows(c.own, index)
		c.prunePeers(index)
	}
	counts[organisation]++
	c.changed[index] = true
}

// TakeChanged returns the counts of this node's windows that have changed since the last call.
func (c *Counter) TakeChanged() Windows {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := Windows{}
	for index := range c.changed {
		changed[index] = maps.Clone(c.own[index])
	}
	clear(c.changed)
	return changed
}

// prunePeers drops incarnations of peers whose windows are all too old, so that restarts do not add up. The caller holds
// the lock.
func (c *Counter) prunePeers(newest int64) {
	for peer, windows := range c.peers {
		if trimWindows(windows, newest); len(windows) == 0 {
			delete(c.peers, peer)
		}
	}
}

func trimWindows(w Windows, newest int64) {
	maps.DeleteFunc(w, func(index int64, _ Counts) bool { return index <= newest-retainedWindows })
}

const (
	// sharedWindows is how many windows a node tells its peers.
	sharedWindows = 3
	// fullRateTime is how long after its end a window is told each time; later each freshEvery-th time, since its counts do
	// not change any more and only a peer that missed all before needs them.
	fullRateTime       = 2 * time.Second
	reducedRateDivisor = 4
)

// WindowsForPeers returns the counts of this node's newest windows that peers may not know yet.
func (c *Counter) WindowsForPeers() Windows {
	now := c.now()
	newest := c.WindowIndex(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerUpdates++
	recent := Windows{}
	for index, counts := range c.own {
		isDue := now.Sub(c.WindowEnd(index)) < fullRateTime || c.peerUpdates%reducedRateDivisor == 1
		if index > newest-sharedWindows && isDue {
			recent[index] = maps.Clone(counts)
		}
	}
	return recent
}

// MergePeer takes the counts of a peer; peer names one start of its process. Counts of one start only grow.
func (c *Counter) MergePeer(peer string, windows Windows) {
	if peer == c.incarnation {
		return // counted here
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	peerWindows, found := c.peers[peer]
	if !found {
		peerWindows = Windows{}
		c.peers[peer] = peerWindows
	}
	for index, counts := range windows {
		merged := peerWindows[index]
		if merged == nil {
			merged = Counts{}
			peerWindows[index] = merged
		}
		for organisation, n := range counts {
			merged[organisation] = max(merged[organisation], n)
		}
		trimWindows(peerWindows, index)
	}
}

// Sum returns the counts of a window over this node and all peer incarnations.
func (c *Counter) Sum(index int64) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := maps.Clone(c.own[index])
	if sum == nil {
		sum = Counts{}
	}
	for _, windows := range c.peers {
		for organisation, n := range windows[index] {
			sum[organisation] += n
		}
	}
	return sum
}

// ByIncarnation returns the counts of the windows from a first one on, by incarnation, this node's included.
func (c *Counter) ByIncarnation(first int64) map[string]Windows {
	c.mu.Lock()
	defer c.mu.Unlock()
	byIncarnation := map[string]Windows{}
	add := func(incarnation string, windows Windows) {
		for index, counts := range windows {
			if index < first || len(counts) == 0 {
				continue
			}
			if byIncarnation[incarnation] == nil {
				byIncarnation[incarnation] = Windows{}
			}
			byIncarnation[incarnation][index] = maps.Clone(counts)
		}
	}
	for incarnation, windows := range c.peers {
		add(incarnation, windows)
	}
	add(c.incarnation, c.own)
	return byIncarnation
}
