package relaynode

import (
	"context"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

// Guards against a process that takes the records of a restored store for all that was written: only records that were written
// in the same epoch show that nothing was lost since.
func TestStartedNodeLearnsSinceWhenTheStoreKeepsWrites(t *testing.T) {
	ctx := context.Background()
	store := objectapitest.NewMemoryStore()
	store.Restore(store.Copy()) // epochs count from 1
	first := newStreamNode("a", store)
	if err := first.read(); err != nil {
		t.Fatal(err)
	}
	first.node.storeHistory.heardAt = boottime.Now().Add(-time.Hour)
	firstSince := time.Now().Add(-time.Hour)
	first.write(ctx)

	second := newStreamNode("b", store)
	if since, isKnown := second.node.storeHistory.keptSince(time.Now()); isKnown {
		t.Errorf("kept since %s before the records were read, want unknown", since)
	}
	if err := second.read(); err != nil {
		t.Fatal(err)
	}
	if since, isKnown := second.node.storeHistory.keptSince(time.Now()); !isKnown || since.Sub(firstSince).Abs() > time.Minute {
		t.Errorf("kept since %s (known: %t), want %s, when the first node learnt of the epoch", since, isKnown, firstSince)
	}

	store.Restore(store.Copy())
	third := newStreamNode("c", store)
	restoredAt := time.Now()
	if err := third.read(); err != nil {
		t.Fatal(err)
	}
	if since, isKnown := third.node.storeHistory.keptSince(time.Now()); !isKnown || since.Before(restoredAt.Add(-time.Second)) {
		t.Errorf("after a restore kept since %s (known: %t), want not before %s", since, isKnown, restoredAt)
	}
}

// A node whose record names an earlier epoch, since its write took effect after the restore, writes it again.
func TestRecordOfEarlierEpochIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	store := objectapitest.NewMemoryStore()
	store.Restore(store.Copy())
	r := newStreamNode("a", store)
	if err := r.read(); err != nil {
		t.Fatal(err)
	}
	r.book.ObserveVersions(map[string][]string{"s": {"v1"}})
	store.Restore(store.Copy()) // before the node hears of it
	r.write(ctx)
	r.node.storeHistory.note(2)
	r.write(ctx)
	o, err := store.Get(ctx, streamRecordPrefix+"a")
	if err != nil {
		t.Fatal(err)
	}
	var record streamRecord
	if err := o.Decode(&record); err != nil {
		t.Fatal(err)
	}
	if record.Store.Epoch != 2 {
		t.Errorf("the record names epoch %d, want 2", record.Store.Epoch)
	}
}

func TestMajorityCountsThisNode(t *testing.T) {
	for _, c := range []struct {
		peers, knownPeers int
		want              bool
	}{{0, 0, true}, {0, 1, false}, {1, 1, true}, {0, 2, false}, {1, 2, true}, {1, 3, false}, {2, 3, true}} {
		if got := isMajority(c.peers, c.knownPeers); got != c.want {
			t.Errorf("this node and %d of %d peers: %t, want %t", c.peers, c.knownPeers, got, c.want)
		}
	}
}
