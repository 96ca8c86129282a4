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
	// handOverDuration is what the hand-over of the remaining requests takes at most; it starts this long before the deadline.
	handOverDuration = 2 * time.Second
	// drainPropagationDelay is how long a draining node stays after its last request, so that other nodes learn that it is draining
	// and register its places elsewhere.
	drainPropagationDelay = time.Second
)

// drainer stops a node without cutting off requests.
type drainer struct {
	exchanger     *membership.Exchanger
	dispatcher    *dispatch.Dispatcher
	entryServer   *entry.Server
	log           *slog.Logger
	drainRequests chan time.Duration // time until the deadline
}

// awaitStop waits until ctx ends, groupDone is closed or a notice arrives, and returns the time for requests in progress.
func (d *drainer) awaitStop(ctx context.Context, groupDone <-chan struct{}, stopTimeout time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-groupDone:
	case timeLeft := <-d.drainRequests:
		return timeLeft
	}
	return stopTimeout
}

// drain returns when no request is in progress, or when the rest has been handed over shortly before the deadline.
func (d *drainer) drain(timeLeft time.Duration) {
	deadline := time.Now().Add(timeLeft)
	d.entryServer.Drain()
	d.exchanger.SetState(membership.StateDraining)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(-min(handOverDuration, timeLeft/2)))
	defer cancel()
	isIdle := d.entryServer.AwaitIdle(ctx) && d.dispatcher.AwaitIdle(ctx)
	if !isIdle {
		d.log.Info("Requests are handed over before the deadline.", "requests", d.entryServer.RequestsInProgress(), "runs", d.dispatcher.InProgress())
		d.dispatcher.HandOver()
		d.entryServer.HandOver()
	}
	sleep.For(ctx, min(drainPropagationDelay, timeLeft/4))
}

// drainRequest is the body of POST /drain.
type drainRequest struct {
	DeadlineSeconds float64 `json:"deadline_seconds"` // time until the host goes away
}

// handleDrain answers POST /drain: the host of this node will be taken away.
func (d *drainer) handleDrain(w http.ResponseWriter, r *http.Request) {
	var request drainRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&request); err != nil || request.DeadlineSeconds <= 0 {
		http.Error(w, "deadline_seconds: allowed: a number above 0", http.StatusBadRequest)
		return
	}
	select {
	case d.drainRequests <- time.Duration(request.DeadlineSeconds * float64(time.Second)):
	default: // a stop is in progress already
	}
	w.WriteHeader(http.StatusAccepted)
}
