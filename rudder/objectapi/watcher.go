package objectapi

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// minRetryDelay and longestPause bound the pause after a failed call; its random part keeps nodes from calling together
	// when the object API is back.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// suspendedPollInterval is how often a follower at rest looks whether it has to call again.
	suspendedPollInterval = 100 * time.Millisecond
)

// WatchGrace is how much later than its wait the answer of a watch may come before its connection is taken to be dead.
const WatchGrace = 500 * time.Millisecond

// Watcher keeps up with the objects of one prefix: it lists them, watches them, and lists again when the history is gone.
type Watcher struct {
	Store  Store
	Prefix string
	// OnList takes a whole listing, Change one change. The time is when the call was sent whose answer told it.
	OnList   func(objects []Object, sent boottime.Instant)
	OnChange func(e Event)
	// OnSync is told after each answer has been taken: everything that was acknowledged before the call was sent is known. The
	// objects are those of the revision.
	OnSync func(sent boottime.Instant, revision int64)
	// WatchTimeout returns how long the next watch should wait for a change.
	WatchTimeout func() time.Duration
	// BatchDelay is how long to wait after changes before the next watch, so that those that follow come together.
	BatchDelay time.Duration
	// IsSuspended reports whether others tell the changes, by Advance, so that no call is made now; nil means that it never is so.
	IsSuspended func() bool
	Log         *slog.Logger

	mu           sync.Mutex
	watchTimeout time.Duration      // of the watch in progress
	cancelWatch  context.CancelFunc // ends the watch in progress
	isSynced     bool               // the objects are known up to revision
	revision     int64
	isCalling    bool // a call is in progress or its answer is being taken
}

// SyncedRevision reports whether the objects are known, and up to which revision.
func (w *Watcher) SyncedRevision() (revision int64, isSynced bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision, w.isSynced
}

// Advance takes changes from elsewhere. They must be all changes after revision from, up to revision to; apply gets the
// revision after which they are not known yet. Advance reports whether everything up to revision to is known afterwards: it
// is not if changes are missing between, or while a call of the follower's own is in progress.
func (w *Watcher) Advance(fromRevision, toRevision int64, apply func(after int64)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.isSynced:
		return false
	case toRevision <= w.revision:
		return true
	case w.isCalling || fromRevision > w.revision:
		return false
	}
	apply(w.revision)
	w.revision = toRevision
	return true
}

// beginCall notes that a call begins and returns what is known before it.
func (w *Watcher) beginCall() (revision int64, isSynced bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCalling = true
	return w.revision, w.isSynced
}

// endCall notes that a call has ended and what is known after it.
func (w *Watcher) endCall(revision int64, isSynced bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCalling, w.revision, w.isSynced = false, revision, isSynced
}

// RestartWatch ends a watch in progress that waits for longer than d, so that the next one begins at once. A shorter one goes
// on: its answer comes soon, and ending it each time would leave the follower without any answer.
func (w *Watcher) RestartWatch(maxWait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelWatch != nil && w.watchTimeout > maxWait {
		w.cancelWatch()
	}
}

// Run follows until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	isUnavailable := false
	for ctx.Err() == nil {
		if _, isSynced := w.SyncedRevision(); isSynced && w.IsSuspended != nil && w.IsSuspended() {
			sleep.For(ctx, suspendedPollInterval)
			continue
		}
		err := w.syncOnce(ctx)
		if err == nil {
			if isUnavailable {
				w.Log.Info("Object API answers again.", "prefix", w.Prefix)
			}
			isUnavailable, retryDelay = false, minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !isUnavailable {
			w.Log.Warn("Object API does not answer.", "prefix", w.Prefix, "error", err)
		}
		isUnavailable = true
		sleep.For(ctx, retryDelay/2+rand.N(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// syncOnce makes one call and takes its answer.
func (w *Watcher) syncOnce(ctx context.Context) error {
	revision, isSynced := w.beginCall()
	sent := boottime.Now()
	if !isSynced {
		listing, err := w.Store.List(ctx, w.Prefix)
		if err != nil {
			w.endCall(revision, false)
			return err
		}
		w.OnList(listing.Objects, sent)
		w.OnSync(sent, listing.Revision)
		w.endCall(listing.Revision, true)
		return nil
	}
	changes, err := w.watch(ctx, revision)
	switch {
	case errors.Is(err, errWatchRestarted):
		w.endCall(revision, true)
		return nil
	case err != nil:
		w.endCall(revision, true)
		return err
	case changes.Reset:
		w.Log.Info("History is gone, objects are listed again.", "prefix", w.Prefix, "revision", revision)
		w.endCall(0, false)
		return nil
	}
	for _, e := range changes.Events {
		w.OnChange(e)
	}
	w.OnSync(sent, changes.Revision)
	w.endCall(changes.Revision, true)
	if len(changes.Events) > 0 {
		sleep.For(ctx, w.BatchDelay)
	}
	return nil
}

// errWatchRestarted means that Renew ended a watch.
var errWatchRestarted = errors.New("watch is renewed")

// watch waits for changes after a revision.
func (w *Watcher) watch(ctx context.Context, revision int64) (Changes, error) {
	timeout := w.WatchTimeout()
	watchCtx, cancel := context.WithTimeout(ctx, timeout+WatchGrace)
	defer cancel()
	w.mu.Lock()
	w.cancelWatch, w.watchTimeout = cancel, timeout
	w.mu.Unlock()
	changes, err := w.Store.Watch(watchCtx, w.Prefix, revision)
	if errors.Is(watchCtx.Err(), context.Canceled) {
		return Changes{}, errWatchRestarted
	}
	return changes, err
}
