package objectapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"

	"chestnutrudder.example/standin/process"
)

// TestRestore checks that a restored object API has lost the writes since the copy and gives their versions and revisions out
// again with other contents, and that its answers show the epoch. A stand-in that hid any of that would hide faults of nodes.
func TestRestore(t *testing.T) {
	server := httptest.NewServer(NewServer().Handler())
	defer server.Close()
	ctx := context.Background()
	newClient := func() *objectapi.Client { return objectapi.NewClient(server.URL, nil) }
	client := newClient()
	post := func(path string) error { return process.DoJSON(http.MethodPost, server.URL+path, nil, nil) }
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	put := func(key, value string, expected objectapi.Version) objectapi.Object {
		t.Helper()
		o, err := client.Put(ctx, key, value, expected)
		must(err)
		return o
	}
	if post("/control/restore") == nil {
		t.Error("restored without a copy")
	}
	kept := put("a/kept", "1", objectapi.AbsentVersion)
	must(post("/control/copy"))
	put("a/kept", "lost", kept.Version)
	lost := put("a/lost", "1", objectapi.AbsentVersion)
	put("a/lost", "2", lost.Version)
	before, err := client.List(ctx, "a/")
	must(err)
	changes := make(chan objectapi.Changes, 1)
	go func() {
		got, err := newClient().Watch(ctx, "a/", before.Revision)
		if err != nil {
			t.Error(err)
		}
		changes <- got
	}()
	must(post("/control/restore"))
	if got := <-changes; !got.Reset || got.Revision != (objectapi.Version{Epoch: 1, Number: 1}) {
		t.Errorf("watch that waits during the restore: reset %t at revision %s, expected a reset at 1.1", got.Reset, got.Revision)
	}
	if o, err := client.Get(ctx, "a/kept"); err != nil || string(o.Value) != `"1"` || o.Version != (objectapi.Version{Epoch: 1, Number: 1}) {
		t.Errorf("restored object: %s version %s, error %v", o.Value, o.Version, err)
	}
	if o, err := client.Get(ctx, "a/lost"); !errors.Is(err, objectapi.ErrNotFound) || o.Version != (objectapi.Version{Epoch: 1}) {
		t.Errorf("lost object: version %s, error %v; expected epoch 1 with %v", o.Version, err, objectapi.ErrNotFound)
	}
	if _, err := client.Put(ctx, "a/kept", "3", kept.Version); !errors.Is(err, objectapi.ErrConflict) {
		t.Errorf("write that expects version %s, which is that of another epoch: %v", kept.Version, err)
	}
	if err := client.Delete(ctx, "a/kept", kept.Version); !errors.Is(err, objectapi.ErrConflict) {
		t.Errorf("deletion that expects version %s, which is that of another epoch: %v", kept.Version, err)
	}
	for range 3 {
		put("a/other", "1", objectapi.AnyVersion)
	}
	if o := put("a/lost", "other", objectapi.AbsentVersion); o.Version != (objectapi.Version{Epoch: 1, Number: lost.Version.Number}) {
		t.Errorf("version %s after the restore, expected number %d again", o.Version, lost.Version.Number)
	}
	listing, err := client.List(ctx, "a/")
	must(err)
	if listing.Revision.Number <= before.Revision.Number {
		t.Fatalf("revision %s after the restore does not pass %s, so that the next check proves nothing", listing.Revision, before.Revision)
	}
	if got, err := client.Watch(ctx, "a/", before.Revision); err != nil || !got.Reset {
		t.Errorf("watch from lost revision %s: reset %t, error %v", before.Revision, got.Reset, err)
	}
	if got, err := client.Watch(ctx, "a/", objectapi.Version{Epoch: 1, Number: 1}); err != nil || got.Reset || len(got.Events) != 4 || got.Events[3].Object.Version.Epoch != 1 {
		t.Errorf("watch from the restored revision: %+v, error %v", got, err)
	}
	must(post("/control/restore"))
	if o, err := client.Get(ctx, "a/kept"); err != nil || o.Version != (objectapi.Version{Epoch: 2, Number: 1}) {
		t.Errorf("second restore: version %s, error %v", o.Version, err)
	}
}
