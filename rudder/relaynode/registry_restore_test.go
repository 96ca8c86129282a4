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

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/telemetry"
)

// Nodes went on following the registry from revisions that the restored object API had given out again, and used servers
// that began to leave afterwards for seconds.
func TestServerLeavingAfterRestoreGetsNoRequests(t *testing.T) {
	nodes, store := startRegistryNodes(t, 8)
	ctx := context.Background()
	put := func(server string) {
		if _, err := store.Put(ctx, "servers/"+server, "a", objectapi.AnyVersion); err != nil {
			t.Fatal(err)
		}
	}
	storeCopy := store.Copy()
	put("lost1")
	put("lost2")
	waitForAll(t, nodes, "lost2", true)
	store.Restore(storeCopy)
	// The revisions pass those that the nodes know before any node asks.
	if err := store.Delete(ctx, "servers/s0", objectapi.AnyVersion); err != nil {
		t.Fatal(err)
	}
	for _, server := range []string{"s1", "s2", "s3", "s4"} {
		put(server)
	}
	for server, want := range map[string]bool{"s0": false, "s1": true, "s4": true, "lost1": false} {
		for _, n := range nodes {
			waitFor(t, 30*time.Second, fmt.Sprintf("node %s may place requests at server %s: %t", n.settings.Node, server, want),
				func() bool { return n.canPlaceAt(server) == want })
		}
	}
}

// newLoneRegistrySync returns a registrySync whose node has no peers. The value of an entry is true while its server drains.
func newLoneRegistrySync() *registrySync {
	n := &node{logger: telemetry.NewLogger(io.Discard, slog.LevelInfo, "n"), backends: backend.NewTable(time.Second, slog.New(slog.DiscardHandler))}
	n.platform.ServerPrefix = "servers/"
	n.platform.DecodeServer = func(o objectapi.Object) (backend.Entry, error) {
		e := backend.Entry{ID: path.Base(o.Key), Service: path.Base(o.Key), Slots: 1, StartUnixMillis: 1}
		return e, json.Unmarshal(o.Value, &e.Draining)
	}
	return newRegistrySync(n)
}

// registryListing returns a listing of an epoch with servers by name.
func registryListing(epoch int64, drainingByServer map[string]bool) objectapi.Listing {
	l := objectapi.Listing{Revision: objectapi.Version{Epoch: epoch, Number: 50}}
	for server, isDraining := range drainingByServer {
		l.Objects = append(l.Objects, registryObject(server, isDraining))
	}
	return l
}

func registryObject(server string, isDraining bool) objectapi.Object {
	raw, err := json.Marshal(isDraining)
	if err != nil {
		panic(err) // JSON encodes every bool
	}
	return objectapi.Object{Key: "servers/" + server, Value: raw}
}

// list applies the answer to a listing.
func (r *registrySync) list(epoch int64, drainingByServer map[string]bool) {
	listing := registryListing(epoch, drainingByServer)
	r.applyListing(listing, boottime.Now())
	r.recordAnswer(boottime.Now(), listing.Revision)
}

// checkServing checks which servers get requests.
func (r *registrySync) checkServing(t *testing.T, when string, want map[string]bool) {
	t.Helper()
	for server, wantServing := range want {
		if _, refusal := r.node.backends.Place(backend.Request{Service: server}, 0); (refusal == nil) != wantServing {
			t.Errorf("%s: server %s gets requests: %t, want %t", when, server, refusal == nil, wantServing)
		}
	}
}

// A restored registry lists servers that have left since the copy, and lacks those that started since. The former must not get
// requests again, and the latter must get them on while they write their entries again.
func TestRestoredRegistryDoesNotUndoKnownChanges(t *testing.T) {
	r := newLoneRegistrySync()
	r.list(1, map[string]bool{"serving": false, "draining": false, "removed": false, "back": false})
	r.applyEvent(objectapi.Event{Object: registryObject("draining", true)})
	r.applyEvent(objectapi.Event{Object: registryObject("started", false)})
	r.applyEvent(objectapi.Event{Object: registryObject("ended", false)})
	r.applyEvent(objectapi.Event{Object: registryObject("removed", false), Deleted: true})
	r.applyEvent(objectapi.Event{Object: registryObject("back", false), Deleted: true})
	r.recordAnswer(boottime.Now(), objectapi.Version{Epoch: 1, Number: 55})
	r.list(2, map[string]bool{"serving": false, "draining": false, "removed": false, "back": false})
	r.checkServing(t, "at the restore", map[string]bool{"serving": true, "draining": false, "removed": false, "back": false, "started": true, "ended": true})
	r.applyEvent(objectapi.Event{Object: registryObject("started", false)})
	r.applyEvent(objectapi.Event{Object: registryObject("back", false)})
	r.settleEntries(boottime.Now().Add(rewriteTimeout))
	r.checkServing(t, "after the servers had time to write", map[string]bool{"serving": true, "draining": false, "removed": false, "back": true, "started": true, "ended": false})
	r.settleEntries(boottime.Now().Add(lapseTimeout))
	r.checkServing(t, "after silent entries lapse", map[string]bool{"removed": true, "draining": false})
}

// A digest that was composed between the application of a listing and the note of its revision claimed to hold all changes
// from the beginning, and held none: peers took the changes before the listing for known.
func TestListingInProgressIsNotClaimedAsChanges(t *testing.T) {
	r := newLoneRegistrySync()
	listing := registryListing(0, map[string]bool{"s": false})
	r.applyListing(listing, boottime.Now())
	r.recordAnswer(boottime.Now(), listing.Revision)
	r.applyListing(registryListing(1, map[string]bool{"s": true}), boottime.Now())
	if delta := r.delta(); !delta.Revision.IsZero() {
		t.Errorf("the digest claims %d changes from revision %s to %s, want none", len(delta.Changes), delta.FromRevision, delta.Revision)
	}
}

// The registry was listed a second time soon after the restore, since its history was gone, and the second listing undid what
// the first one had not: servers that had left got requests again, and those that had not written their entries yet got none.
func TestSecondListingAfterRestoreDoesNotUndoKnownChanges(t *testing.T) {
	r := newLoneRegistrySync()
	r.list(1, map[string]bool{"draining": true, "started": false, "left": false})
	r.applyEvent(objectapi.Event{Object: registryObject("removed", false)})
	r.applyEvent(objectapi.Event{Object: registryObject("removed", false), Deleted: true})
	r.recordAnswer(boottime.Now(), objectapi.Version{Epoch: 1, Number: 55})
	r.list(2, map[string]bool{"draining": false, "removed": false, "left": false})
	r.settleEntries(boottime.Now().Add(rewriteTimeout / 2))
	r.list(2, map[string]bool{"draining": false, "removed": false})
	r.checkServing(t, "at the second listing", map[string]bool{"draining": false, "removed": false, "started": true, "left": false})
	r.settleEntries(boottime.Now().Add(rewriteTimeout))
	r.checkServing(t, "after the servers had time to write", map[string]bool{"draining": false, "removed": false, "started": false})
	r.settleEntries(boottime.Now().Add(lapseTimeout))
	r.checkServing(t, "after silent entries lapse", map[string]bool{"draining": false, "removed": true})
}
