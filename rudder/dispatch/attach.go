package dispatch

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// callerGoneGrace is how long a run continues after its entry node has lost the caller, unless another node reads the run.
const callerGoneGrace = time.Second

// Attach implements peer.Dispatcher: it sends the events of a run from an offset. Errors are CodeNotFound if this node has
// no such run of the organisation, CodeInvalidArgument for a negative offset, and those of send and ctx.
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

// Cancel implements peer.Dispatcher. It ignores a run that is unknown, finished or of another organisation, and a
// cancellation of another attempt. With IfUnread the run is stopped only if nobody reads it for callerGoneGrace.
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

// markCallerGone notes that the entry node has no caller for the run any more.
func (r *Run) markCallerGone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callerGone = true
}

// isAbandoned reports whether nobody has read the run for its grace period, and whether its entry node has lost the caller.
func (r *Run) isAbandoned(now time.Time) (abandoned, callerGone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	grace := unreadRunGrace
	if r.callerGone {
		grace = callerGoneGrace
	}
	return r.readers == 0 && now.Sub(r.lastReadAt) > grace, r.callerGone
}

// schedulerFor returns the scheduler of a deployment and creates it if there is none. The caller holds d.mu.
func (d *Dispatcher) schedulerFor(deployment string) *scheduler {
	s := d.schedulers[deployment]
	if s == nil {
		s = newScheduler(d.Routing, time.Now())
		s.spec = d.deploymentSpec(deployment)
		d.schedulers[deployment] = s
	}
	return s
}
