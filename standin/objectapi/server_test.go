package objectapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"

	"chestnutrudder.example/standin/process"
)

// startServer returns a client of a new server and a function that sends a body to one of its control paths.
func startServer(t *testing.T) (*objectapi.Client, func(path string, body any)) {
	t.Helper()
	server := httptest.NewServer(NewServer().Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return objectapi.NewClient(server.URL, nil), func(path string, body any) {
		if err := process.DoJSON(http.MethodPut, server.URL+path, body, nil); err != nil {
			t.Fatal(err)
		}
	}
}

// TestOutageEndsWatches checks that an outage ends a waiting watch. A watch that went on would hide the outage from its
// node.
func TestOutageEndsWatches(t *testing.T) {
	client, putControl := startServer(t)
	watchErr := make(chan error, 1)
	go func() {
		_, err := client.Watch(context.Background(), "spec/", objectapi.Version{})
		watchErr <- err
	}()
	time.Sleep(10 * time.Millisecond)
	putControl("/control/faults", Faults{Down: true})
	if err := <-watchErr; !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("Watch during an outage returned error %v, expected ErrUnavailable", err)
	}
}

// TestWriteFaultsAndLimits checks that a write whose response is dropped takes effect, and that a write that a fault or a
// rate limit rejects does not.
func TestWriteFaultsAndLimits(t *testing.T) {
	client, putControl := startServer(t)
	ctx := context.Background()
	putControl("/control/faults", Faults{DropResponses: 1})
	if o, err := client.Put(ctx, "a/1", 1, objectapi.AbsentVersion); err != nil || o.Version.Number != 1 {
		t.Errorf("Put with a dropped response returned version %s (error: %v), expected 1", o.Version, err)
	}
	putControl("/control/faults", Faults{FailPrefixes: []string{"a/"}})
	if _, err := client.Put(ctx, "a/1", 2, objectapi.Version{Number: 1}); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("Put of a key in FailPrefixes returned error %v, expected ErrUnavailable", err)
	}
	if _, err := client.Put(ctx, "b/1", 2, objectapi.AbsentVersion); err != nil {
		t.Errorf("Put of a key that is not in FailPrefixes: %v", err)
	}
	putControl("/control/faults", Faults{})
	putControl("/control/limits", Limits{WritesPerSec: 1e-6})
	if _, err := client.Put(ctx, "c/1", 1, objectapi.AbsentVersion); err != nil {
		t.Errorf("first Put, within the rate limit: %v", err)
	}
	if _, err := client.Put(ctx, "c/2", 1, objectapi.AbsentVersion); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("Put above the rate limit returned error %v, expected ErrUnavailable", err)
	}
	if o, err := client.Get(ctx, "a/1"); err != nil || o.Version.Number != 1 {
		t.Errorf("Get returned version %s (error: %v), expected 1 because the second Put of the key was rejected", o.Version, err)
	}
}
