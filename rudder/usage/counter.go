// Package usage counts the requests that backend servers started to run, by organisation and time window, and reports the
// sum over all nodes once per window. Each node counts its own requests and sends the counts to its peers; the node that
// holds the duty lease sends the reports.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counts maps the name of an organisation to its number of runs.
type Counts map[string]int

// Windows maps a window number to its counts. Window k starts k window lengths after the Unix epoch.
type Windows map[int64]Counts

// retainedWindows is the number of windows that a node keeps. The report of a window is due within two windows after it.
const retainedWindows = 8

// Counter counts the runs of this node and stores the counts received from peers. It is safe for concurrent use.
type Counter struct {
	incarnation string // identifies this start of the node process
	window      time.Duration
	now         func() time.Time // time on which all nodes agree

	mu          sync.Mutex
	own         Windows
	peers       map[string]Windows // by peer incarnation
	peerUpdates int                // number of calls of WindowsForPeers
	changed     map[int64]bool     // windows that have changed since the last call of TakeChanged
	final       finalCounts
}

// NewCounter returns a counter. incarnation identifies this start of the node process; peers pass the same value to
// MergePeerWindows. now returns the time on which all nodes agree.
func NewCounter(incarnation string, window time.Duration, now func() time.Time) *Counter {
	return &Counter{incarnation: incarnation, window: window, now: now, own: Windows{}, peers: map[string]Windows{}, changed: map[int64]bool{}}
}

// WindowIndex returns the number of the window that contains t.
func (c *Counter) WindowIndex(t time.Time) int64 { return t.UnixNano() / int64(c.window) }

// WindowEnd returns the end of a window.
func (c *Counter) WindowEnd(index int64) time.Time { return time.Unix(0, (index+1)*int64(c.window)) }

// CountRun counts a run that starts now. A run without an organisation is not counted.
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

// TakeChanged returns the counts of this node for the windows that have changed since the last call.
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

// prunePeers removes old windows of peers, and peer incarnations without windows, so that memory use does not grow with
// each restart of a peer. The caller holds the lock.
func (c *Counter) prunePeers(newest int64) {
	for peer, windows := range c.peers {
		if trimWindows(windows, newest); len(windows) == 0 {
			delete(c.peers, peer)
		}
	}
}

// trimWindows removes all but the newest retainedWindows windows.
func trimWindows(w Windows, newest int64) {
	maps.DeleteFunc(w, func(index int64, _ Counts) bool { return index <= newest-retainedWindows })
}

const (
	// sharedWindows is the number of newest windows that a node sends to its peers.
	sharedWindows = 3
	// fullRateTime is how long after its end a window is included in every update for peers. Later it is included in every
	// reducedRateDivisor-th update only: its counts no longer change, and only a peer that missed all earlier updates needs
	// them.
	fullRateTime       = 2 * time.Second
	reducedRateDivisor = 4
)

// WindowsForPeers returns the counts of this node that are due in the next update for peers.
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

// RecentWindows returns the counts of this node for the windows that it sends to its peers, due or not.
func (c *Counter) RecentWindows() Windows {
	newest := c.WindowIndex(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := Windows{}
	for index, counts := range c.own {
		if index > newest-sharedWindows {
			recent[index] = maps.Clone(counts)
		}
	}
	return recent
}

// MergePeerWindows merges counts received from a peer; peer identifies one start of its process (incarnation). The counts of
// an incarnation never decrease, so the larger value is kept when updates arrive out of order.
func (c *Counter) MergePeerWindows(peer string, windows Windows) {
	if peer == c.incarnation {
		return // own counts, received back from a peer or read from the saved progress
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

// Sum returns the counts of a window summed over this node and all incarnations of peers.
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

// ByIncarnation returns the counts of all windows from first on by incarnation, including those of this node.
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
