package usage

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

type sentReport struct {
	fence, window int64
	counts        Counts
}

// runReporter runs a reporter under a lease for a while and returns what it sent.
func runReporter(t *testing.T, store objectapi.Store, counter *Counter, d time.Duration, fail bool) []sentReport {
	t.Helper()
	var reports []sentReport
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	r := &Reporter{
		Counter: counter, Store: store, OverdueAfter: 10 * time.Second, Now: time.Now, Log: slog.New(slog.DiscardHandler),
		Send: func(_ context.Context, fence, window int64, counts Counts) error {
			reports = append(reports, sentReport{fence, window, maps.Clone(counts)})
			if fail {
				return errors.New("no answer")
			}
			return nil
		},
	}
	m := &lease.Manager{Store: store, Node: "n", Log: slog.New(slog.DiscardHandler), Timing: lease.Timing{Duration: time.Hour, Margin: time.Second}}
	m.Hold(ctx, "duties", r.Run)
	return reports
}

// A window is reported once, after its end, with the runs of all nodes.
func TestReportIncludesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := NewCounter("n1/1", 5*time.Second, time.Now)
		window := counter.WindowIndex(time.Now())
		counter.CountRun("o")
		counter.MergePeer("n2/1", Windows{window: {"o": 2, "p": 1}})
		counter.MergePeer("n2/1", Windows{window: {"o": 1}}) // an older digest that comes late
		reports := runReporter(t, objectapitest.NewMemory(), counter, 12*time.Second, false)
		if len(reports) != 1 || reports[0].window != window || reports[0].counts["o"] != 3 || reports[0].counts["p"] != 1 {
			t.Fatalf("reports %+v", reports)
		}
	})
}

// A successor of a holder whose report was not answered must send the same counts, whatever it counted itself: the first
// report may have been accepted.
func TestSuccessorSendsSameCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapitest.NewMemory()
		first := NewCounter("n1/1", 5*time.Second, time.Now)
		first.CountRun("o")
		before := runReporter(t, store, first, 8*time.Second, true)
		second := NewCounter("n1/2", 5*time.Second, time.Now)
		second.MergePeer("x", Windows{before[0].window: {"o": 9}})
		after := runReporter(t, store, second, 4*time.Second, false)
		if len(after) == 0 || !maps.Equal(after[0].counts, before[0].counts) || after[0].window != before[0].window {
			t.Fatalf("first %+v, then %+v", before, after)
		}
	})
}

// When all nodes end at once, what the last holder saved is not lost.
func TestSavedCountsAreRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapitest.NewMemory()
		first := NewCounter("n1/1", 5*time.Second, time.Now)
		window := first.WindowIndex(time.Now())
		for range 7 {
			first.CountRun("o")
		}
		runReporter(t, store, first, 2*time.Second, false)
		reports := runReporter(t, store, NewCounter("n1/2", 5*time.Second, time.Now), 9*time.Second, false)
		if len(reports) == 0 || reports[0].window != window || reports[0].counts["o"] != 7 {
			t.Fatalf("reports %+v, want 7 runs in window %d", reports, window)
		}
	})
}

// After a kill of all nodes the new ones count on in the same window. When the saved sums only set a lower bound, what the
// new nodes counted was lost up to the saved sum (trouble-3 of duwende-route-grown, off by 2,309 of 5,697 runs).
func TestSavedCountsAddToCountsAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapitest.NewMemory()
		first := NewCounter("n1/1", 5*time.Second, time.Now)
		window := first.WindowIndex(time.Now())
		first.CountRun("o")
		first.MergePeer("n2/1", Windows{window: {"o": 4}})
		first.MergePeer("n3/1", Windows{window: {"o": 2}})
		runReporter(t, store, first, time.Second, false)
		second := NewCounter("n1/2", 5*time.Second, time.Now)
		second.CountRun("o")
		second.MergePeer("n2/2", Windows{window: {"o": 10}}) // started anew
		second.MergePeer("n3/1", Windows{window: {"o": 5}})  // still runs
		reports := runReporter(t, store, second, 9*time.Second, false)
		if len(reports) == 0 || reports[0].window != window || reports[0].counts["o"] != 1+4+1+10+5 {
			t.Fatalf("reports %+v, want 21 runs in window %d", reports, window)
		}
	})
}

// The store may fail when a successor reads the saved counts. When it went on without them, its report was off by a quarter
// and it overwrote them (trouble-3 of zlatospoj-grown).
func TestReadOfSavedCountsIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapitest.NewMemory()
		first := NewCounter("n1/1", 5*time.Second, time.Now)
		window := first.WindowIndex(time.Now())
		first.CountRun("o")
		runReporter(t, store, first, time.Second, false)
		failures := 3
		store.Before = func(kind, key string) error {
			if kind == "get" && key == progressKey && failures > 0 {
				failures--
				return objectapi.ErrUnavailable
			}
			return nil
		}
		second := NewCounter("n1/2", 5*time.Second, time.Now)
		second.CountRun("o")
		reports := runReporter(t, store, second, 9*time.Second, false)
		if failures > 0 || len(reports) == 0 || reports[0].window != window || reports[0].counts["o"] != 2 {
			t.Fatalf("reports %+v with %d failures left, want 2 runs in window %d", reports, failures, window)
		}
	})
}

// The final counts of a window must outlast the time in which a successor may send it again. When older reports were
// deleted after a fixed number of windows, a successor counted the window anew (fault soak, seed 101).
func TestFinalCountsAreKeptUntilOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapitest.NewMemory()
		first := NewCounter("n1/1", time.Second, time.Now)
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				first.CountRun("o")
				time.Sleep(100 * time.Millisecond)
			}
		}()
		sentCounts := map[int64]Counts{}
		for _, s := range runReporter(t, store, first, 9*time.Second, false) {
			sentCounts[s.window] = s.counts
		}
		second := NewCounter("n1/2", time.Second, time.Now)
		for window := range sentCounts {
			second.MergePeer("x", Windows{window: {"o": 99}})
		}
		for _, s := range runReporter(t, store, second, 2*time.Second, false) {
			if before, known := sentCounts[s.window]; known && !maps.Equal(before, s.counts) {
				t.Fatalf("window %d was sent as %v and %v", s.window, before, s.counts)
			}
		}
	})
}

// Each restart of a peer is a new incarnation; those whose windows are over must not add up in memory.
func TestOldPeerIncarnationsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCounter("n1/1", time.Second, time.Now)
		window := c.WindowIndex(time.Now())
		for _, peer := range []string{"n2/1", "n2/2", "n2/3"} {
			c.MergePeer(peer, Windows{window: {"o": 1}})
		}
		time.Sleep(2 * retainedWindows * time.Second)
		c.CountRun("o")
		if n := len(c.peers); n != 0 {
			t.Fatalf("%d ended peers are remembered", n)
		}
	})
}

// The holder of the duty hears of runs soon after them; windows that have not changed are not told again.
func TestTakeChanged(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCounter("n1/1", 5*time.Second, func() time.Time { return now })
	c.CountRun("o")
	c.CountRun("o")
	if changed := c.TakeChanged(); len(changed) != 1 || changed[c.WindowIndex(now)]["o"] != 2 {
		t.Fatalf("changed %v", changed)
	}
	if changed := c.TakeChanged(); len(changed) != 0 {
		t.Fatalf("changed again %v", changed)
	}
	now = now.Add(5 * time.Second)
	c.CountRun("o")
	if changed := c.TakeChanged(); len(changed) != 1 || changed[c.WindowIndex(now)]["o"] != 1 {
		t.Fatalf("changed in the next window %v", changed)
	}
}

// A peer that missed the digests around the end of a window must still get its counts, though they are not told each time.
func TestWindowsForPeersRepeatsEndedWindows(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCounter("n1/1", 5*time.Second, func() time.Time { return now })
	index := c.WindowIndex(now)
	c.CountRun("o")
	now = c.WindowEnd(index).Add(fullRateTime / 2)
	if counts := c.WindowsForPeers()[index]; counts["o"] != 1 {
		t.Fatalf("counts %v just after the end of the window", counts)
	}
	now = c.WindowEnd(index).Add(fullRateTime * 2)
	sends := 0
	for range 3 * reducedRateDivisor {
		if c.WindowsForPeers()[index]["o"] == 1 {
			sends++
		}
	}
	if sends != 3 {
		t.Fatalf("window is told %d times of %d, want 3", sends, 3*reducedRateDivisor)
	}
}
