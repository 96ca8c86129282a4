package relaynode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/telemetry"
)

// leavingServerTimeout is how long a leaving server may get new work.
const leavingServerTimeout = 2 * time.Second

// disconnectableStore is the object API as one node reaches it. It counts the calls and fails them while it is
// disconnected.
type disconnectableStore struct {
	objectapi.Store
	callCount      atomic.Int64
	isDisconnected atomic.Bool
}

func (s *disconnectableStore) List(ctx context.Context, prefix string) (objectapi.Listing, error) {
	s.callCount.Add(1)
	if s.isDisconnected.Load() {
		return objectapi.Listing{}, objectapi.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// Watch answers like the platform's store, which ends the wait before the caller's deadline.
func (s *disconnectableStore) Watch(ctx context.Context, prefix string, after objectapi.Version) (objectapi.Changes, error) {
	s.callCount.Add(1)
	if s.isDisconnected.Load() {
		return objectapi.Changes{}, objectapi.ErrUnavailable
	}
	deadline, _ := ctx.Deadline()
	watchCtx, cancel := context.WithDeadline(ctx, deadline.Add(-objectapi.WatchGrace))
	defer cancel()
	changes, err := s.Store.Watch(watchCtx, prefix, after)
	if err != nil && ctx.Err() == nil && watchCtx.Err() != nil {
		return objectapi.Changes{Revision: after}, nil
	}
	return changes, err
}

// registryNode is a node that has only a registrySync, a mesh and a table of backend servers.
type registryNode struct {
	*node
	store *disconnectableStore
}

// canPlaceAt reports whether the node may send new requests to a server.
func (n *registryNode) canPlaceAt(server string) bool {
	_, refusal := n.backends.Place(backend.Request{Service: server}, 0)
	return refusal == nil
}

// startRegistryNodes starts nodes in two failure domains that share an object API, and waits until two of them watch the
// registry. Every server is a service of its own.
func startRegistryNodes(t *testing.T, count int) (nodes []*registryNode, store *objectapitest.MemoryStore) {
	t.Helper()
	store = objectapitest.NewMemoryStore()
	if _, err := store.Put(context.Background(), "servers/s0", "a", objectapi.AbsentVersion); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() { cancel(); tasks.Wait() })
	seed := ""
	for i := range count {
		meshConn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		selfAddress := meshConn.LocalAddr().String()
		if seed == "" {
			seed = selfAddress
		}
		n := &registryNode{store: &disconnectableStore{Store: store}, node: &node{
			settings: Settings{Node: fmt.Sprintf("n%d", i), FailureDomain: []string{"a", "b"}[i%2]},
			logger:   telemetry.NewLogger(io.Discard, slog.LevelInfo, "n"),
			backends: backend.NewTable(time.Second, slog.New(slog.DiscardHandler)),
		}}
		n.platform = Platform{Store: n.store, ServerPrefix: "servers/", DecodeServer: func(o objectapi.Object) (backend.Entry, error) {
			var failureDomain string
			err := json.Unmarshal(o.Value, &failureDomain)
			return backend.Entry{ID: path.Base(o.Key), Service: path.Base(o.Key), FailureDomain: failureDomain, Slots: 1}, err
		}}
		n.registry = newRegistrySync(n.node)
		composeDigest := func() mesh.Digest {
			return mesh.Digest{
				Node: n.settings.Node, Incarnation: 1, FailureDomain: n.settings.FailureDomain, State: mesh.Ready,
				BootClockMillis: time.Duration(boottime.Now()).Milliseconds(), ConfirmationAgeMillis: -1, Registry: n.registry.delta(),
			}
		}
		n.mesh = mesh.New(selfAddress, []string{seed}, composeDigest, func(m *mesh.Member) { n.registry.applyDelta(m) }, slog.New(slog.DiscardHandler))
		tasks.Go(func() { n.mesh.Run(ctx, meshConn) })
		tasks.Go(func() { n.registry.objectWatcher.Run(ctx) })
		nodes = append(nodes, n)
	}
	waitFor(t, 30*time.Second, "two nodes watch the registry", func() bool { return countWatchers(nodes) == 2 })
	return nodes, store
}

// countWatchers returns how many nodes call the object API within two intervals of a watch.
func countWatchers(nodes []*registryNode) int {
	var callsBefore []int64
	for _, n := range nodes {
		callsBefore = append(callsBefore, n.store.callCount.Load())
	}
	time.Sleep(2 * (registryWatchTimeout + registryBatchDelay))
	count := 0
	for i, n := range nodes {
		if n.store.callCount.Load() > callsBefore[i] {
			count++
		}
	}
	return count
}

// waitFor waits until a condition holds and fails the test if that takes longer than the limit.
func waitFor(t *testing.T, limit time.Duration, what string, isDone func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !isDone(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition does not hold within %s: %s", limit, what)
		}
	}
}

// waitForAll waits until every node may place requests at a server, or until none may.
func waitForAll(t *testing.T, nodes []*registryNode, server string, want bool) {
	t.Helper()
	for _, n := range nodes {
		waitFor(t, leavingServerTimeout, fmt.Sprintf("node %s may place requests at server %s: %t", n.settings.Node, server, want),
			func() bool { return n.canPlaceAt(server) == want })
	}
}

// A watch at every node would cost one call of every node for each change. Two nodes watch; the others must still learn
// of a leaving server in time.
func TestTwoNodesWatchTheRegistry(t *testing.T) {
	nodes, store := startRegistryNodes(t, 8)
	if _, err := store.Put(context.Background(), "servers/s1", "a", objectapi.AbsentVersion); err != nil {
		t.Fatal(err)
	}
	waitForAll(t, nodes, "s1", true)
	if err := store.Delete(context.Background(), "servers/s0", objectapi.AnyVersion); err != nil {
		t.Fatal(err)
	}
	waitForAll(t, nodes, "s0", false)
}

// The nodes that watch may be disconnected from the object API and still reach the other nodes. These must notice and
// watch in their place.
func TestDisconnectedWatchersAreReplaced(t *testing.T) {
	nodes, store := startRegistryNodes(t, 8)
	nodes[0].store.isDisconnected.Store(true)
	nodes[1].store.isDisconnected.Store(true)
	if err := store.Delete(context.Background(), "servers/s0", objectapi.AnyVersion); err != nil {
		t.Fatal(err)
	}
	waitForAll(t, nodes, "s0", false)
	waitFor(t, 30*time.Second, "two nodes watch the registry in place of the two that are disconnected",
		func() bool { return countWatchers(nodes[2:]) == 2 })
}

// A node that missed changes must not apply later ones, but ask the object API.
func TestChangesAfterAGapAreNotApplied(t *testing.T) {
	nodes, _ := startRegistryNodes(t, 2)
	last := nodes[1]
	last.mesh.OnDigest(&mesh.Member{Digest: mesh.Digest{Node: "x", Registry: mesh.RegistryDelta{
		FromRevision: objectapi.Version{Number: 100}, Revision: objectapi.Version{Number: 101}, Changes: []mesh.RegistryChange{{Revision: objectapi.Version{Number: 101}, Server: backend.Entry{ID: "s9", Service: "s9", Slots: 1}}},
	}}})
	if last.canPlaceAt("s9") {
		t.Fatal("a change is applied though those before it are missing")
	}
	if revision, isSynced := last.registry.objectWatcher.SyncedRevision(); !isSynced || revision.Number >= 100 {
		t.Fatalf("registry watcher is at revision %s, synced %t, want a synced revision below 100", revision, isSynced)
	}
}

// A digest may be composed while the changes of an answer are being applied. After a listing at revision 0, composing it
// dropped these changes, and the peers never received them.
func TestChangesOfAnUnfinishedAnswerAreKept(t *testing.T) {
	n := &node{logger: telemetry.NewLogger(io.Discard, slog.LevelInfo, "n"), backends: backend.NewTable(time.Second, slog.New(slog.DiscardHandler))}
	n.platform.DecodeServer = func(o objectapi.Object) (backend.Entry, error) { return backend.Entry{ID: path.Base(o.Key)}, nil }
	r := newRegistrySync(n)
	r.applyListing(objectapi.Listing{}, boottime.Now())
	r.recordAnswer(boottime.Now(), objectapi.Version{})
	r.applyEvent(objectapi.Event{Object: objectapi.Object{Key: "servers/s1"}})
	if delta := r.delta(); len(delta.Changes) != 0 || !delta.Revision.IsZero() {
		t.Fatalf("delta before the answer is recorded is %+v, want no changes at revision 0", delta)
	}
	r.recordAnswer(boottime.Now(), objectapi.Version{Number: 5})
	if delta := r.delta(); len(delta.Changes) != 1 || !delta.FromRevision.IsZero() || delta.Revision != (objectapi.Version{Number: 5}) {
		t.Fatalf("delta is %+v, want the change from revision 0 to 5", delta)
	}
}

// One registry entry with a huge field or name made the digests of the nodes that watch the registry too large for a
// datagram: their peers took them for unreachable. Such a change must be left out, and the peers must find out that they
// miss it.
func TestHugeChangesAreLeftOutOfDigests(t *testing.T) {
	const maxDigestBytes = 32 << 10
	huge := strings.Repeat("x", 1<<20)
	manyLong := make([]objectapi.Object, maxChangesPerDigest/2)
	for i := range manyLong {
		manyLong[i].Key = fmt.Sprintf("servers/%03d%s", i, huge[:500])
	}
	for name, objects := range map[string][]objectapi.Object{
		"huge service":                {{Key: "servers/s2", Value: json.RawMessage(huge)}},
		"huge name that is no server": {{Key: "servers/" + huge, Err: errors.New("not readable")}},
		"many long names":             manyLong,
	} {
		t.Run(name, func(t *testing.T) {
			n := &node{logger: telemetry.NewLogger(io.Discard, slog.LevelInfo, "n"), backends: backend.NewTable(time.Second, slog.New(slog.DiscardHandler))}
			n.platform = Platform{ServerPrefix: "servers/", DecodeServer: func(o objectapi.Object) (backend.Entry, error) {
				return backend.Entry{ID: path.Base(o.Key), Service: string(o.Value)}, o.Err
			}}
			r := newRegistrySync(n)
			r.applyListing(objectapi.Listing{}, boottime.Now())
			r.recordAnswer(boottime.Now(), objectapi.Version{Number: 6})
			for _, o := range objects {
				r.applyEvent(objectapi.Event{Object: o})
			}
			r.recordAnswer(boottime.Now(), objectapi.Version{Number: 7})
			r.applyEvent(objectapi.Event{Object: objectapi.Object{Key: "servers/s3"}})
			r.recordAnswer(boottime.Now(), objectapi.Version{Number: 8})
			delta := r.delta()
			raw, err := cbor.Marshal(delta)
			if err != nil || len(raw) > maxDigestBytes {
				t.Errorf("the changes have %d bytes, error %v, want at most %d", len(raw), err, maxDigestBytes)
			}
			if delta.FromRevision.Number != 7 || delta.Revision.Number != 8 || len(delta.Changes) != 1 || delta.Changes[0].Server.ID != "s3" {
				t.Errorf("delta from revision %s to %s with %d changes, want the change from 7 to 8", delta.FromRevision, delta.Revision, len(delta.Changes))
			}
		})
	}
}

// A change of a registry entry whose id has a slash was taken for one of the server named by the rest of the id: another
// writer's entry "x/s1" removed the server s1, and its own server was never removed.
func TestChangeOfEntryWithSlashInItsIDIsItsOwn(t *testing.T) {
	var lines bytes.Buffer
	n := &node{logger: telemetry.NewLogger(&lines, slog.LevelInfo, "n"), backends: backend.NewTable(time.Second, slog.New(slog.DiscardHandler))}
	n.platform = Platform{ServerPrefix: "servers/", DecodeServer: func(o objectapi.Object) (backend.Entry, error) {
		id := strings.TrimPrefix(o.Key, "servers/")
		return backend.Entry{ID: id, Service: id, Slots: 1}, o.Err
	}}
	canPlaceAt := (&registryNode{node: n}).canPlaceAt
	r := newRegistrySync(n)
	s1, odd := objectapi.Object{Key: "servers/s1"}, objectapi.Object{Key: "servers/x/s1"}
	r.applyListing(objectapi.Listing{Objects: []objectapi.Object{s1, odd}}, boottime.Now())
	if !canPlaceAt("s1") || !canPlaceAt("x/s1") {
		t.Fatal("a listed server gets no requests")
	}
	odd.Err = errors.New("not readable")
	r.applyEvent(objectapi.Event{Object: odd})
	if !canPlaceAt("s1") || canPlaceAt("x/s1") {
		t.Errorf("after x/s1 has become unreadable: requests to s1 %t, to x/s1 %t, want only to s1", canPlaceAt("s1"), canPlaceAt("x/s1"))
	}
	odd.Err = nil
	r.applyEvent(objectapi.Event{Object: odd})
	r.applyEvent(objectapi.Event{Object: odd, Deleted: true})
	if !canPlaceAt("s1") || canPlaceAt("x/s1") {
		t.Errorf("after x/s1 has been deleted: requests to s1 %t, to x/s1 %t, want only to s1", canPlaceAt("s1"), canPlaceAt("x/s1"))
	}
	for range 2 {
		lines.Reset()
		huge := objectapi.Object{Key: "servers/" + strings.Repeat("x", 1<<20), Err: errors.New("not readable")}
		r.applyEvent(objectapi.Event{Object: huge})
		r.applyListing(objectapi.Listing{Objects: []objectapi.Object{s1, huge}}, boottime.Now())
		if count := bytes.Count(lines.Bytes(), []byte("\n")); count != 2 || lines.Len() > 1000 {
			t.Errorf("%d log lines with %d bytes for a change and a listing, want 2 lines with at most 1000 bytes", count, lines.Len())
		}
	}
}
