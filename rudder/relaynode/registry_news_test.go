package relaynode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"path"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/telemetry"
)

// largeRegistry is the number of servers of a large fleet; those of one of its three failure domains may drain at once.
const largeRegistry = 1500

// newLargeRegistry returns a registrySync that has read a registry of largeRegistry servers at revision 1000, and the entries.
func newLargeRegistry(t *testing.T) (*registrySync, []objectapi.Object) {
	t.Helper()
	n := &node{logger: telemetry.NewLogger(io.Discard, slog.LevelInfo, "n"), backends: backend.NewTable(time.Second, slog.New(slog.DiscardHandler))}
	n.platform = Platform{ServerPrefix: "servers/", DecodeServer: func(o objectapi.Object) (backend.Entry, error) {
		e := backend.Entry{ID: path.Base(o.Key), Service: "model-a", Address: "10.1.2.3:8080", FailureDomain: "zone-1", Slots: 24, Reclaimable: true, StartUnixMillis: 1.7e12, SoftwareVersion: "v1"}
		return e, json.Unmarshal(o.Value, &e.Draining)
	}}
	n.mesh = mesh.New("127.0.0.1:1", nil, nil, nil, slog.New(slog.DiscardHandler))
	var objects []objectapi.Object
	for i := range largeRegistry {
		objects = append(objects, objectapi.Object{Key: fmt.Sprintf("servers/model-a-%05d", i), Value: json.RawMessage("false")})
	}
	r := newRegistrySync(n)
	r.applyListing(objectapi.Listing{Objects: objects}, boottime.Now())
	r.recordAnswer(boottime.Now(), objectapi.Version{Number: 1000})
	return r, objects
}

// Pattern: 1,500 servers write their entries anew each second. These filled the changes that digests may hold, so that none
// was told: every node read the registry itself, and learnt of a leaving server only when its turn came.
func TestRewrittenEntriesDoNotDisplaceARemoval(t *testing.T) {
	r, objects := newLargeRegistry(t)
	revision := int64(1000)
	for round := range 8 {
		for i, o := range objects {
			r.applyEvent(objectapi.Event{Object: o, Deleted: round == 0 && i == 7})
		}
		revision += largeRegistry
		r.recordAnswer(boottime.Now(), objectapi.Version{Number: revision})
		if round == 0 {
			objects = objects[8:]
		}
	}
	delta := r.delta()
	if delta.FromRevision.Number != 1000 || delta.Revision.Number != revision || len(delta.Changes) != 1 || !delta.Changes[0].Removed {
		t.Errorf("delta is from %s to %s with %d changes, want the removal of one server from 1000 to %d", delta.FromRevision, delta.Revision, len(delta.Changes), revision)
	}
}

// Pattern: all servers of a failure domain of a large fleet are reclaimed at once. Guards against news that cannot hold all of
// them, and against nodes that do not understand their short form.
func TestDrainOfWholeFailureDomainFitsInNews(t *testing.T) {
	r, objects := newLargeRegistry(t)
	notified := 0
	r.usesSummaries, r.notifyNews = func() bool { return true }, func() { notified++ }
	const drained, gone = largeRegistry / 3, 20
	for i, o := range objects[:drained] {
		o.Value = json.RawMessage("true")
		r.applyEvent(objectapi.Event{Object: o})
		if i < gone {
			r.applyEvent(objectapi.Event{Object: o, Deleted: true})
		}
	}
	restarted := objects[largeRegistry-1]
	r.applyEvent(objectapi.Event{Object: restarted, Deleted: true})
	r.applyEvent(objectapi.Event{Object: restarted})
	restarted.Value = json.RawMessage("true")
	r.applyEvent(objectapi.Event{Object: restarted})
	r.recordAnswer(boottime.Now(), objectapi.Version{Number: 2000})
	if notified != 1 || !r.takeNews() || r.takeNews() {
		t.Errorf("news were notified %d times, want once, and to be taken once", notified)
	}
	if delta := r.delta(); len(delta.Changes) != 0 || delta.FromRevision != delta.Revision {
		t.Errorf("a digest holds %d changes from %s to %s, want none", len(delta.Changes), delta.FromRevision, delta.Revision)
	}
	receiver, _ := newLargeRegistry(t)
	news := r.newsDelta()
	raw, err := cbor.Marshal(news)
	if err != nil || len(raw) > maxChangeBytesPerDigest {
		t.Errorf("the news have %d bytes, error %v, want at most %d", len(raw), err, maxChangeBytesPerDigest)
	}
	t.Logf("the drain of %d servers takes %d bytes", drained, len(raw))
	var arrived mesh.RegistryDelta
	if err := cbor.Unmarshal(raw, &arrived); err != nil {
		t.Fatal(err)
	}
	receiver.applyLatestChanges(arrived.Changes, arrived.FromRevision)
	for i, o := range objects {
		entry, isListed := receiver.node.backends.Entry(path.Base(o.Key))
		wantDraining := i < drained || i == largeRegistry-1
		if isListed != (i >= gone) || isListed && (entry.Draining != wantDraining || entry.Service != "model-a") {
			t.Fatalf("server %d is listed: %t, with entry %+v; want draining %t", i, isListed, entry, wantDraining)
		}
	}
}

// Guards against a node that lacks changes although there were none since its revision but rewritten entries.
func TestRewrittenEntriesKeepOldRevisionsUsable(t *testing.T) {
	r, objects := newLargeRegistry(t)
	for round := range int64(20) {
		for _, o := range objects[:300] {
			r.applyEvent(objectapi.Event{Object: o})
		}
		r.recordAnswer(boottime.Now(), objectapi.Version{Number: 2000 + round})
	}
	if delta := r.newsDelta(); delta.FromRevision.Number != 1000 || len(delta.Changes) != 0 {
		t.Errorf("delta is from %s with %d changes, want none since 1000", delta.FromRevision, len(delta.Changes))
	}
}

// Pattern: more than 96 nodes, and 600 servers that write their entries anew all the time. Guards against nodes that read the
// registry themselves, and against a leaving server that some nodes learn of late.
func TestLeavingServerIsKnownWhereSummariesAreUsed(t *testing.T) {
	const nodeCount, serverCount = 100, 600
	nodes, store := startRegistryNodes(t, nodeCount)
	waitFor(t, 30*time.Second, "all nodes use summaries", func() bool {
		for _, n := range nodes {
			if !n.mesh.UsesSummaries() {
				return false
			}
		}
		return true
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			for i := range serverCount {
				if _, err := store.Put(ctx, fmt.Sprintf("servers/m%d", i), "a", objectapi.AnyVersion); err != nil {
					return
				}
			}
			time.Sleep(time.Second)
		}
	}()
	for _, n := range nodes { // so many new servers exceed what news may hold: the nodes read the registry in their turn
		waitFor(t, 30*time.Second, "all servers are known", func() bool { return n.canPlaceAt(fmt.Sprintf("m%d", serverCount-1)) })
	}
	waitFor(t, 30*time.Second, "two nodes watch the registry", func() bool { return countWatchers(nodes) == 2 })
	if err := store.Delete(t.Context(), "servers/s0", objectapi.AnyVersion); err != nil {
		t.Fatal(err)
	}
	deletedAt := time.Now()
	waitForAll(t, nodes, "s0", false)
	t.Logf("all %d nodes know of the removal after %s", nodeCount, time.Since(deletedAt))
}
