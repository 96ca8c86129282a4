package relaynode

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/streamorigin"
)

// newStreamNode returns a node without peers that keeps its records of streams in the store. Its service "s" has two
// versions.
func newStreamNode(name string, store objectapi.Store) *streamRecords {
	n := newLoneRegistrySync().node
	n.settings = Settings{Node: name, FailureDomain: "a"}
	n.platform.Store = store
	n.mesh = mesh.New("127.0.0.1:1", nil, nil, func(*mesh.Member) {}, n.logger.Part("mesh"))
	n.registry = newRegistrySync(n)
	n.registry.currentAsOf = boottime.Now()
	r := newStreamRecords(n)
	r.book.ObserveVersions(map[string][]string{"s": {"v1", "v2"}})
	return r
}

// find returns the version that the node's book tells for a stream, or "refused".
func (r *streamRecords) find(attempt string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if o, found := r.book.Find(ctx, attempt, "s"); found {
		return o.Version
	}
	return "refused"
}

func (r *streamRecords) begin(attempt, version string) {
	r.book.Begin(attempt, streamorigin.Origin{Service: "s", Version: version})
}

// Guards against streams whose beginning nobody knows after all nodes have ended, and against a starting node that takes
// what it sees for all that there was.
func TestStartedNodeReadsWhereStreamsBegan(t *testing.T) {
	ctx, store := context.Background(), objectapitest.NewMemoryStore()
	a, b := newStreamNode("a", store), newStreamNode("b", store)
	for _, r := range []*streamRecords{a, b} {
		if err := r.refresh(ctx); err != nil {
			t.Fatal(err)
		}
		r.begin("of-"+r.node.settings.Node, "v1")
		r.write(ctx)
		r.write(ctx)
	}
	if puts := store.CallCount("put"); puts != 2 {
		t.Errorf("%d writes of two nodes with one stream each, want 2", puts)
	}
	if _, err := store.Put(ctx, streamRecordPrefix+"odd", "text", objectapi.AbsentVersion); err != nil {
		t.Fatal(err)
	}
	started := newStreamNode("a", store)
	for attempt, want := range map[string]string{"of-a": "v1", "of-b": "v1", "of-c": "refused"} {
		if got := started.find(attempt); got != want {
			t.Errorf("%s at a started node: %s, want %s", attempt, got, want)
		}
	}
	started.begin("later", "v2")
	started.write(ctx)
	again := newStreamNode("c", store)
	for attempt, want := range map[string]string{"of-a": "v1", "later": "v2"} {
		if got := again.find(attempt); got != want {
			t.Errorf("%s after a second start: %s, want %s", attempt, got, want)
		}
	}
}

// Guards against callers that wait while the object API is away, and against a node that takes it for empty.
func TestStreamIsRefusedWhileRecordsCannotBeRead(t *testing.T) {
	store := objectapitest.NewMemoryStore()
	isAway := true
	store.BeforeCall = func(_, key string) error {
		if isAway && key == streamRecordPrefix {
			return objectapi.ErrUnavailable
		}
		return nil
	}
	r := newStreamNode("a", store)
	if got := r.find("x"); got != "refused" || r.isLoaded() {
		t.Errorf("object API away: %s, loaded %t, want a refusal", got, r.isLoaded())
	}
	r.begin("own", "v2")
	if got := r.find("own"); got != "v2" {
		t.Errorf("own stream: %s, want v2", got)
	}
	isAway = false
	if got := r.find("x"); got != "refused" || !r.isLoaded() {
		t.Errorf("object API back, unknown stream of two versions: %s, loaded %t, want a refusal", got, r.isLoaded())
	}
}

// Guards against a write without an answer that replaces a later record, and against records that are lost with the answer
// or with a restored object API.
func TestRecordOfStreamsOutlivesLostWrites(t *testing.T) {
	ctx, store := context.Background(), objectapitest.NewMemoryStore()
	r := newStreamNode("a", store)
	if err := r.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	storeCopy := store.Copy()
	store.AfterWrite = func(string, string) error { return errors.Wrap(objectapi.ErrOutcomeUnknown, "answer lost") }
	r.begin("first", "v1")
	r.write(ctx)
	store.AfterWrite = nil
	r.begin("second", "v2")
	r.write(ctx)
	old := r.version
	r.begin("third", "v1")
	r.write(ctx)
	if _, err := store.Put(ctx, streamRecordPrefix+"a", streamorigin.Record{}, old); !errors.Is(err, objectapi.ErrConflict) {
		t.Errorf("late write with the version of an earlier record: error %v, want a conflict", err)
	}
	check := func(when string) {
		t.Helper()
		started := newStreamNode("b", store)
		for attempt, want := range map[string]string{"first": "v1", "second": "v2", "third": "v1"} {
			if got := started.find(attempt); got != want {
				t.Errorf("%s, %s: %s, want %s", when, attempt, got, want)
			}
		}
	}
	check("after a lost answer")
	store.Restore(storeCopy)
	r.node.storeHistory.note(1)
	r.write(ctx)
	check("after a restore")
	puts := store.CallCount("put")
	if r.write(ctx); store.CallCount("put") != puts {
		t.Error("the record is written again although nothing has changed")
	}
}

// versionedServer is the value of a registry entry in these tests.
type versionedServer struct {
	Version string `json:"version"`
}

// Guards against a stream that goes on at another software version, because the node at which it is taken up stood still or was cut
// off for a moment while servers of a new version joined and streams began there at other nodes.
func TestStreamOfAVersionThatJoinedMeanwhileIsRefused(t *testing.T) {
	ctx, store := context.Background(), objectapitest.NewMemoryStore()
	r := newStreamNode("a", store)
	r.node.platform.DecodeServer = func(o objectapi.Object) (backend.Entry, error) {
		var s versionedServer
		err := o.Decode(&s)
		return backend.Entry{ID: o.Key, Service: "s", SoftwareVersion: s.Version}, err
	}
	r.book = streamorigin.New(r.log)
	r.book.Refresh, r.book.HasHeardPeersSince = r.refresh, r.hasHeardPeersSince
	for _, version := range []string{"v1", "v1"} {
		if _, err := store.Put(ctx, "servers/"+version, versionedServer{version}, objectapi.AnyVersion); err != nil {
			t.Fatal(err)
		}
	}
	r.book.ObserveVersions(map[string][]string{"s": {"v1"}})
	if err := r.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	if got := r.find("before"); got != "v1" {
		t.Errorf("stream while v1 is the only version: %s, want v1", got)
	}
	if _, err := store.Put(ctx, "servers/v2", versionedServer{"v2"}, objectapi.AnyVersion); err != nil {
		t.Fatal(err)
	}
	r.node.registry.currentAsOf = boottime.Now().Add(-time.Second) // it has not heard of v2
	if got := r.find("of v2"); got != "refused" {
		t.Errorf("stream that may have begun at v2, which has joined: %s, want a refusal", got)
	}
}

// Guards against streams that go on at another software version after a restore: the copy lacks the servers of the version that
// began them until these have written their entries again.
func TestStreamIsRefusedRightAfterRestore(t *testing.T) {
	ctx, store := context.Background(), objectapitest.NewMemoryStore()
	store.Restore(store.Copy())
	r := newStreamNode("a", store)
	r.book = streamorigin.New(r.log)
	r.book.Refresh, r.book.HasHeardPeersSince = r.refresh, r.hasHeardPeersSince
	r.book.ObserveVersions(map[string][]string{"s": {"v1"}})
	if err := r.read(); err != nil {
		t.Fatal(err)
	}
	r.node.storeHistory.heardAt = boottime.Now().Add(time.Hour) // however slow the test is
	if got := r.find("x"); got != "refused" {
		t.Errorf("started node that cannot tell when the object API was restored: %s, want a refusal", got)
	}
	r.node.storeHistory.heardAt = boottime.Now().Add(-settleTime)
	if got := r.find("x"); got != "v1" {
		t.Errorf("%s after its start: %s, want v1", settleTime, got)
	}
	if err := r.refresh(ctx); err != nil {
		t.Errorf("settled: %v", err)
	}
	r.node.storeHistory.note(2)
	r.node.storeHistory.heardAt = boottime.Now().Add(time.Hour)
	if got := r.find("x"); got != "refused" {
		t.Errorf("right after a restore: %s, want a refusal", got)
	}
}
