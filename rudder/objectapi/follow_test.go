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

// watchStore answers watches when the test lets it.
type watchStore struct {
	objectapi.Store
	answers chan objectapi.Changes
	begun   atomic.Int64
	lists   atomic.Int64
}

func (s *watchStore) List(context.Context, string) (objectapi.Listing, error) {
	s.lists.Add(1)
	return objectapi.Listing{Revision: 7}, nil
}

func (s *watchStore) Watch(ctx context.Context, _ string, _ int64) (objectapi.Changes, error) {
	s.begun.Add(1)
	select {
	case <-ctx.Done():
		return objectapi.Changes{}, objectapi.ErrUnavailable
	case c := <-s.answers:
		return c, nil
	}
}

func follow(t *testing.T, store objectapi.Store, wait time.Duration) (f *objectapi.Follower, seen chan struct{}) {
	t.Helper()
	seen = make(chan struct{}, 100)
	f = &objectapi.Follower{
		Store: store, Prefix: "config/", Log: slog.New(slog.DiscardHandler),
		List:   func([]objectapi.Object, boottime.Instant) {},
		Change: func(objectapi.Event) {},
		Seen:   func(boottime.Instant, int64) { seen <- struct{}{} },
		Wait:   func() time.Duration { return wait },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, seen
}

// A node whose proof is old asks for a new watch again and again; when that ended the short watch under way each time, no
// answer ever came after an outage of the store.
func TestRenewLeavesShortWatches(t *testing.T) {
	store := &watchStore{answers: make(chan objectapi.Changes)}
	f, seen := follow(t, store, time.Minute)
	<-seen // the listing
	for store.begun.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Renew(2 * time.Minute)
	store.answers <- objectapi.Changes{Revision: 8}
	<-seen
	if n := store.begun.Load(); n > 2 {
		t.Fatalf("%d watches begun, the first one should have gone on to its answer", n)
	}
}

// A node that hears of a newer configuration must not wait for the end of a long watch on a dead connection.
func TestRenewEndsLongWatches(t *testing.T) {
	store := &watchStore{answers: make(chan objectapi.Changes)}
	f, seen := follow(t, store, time.Hour)
	<-seen
	for store.begun.Load() < 2 {
		f.Renew(time.Second)
		time.Sleep(time.Millisecond)
	}
}

// History that the store has dropped makes the follower list again; without it, changes in the gap would be lost.
func TestHistoryGoneListsAgain(t *testing.T) {
	store := &watchStore{answers: make(chan objectapi.Changes)}
	_, seen := follow(t, store, time.Hour)
	<-seen
	store.answers <- objectapi.Changes{Reset: true}
	<-seen
	if n := store.lists.Load(); n != 2 {
		t.Fatalf("%d listings, want 2", n)
	}
}

// Changes that others tell must fit to what is known: a gap would lose changes, and an answer on its way would be applied
// after newer ones.
func TestAdvance(t *testing.T) {
	store := &watchStore{answers: make(chan objectapi.Changes)}
	var resting atomic.Bool
	resting.Store(true)
	seen := make(chan struct{}, 100)
	f := &objectapi.Follower{
		Store: store, Prefix: "servers/", Log: slog.New(slog.DiscardHandler),
		List: func([]objectapi.Object, boottime.Instant) {}, Change: func(objectapi.Event) {},
		Seen: func(boottime.Instant, int64) { seen <- struct{}{} },
		Wait: func() time.Duration { return time.Hour }, Rest: resting.Load,
	}
	if f.Advance(0, 9, func(int64) {}) {
		t.Error("changes are taken before the listing")
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	<-seen // the listing, of revision 7
	for _, c := range []struct {
		from, to    int64
		known       bool
		appliedFrom int64 // 0: nothing is applied
	}{
		{from: 8, to: 9},
		{from: 3, to: 6, known: true},
		{from: 7, to: 9, known: true, appliedFrom: 7},
		{from: 4, to: 12, known: true, appliedFrom: 9},
	} {
		applied := int64(0)
		for known := false; ; time.Sleep(time.Millisecond) {
			// The call of the listing ends just after Seen.
			if known = f.Advance(c.from, c.to, func(after int64) { applied = after }); known == c.known {
				break
			}
		}
		if applied != c.appliedFrom {
			t.Errorf("changes after %d up to %d: applied from %d, want %d", c.from, c.to, applied, c.appliedFrom)
		}
	}
	if n := store.begun.Load(); n != 0 {
		t.Errorf("%d watches begun at rest", n)
	}
	resting.Store(false)
	for store.begun.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if f.Advance(12, 13, func(int64) {}) {
		t.Error("changes are taken while a watch is in progress")
	}
}
