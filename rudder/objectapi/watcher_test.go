package objectapi_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/objectapi"
)

// controlledStore answers watches when the test lets it.
type controlledStore struct {
	objectapi.Store
	responses chan objectapi.Changes
	watches   atomic.Int64
	lists     atomic.Int64
}

func (s *controlledStore) List(context.Context, string) (objectapi.Listing, error) {
	s.lists.Add(1)
	return objectapi.Listing{Revision: 7}, nil
}

func (s *controlledStore) Watch(ctx context.Context, _ string, _ int64) (objectapi.Changes, error) {
	s.watches.Add(1)
	select {
	case <-ctx.Done():
		return objectapi.Changes{}, objectapi.ErrUnavailable
	case c := <-s.responses:
		return c, nil
	}
}

func startWatcher(t *testing.T, store objectapi.Store, wait time.Duration) (w *objectapi.Watcher, synced chan struct{}) {
	t.Helper()
	synced = make(chan struct{}, 100)
	w = &objectapi.Watcher{
		Store: store, Prefix: "config/", Log: slog.New(slog.DiscardHandler),
		OnList:       func([]objectapi.Object, boottime.Instant) {},
		OnChange:     func(objectapi.Event) {},
		OnSync:       func(boottime.Instant, int64) { synced <- struct{}{} },
		WatchTimeout: func() time.Duration { return wait },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return w, synced
}

// A node whose proof is old asks for a new watch again and again; when that ended the short watch under way each time, no
// answer ever came after an outage of the store.
func TestRestartWatchKeepsShortWatch(t *testing.T) {
	store := &controlledStore{responses: make(chan objectapi.Changes)}
	w, synced := startWatcher(t, store, time.Minute)
	<-synced // the listing
	for store.watches.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	w.RestartWatch(2 * time.Minute)
	store.responses <- objectapi.Changes{Revision: 8}
	<-synced
	if n := store.watches.Load(); n > 2 {
		t.Fatalf("%d watches begun, the first one should have gone on to its answer", n)
	}
}

// A node that hears of a newer configuration must not wait for the end of a long watch on a dead connection.
func TestRestartWatchEndsLongWatch(t *testing.T) {
	store := &controlledStore{responses: make(chan objectapi.Changes)}
	w, synced := startWatcher(t, store, time.Hour)
	<-synced
	for store.watches.Load() < 2 {
		w.RestartWatch(time.Second)
		time.Sleep(time.Millisecond)
	}
}

// History that the store has dropped makes the follower list again; without it, changes in the gap would be lost.
func TestResetTriggersNewListing(t *testing.T) {
	store := &controlledStore{responses: make(chan objectapi.Changes)}
	_, synced := startWatcher(t, store, time.Hour)
	<-synced
	store.responses <- objectapi.Changes{Reset: true}
	<-synced
	if n := store.lists.Load(); n != 2 {
		t.Fatalf("%d listings, want 2", n)
	}
}

// Changes that others tell must fit to what is known: a gap would lose changes, and an answer on its way would be applied
// after newer ones.
func TestAdvance(t *testing.T) {
	store := &controlledStore{responses: make(chan objectapi.Changes)}
	var isSuspended atomic.Bool
	isSuspended.Store(true)
	synced := make(chan struct{}, 100)
	w := &objectapi.Watcher{
		Store: store, Prefix: "servers/", Log: slog.New(slog.DiscardHandler),
		OnList: func([]objectapi.Object, boottime.Instant) {}, OnChange: func(objectapi.Event) {},
		OnSync:       func(boottime.Instant, int64) { synced <- struct{}{} },
		WatchTimeout: func() time.Duration { return time.Hour }, IsSuspended: isSuspended.Load,
	}
	if w.Advance(0, 9, func(int64) {}) {
		t.Error("changes are taken before the listing")
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	<-synced // the listing, of revision 7
	for _, c := range []struct {
		from, to        int64
		wantKnown       bool
		wantAppliedFrom int64 // 0: nothing is applied
	}{
		{from: 8, to: 9},
		{from: 3, to: 6, wantKnown: true},
		{from: 7, to: 9, wantKnown: true, wantAppliedFrom: 7},
		{from: 4, to: 12, wantKnown: true, wantAppliedFrom: 9},
	} {
		appliedFrom := int64(0)
		for known := false; ; time.Sleep(time.Millisecond) {
			// The call of the listing ends just after Seen.
			if known = w.Advance(c.from, c.to, func(after int64) { appliedFrom = after }); known == c.wantKnown {
				break
			}
		}
		if appliedFrom != c.wantAppliedFrom {
			t.Errorf("changes after %d up to %d: applied from %d, want %d", c.from, c.to, appliedFrom, c.wantAppliedFrom)
		}
	}
	if n := store.watches.Load(); n != 0 {
		t.Errorf("%d watches begun at rest", n)
	}
	isSuspended.Store(false)
	for store.watches.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if w.Advance(12, 13, func(int64) {}) {
		t.Error("changes are taken while a watch is in progress")
	}
}
