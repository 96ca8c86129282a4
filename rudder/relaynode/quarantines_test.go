package relaynode

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/telemetry"
)

// newQuarantineNode returns a node without peers that keeps its records in the store.
func newQuarantineNode(store objectapi.Store) *node {
	n := &node{
		settings: Settings{Node: "n0"}, log: slog.New(slog.DiscardHandler), logger: telemetry.NewLogger(io.Discard, slog.LevelInfo, "n0"),
		relay: &relay.Server{Crashes: &culprit.List{Log: slog.New(slog.DiscardHandler)}}, platform: Platform{Store: store},
	}
	n.mesh = mesh.New("127.0.0.1:1", nil, func() mesh.Digest { return mesh.Digest{} }, func(*mesh.Member) {}, n.log)
	return n
}

// quarantineContent lets three servers crash on a request with the given content and returns its trait.
func (n *node) quarantineContent(content string, firstServer uint64) culprit.Trait {
	trait := culprit.ContentTrait([]byte(content))
	for i := range uint64(3) {
		n.relay.Crashes.RecordCrash(firstServer+i, "s", []culprit.Trait{trait}, boottime.Now(), boottime.Now())
	}
	return trait
}

// Each quarantine must have one record, written once, that a starting node applies and that is deleted when the quarantine
// ends. A record that cannot be decoded must not keep the others from being applied.
func TestQuarantineRecords(t *testing.T) {
	ctx := context.Background()
	store := objectapitest.NewMemoryStore()
	n := newQuarantineNode(store)
	saved, err := n.loadQuarantines(ctx)
	if err != nil || len(saved.trials) != 0 {
		t.Fatalf("load from an empty store: %v, error %v", saved, err)
	}
	traits := []culprit.Trait{n.quarantineContent("a", 10), n.quarantineContent("b", 20)}
	for range 3 {
		n.saveQuarantines(ctx, saved.trials)
	}
	if listing, err := store.List(ctx, quarantinePrefix); err != nil || len(listing.Objects) != 2 || store.CallCount("put") != 2 {
		t.Fatalf("%d records after %d writes, error %v, want 2 after 2", len(listing.Objects), store.CallCount("put"), err)
	}
	if _, err := store.Put(ctx, quarantinePrefix+"odd", 5, objectapi.AbsentVersion); err != nil {
		t.Fatal(err)
	}

	started := newQuarantineNode(store)
	if saved, err = started.loadQuarantines(ctx); err != nil {
		t.Fatal(err)
	}
	for i, trait := range traits {
		if refusal, _ := started.relay.Crashes.Check([]culprit.Trait{trait}, false); refusal == nil || refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Minute {
			t.Errorf("request %d at a node that has started: refusal %+v, want one until the first trial", i, refusal)
		}
	}
	started.relay.Crashes.RecordAnswer("s", traits[:1])
	time.Sleep(200 * time.Millisecond) // the list is evaluated ten times a second
	started.saveQuarantines(ctx, saved.trials)
	listing, err := store.List(ctx, quarantinePrefix)
	if err != nil || len(listing.Objects) != 2 {
		t.Fatalf("%d records after the end of a quarantine, error %v, want the other one and the odd one", len(listing.Objects), err)
	}
	for _, o := range listing.Objects {
		if o.Key == quarantinePrefix+fmt.Sprintf("%x", quarantineIDOf(traits[0])) {
			t.Error("the record of the ended quarantine is left")
		}
	}
}

func quarantineIDOf(trait culprit.Trait) uint64 {
	return (&culprit.QuarantineReport{Traits: []culprit.Trait{trait}}).ID()
}

// A record that outlived its quarantine, since no node was there to delete it, must not be applied, and must be deleted.
func TestOldQuarantineRecordIsDeleted(t *testing.T) {
	ctx := context.Background()
	store := objectapitest.NewMemoryStore()
	longAgo := time.Now().Add(-time.Hour).UnixMilli()
	record := quarantineRecord{Traits: []string{"a1"}, BeganUnixMillis: longAgo, NextTrialMillis: longAgo, WrittenUnixMillis: longAgo}
	if _, err := store.Put(ctx, quarantinePrefix+"a1", record, objectapi.AbsentVersion); err != nil {
		t.Fatal(err)
	}
	n := newQuarantineNode(store)
	saved, err := n.loadQuarantines(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if n.relay.Crashes.HasQuarantines() {
		t.Error("a record of an hour ago is applied")
	}
	n.saveQuarantines(ctx, saved.trials)
	if listing, err := store.List(ctx, quarantinePrefix); err != nil || len(listing.Objects) != 0 {
		t.Errorf("%d records are left, error %v, want none", len(listing.Objects), err)
	}
}

// The store came back from an older copy: the record of a quarantine was gone and was not written again, so that nodes that all
// started later let the requests crash servers, and the record of an ended quarantine was back and stayed.
func TestQuarantinesAreRecordedAgainAfterRestore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	store := objectapitest.NewMemoryStore()
	n := newQuarantineNode(store)
	n.registry = newRegistrySync(n)
	ended := n.quarantineContent("ended", 10)
	done := make(chan struct{})
	go func() { defer close(done); n.keepQuarantines(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	hasRecords := func(traits ...culprit.Trait) func() bool {
		return func() bool {
			n.relay.Crashes.Quarantines() // evaluates the crashes, as requests do
			listing, err := store.List(ctx, quarantinePrefix)
			if err != nil || len(listing.Objects) != len(traits) {
				return false
			}
			for i, trait := range traits {
				if listing.Objects[i].Key != quarantinePrefix+fmt.Sprintf("%x", quarantineIDOf(trait)) {
					return false
				}
			}
			return true
		}
	}
	waitFor(t, 30*time.Second, "the first quarantine is recorded", hasRecords(ended))
	storeCopy := store.Copy()
	n.relay.Crashes.RecordAnswer("s", []culprit.Trait{ended})
	lost := n.quarantineContent("lost", 20)
	waitFor(t, 30*time.Second, "the second quarantine is recorded, the first one is not any more", hasRecords(lost))
	writes := store.CallCount("put")
	store.Restore(storeCopy)
	n.registry.recordAnswer(boottime.Now(), objectapi.Version{Epoch: 1, Number: 1})
	waitFor(t, 30*time.Second, "the second quarantine is recorded again, the first one is not any more", hasRecords(lost))
	time.Sleep(2 * quarantineSaveInterval)
	if store.CallCount("put") != writes+1 {
		t.Errorf("%d writes after the restore, want 1", store.CallCount("put")-writes)
	}
	if refusal, _ := n.relay.Crashes.Check([]culprit.Trait{ended}, false); refusal != nil {
		t.Error("the ended quarantine is in force again")
	}
}

// A cheap listing may return data from before the restore. The records in it were taken for present, and those that the
// restored object API lacks were not written again.
func TestQuarantinesAreComparedWithTheRestoredRecords(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	store := objectapitest.NewMemoryStore()
	n := newQuarantineNode(store)
	n.registry = newRegistrySync(n)
	storeCopy := store.Copy()
	trait := n.quarantineContent("lost", 10)
	n.saveQuarantines(ctx, map[string]int{})
	old, err := store.List(ctx, quarantinePrefix)
	if err != nil || len(old.Objects) != 1 {
		t.Fatalf("%d records, error %v, want 1", len(old.Objects), err)
	}
	store.Restore(storeCopy)
	var staleReads atomic.Int64
	n.platform.ListStale = func(context.Context, string) (objectapi.Listing, error) {
		old.Revision.Epoch = n.storeHistory.latestEpoch()
		staleReads.Add(1)
		return old, nil
	}
	done := make(chan struct{})
	go func() { defer close(done); n.keepQuarantines(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	waitFor(t, 30*time.Second, "the node has read the records", func() bool { return staleReads.Load() > 0 })
	n.registry.recordAnswer(boottime.Now(), objectapi.Version{Epoch: 1, Number: 1})
	waitFor(t, 30*time.Second, "the quarantine is recorded again", func() bool {
		n.relay.Crashes.Quarantines() // evaluates the crashes, as requests do
		listing, err := store.List(ctx, quarantinePrefix)
		return err == nil && len(listing.Objects) == 1 && listing.Objects[0].Key == quarantinePrefix+fmt.Sprintf("%x", quarantineIDOf(trait))
	})
}
