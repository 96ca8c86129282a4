package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

// Guards against a window that is reported twice with different counts: all nodes, or the holder before it had told any other
// one, ended right after a report whose record the store then lost, and the next holder took the window for unreported.
func TestWindowThatMayHaveBeenReportedIsNotSummedUpAgain(t *testing.T) {
	for _, c := range []struct {
		name       string
		wereHeard  bool // a majority of the nodes that run was there when the window was reported
		isRestored bool // after the window was due
		want       bool // that the window is reported
	}{
		{name: "all nodes have restarted", isRestored: true},
		{name: "a majority has run on", isRestored: true, wereHeard: true, want: true},
		{name: "restored before the window was due", want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counter := NewCounter("n2/1", 5*time.Second, time.Now)
				window := counter.WindowIndex(time.Now())
				counter.MergePeerWindows("n1/1", Windows{window: {"o": 3}})
				keptSince := time.Now()
				dueAt := counter.WindowEnd(window).Add(settleDelay)
				time.Sleep(time.Until(dueAt))
				if c.isRestored {
					keptSince = time.Now()
				}
				var heardSince time.Time
				peers := allPeers
				peers.wereHeardSince = func(at time.Time) bool { heardSince = at; return c.wereHeard }
				reports := runReporterBeside(t, objectapitest.NewMemoryStore(), counter, 4*time.Second, false, peers, keptSince)
				if got := len(reports) > 0; got != c.want {
					t.Errorf("reports %+v, want one: %t", reports, c.want)
				}
				if c.isRestored && (heardSince.After(dueAt) || heardSince.Before(dueAt.Add(-time.Second))) {
					t.Errorf("peers are asked for since %s, want just before %s", heardSince, dueAt)
				}
			})
		})
	}
}

// Guards against a report that nobody knows of but its sender, which may end right after it while the store loses the record: a
// holder that was cut off sent its report after 2 s although no majority knew of it (review case 14).
func TestReportWaitsUntilAMajorityKnowsOfIt(t *testing.T) {
	for _, c := range []struct {
		name       string
		notedAfter time.Duration // from when the counts are final on
		want       int           // reports
	}{
		{"majority in touch", time.Second, 1},
		{"majority in touch again after a while", 4 * time.Second, 1},
		{"majority not in touch", time.Hour, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counter := NewCounter("n1/1", 5*time.Second, time.Now)
				counter.CountRun("o")
				var finalAt, askedAt time.Time
				peers := allPeers
				peers.haveNoted = func(window int64) bool {
					if counter.FinalThrough() >= window && finalAt.IsZero() {
						finalAt = time.Now()
					}
					askedAt = time.Now()
					return time.Since(finalAt) >= c.notedAfter
				}
				store := objectapitest.NewMemoryStore()
				reports := runReporterBeside(t, store, counter, 14*time.Second, false, peers, time.Time{})
				if len(reports) != c.want || finalAt.IsZero() {
					t.Fatalf("%d reports, counts final at %s, want %d reports of final counts", len(reports), finalAt, c.want)
				}
				if wait := askedAt.Sub(finalAt); c.want > 0 && (wait < c.notedAfter || wait > c.notedAfter+2*pollInterval) {
					t.Errorf("sent %s after the counts were final, want %s", wait, c.notedAfter)
				}
				// While it waits, the reporter reads and writes no record of the window.
				if calls := store.CallCount("get"); calls > 20 {
					t.Errorf("%d readings of the object API, want at most 20", calls)
				}
			})
		})
	}
}

// Guards against a report that lacks what other nodes admitted, by a holder that has not heard of them since the window ended, or since
// it took the lease: it would not know of a report that was sent before.
func TestCountsAreFinalOnlyAfterAMajorityHasToldTheirs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := NewCounter("n1/1", 5*time.Second, time.Now)
		window := counter.WindowIndex(time.Now())
		counter.CountRun("o")
		startedAt := time.Now()
		toldAt := counter.WindowEnd(window).Add(3 * time.Second)
		peers := allPeers
		peers.haveToldWithin = func(d time.Duration) bool {
			since := time.Now().Add(-d)
			if since.Before(startedAt) {
				t.Errorf("peers are asked for since %s, before the start of the reporter", since)
			}
			if since.Before(counter.WindowEnd(window)) { // for an earlier window
				return true
			}
			if time.Now().Before(toldAt) {
				return false
			}
			counter.MergePeerWindows("n2/1", Windows{window: {"o": 2}})
			return true
		}
		reports := runReporterBeside(t, objectapitest.NewMemoryStore(), counter, 9*time.Second, false, peers, time.Time{})
		if len(reports) != 1 || reports[0].counts["o"] != 3 {
			t.Errorf("reports %+v, want one with 3 runs of o", reports)
		}
	})
}

// Guards against two reports with different counts by a holder that gave up the duties before it sent a report, and was asked again
// after another one had sent it and the store had lost that record.
func TestAnnouncedReportIsWithdrawnIfItWasNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapitest.NewMemoryStore()
		storeCopy := store.Copy()
		counter := NewCounter("n1/1", 5*time.Second, time.Now)
		counter.CountRun("o")
		isolated := allPeers
		isolated.haveNoted = func(int64) bool { return false }
		if reports := runReporterBeside(t, store, counter, 8*time.Second, false, isolated, time.Time{}); len(reports) > 0 {
			t.Fatalf("reports %+v of a node outside a majority, want none", reports)
		}
		store.Restore(storeCopy)
		if reports := runReporter(t, store, counter, 4*time.Second, false); len(reports) > 0 {
			t.Errorf("reports %+v of a window that another node may have reported, want none", reports)
		}
	})
}
