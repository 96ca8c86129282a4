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

func snapshotRequest(number int64) *peerpb.SnapshotRequest {
	return &peerpb.SnapshotRequest{NewerThan: number}
}

func newFollower(store objectapi.Store, name string) *Follower {
	f := &Follower{
		Store: store, Current: &Current{}, Members: membership.NewTable(membership.Node{Name: name, FailureDomain: "x"}),
		Records: membership.NewRecords(), Log: discard,
	}
	f.Start()
	return f
}

// TestOlderPointerIsPassedOver guards against a node that reverts when the object API answers with an older state.
func TestOlderPointerIsPassedOver(t *testing.T) {
	store := objectapitest.NewMemory()
	ctx := context.Background()
	var pointers []objectapi.Object
	for number := int64(1); number <= 2; number++ {
		key := fmt.Sprintf("%s%d", SnapshotPrefix, number)
		if _, err := store.Put(ctx, key, Snapshot{Number: number}, objectapi.Absent); err != nil {
			t.Fatal(err)
		}
		raw, _ := json.Marshal(Pointer{Number: number, Key: key})
		pointers = append(pointers, objectapi.Object{Value: raw})
	}
	f := newFollower(store, "n")
	for _, shown := range []int{1, 0} {
		if err := f.takeNewest(ctx, pointers[shown:shown+1]); err != nil || f.Current.Index().Number != 2 {
			t.Errorf("after pointer %d: revision %d, error %v", shown+1, f.Current.Index().Number, err)
		}
	}
	if f.Current.Adopt(Snapshot{Number: 1}) || f.Current.Index().Number != 2 {
		t.Error("an older snapshot was put in force")
	}
	if records := f.Records.List(membership.RecordRevision); len(records) != 1 || records[0].Version != 2 {
		t.Errorf("records %v", records)
	}
	if reply := f.HandleSnapshot(snapshotRequest(2)); reply.Revision != 2 || len(reply.Snapshot) > 0 || reply.Known {
		t.Errorf("answer to a node with the same revision: %v", reply)
	}
}

// TestChangesOnly guards against snapshots that travel as a whole for a small change, and against changes that are
// applied to another snapshot than the one they were made from.
func TestChangesOnly(t *testing.T) {
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
	source := newFollower(objectapitest.NewMemory(), "source")
	first, second := Snapshot{Number: 1, Objects: organisations(2000, 1)}, Snapshot{Number: 3, Objects: organisations(1999, 2)}
	source.Published(first)
	source.Published(second)
	whole, changes := source.HandleSnapshot(snapshotRequest(0)), source.HandleSnapshot(snapshotRequest(1))
	t.Logf("snapshot of 2000 objects: %d bytes, changes of two objects: %d bytes", len(whole.Snapshot), len(changes.Delta))
	if len(whole.Snapshot) == 0 || len(whole.Delta) > 0 || len(changes.Snapshot) > 0 || len(changes.Delta) > 1000 {
		t.Errorf("whole: %d bytes, changes: %d bytes", len(whole.Snapshot), len(changes.Delta))
	}
	if got, err := snapshotFrom(changes, first); err != nil || !reflect.DeepEqual(got, second) {
		t.Errorf("revision %d with %d objects from changes, error %v", got.Number, len(got.Objects), err)
	}
	other := Snapshot{Number: 1, Objects: organisations(2000, 1)[:1500]}
	if _, err := snapshotFrom(changes, other); err == nil {
		t.Error("changes were applied to another snapshot of the same number")
	}
	if _, err := snapshotFrom(changes, Snapshot{Number: 2}); err == nil {
		t.Error("changes were applied to a snapshot of another number")
	}
	if reply := source.HandleSnapshot(snapshotRequest(2)); len(reply.Snapshot) == 0 {
		t.Error("a node with an unknown revision gets no whole snapshot")
	}
}

// TestOneNodeWatches guards against a failure domain in which every node or none watches the object API.
func TestOneNodeWatches(t *testing.T) {
	nodes := []membership.Node{{Name: "a", FailureDomain: "x"}, {Name: "b", FailureDomain: "x"}, {Name: "c", FailureDomain: "x"}, {Name: "d", FailureDomain: "y"}}
	var followers []*Follower
	for _, n := range nodes {
		table := membership.NewTable(n)
		for _, other := range nodes {
			table.Merge(other)
		}
		f := newFollower(objectapitest.NewMemory(), n.Name)
		f.Members = table
		followers = append(followers, f)
	}
	watching := map[string][]string{}
	for _, f := range followers {
		if _, watcher := f.neighbours(); watcher == nil {
			domain := f.Members.Self().FailureDomain
			watching[domain] = append(watching[domain], f.Members.Self().Name)
		}
	}
	if len(watching["x"]) != 1 || len(watching["y"]) != 1 {
		t.Fatalf("watching: %v", watching)
	}
	for _, f := range followers[:3] {
		self := f.Members.Self().Name
		for _, n := range nodes {
			f.goodAt[n.Name] = time.Now().Add(-2 * silentAfter)
		}
		if before, watcher := f.neighbours(); watcher != nil || self != watching["x"][0] && len(before) == 0 {
			t.Errorf("%s does not watch although all others are silent, or forgets them: %v", self, before)
		}
	}
}

// linkedNode is another node as its neighbours reach it.
type linkedNode struct {
	peerpbconnect.PeerServiceClient
	follower *Follower
	down     *atomic.Bool
}

func (n linkedNode) Snapshot(_ context.Context, r *connect.Request[peerpb.SnapshotRequest]) (*connect.Response[peerpb.SnapshotResponse], error) {
	if n.down.Load() {
		return nil, errors.New("node does not answer")
	}
	return connect.NewResponse(n.follower.HandleSnapshot(r.Msg)), nil
}

// TestNextNodeWatches guards against a failure domain that learns of no revision any more when its watching node dies.
func TestNextNodeWatches(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := objectapitest.NewMemory()
	ranked := membership.Rank("watch/revision", []membership.Node{
		{Name: "a", FailureDomain: "x", PeerAddress: "a"}, {Name: "b", FailureDomain: "x", PeerAddress: "b"}, {Name: "c", FailureDomain: "x", PeerAddress: "c"},
	})
	links := map[string]linkedNode{}
	for _, n := range ranked {
		f := newFollower(store, n.Name)
		table := membership.NewTable(n)
		for _, other := range ranked {
			table.Merge(other)
		}
		f.Members = table
		f.Dial = func(address string) peerpbconnect.PeerServiceClient { return links[address] }
		links[n.Name] = linkedNode{follower: f, down: &atomic.Bool{}}
	}
	first, next, last := links[ranked[0].Name], links[ranked[1].Name], links[ranked[2].Name]
	watches := func(n linkedNode) bool { return n.follower.stopWatch != nil }
	for _, n := range []linkedNode{first, next, last} {
		n.follower.round(ctx)
	}
	if !watches(first) || watches(next) || watches(last) {
		t.Fatalf("watching at the start: %t, %t, %t", watches(first), watches(next), watches(last))
	}
	first.down.Store(true)
	first.follower.watchWhile(ctx, false)
	for _, n := range []linkedNode{next, last} {
		n.follower.goodAt[ranked[0].Name] = time.Now().Add(-silentAfter - time.Second)
		n.follower.round(ctx)
	}
	if !watches(next) || watches(last) {
		t.Fatalf("watching without the first: %t, %t", watches(next), watches(last))
	}
	key := SnapshotPrefix + "1"
	for _, write := range []struct {
		key   string
		value any
	}{{key, Snapshot{Number: 1}}, {CurrentKey, Pointer{Number: 1, Key: key}}} {
		if _, err := store.Put(ctx, write.key, write.value, objectapi.Absent); err != nil {
			t.Fatal(err)
		}
	}
	// The bound only ends a test that would hang.
	for started := time.Now(); next.follower.Current.Index().Number < 1; time.Sleep(time.Millisecond) {
		if time.Since(started) > time.Minute {
			t.Fatal("the next node does not watch")
		}
	}
	if last.follower.round(ctx); last.follower.Current.Index().Number != 1 {
		t.Error("the last node did not get the revision from the next one")
	}
}

// TestCutOff guards against a cut-off node that stays ready, and against a node that loses readiness too early.
func TestCutOff(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		contact, now time.Duration
		cutOff       bool
	}{{0, 29, false}, {0, 30, true}, {10, 39, false}, {10, 40, true}} {
		got := cutOff(start.Add(c.now*time.Second), start, start.Add(c.contact*time.Second)) != ""
		if got != c.cutOff {
			t.Errorf("contact after %d s, now %d s: cut off %t", c.contact, c.now, got)
		}
	}
}

// TestSnapshotSize guards against a snapshot that the object API would refuse, and against one large object that keeps
// the others out.
func TestSnapshotSize(t *testing.T) {
	organisation := func(name string, hashes int) object.Object {
		spec := &object.OrganisationSpec{Share: 1, MaxInProgress: 1}
		for i := range hashes {
			spec.TokenSHA256 = append(spec.TokenSHA256, fmt.Sprintf("%s%063d", name[:1], i))
		}
		return object.Object{Kind: object.KindOrganisation, Name: name, Organisation: spec}
	}
	small, big := organisation("a", 1), organisation("b", 100)
	specs := map[string]written{small.ID(): {version: 1, object: small}, big.ID(): {version: 1, object: big}}
	next, reasons := resolveWithin(1000, object.Set{}, specs)
	if _, found := next[small.ID()]; !found || len(next) != 1 || !strings.Contains(reasons[big.ID()], "at most 1000 bytes") {
		t.Errorf("in force: %v, reasons: %v", next.IDs(), reasons)
	}
	specs[big.ID()] = written{version: 2, object: organisation("b", 2)}
	if next, reasons = resolveWithin(1000, next, specs); len(next) != 2 || len(reasons) != 0 {
		t.Errorf("in force: %v, reasons: %v", next.IDs(), reasons)
	}
}
