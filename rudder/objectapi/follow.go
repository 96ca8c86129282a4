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
	// firstPause and longestPause bound the pause after a failed call; its random part keeps nodes from calling together
	// when the object API is back.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
	// restCheck is how often a follower at rest looks whether it has to call again.
	restCheck = 100 * time.Millisecond
)

// WatchGrace is how much later than its wait the answer of a watch may come before its connection is taken to be dead.
const WatchGrace = 500 * time.Millisecond

// Follower keeps up with the objects of one prefix: it lists them, watches them, and lists again when the history is gone.
type Follower struct {
	Store  Store
	Prefix string
	// List takes a whole listing, Change one change. The time is when the call was sent whose answer told it.
	List   func(objects []Object, sent boottime.Instant)
	Change func(e Event)
	// Seen is told after each answer has been taken: everything that was acknowledged before the call was sent is known. The
	// objects are those of the revision.
	Seen func(sent boottime.Instant, revision int64)
	// Wait returns how long the next watch should wait for a change.
	Wait func() time.Duration
	// Pause is how long to wait after changes before the next watch, so that those that follow come together.
	Pause time.Duration
	// Rest reports whether others tell the changes, by Advance, so that no call is made now; nil means that it never is so.
	Rest func() bool
	Log  *slog.Logger

	mu       sync.Mutex
	wait     time.Duration      // of the watch in progress
	stop     context.CancelFunc // ends the watch in progress
	listed   bool               // the objects are known up to revision
	revision int64
	calling  bool // a call is in progress or its answer is being taken
}

// Listed reports whether the objects are known, and up to which revision.
func (f *Follower) Listed() (revision int64, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.listed
}

// Advance takes changes from elsewhere. They must be all changes after revision from, up to revision to; apply gets the
// revision after which they are not known yet. Advance reports whether everything up to revision to is known afterwards: it
// is not if changes are missing between, or while a call of the follower's own is in progress.
func (f *Follower) Advance(from, to int64, apply func(after int64)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.listed:
		return false
	case to <= f.revision:
		return true
	case f.calling || from > f.revision:
		return false
	}
	apply(f.revision)
	f.revision = to
	return true
}

// begin notes that a call begins and returns what is known before it.
func (f *Follower) begin() (revision int64, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calling = true
	return f.revision, f.listed
}

// end notes that a call has ended and what is known after it.
func (f *Follower) end(revision int64, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calling, f.revision, f.listed = false, revision, listed
}

// Renew ends a watch in progress that waits for longer than d, so that the next one begins at once. A shorter one goes
// on: its answer comes soon, and ending it each time would leave the follower without any answer.
func (f *Follower) Renew(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop != nil && f.wait > d {
		f.stop()
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	lost := false
	for ctx.Err() == nil {
		if _, listed := f.Listed(); listed && f.Rest != nil && f.Rest() {
			sleep.For(ctx, restCheck)
			continue
		}
		err := f.step(ctx)
		if err == nil {
			if lost {
				f.Log.Info("Object API answers again.", "prefix", f.Prefix)
			}
			lost, pause = false, firstPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !lost {
			f.Log.Warn("Object API does not answer.", "prefix", f.Prefix, "error", err)
		}
		lost = true
		sleep.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, longestPause)
	}
}

// step makes one call and takes its answer.
func (f *Follower) step(ctx context.Context) error {
	revision, listed := f.begin()
	sent := boottime.Now()
	if !listed {
		listing, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			f.end(revision, false)
			return err
		}
		f.List(listing.Objects, sent)
		f.Seen(sent, listing.Revision)
		f.end(listing.Revision, true)
		return nil
	}
	changes, err := f.watch(ctx, revision)
	switch {
	case errors.Is(err, errRenewed):
		f.end(revision, true)
		return nil
	case err != nil:
		f.end(revision, true)
		return err
	case changes.Reset:
		f.Log.Info("History is gone, objects are listed again.", "prefix", f.Prefix, "revision", revision)
		f.end(0, false)
		return nil
	}
	for _, e := range changes.Events {
		f.Change(e)
	}
	f.Seen(sent, changes.Revision)
	f.end(changes.Revision, true)
	if len(changes.Events) > 0 {
		sleep.For(ctx, f.Pause)
	}
	return nil
}

// errRenewed means that Renew ended a watch.
var errRenewed = errors.New("watch is renewed")

// watch waits for changes after a revision.
func (f *Follower) watch(ctx context.Context, revision int64) (Changes, error) {
	wait := f.Wait()
	watchCtx, stop := context.WithTimeout(ctx, wait+WatchGrace)
	defer stop()
	f.mu.Lock()
	f.stop, f.wait = stop, wait
	f.mu.Unlock()
	changes, err := f.Store.Watch(watchCtx, f.Prefix, revision)
	if errors.Is(watchCtx.Err(), context.Canceled) {
		return Changes{}, errRenewed
	}
	return changes, err
}
