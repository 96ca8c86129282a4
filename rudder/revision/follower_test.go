package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
)

func snapshotRequest(newerThan int64) *peerpb.SnapshotRequest {
	return &peerpb.SnapshotRequest{NewerThan: newerThan}
}

func newFollower(store objectapi.Store, name string) *Follower {
	f := &Follower{
		Store: store, CurrentSnapshot: &CurrentSnapshot{},
		Members: membership.NewTable(membership.Node{Name: name, FailureDomain: "x"}),
		Records: membership.NewRecords(), Log: discardLogger,
	}
	f.Start()
	return f
}

// TestFollowerIgnoresOlderPointer guards against a node that reverts to an older revision when the object API returns
// an older pointer.
func TestFollowerIgnoresOlderPointer(t *testing.T) {
	store := objectapitest.NewMemoryStore()
	ctx := context.Background()
	var pointers []objectapi.Object
	for number := int64(1); number <= 2; number++ {
		key := fmt.Sprintf("%s%d", SnapshotPrefix, number)
		if _, err := store.Put(ctx, key, Snapshot{Number: number}, objectapi.AbsentVersion); err != nil {
			t.Fatal(err)
		}
		raw, _ := json.Marshal(Pointer{Number: number, SnapshotKey: key})
		pointers = append(pointers, objectapi.Object{Value: raw})
	}
	f := newFollower(store, "n")
	for _, index := range []int{1, 0} {
		if err := f.applyNewest(ctx, pointers[index:index+1]); err != nil || f.CurrentSnapshot.Index().Number != 2 {
			t.Errorf("after pointer %d: revision %d, error %v", index+1, f.CurrentSnapshot.Index().Number, err)
		}
	}
	if f.CurrentSnapshot.SetIfNewer(Snapshot{Number: 1}) || f.CurrentSnapshot.Index().Number != 2 {
		t.Error("an older snapshot was put in force")
	}
	if records := f.Records.List(membership.RecordRevision); len(records) != 1 || records[0].Version != 2 {
		t.Errorf("membership records: %v", records)
	}
	if reply := f.HandleSnapshot(snapshotRequest(2)); reply.Revision != 2 || len(reply.Snapshot) > 0 || reply.Known {
		t.Errorf("response to a node at the same revision: %v", reply)
	}
}

// TestDeltaTransfer guards against a small change for which the whole snapshot is sent, and against a delta that is
// applied to a snapshot other than its base.
func TestDeltaTransfer(t *testing.T) {
	organisations := func(count, share int) []object.Object {
		set := object.Set{}
		for i := range count {
			o := object.Object{Kind: object.KindOrganisation, Name: fmt.Sprintf("o%04d", i)}
			o.Organisation = &object.OrganisationSpec{TokenSHA256: []string{fmt.Sprintf("%064d", i)}, Share: 1, MaxInProgress: 1}
			if i == 7 {
				o.Organisation.Share = share
			}
			set[o.ID()] = o
		}
		return set.List()
	}
	source := newFollower(objectapitest.NewMemoryStore(), "source")
	first, second := Snapshot{Number: 1, Objects: organisations(2000, 1)}, Snapshot{Number: 3, Objects: organisations(1999, 2)}
	source.ApplyPublished(first)
	source.ApplyPublished(second)
	whole, changes := source.HandleSnapshot(snapshotRequest(0)), source.HandleSnapshot(snapshotRequest(1))
	t.Logf("snapshot of 2000 objects: %d bytes, delta of two objects: %d bytes", len(whole.Snapshot), len(changes.Delta))
	if len(whole.Snapshot) == 0 || len(whole.Delta) > 0 || len(changes.Snapshot) > 0 || len(changes.Delta) > 1000 {
		t.Errorf("whole snapshot: %d bytes, delta: %d bytes", len(whole.Snapshot), len(changes.Delta))
	}
	if got, err := snapshotFromReply(changes, first); err != nil || !reflect.DeepEqual(got, second) {
		t.Errorf("delta resulted in revision %d with %d objects, error %v", got.Number, len(got.Objects), err)
	}
	other := Snapshot{Number: 1, Objects: organisations(2000, 1)[:1500]}
	if _, err := snapshotFromReply(changes, other); err == nil {
		t.Error("delta was applied to another snapshot with the number of its base")
	}
	if _, err := snapshotFromReply(changes, Snapshot{Number: 2}); err == nil {
		t.Error("delta was applied to a snapshot with another number")
	}
	if reply := source.HandleSnapshot(snapshotRequest(2)); len(reply.Snapshot) == 0 {
		t.Error("a node with an unknown revision gets no whole snapshot")
	}
}

// TestOneWatcherPerFailureDomain guards against a failure domain in which all nodes or none watch the object API.
func TestOneWatcherPerFailureDomain(t *testing.T) {
	nodes := []membership.Node{{Name: "a", FailureDomain: "x"}, {Name: "b", FailureDomain: "x"}, {Name: "c", FailureDomain: "x"}, {Name: "d", FailureDomain: "y"}}
	var followers []*Follower
	for _, n := range nodes {
		table := membership.NewTable(n)
		for _, other := range nodes {
			table.Merge(other)
		}
		f := newFollower(objectapitest.NewMemoryStore(), n.Name)
		f.Members = table
		followers = append(followers, f)
	}
	watchers := map[string][]string{}
	for _, f := range followers {
		if _, watcher := f.findWatcher(); watcher == nil {
			domain := f.Members.Self().FailureDomain
			watchers[domain] = append(watchers[domain], f.Members.Self().Name)
		}
	}
	if len(watchers["x"]) != 1 || len(watchers["y"]) != 1 {
		t.Fatalf("watchers by failure domain: %v", watchers)
	}
	for _, f := range followers[:3] {
		self := f.Members.Self().Name
		for _, n := range nodes {
			f.neighbourSyncedAt[n.Name] = time.Now().Add(-2 * watcherTimeout)
		}
		if staleNodes, watcher := f.findWatcher(); watcher != nil || self != watchers["x"][0] && len(staleNodes) == 0 {
			t.Errorf("%s does not watch although all others are out of sync, or does not list them: %v", self, staleNodes)
		}
	}
}

// fakePeer is a client for another node that calls its follower directly.
type fakePeer struct {
	peerpbconnect.PeerServiceClient
	follower *Follower
	isDown   *atomic.Bool
}

func (p fakePeer) Snapshot(_ context.Context, r *connect.Request[peerpb.SnapshotRequest]) (*connect.Response[peerpb.SnapshotResponse], error) {
	if p.isDown.Load() {
		return nil, errors.New("node does not answer")
	}
	return connect.NewResponse(p.follower.HandleSnapshot(r.Msg)), nil
}

// TestWatcherFailover guards against a failure domain that gets no more revisions once its watcher has died.
func TestWatcherFailover(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := objectapitest.NewMemoryStore()
	ranked := membership.Rank("watch/revision", []membership.Node{
		{Name: "a", FailureDomain: "x", PeerAddress: "a"}, {Name: "b", FailureDomain: "x", PeerAddress: "b"}, {Name: "c", FailureDomain: "x", PeerAddress: "c"},
	})
	peers := map[string]fakePeer{}
	for _, n := range ranked {
		f := newFollower(store, n.Name)
		table := membership.NewTable(n)
		for _, other := range ranked {
			table.Merge(other)
		}
		f.Members = table
		f.Dial = func(address string) peerpbconnect.PeerServiceClient { return peers[address] }
		peers[n.Name] = fakePeer{follower: f, isDown: &atomic.Bool{}}
	}
	first, next, last := peers[ranked[0].Name], peers[ranked[1].Name], peers[ranked[2].Name]
	isWatching := func(p fakePeer) bool { return p.follower.cancelWatch != nil }
	for _, p := range []fakePeer{first, next, last} {
		p.follower.syncOnce(ctx)
	}
	if !isWatching(first) || isWatching(next) || isWatching(last) {
		t.Fatalf("watching at the start: %t, %t, %t", isWatching(first), isWatching(next), isWatching(last))
	}
	first.isDown.Store(true)
	first.follower.setWatching(ctx, false)
	for _, p := range []fakePeer{next, last} {
		p.follower.neighbourSyncedAt[ranked[0].Name] = time.Now().Add(-watcherTimeout - time.Second)
		p.follower.syncOnce(ctx)
	}
	if !isWatching(next) || isWatching(last) {
		t.Fatalf("watching after the first node went down: %t, %t", isWatching(next), isWatching(last))
	}
	key := SnapshotPrefix + "1"
	for _, write := range []struct {
		key   string
		value any
	}{{key, Snapshot{Number: 1}}, {PointerKey, Pointer{Number: 1, SnapshotKey: key}}} {
		if _, err := store.Put(ctx, write.key, write.value, objectapi.AbsentVersion); err != nil {
			t.Fatal(err)
		}
	}
	// The limit only ends a test that would hang.
	for started := time.Now(); next.follower.CurrentSnapshot.Index().Number < 1; time.Sleep(time.Millisecond) {
		if time.Since(started) > time.Minute {
			t.Fatal("the next node did not get the revision within a minute")
		}
	}
	if last.follower.syncOnce(ctx); last.follower.CurrentSnapshot.Index().Number != 1 {
		t.Error("the last node did not get the revision from the next one")
	}
}

// TestIsolatedNodeIsNotReady guards against an isolated node that stays ready, and against a node that loses readiness
// too early.
func TestIsolatedNodeIsNotReady(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		contact, now time.Duration
		isIsolated   bool
	}{{0, 29, false}, {0, 30, true}, {10, 39, false}, {10, 40, true}} {
		got := isolationReason(start.Add(c.now*time.Second), start, start.Add(c.contact*time.Second)) != ""
		if got != c.isIsolated {
			t.Errorf("last contact after %d s, now %d s: isolated %t", c.contact, c.now, got)
		}
	}
}

// TestSnapshotSizeLimit guards against a snapshot that is too large for the object API, and against one large object
// that prevents other objects from being accepted.
func TestSnapshotSizeLimit(t *testing.T) {
	organisation := func(name string, hashes int) object.Object {
		spec := &object.OrganisationSpec{Share: 1, MaxInProgress: 1}
		for i := range hashes {
			spec.TokenSHA256 = append(spec.TokenSHA256, fmt.Sprintf("%s%063d", name[:1], i))
		}
		return object.Object{Kind: object.KindOrganisation, Name: name, Organisation: spec}
	}
	small, big := organisation("a", 1), organisation("b", 100)
	specs := map[string]desiredObject{small.ID(): {version: objectapi.Version{Number: 1}, object: small}, big.ID(): {version: objectapi.Version{Number: 1}, object: big}}
	next, reasons := resolveWithinSize(1000, object.Set{}, specs)
	if _, found := next[small.ID()]; !found || len(next) != 1 || !strings.Contains(reasons[big.ID()], "at most 1000 bytes") {
		t.Errorf("in force: %v, reasons: %v", next.IDs(), reasons)
	}
	specs[big.ID()] = desiredObject{version: objectapi.Version{Number: 2}, object: organisation("b", 2)}
	if next, reasons = resolveWithinSize(1000, next, specs); len(next) != 2 || len(reasons) != 0 {
		t.Errorf("in force: %v, reasons: %v", next.IDs(), reasons)
	}
}
