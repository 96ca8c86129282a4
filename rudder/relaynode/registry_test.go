package relaynode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/telemetry"
)

// leavingBound is how long a leaving server may get new work.
const leavingBound = 2 * time.Second

// nodeStore is the object API as one node reaches it.
type nodeStore struct {
	objectapi.Store
	calls atomic.Int64
	cut   atomic.Bool
}

func (s *nodeStore) List(ctx context.Context, prefix string) (objectapi.Listing, error) {
	s.calls.Add(1)
	if s.cut.Load() {
		return objectapi.Listing{}, objectapi.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// Watch answers like the platform's store, which ends the wait when the caller's time is over.
func (s *nodeStore) Watch(ctx context.Context, prefix string, after int64) (objectapi.Changes, error) {
	s.calls.Add(1)
	if s.cut.Load() {
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

// registryNode is a node with a registry and a mesh only.
type registryNode struct {
	*node
	store *nodeStore
}

// knows reports whether new requests may go to a server.
func (n *registryNode) knows(server string) bool {
	_, refusal := n.backends.Place(backend.Request{Service: server}, 0)
	return refusal == nil
}

// startRegistryNodes starts nodes in two failure domains that share an object API. Every server is a service of its own.
func startRegistryNodes(t *testing.T, count int) (nodes []*registryNode, store *objectapitest.Memory) {
	t.Helper()
	store = objectapitest.NewMemory()
	if _, err := store.Put(context.Background(), "servers/s0", "a", objectapi.Absent); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() { cancel(); tasks.Wait() })
	seed := ""
	for i := range count {
		socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		self := socket.LocalAddr().String()
		if seed == "" {
			seed = self
		}
		n := &registryNode{store: &nodeStore{Store: store}, node: &node{
			settings: Settings{Node: fmt.Sprintf("n%d", i), FailureDomain: []string{"a", "b"}[i%2]},
			logger:   telemetry.NewLogger(io.Discard, slog.LevelInfo, "n"),
			backends: backend.NewTable(time.Second, slog.New(slog.DiscardHandler)),
		}}
		n.outside = Outside{Store: n.store, ServersPrefix: "servers/", DecodeServer: func(o objectapi.Object) (backend.Entry, error) {
			var zone string
			err := json.Unmarshal(o.Value, &zone)
			return backend.Entry{ID: path.Base(o.Key), Service: path.Base(o.Key), FailureDomain: zone, Slots: 1}, err
		}}
		n.registry = newRegistry(n.node)
		compose := func() mesh.Digest {
			return mesh.Digest{
				Node: n.settings.Node, Incarnation: 1, FailureDomain: n.settings.FailureDomain, State: mesh.Ready,
				BootMillis: time.Duration(boottime.Now()).Milliseconds(), ProofAge: -1, Registry: n.registry.news(),
			}
		}
		n.mesh = mesh.New(self, []string{seed}, compose, func(m mesh.Member) { n.registry.take(m) }, slog.New(slog.DiscardHandler))
		tasks.Go(func() { n.mesh.Run(ctx, socket) })
		tasks.Go(func() { n.registry.follower.Run(ctx) })
		nodes = append(nodes, n)
	}
	await(t, 30*time.Second, "two nodes watch the registry", func() bool { return watching(nodes) == 2 })
	return nodes, store
}

// watching returns how many nodes call the object API.
func watching(nodes []*registryNode) int {
	var before []int64
	for _, n := range nodes {
		before = append(before, n.store.calls.Load())
	}
	time.Sleep(2 * (registryWait + registryPause))
	count := 0
	for i, n := range nodes {
		if n.store.calls.Load() > before[i] {
			count++
		}
	}
	return count
}

func await(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// awaitAll waits until all nodes know or do not know a server.
func awaitAll(t *testing.T, nodes []*registryNode, server string, known bool) {
	t.Helper()
	for _, n := range nodes {
		await(t, leavingBound, fmt.Sprintf("%s knows %s: %t", n.settings.Node, server, known), func() bool { return n.knows(server) == known })
	}
}

// A watch at every node costs a call of every node for each change. Two nodes watch; the others must learn of a leaving
// server in time all the same.
func TestTwoNodesWatchTheRegistry(t *testing.T) {
	nodes, store := startRegistryNodes(t, 8)
	if _, err := store.Put(context.Background(), "servers/s1", "a", objectapi.Absent); err != nil {
		t.Fatal(err)
	}
	awaitAll(t, nodes, "s1", true)
	if err := store.Delete(context.Background(), "servers/s0", objectapi.Any); err != nil {
		t.Fatal(err)
	}
	awaitAll(t, nodes, "s0", false)
}

// The nodes that watch may be cut off from the object API, and still hear the others: these must notice and call.
func TestWatchersThatAreCutOffAreReplaced(t *testing.T) {
	nodes, store := startRegistryNodes(t, 8)
	nodes[0].store.cut.Store(true)
	nodes[1].store.cut.Store(true)
	if err := store.Delete(context.Background(), "servers/s0", objectapi.Any); err != nil {
		t.Fatal(err)
	}
	awaitAll(t, nodes, "s0", false)
	await(t, 30*time.Second, "two nodes watch the registry beside the two that are cut off", func() bool { return watching(nodes[2:]) == 2 })
}

// A node that missed changes must not take later ones, but ask the object API.
func TestMissedChangesAreAskedFor(t *testing.T) {
	nodes, _ := startRegistryNodes(t, 2)
	last := nodes[1]
	last.mesh.Learn(mesh.Member{Digest: mesh.Digest{Node: "x", Registry: mesh.Registry{
		From: 100, Revision: 101, Changes: []mesh.RegistryChange{{Revision: 101, Server: backend.Entry{ID: "s9", Service: "s9", Slots: 1}}},
	}}})
	if last.knows("s9") {
		t.Fatal("a change is taken though those before it are missing")
	}
	if revision, listed := last.registry.follower.Listed(); !listed || revision >= 100 {
		t.Fatalf("revision is %d, listed %t", revision, listed)
	}
}

// A digest may be composed while the changes of an answer are taken. Where the listing was of revision 0 it dropped them,
// and the peers went on without.
func TestChangesOfAnAnswerInProgressAreKept(t *testing.T) {
	n := &node{logger: telemetry.NewLogger(io.Discard, slog.LevelInfo, "n"), backends: backend.NewTable(time.Second, slog.New(slog.DiscardHandler))}
	n.outside.DecodeServer = func(o objectapi.Object) (backend.Entry, error) { return backend.Entry{ID: path.Base(o.Key)}, nil }
	r := newRegistry(n)
	r.replace(nil, boottime.Now())
	r.seen(boottime.Now(), 0)
	r.change(objectapi.Event{Object: objectapi.Object{Key: "servers/s1"}})
	if news := r.news(); len(news.Changes) != 0 || news.Revision != 0 {
		t.Fatalf("told before the answer is taken: %+v", news)
	}
	r.seen(boottime.Now(), 5)
	if news := r.news(); len(news.Changes) != 1 || news.From != 0 || news.Revision != 5 {
		t.Fatalf("told %+v, want the change from revision 0 to 5", news)
	}
}
