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

// ReportPrefix is the prefix of reports in the object API. A report is written there before it is sent, so that a successor
// sends the same counts.
const ReportPrefix = "usage-reports/"

// progressKey holds the counts of unreported windows by node, for the case that all nodes end at once.
const progressKey = "usage-progress/by-node"

const (
	// settleDelay is how long after a window's end its counts are taken: the counts of all nodes have arrived by then.
	settleDelay = 1200 * time.Millisecond
	// pollInterval is the pause between two looks at the windows.
	pollInterval = 125 * time.Millisecond
	// saveInterval is how often the counts are saved. What is counted since is lost when all nodes end at once; a
	// report may be off by a few percent of a window of some seconds.
	saveInterval = 250 * time.Millisecond
	// retainedReports is how many reports stay in the object API beyond those that a successor may still send again.
	retainedReports = 3
)

// Sender sends the report of one window. It returns nil if the report was accepted.
type Sender func(ctx context.Context, fence, window int64, counts Counts) error

// Reporter reports the counts of the windows while its node holds the lease.
type Reporter struct {
	Counter      *Counter
	Store        objectapi.Store
	Send         Sender
	OverdueAfter time.Duration // after the end of a window, when its report is overdue
	Now          func() time.Time
	Log          *slog.Logger
}

// report is a window's final counts in the object API.
type report struct {
	Counts Counts `json:"counts"`
	Sent   bool   `json:"sent"`
}

// progress is what was counted of windows that are not reported yet. It is kept by incarnation of the nodes: some of them
// may have ended when it is read, others have counted on, and others have begun since.
type progress struct {
	Incarnations map[string]Windows `json:"nodes"`
}

// Run reports until ctx ends or the lease is lost.
func (r *Reporter) Run(ctx context.Context, dutyLease *lease.Lease) {
	// Without the saved counts a report would be too low, and saving would overwrite them.
	for !r.loadProgress(ctx) {
		if dutyLease.Check() != nil || !sleep.For(ctx, pollInterval) {
			return
		}
	}
	next := r.Counter.WindowIndex(r.Now().Add(-r.OverdueAfter)) // the first window whose report is not overdue
	var savedAt time.Time
	for dutyLease.Check() == nil {
		for r.Now().After(r.Counter.WindowEnd(next).Add(settleDelay)) {
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

// loadProgress takes the counts that an earlier holder saved, and reports whether all is known that there is.
func (r *Reporter) loadProgress(ctx context.Context) bool {
	o, err := r.Store.Get(ctx, progressKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return true
	}
	if err != nil {
		r.Log.Warn("Saved counts could not be read.", "error", err)
		return false
	}
	var saved progress
	if err := json.Unmarshal(o.Value, &saved); err != nil {
		r.Log.Error("Saved counts are malformed and left out.", "error", err)
	}
	for incarnation, windows := range saved.Incarnations {
		r.Counter.MergePeer(incarnation, windows)
	}
	return true
}

// saveProgress writes the counts of the windows from a first one on.
func (r *Reporter) saveProgress(ctx context.Context, first int64) {
	nodes := r.Counter.ByIncarnation(max(first, r.Counter.WindowIndex(r.Now())-sharedWindows+1))
	if len(nodes) == 0 {
		return
	}
	if _, err := r.Store.Put(ctx, progressKey, progress{Incarnations: nodes}, objectapi.Any); err != nil {
		r.Log.Warn("Counts could not be saved.", "error", err)
	}
}

// reportWindow sends one window and reports whether it is done with it.
func (r *Reporter) reportWindow(ctx context.Context, dutyLease *lease.Lease, window int64) bool {
	if r.Now().After(r.Counter.WindowEnd(window).Add(r.OverdueAfter)) {
		r.Log.Warn("Usage window is overdue and not reported.", "window", window)
		return true
	}
	key := ReportPrefix + strconv.FormatInt(window, 10)
	final, version, err := r.finalCounts(ctx, key, window)
	if err != nil {
		r.Log.Warn("Usage report could not be written.", "window", window, "error", err)
		return false
	}
	if final.Sent || len(final.Counts) == 0 {
		return true
	}
	if dutyLease.Check() != nil {
		return false
	}
	if err := r.Send(ctx, dutyLease.Fence, window, final.Counts); err != nil {
		r.Log.Warn("Usage report was not accepted.", "window", window, "fence", dutyLease.Fence, "error", err)
		return false
	}
	r.Log.Info("Usage is reported.", "window", window, "fence", dutyLease.Fence, "counts", final.Counts)
	if _, err := r.Store.Put(ctx, key, report{Counts: final.Counts, Sent: true}, version); err != nil {
		r.Log.Warn("Usage report could not be marked as sent; a successor would repeat it.", "window", window, "error", err)
	}
	r.deleteReport(ctx, window-retainedReports-int64(r.OverdueAfter/r.Counter.window))
	return true
}

// finalCounts returns the counts of a window as they were first written; whoever writes first decides.
func (r *Reporter) finalCounts(ctx context.Context, key string, window int64) (report, int64, error) {
	final := report{Counts: r.Counter.Sum(window)}
	o, err := r.Store.Put(ctx, key, final, objectapi.Absent)
	if err == nil {
		return final, o.Version, nil
	}
	if o, err = r.Store.Get(ctx, key); err != nil {
		return report{}, 0, err
	}
	err = json.Unmarshal(o.Value, &final)
	return final, o.Version, errors.Wrapf(err, "decode %s", key)
}

func (r *Reporter) deleteReport(ctx context.Context, window int64) {
	err := r.Store.Delete(ctx, ReportPrefix+strconv.FormatInt(window, 10), objectapi.Any)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		r.Log.Warn("Old usage report could not be deleted.", "window", window, "error", err)
	}
}
