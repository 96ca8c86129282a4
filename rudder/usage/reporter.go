package usage

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/sleep"
)

// ReportPrefix is the key prefix of reports in the object API. A report is stored before it is sent, so that the next lease
// holder sends the same counts.
const ReportPrefix = "usage-reports/"

// progressKey is the key of the counts of unreported windows by incarnation, saved in case all nodes stop at once.
const progressKey = "usage-progress/by-node"

const (
	// settleDelay is the time from the end of a window to its report, in which the counts of all nodes arrive.
	settleDelay = 1200 * time.Millisecond
	// takeoverDelay is the time from the start of a reporter to its first report, in which the nodes learn of the new holder
	// of the lease and send it their counts.
	takeoverDelay = 1500 * time.Millisecond
	// pollInterval is the time between checks for windows that are due.
	pollInterval = 125 * time.Millisecond
	// saveInterval is the time between saves of the counts. Counts since the last save are lost when all nodes stop at once;
	// a report may be off by a few percent of a window of some seconds.
	saveInterval = 250 * time.Millisecond
	// announcementWarningDelay is how long a report waits for a majority of the nodes to know that the counts of its window are final
	// before that is logged.
	announcementWarningDelay = 2 * time.Second
	// clockTolerance is by how much the agreed times of two nodes may differ.
	clockTolerance = 250 * time.Millisecond
	// retainedReports is the number of reports kept in the object API beyond those that the next lease holder may send again.
	retainedReports = 3
)

// Sender sends the report of one window with the fence token of the duty lease. It returns nil if the report was accepted.
type Sender func(ctx context.Context, fence, window int64, counts Counts) error

// Peers tells what the other nodes know.
type Peers interface {
	// HaveToldWithin reports whether a majority of the nodes has told its state in the last d.
	HaveToldWithin(d time.Duration) bool
	// HaveNoted reports whether a majority of the nodes knows that the counts of a window are final.
	HaveNoted(window int64) bool
	// WereHeardSince reports whether this node has been in touch with a majority of the nodes since t, so that it would know of a
	// report of which a majority was told since.
	WereHeardSince(t time.Time) bool
}

// Reporter reports the counts of each window while its node holds the duty lease.
type Reporter struct {
	Counter      *Counter
	Store        objectapi.Store
	Send         Sender
	OverdueAfter time.Duration // time from the end of a window until its report is overdue and no longer sent
	Now          func() time.Time
	Peers        Peers
	// KeptSince returns the time since which the object API has lost no report; the second result is false if that is not known
	// yet. See mayBeLost.
	KeptSince func() (time.Time, bool)
	Log       *slog.Logger

	startedAt time.Time        // of Run
	announced *announcedReport // the report that is to be sent next; nil if its counts are not final yet
}

// announcedReport is a report whose counts are final and of which the nodes are being told.
type announcedReport struct {
	report
	window    int64
	version   objectapi.Version
	storedAt  time.Time
	isDelayed bool // it was logged that the report waits
	isTried   bool // the platform may have accepted the report
}

// report is the object API value with the final counts of a window.
type report struct {
	Counts Counts `json:"counts"`
	Sent   bool   `json:"sent"`
}

// progress is the object API value with the counts of windows that are not reported yet, by node incarnation: when it is
// read, some incarnations may have ended, others may have counted further and new ones may have started.
type progress struct {
	Incarnations map[string]Windows `json:"nodes"`
}

// Run reports windows until ctx is done or the lease is lost.
func (r *Reporter) Run(ctx context.Context, dutyLease *lease.Lease) {
	// Without the saved counts, reports would be too low and the next save would overwrite the saved counts.
	for !r.loadProgress(ctx) {
		if dutyLease.Check() != nil || !sleep.For(ctx, pollInterval) {
			return
		}
	}
	next := r.Counter.WindowIndex(r.Now().Add(-r.OverdueAfter)) // the first window whose report is not overdue
	r.startedAt = time.Now()
	defer r.withdraw()
	var savedAt time.Time
	for dutyLease.Check() == nil {
		for time.Since(r.startedAt) >= takeoverDelay && r.Now().After(r.Counter.WindowEnd(next).Add(settleDelay)) {
			if !r.reportWindow(ctx, dutyLease, next) {
				break
			}
			next++
		}
		if time.Since(savedAt) >= saveInterval {
			savedAt = time.Now()
			r.saveProgress(ctx, next)
		}
		if !sleep.For(ctx, pollInterval) {
			return
		}
	}
}

// loadProgress merges the counts that the previous lease holder saved. It returns false if they could not be read and the
// call must be repeated; malformed counts are logged and ignored.
func (r *Reporter) loadProgress(ctx context.Context) bool {
	o, err := r.Store.Get(ctx, progressKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return true
	}
	if err != nil {
		r.Log.Warn("Failed to read the saved usage counts.", "error", err)
		return false
	}
	var saved progress
	if err := json.Unmarshal(o.Value, &saved); err != nil {
		r.Log.Error("Failed to decode the saved usage counts; they are ignored.", "error", err)
		return true // a part of them may have been decoded
	}
	for incarnation, windows := range saved.Incarnations {
		r.Counter.MergePeerWindows(incarnation, windows)
	}
	return true
}

// saveProgress saves the counts of the windows from first on that are still sent to peers.
func (r *Reporter) saveProgress(ctx context.Context, first int64) {
	incarnations := r.Counter.ByIncarnation(max(first, r.Counter.WindowIndex(r.Now())-sharedWindows+1))
	if len(incarnations) == 0 {
		return
	}
	if _, err := r.Store.Put(ctx, progressKey, progress{Incarnations: incarnations}, objectapi.AnyVersion); err != nil {
		r.Log.Warn("Failed to save the usage counts.", "error", err)
	}
}

// reportWindow sends the report of a window. It returns true if the window needs no further attempt.
func (r *Reporter) reportWindow(ctx context.Context, dutyLease *lease.Lease, window int64) bool {
	if r.Now().After(r.Counter.WindowEnd(window).Add(r.OverdueAfter)) {
		r.Log.Warn("Dropped the report of an overdue usage window.", "window", window)
		return true
	}
	key := ReportPrefix + strconv.FormatInt(window, 10)
	if r.announced == nil || r.announced.window != window {
		if !r.isInformed(window) {
			return false
		}
		final, version, err := r.finalCounts(ctx, key, window)
		if errors.Is(err, errFinalCountsLost) {
			r.Log.Warn("Dropped the report of a usage window.", "window", window, "error", err)
			return true
		}
		if err != nil {
			r.Log.Warn("Failed to store or read the usage report.", "window", window, "error", err)
			return false
		}
		r.announced = &announcedReport{report: final, window: window, version: version, storedAt: time.Now()}
	}
	final, version := r.announced.report, r.announced.version
	if final.Sent || len(final.Counts) == 0 {
		return true
	}
	// The object API may lose the record of the report, and this node may end right after it. Without a majority that knows of the
	// report, a successor would take the window for unreported. A report that is never sent is a missed duty; a second one with other
	// counts cannot be undone.
	if !r.Peers.HaveNoted(window) {
		r.warnOfDelay()
		return false
	}
	if dutyLease.Check() != nil {
		return false
	}
	r.announced.isTried = true
	if err := r.Send(ctx, dutyLease.FencingToken, window, final.Counts); err != nil {
		r.Log.Warn("Failed to send the usage report.", "window", window, "fence", dutyLease.FencingToken, "error", err)
		return false
	}
	r.Log.Info("Sent the usage report.", "window", window, "fence", dutyLease.FencingToken, "counts", final.Counts)
	if _, err := r.Store.Put(ctx, key, report{Counts: final.Counts, Sent: true}, version); err != nil {
		r.Log.Warn("Failed to mark the usage report as sent; the next lease holder would send it again.", "window", window, "error", err)
	}
	r.deleteReport(ctx, window-retainedReports-int64(r.OverdueAfter/r.Counter.window))
	return true
}

// isInformed reports whether the counts of a window can be final: a majority of the nodes has told its counts since the end of the
// window, and, since this node became the holder, what it knows of earlier reports.
func (r *Reporter) isInformed(window int64) bool {
	return r.Peers.HaveToldWithin(min(time.Since(r.startedAt), r.Now().Sub(r.Counter.WindowEnd(window))))
}

// warnOfDelay logs once that a report waits for a majority of the nodes.
func (r *Reporter) warnOfDelay() {
	if r.announced.isDelayed || time.Since(r.announced.storedAt) < announcementWarningDelay {
		return
	}
	r.announced.isDelayed = true
	r.Log.Warn("The usage report waits until a majority of the nodes knows of it.", "window", r.announced.window)
}

// withdraw forgets the counts of a report that was announced and not sent: the next holder may send other ones.
func (r *Reporter) withdraw() {
	if r.announced != nil && !r.announced.isTried && !r.announced.Sent {
		r.Counter.forgetFinal(r.announced.window)
	}
}

// finalCounts stores the counts of a window and returns the report with its object version. If another lease holder has
// already stored a report for the window, it returns that one; if that one was lost with a restored object API, it stores the
// same counts again, or returns errFinalCountsLost if this node does not know them.
func (r *Reporter) finalCounts(ctx context.Context, key string, window int64) (report, objectapi.Version, error) {
	counts, mayBeFinal := r.Counter.finalCounts(window)
	if counts == nil && !mayBeFinal {
		var err error
		if mayBeFinal, err = r.mayBeLost(window); err != nil {
			return report{}, objectapi.AbsentVersion, err
		}
	}
	final := report{Counts: counts}
	if counts == nil {
		final.Counts = r.Counter.Sum(window)
	}
	if counts != nil || !mayBeFinal {
		o, err := r.Store.Put(ctx, key, final, objectapi.AbsentVersion)
		if err == nil {
			r.Counter.noteFinal(window, final.Counts)
			return final, o.Version, nil
		}
	}
	o, err := r.Store.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) && counts == nil && mayBeFinal {
		return report{}, objectapi.AbsentVersion, errFinalCountsLost
	}
	if err != nil {
		return report{}, objectapi.AbsentVersion, err
	}
	final = report{} // decoding would keep what a map holds already
	if err := json.Unmarshal(o.Value, &final); err != nil {
		return report{}, objectapi.AbsentVersion, errors.Wrapf(err, "decode %s", key)
	}
	r.Counter.noteFinal(window, final.Counts)
	return final, o.Version, nil
}

// mayBeLost reports whether another lease holder may have reported a window of which neither this node nor the object API knows:
// the object API was restored since the window became due, and too few of the nodes that run were there.
func (r *Reporter) mayBeLost(window int64) (bool, error) {
	keptSince, isKnown := r.KeptSince()
	if !isKnown {
		return false, errors.New("it is not known yet whether the object API was restored")
	}
	dueAt := r.Counter.WindowEnd(window).Add(settleDelay - clockTolerance)
	return dueAt.Before(keptSince) && !r.Peers.WereHeardSince(dueAt), nil
}

// deleteReport deletes the stored report of a window.
func (r *Reporter) deleteReport(ctx context.Context, window int64) {
	err := r.Store.Delete(ctx, ReportPrefix+strconv.FormatInt(window, 10), objectapi.AnyVersion)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		r.Log.Warn("Failed to delete an old usage report.", "window", window, "error", err)
	}
}
