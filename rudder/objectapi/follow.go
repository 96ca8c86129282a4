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
	// Seen is told after each answer has been taken: everything that was acknowledged before the call was sent is known.
	Seen func(sent boottime.Instant)
	// Wait returns how long the next watch should wait for a change.
	Wait func() time.Duration
	// Pause returns how long to wait after changes before the next watch, so that those that follow come together; nil
	// means no pause.
	Pause func() time.Duration
	Log   *slog.Logger

	mu   sync.Mutex
	wait time.Duration      // of the watch in progress
	stop context.CancelFunc // ends the watch in progress
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
	revision := int64(-1)
	for ctx.Err() == nil {
		var err error
		if revision < 0 {
			revision, err = f.list(ctx)
		} else {
			revision, err = f.watch(ctx, revision)
		}
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

func (f *Follower) list(ctx context.Context) (int64, error) {
	sent := boottime.Now()
	listing, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return -1, err
	}
	f.List(listing.Objects, sent)
	f.Seen(sent)
	return listing.Revision, nil
}

// watch waits for changes and returns the revision to go on from, -1 if the objects must be listed again.
func (f *Follower) watch(ctx context.Context, revision int64) (int64, error) {
	wait := f.Wait()
	watchCtx, stop := context.WithTimeout(ctx, wait+WatchGrace)
	defer stop()
	f.mu.Lock()
	f.stop, f.wait = stop, wait
	f.mu.Unlock()
	sent := boottime.Now()
	changes, err := f.Store.Watch(watchCtx, f.Prefix, revision)
	if errors.Is(watchCtx.Err(), context.Canceled) {
		return revision, nil
	}
	if err != nil {
		return revision, err
	}
	if changes.Reset {
		f.Log.Info("History is gone, objects are listed again.", "prefix", f.Prefix, "revision", revision)
		return -1, nil
	}
	for _, e := range changes.Events {
		f.Change(e)
	}
	f.Seen(sent)
	if len(changes.Events) > 0 && f.Pause != nil {
		sleep.For(ctx, f.Pause())
	}
	return changes.Revision, nil
}
