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

func startServer(t *testing.T) (*objectapi.Client, func(path string, body any)) {
	t.Helper()
	server := httptest.NewServer(NewServer().Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return objectapi.NewClient(server.URL, nil), func(path string, body any) {
		if err := process.Control(http.MethodPut, server.URL+path, body, nil); err != nil {
			t.Fatal(err)
		}
	}
}

// TestOutageEndsWatches guards against a watch that survives an outage, which would hide the outage from its node.
func TestOutageEndsWatches(t *testing.T) {
	client, control := startServer(t)
	watchErr := make(chan error, 1)
	go func() {
		_, err := client.Watch(context.Background(), "spec/", 0)
		watchErr <- err
	}()
	time.Sleep(10 * time.Millisecond)
	control("/control/faults", Faults{Down: true})
	if err := <-watchErr; !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("watch ended with %v, expected unavailable", err)
	}
}

// TestWriteFaultsAndLimits guards against faults that lose a write they should do, or do one they should refuse.
func TestWriteFaultsAndLimits(t *testing.T) {
	client, control := startServer(t)
	ctx := context.Background()
	control("/control/faults", Faults{LoseAnswers: 1})
	if o, err := client.Put(ctx, "a/1", 1, objectapi.AbsentVersion); err != nil || o.Version != 1 {
		t.Errorf("write with a lost answer has version %d (%v), expected 1", o.Version, err)
	}
	control("/control/faults", Faults{FailPrefixes: []string{"a/"}})
	if _, err := client.Put(ctx, "a/1", 2, 1); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("write in a partial outage: %v, expected unavailable", err)
	}
	if _, err := client.Put(ctx, "b/1", 2, objectapi.AbsentVersion); err != nil {
		t.Errorf("write outside of the partial outage: %v", err)
	}
	control("/control/faults", Faults{})
	control("/control/limits", Limits{WritesPerSec: 1e-6})
	if _, err := client.Put(ctx, "c/1", 1, objectapi.AbsentVersion); err != nil {
		t.Errorf("first write within the rate: %v", err)
	}
	if _, err := client.Put(ctx, "c/2", 1, objectapi.AbsentVersion); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("write above the rate: %v, expected unavailable", err)
	}
	if o, err := client.Get(ctx, "a/1"); err != nil || o.Version != 1 {
		t.Errorf("object has version %d (%v), expected 1: the failed write was done", o.Version, err)
	}
}
