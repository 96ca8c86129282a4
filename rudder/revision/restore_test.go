package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

// restoreTest is an object API with an acceptor on one node.
type restoreTest struct {
	t            *testing.T
	store        *objectapitest.MemoryStore
	follower     *Follower
	fencingToken int64
	acceptor     *acceptorSession
}

func newRestoreTest(t *testing.T) *restoreTest {
	r := &restoreTest{t: t, store: objectapitest.NewMemoryStore()}
	r.startAcceptor(newFollower(r.store, "first"))
	return r
}

// startAcceptor starts the acceptor on the node of a follower, in place of the present one.
func (r *restoreTest) startAcceptor(f *Follower) {
	r.fencingToken++
	r.follower = f
	r.acceptor = &acceptorSession{
		Acceptor: &Acceptor{
			Store: r.store, CurrentSnapshot: f.CurrentSnapshot, NewestKnownNumber: f.NewestKnownNumber, OnPublish: f.ApplyPublished, Log: discardLogger,
		},
		fencingToken: r.fencingToken, maxStatusWrites: 1, checkLease: func() error { return nil },
	}
	if err := r.acceptor.start(context.Background()); err != nil {
		r.t.Fatal(err)
	}
}

func restoredOrganisation(name string, share int) object.Object {
	spec := &object.OrganisationSpec{TokenSHA256: []string{strings.Repeat(name[:1], 64)}, Share: share, MaxInProgress: 1}
	return object.Object{Kind: object.KindOrganisation, Name: name, Organisation: spec}
}

// write writes organisations with a share; one with the share 0 is invalid, and one with the share -1 is deleted.
func (r *restoreTest) write(shares map[string]int) {
	r.t.Helper()
	for name, share := range shares {
		o := restoredOrganisation(name, share)
		var err error
		if share < 0 {
			err = r.store.Delete(context.Background(), o.SpecKey(), objectapi.AnyVersion)
		} else {
			_, err = r.store.Put(context.Background(), o.SpecKey(), o, objectapi.AnyVersion)
		}
		if err != nil {
			r.t.Fatal(err)
		}
	}
}

func (r *restoreTest) accept() {
	r.t.Helper()
	if _, err := r.acceptor.accept(context.Background()); err != nil {
		r.t.Fatal(err)
	}
}

// requireInForce checks the shares of the organisations that are in force, as the pointer names them and as operators see them.
func (r *restoreTest) requireInForce(want map[string]int) {
	r.t.Helper()
	pointer, _, err := readPointer(context.Background(), r.store)
	if err != nil {
		r.t.Fatal(err)
	}
	snapshot, err := readSnapshot(context.Background(), r.store, pointer.SnapshotKey)
	if err != nil {
		r.t.Fatal(err)
	}
	listing, err := r.store.List(context.Background(), object.SpecPrefix)
	if err != nil {
		r.t.Fatal(err)
	}
	inForce, stored, written := map[string]int{}, map[string]int{}, map[string]int{}
	for name, organisation := range r.follower.CurrentSnapshot.Index().Organisations {
		inForce[name] = organisation.Share
	}
	for _, o := range snapshot.Objects {
		stored[o.Name] = o.Organisation.Share
	}
	for _, o := range listing.Objects {
		var spec object.Object
		if err := json.Unmarshal(o.Value, &spec); err != nil {
			r.t.Fatal(err)
		}
		written[spec.Name] = spec.Organisation.Share
	}
	for what, got := range map[string]map[string]int{"in force": inForce, "stored": stored, "written": written} {
		if !reflect.DeepEqual(got, want) {
			r.t.Errorf("%s: shares %v, expected %v", what, got, want)
		}
	}
	if number := r.follower.CurrentSnapshot.Index().Number; number != pointer.Number {
		r.t.Errorf("revision %d is in force, the pointer names %d", number, pointer.Number)
	}
}

// TestLostRevisionIsWrittenAgain guards against changes that were in force and come back older with the next change, because the
// object API lost them when it was restored from an older copy, and against a change since the restore that is overwritten.
func TestLostRevisionIsWrittenAgain(t *testing.T) {
	for _, isNewAcceptor := range []bool{false, true} {
		t.Run(fmt.Sprintf("new acceptor %t", isNewAcceptor), func(t *testing.T) {
			r := newRestoreTest(t)
			r.write(map[string]int{"a": 1, "b": 1, "c": 1, "d": 0})
			r.accept()
			oldCopy := r.store.Copy()
			r.write(map[string]int{"a": 2, "b": -1, "c": 2, "d": 3, "e": 1})
			r.accept()
			before := r.follower.CurrentSnapshot.Index().Number
			r.store.Restore(oldCopy)
			r.write(map[string]int{"c": 5})
			if isNewAcceptor {
				other := newFollower(r.store, "second")
				other.ApplyPublished(r.follower.CurrentSnapshot.Index().Snapshot)
				r.startAcceptor(other)
			}
			r.accept()
			r.requireInForce(map[string]int{"a": 2, "c": 5, "d": 3, "e": 1})
			if number := r.follower.CurrentSnapshot.Index().Number; number <= before {
				t.Errorf("revision %d after revision %d was lost", number, before)
			}
			puts, deletes := r.store.CallCount("put"), r.store.CallCount("delete")
			if r.accept(); r.store.CallCount("put") != puts || r.store.CallCount("delete") != deletes {
				t.Error("a pass without changes wrote")
			}
			r.write(map[string]int{"a": 1})
			r.accept()
			r.requireInForce(map[string]int{"a": 1, "c": 5, "d": 3, "e": 1})
		})
	}
}

// TestLostRevisionOfOtherNode guards against an acceptor that gives out the number of a lost revision again, which other nodes
// have in force, and against one that does not wait until it has that revision, or waits for ever if no node gives it.
func TestLostRevisionOfOtherNode(t *testing.T) {
	for _, isReachable := range []bool{true, false} {
		r := newRestoreTest(t)
		r.write(map[string]int{"a": 1})
		r.accept()
		oldCopy := r.store.Copy()
		r.write(map[string]int{"a": 2})
		r.accept()
		lost := r.follower.CurrentSnapshot.Index()
		r.store.Restore(oldCopy)
		other := newFollower(r.store, "second")
		if _, err := other.watchOnce(context.Background(), objectapi.UnknownRevision); err != nil {
			t.Fatal(err)
		}
		for _, record := range r.follower.Records.List("revision") {
			other.Records.Merge(record)
		}
		r.startAcceptor(other)
		if _, err := r.acceptor.accept(context.Background()); !errors.Is(err, errMissingRevision) {
			t.Fatalf("accept while another node has a newer revision: %v", err)
		}
		wantShare := 1
		if isReachable {
			other.ApplyPublished(lost.Snapshot)
			wantShare = 2
		} else {
			r.acceptor.missingSince = time.Now().Add(-missingRevisionTimeout)
		}
		r.accept()
		r.requireInForce(map[string]int{"a": wantShare})
		if number := other.CurrentSnapshot.Index().Number; number <= lost.Number {
			t.Errorf("revision %d after revision %d was lost", number, lost.Number)
		}
	}
}

// TestRestoredPointerKeepsItsSnapshot guards against a pointer that names a deleted snapshot, because the object API was restored
// between the update of the pointer and the deletion of surplus snapshots or orphans.
func TestRestoredPointerKeepsItsSnapshot(t *testing.T) {
	for _, isStart := range []bool{false, true} {
		r := newRestoreTest(t)
		var oldCopy any
		for share := 1; share <= maxRetainedSnapshots+1; share++ {
			r.write(map[string]int{"a": share})
			if share <= maxRetainedSnapshots {
				r.accept()
			}
			if share == 1 {
				oldCopy = r.store.Copy()
			}
		}
		if isStart {
			r.accept()
		}
		isRestored := false
		r.store.AfterWrite = func(kind, key string) error {
			if kind == "put" && key == PointerKey && !isRestored {
				isRestored = true
				r.store.Restore(oldCopy)
			}
			return nil
		}
		ctx := context.Background()
		if isStart {
			_ = r.acceptor.start(ctx)
		} else {
			_, _ = r.acceptor.accept(ctx)
		}
		r.store.AfterWrite = nil
		pointer, _, err := readPointer(ctx, r.store)
		if err != nil || !isRestored {
			t.Fatalf("start %t: restored %t, %v", isStart, isRestored, err)
		}
		if _, err := readSnapshot(ctx, r.store, pointer.SnapshotKey); err != nil {
			t.Errorf("start %t: snapshot of the restored pointer: %v", isStart, err)
		}
	}
}
