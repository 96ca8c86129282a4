package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"chestnutrudder.example/rudder/dispatch"
	"chestnutrudder.example/rudder/entry"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// handOverDuration is the time reserved for handing over the remaining requests to other nodes. The hand-over starts
	// this long before the deadline, or after half the time left if that is later.
	handOverDuration = 2 * time.Second
	// drainPropagationDelay is how long a draining node keeps running after its last request, so that other nodes learn
	// that it is draining and register elsewhere the places of runs that they had registered with it.
	drainPropagationDelay = time.Second
)

// drainer drains a node before it stops, so that no request in progress is aborted.
type drainer struct {
	exchanger     *membership.Exchanger
	dispatcher    *dispatch.Dispatcher
	entryServer   *entry.Server
	log           *slog.Logger
	drainRequests chan time.Duration // each is the time left until the deadline
}

// awaitStop waits until ctx ends, groupDone is closed or a drain request arrives. It returns the time that requests in
// progress have: that of the drain request, else stopTimeout.
func (d *drainer) awaitStop(ctx context.Context, groupDone <-chan struct{}, stopTimeout time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-groupDone:
	case timeLeft := <-d.drainRequests:
		return timeLeft
	}
	return stopTimeout
}

// drain makes the node refuse new requests and waits until none is in progress. Requests that are still in progress shortly
// before the deadline, which is in timeLeft, are handed over to other nodes.
func (d *drainer) drain(timeLeft time.Duration) {
	deadline := time.Now().Add(timeLeft)
	d.entryServer.Drain()
	d.exchanger.SetState(membership.StateDraining)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(-min(handOverDuration, timeLeft/2)))
	defer cancel()
	isIdle := d.entryServer.AwaitIdle(ctx) && d.dispatcher.AwaitIdle(ctx)
	if !isIdle {
		d.log.Info("Handing over the requests in progress before the deadline.", "requests", d.entryServer.RequestsInProgress(), "runs", d.dispatcher.RunsInProgress())
		d.dispatcher.HandOver()
		d.entryServer.HandOver()
	}
	sleep.For(ctx, min(drainPropagationDelay, timeLeft/4))
}

// drainRequest is the body of POST /drain.
type drainRequest struct {
	DeadlineSeconds float64 `json:"deadline_seconds"` // time until the host is taken away
}

// handleDrain answers POST /drain, which announces that the host of this node will be taken away, and makes the node drain
// and stop.
func (d *drainer) handleDrain(w http.ResponseWriter, r *http.Request) {
	var request drainRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&request); err != nil || request.DeadlineSeconds <= 0 {
		http.Error(w, "deadline_seconds: allowed: a number above 0", http.StatusBadRequest)
		return
	}
	select {
	case d.drainRequests <- time.Duration(request.DeadlineSeconds * float64(time.Second)):
	default: // a drain request is already pending
	}
	w.WriteHeader(http.StatusAccepted)
}
