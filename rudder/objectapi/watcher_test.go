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

// controlledStore returns an empty listing at revision 7. A watch blocks until the test sends its response.
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

// A node whose last confirmation of the configuration is old calls RestartWatch repeatedly. If each call cancelled the
// current short watch, no response would ever arrive after an outage of the store.
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
		t.Fatalf("%d watches started, want at most 2: the first one must run until its response", n)
	}
}

// A node that learns of a newer configuration must not wait for the end of a long watch on a dead connection.
func TestRestartWatchEndsLongWatch(t *testing.T) {
	store := &controlledStore{responses: make(chan objectapi.Changes)}
	w, synced := startWatcher(t, store, time.Hour)
	<-synced
	for store.watches.Load() < 2 {
		w.RestartWatch(time.Second)
		time.Sleep(time.Millisecond)
	}
}

// If the store no longer has the history since the last watch, the watcher must list again; otherwise the changes in the
// gap would be lost.
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

// Advance must reject changes that do not follow on the known revision, because those in the gap would be lost, and changes
// during a call, because its older response would be applied after them.
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
		t.Error("Advance accepted changes before the listing")
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	<-synced // the listing at revision 7
	for _, c := range []struct {
		from, to        int64
		wantKnown       bool
		wantAppliedFrom int64 // 0: apply is not called
	}{
		{from: 8, to: 9},
		{from: 3, to: 6, wantKnown: true},
		{from: 7, to: 9, wantKnown: true, wantAppliedFrom: 7},
		{from: 4, to: 12, wantKnown: true, wantAppliedFrom: 9},
	} {
		appliedFrom := int64(0)
		for known := false; ; time.Sleep(time.Millisecond) {
			// The list call is marked as finished shortly after OnSync.
			if known = w.Advance(c.from, c.to, func(after int64) { appliedFrom = after }); known == c.wantKnown {
				break
			}
		}
		if appliedFrom != c.wantAppliedFrom {
			t.Errorf("changes after %d up to %d: applied from %d, want %d", c.from, c.to, appliedFrom, c.wantAppliedFrom)
		}
	}
	if n := store.watches.Load(); n != 0 {
		t.Errorf("%d watches started while suspended, want 0", n)
	}
	isSuspended.Store(false)
	for store.watches.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if w.Advance(12, 13, func(int64) {}) {
		t.Error("Advance accepted changes while a watch is in progress")
	}
}
