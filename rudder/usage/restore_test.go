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

// Guards against a report that nobody knows of but its sender, which may end right after it while the store loses the record.
func TestReportWaitsUntilAMajorityKnowsOfIt(t *testing.T) {
	for _, c := range []struct {
		name         string
		notedAfter   time.Duration // from when the counts are final on
		wantSentFrom time.Duration
	}{
		{"majority in touch", time.Second, time.Second},
		{"majority not in touch", time.Hour, maxAnnouncementWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counter := NewCounter("n1/1", 5*time.Second, time.Now)
				counter.CountRun("o")
				var finalAt, sentAt time.Time
				peers := allPeers
				peers.haveNoted = func(window int64) bool {
					if counter.FinalThrough() >= window && finalAt.IsZero() {
						finalAt = time.Now()
					}
					sentAt = time.Now()
					return time.Since(finalAt) >= c.notedAfter
				}
				store := objectapitest.NewMemoryStore()
				reports := runReporterBeside(t, store, counter, 12*time.Second, false, peers, time.Time{})
				if len(reports) != 1 || finalAt.IsZero() {
					t.Fatalf("%d reports, counts final at %s, want one report of final counts", len(reports), finalAt)
				}
				if wait := sentAt.Sub(finalAt); wait < c.wantSentFrom || wait > c.wantSentFrom+2*pollInterval {
					t.Errorf("sent %s after the counts were final, want %s", wait, c.wantSentFrom)
				}
				// While it waits, the reporter reads and writes no record of the window.
				if calls := store.CallCount("get"); calls > 20 {
					t.Errorf("%d readings of the object API, want at most 20", calls)
				}
			})
		})
	}
}
