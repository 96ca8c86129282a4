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
	// minRetryDelay and maxRetryDelay are the limits of the exponential delay after a failed call, before jitter. The jitter
	// keeps the nodes from calling at the same time when the object API is available again.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// suspendedPollInterval is how often a suspended watcher checks whether it has to resume its calls.
	suspendedPollInterval = 100 * time.Millisecond
)

// WatchGrace is how much later than its wait time the response to a watch may arrive before its connection is considered
// dead.
const WatchGrace = 500 * time.Millisecond

// Watcher follows the objects with one key prefix: it lists them, watches for changes, and lists again when the
// changes since the last watch are not known. The exported fields are set before Run and not changed afterwards.
type Watcher struct {
	Store  Store
	Prefix string
	// OnList is called with each complete listing, OnChange with each change. sent is the time at which the list call was
	// sent.
	OnList   func(listing Listing, sent boottime.Instant)
	OnChange func(e Event)
	// OnSync is called after each response has been processed. The objects are then known as of the revision, including
	// everything that the store had acknowledged before sent, the time at which the call was sent.
	OnSync func(sent boottime.Instant, revision Version)
	// WatchTimeout returns how long the next watch should wait for a change. The response may take WatchGrace longer.
	WatchTimeout func() time.Duration
	// BatchDelay is the delay between changes and the next watch, so that subsequent changes arrive in one batch.
	BatchDelay time.Duration
	// IsSuspended reports whether no calls are to be made at present, because the changes come from another source through
	// Advance, or soon because other nodes call first. It is not asked before the first listing. nil means never.
	IsSuspended func() bool
	Log         *slog.Logger

	mu           sync.Mutex
	watchTimeout time.Duration      // of the current watch
	cancelWatch  context.CancelFunc // cancels the current watch
	isSynced     bool               // the objects are known up to revision
	revision     Version
	hasListed    bool // a listing has been processed
	isCalling    bool // a call is in progress or its response is being processed
}

// SyncedRevision returns the revision up to which the objects are known. isSynced is false before the first listing and
// while the objects must be listed again.
func (w *Watcher) SyncedRevision() (revision Version, isSynced bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision, w.isSynced
}

// hasListing reports whether a listing has been processed.
func (w *Watcher) hasListing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasListed
}

// Advance applies changes that were received from another source. They must be all changes after fromRevision up to
// toRevision. It calls apply with the current revision of the watcher; apply must apply only the changes after that.
// Advance reports whether everything up to toRevision is known afterwards. This is not the case before a listing, if changes
// before fromRevision are missing, or while a call of the watcher is in progress. Nor is it if the revisions are of another
// epoch than the watcher's: their numbers cannot be compared, and a later epoch requires a listing.
func (w *Watcher) Advance(fromRevision, toRevision Version, apply func(after Version)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.isSynced:
		return false
	case toRevision.Epoch != w.revision.Epoch:
		if toRevision.Epoch > w.revision.Epoch && !w.isCalling {
			w.isSynced = false
		}
		return false
	case toRevision.Compare(w.revision) <= 0:
		return true
	case w.isCalling || fromRevision.Compare(w.revision) > 0:
		return false
	}
	apply(w.revision)
	w.revision = toRevision
	return true
}

// beginCall marks a call as in progress, which blocks Advance, and returns the current sync state.
func (w *Watcher) beginCall() (revision Version, isSynced bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCalling = true
	return w.revision, w.isSynced
}

// endCall marks the call as finished and sets the new sync state.
func (w *Watcher) endCall(revision Version, isSynced bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCalling, w.revision, w.isSynced, w.hasListed = false, revision, isSynced, w.hasListed || isSynced
}

// RestartWatch cancels the current watch if it waits for longer than maxWait, so that the next one starts immediately. A
// shorter watch continues: its response will arrive soon, and if each one were cancelled, no response would ever arrive.
func (w *Watcher) RestartWatch(maxWait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelWatch != nil && w.watchTimeout > maxWait {
		w.cancelWatch()
	}
}

// Run lists and watches the objects until ctx ends. It retries failed calls.
func (w *Watcher) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	isUnavailable := false
	for ctx.Err() == nil {
		if w.hasListing() && w.IsSuspended != nil && w.IsSuspended() {
			sleep.For(ctx, suspendedPollInterval)
			continue
		}
		err := w.syncOnce(ctx)
		if err == nil {
			if isUnavailable {
				w.Log.Info("Object API is available again.", "prefix", w.Prefix)
			}
			isUnavailable, retryDelay = false, minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !isUnavailable {
			w.Log.Warn("Object API call failed, it will be retried.", "prefix", w.Prefix, "error", err)
		}
		isUnavailable = true
		sleep.For(ctx, retryDelay/2+rand.N(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// syncOnce makes one list or watch call and processes the response.
func (w *Watcher) syncOnce(ctx context.Context) error {
	revision, isSynced := w.beginCall()
	sent := boottime.Now()
	if !isSynced {
		listing, err := w.Store.List(ctx, w.Prefix)
		if err != nil {
			w.endCall(revision, false)
			return err
		}
		w.OnList(listing, sent)
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
	case changes.Reset || changes.Revision.Epoch != revision.Epoch || changes.Revision.Compare(revision) < 0:
		w.Log.Info("Changes since the last watch are not known, objects are listed again.", "prefix", w.Prefix, "revision", revision, "store_revision", changes.Revision)
		w.endCall(revision, false)
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

// errWatchRestarted means that RestartWatch cancelled a watch.
var errWatchRestarted = errors.New("watch was restarted")

// watch waits for changes after a revision. It returns errWatchRestarted if RestartWatch or the caller cancelled the watch.
func (w *Watcher) watch(ctx context.Context, revision Version) (Changes, error) {
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
