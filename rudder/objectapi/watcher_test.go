package objectapi_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
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
	return objectapi.Listing{Revision: objectapi.Version{Number: 7}}, nil
}

func (s *controlledStore) Watch(ctx context.Context, _ string, _ objectapi.Version) (objectapi.Changes, error) {
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
		OnList:       func(objectapi.Listing, boottime.Instant) {},
		OnChange:     func(objectapi.Event) {},
		OnSync:       func(boottime.Instant, objectapi.Version) { synced <- struct{}{} },
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
	store.responses <- objectapi.Changes{Revision: objectapi.Version{Number: 8}}
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
		OnList: func(objectapi.Listing, boottime.Instant) {}, OnChange: func(objectapi.Event) {},
		OnSync:       func(boottime.Instant, objectapi.Version) { synced <- struct{}{} },
		WatchTimeout: func() time.Duration { return time.Hour }, IsSuspended: isSuspended.Load,
	}
	if w.Advance(objectapi.Version{}, objectapi.Version{Number: 9}, func(objectapi.Version) {}) {
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
			if known = w.Advance(objectapi.Version{Number: c.from}, objectapi.Version{Number: c.to}, func(after objectapi.Version) { appliedFrom = after.Number }); known == c.wantKnown {
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
	if w.Advance(objectapi.Version{Number: 12}, objectapi.Version{Number: 13}, func(objectapi.Version) {}) {
		t.Error("Advance accepted changes while a watch is in progress")
	}
}

// An object API that was restored from an older copy gives out revisions again. A watcher that went on from its revision would
// miss the changes up to it, and keep objects that no longer exist.
func TestWatcherFollowsRestoredStore(t *testing.T) {
	store := objectapitest.NewMemoryStore()
	ctx := context.Background()
	put := func(key string) {
		if _, err := store.Put(ctx, "servers/"+key, key, objectapi.AnyVersion); err != nil {
			t.Fatal(err)
		}
	}
	var mu sync.Mutex
	known := map[string]bool{}
	w := &objectapi.Watcher{
		Store: store, Prefix: "servers/", Log: slog.New(slog.DiscardHandler),
		OnList: func(listing objectapi.Listing, _ boottime.Instant) {
			mu.Lock()
			defer mu.Unlock()
			clear(known)
			for _, o := range listing.Objects {
				known[o.Key] = true
			}
		},
		OnChange: func(e objectapi.Event) {
			mu.Lock()
			defer mu.Unlock()
			known[e.Object.Key] = !e.Deleted
		},
		OnSync:       func(boottime.Instant, objectapi.Version) {},
		WatchTimeout: func() time.Duration { return 10 * time.Millisecond },
	}
	watchCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); w.Run(watchCtx) }()
	t.Cleanup(func() { cancel(); <-done })
	waitUntilKnown := func(key string) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
			mu.Lock()
			isKnown := known["servers/"+key]
			mu.Unlock()
			if isKnown {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("the watcher does not know %s", key)
			}
		}
	}
	put("before")
	storeCopy := store.Copy()
	put("lost")
	waitUntilKnown("lost")
	store.Restore(storeCopy)
	put("first")
	put("second")
	waitUntilKnown("second")
	waitUntilKnown("first")
	mu.Lock()
	defer mu.Unlock()
	if known["servers/lost"] || !known["servers/before"] {
		t.Errorf("known objects: %v, want before, first and second", known)
	}
}

// Changes that another process numbered in another epoch must not be applied to this one's. Those of an earlier epoch show
// nothing; a later one shows that the objects must be listed again.
func TestAdvanceRejectsOtherEpochs(t *testing.T) {
	store := objectapitest.NewMemoryStore()
	store.Restore(store.Copy())
	synced := make(chan struct{}, 100)
	w := &objectapi.Watcher{
		Store: store, Prefix: "servers/", Log: slog.New(slog.DiscardHandler),
		OnList: func(objectapi.Listing, boottime.Instant) {}, OnChange: func(objectapi.Event) {},
		OnSync:       func(boottime.Instant, objectapi.Version) { synced <- struct{}{} },
		WatchTimeout: func() time.Duration { return time.Hour }, IsSuspended: func() bool { return true },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	<-synced
	for {
		if _, isSynced := w.SyncedRevision(); isSynced {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for _, c := range []struct {
		epoch      int64
		wantSynced bool
	}{{epoch: 0, wantSynced: true}, {epoch: 2}} {
		isKnown := w.Advance(objectapi.Version{Epoch: c.epoch}, objectapi.Version{Epoch: c.epoch, Number: 9}, func(objectapi.Version) {
			t.Errorf("changes of epoch %d are applied in epoch 1", c.epoch)
		})
		if _, isSynced := w.SyncedRevision(); isKnown || isSynced != c.wantSynced {
			t.Errorf("after changes of epoch %d: up to date %t, want false; synced %t, want %t", c.epoch, isKnown, isSynced, c.wantSynced)
		}
	}
}

// Versions go through JSON, flags and queries.
func TestVersionEncodings(t *testing.T) {
	for _, v := range []objectapi.Version{{}, {Number: 7}, {Epoch: 3, Number: 17}, objectapi.AnyVersion, {Epoch: 1}} {
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var fromJSON, fromText objectapi.Version
		if err := json.Unmarshal(raw, &fromJSON); err != nil || fromJSON != v {
			t.Errorf("version %s as JSON %s gives %s, error %v", v, raw, fromJSON, err)
		}
		if err := fromText.UnmarshalText([]byte(v.String())); err != nil || fromText != v {
			t.Errorf("version %s as text gives %s, error %v", v, fromText, err)
		}
	}
	var v objectapi.Version
	for _, text := range []string{"", "x", "1.x", "1.2.3"} {
		if err := v.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("text %q gives version %s, want an error", text, v)
		}
		if err := json.Unmarshal([]byte(strconv.Quote(text)), &v); err == nil {
			t.Errorf("JSON string %q gives version %s, want an error", text, v)
		}
	}
	for _, raw := range []string{`"1"`, `1.5`, `[1,2]`, `9223372036854775808`} {
		if err := json.Unmarshal([]byte(raw), &v); err == nil {
			t.Errorf("JSON %s gives version %s, want an error", raw, v)
		}
	}
}
