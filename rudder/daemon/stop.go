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
	// handOverTime is what the hand-over of the remaining requests takes at most; it starts this long before the deadline.
	handOverTime = 2 * time.Second
	// settleTime is how long a draining node stays after its last request, so that other nodes learn that it is draining
	// and register its places elsewhere.
	settleTime = time.Second
)

// drainer stops a node without cutting off requests.
type drainer struct {
	members    *membership.Exchanger
	dispatcher *dispatch.Dispatcher
	callers    *entry.Server
	log        *slog.Logger
	begin      chan time.Duration // time until the deadline
}

// await waits until ctx ends, failed is closed or a notice arrives, and returns the time for requests in progress.
func (d *drainer) await(ctx context.Context, failed <-chan struct{}, stopTimeout time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-failed:
	case left := <-d.begin:
		return left
	}
	return stopTimeout
}

// drain returns when no request is in progress, or when the rest has been handed over shortly before the deadline.
func (d *drainer) drain(left time.Duration) {
	deadline := time.Now().Add(left)
	d.callers.Drain()
	d.members.SetState(membership.StateDraining)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(-min(handOverTime, left/2)))
	defer cancel()
	idle := d.callers.AwaitIdle(ctx) && d.dispatcher.AwaitIdle(ctx)
	if !idle {
		d.log.Info("Requests are handed over before the deadline.", "requests", d.callers.RequestsInProgress(), "runs", d.dispatcher.InProgress())
		d.dispatcher.HandOver()
		d.callers.HandOver()
	}
	sleep.For(ctx, min(settleTime, left/4))
}

// notice is the body of POST /drain.
type notice struct {
	DeadlineSeconds float64 `json:"deadline_seconds"` // time until the host goes away
}

// serve answers POST /drain: the host of this node will be taken away.
func (d *drainer) serve(w http.ResponseWriter, r *http.Request) {
	var n notice
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&n); err != nil || n.DeadlineSeconds <= 0 {
		http.Error(w, "deadline_seconds: allowed: a number above 0", http.StatusBadRequest)
		return
	}
	select {
	case d.begin <- time.Duration(n.DeadlineSeconds * float64(time.Second)):
	default: // a stop is in progress already
	}
	w.WriteHeader(http.StatusAccepted)
}
