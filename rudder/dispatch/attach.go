package dispatch

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// callerGoneGrace is how long a run goes on whose entry node has no caller for it, unless another node reads it.
const callerGoneGrace = time.Second

// Attach implements peer.Dispatcher.
func (d *Dispatcher) Attach(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error {
	d.mu.Lock()
	r := d.runs[request.Run]
	d.mu.Unlock()
	if r == nil || r.Organisation != request.Organisation {
		return connect.NewError(connect.CodeNotFound, errors.Errorf("run %q is not here", request.Run))
	}
	if request.Offset < 0 {
		return connect.NewError(connect.CodeInvalidArgument, errors.Errorf("offset: %d, allowed: at least 0", request.Offset))
	}
	if request.WantRequest {
		runRequest := proto.Clone(r.task.request).(*peerpb.RunRequest)
		runRequest.Generated = nil
		if err := send(&peerpb.RunEvent{Event: &peerpb.RunEvent_Request{Request: runRequest}}); err != nil {
			return err
		}
	}
	return r.sendEvents(ctx, int(request.Offset), send)
}

// Cancel implements peer.Dispatcher.
func (d *Dispatcher) Cancel(ctx context.Context, request *peerpb.CancelRequest) {
	d.mu.Lock()
	r := d.runs[request.Run]
	d.mu.Unlock()
	if r == nil || r.Organisation != request.Organisation || r.isFinished() {
		return
	}
	if request.Attempt != 0 && request.Attempt != r.task.request.Attempt {
		return
	}
	if request.IfUnread {
		r.markCallerGone()
		return
	}
	d.stopRun(ctx, r, "the caller cancelled it")
}

func (r *Run) markCallerGone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callerGone = true
}

// isAbandoned reports whether the run has gone on for its grace without a reader, and whether its entry node has given
// it up.
func (r *Run) isAbandoned(now time.Time) (abandoned, callerGone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	grace := unreadRunGrace
	if r.callerGone {
		grace = callerGoneGrace
	}
	return r.readers == 0 && now.Sub(r.lastReadAt) > grace, r.callerGone
}

// schedulerFor returns the scheduler of a deployment, a new one if there is none. The caller holds the lock.
func (d *Dispatcher) schedulerFor(deployment string) *scheduler {
	s := d.schedulers[deployment]
	if s == nil {
		s = newScheduler(d.Routing, time.Now())
		s.spec = d.deploymentSpec(deployment)
		d.schedulers[deployment] = s
	}
	return s
}
