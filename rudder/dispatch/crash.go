package dispatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/quarantine"
)

// recordCrash notes that the process of a runner is dead and returns what the crash is attributed to. Only the first call
// for a crash reports it to the quarantine, with all requests that were on the runner.
func (d *Dispatcher) recordCrash(b *Backend) quarantine.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if b.isDown {
		return b.crashVerdict
	}
	b.isDown, b.crashedAt = true, now
	if d.Quarantine == nil {
		return b.crashVerdict
	}
	crash := quarantine.Crash{
		Host: b.Host.Name, FailureDomain: b.Host.FailureDomain, HostHasNotice: b.load.Leaving,
		InRollout: d.IsRollingOut != nil && d.IsRollingOut(b.Host.Deployment, b.load.ModelVersion),
		Server:    xxhash.Sum64String(b.Host.Name + "\x00" + now.String()), Deployment: b.Host.Deployment,
	}
	if _, isLeaving := d.Fleet.LeavingAt(b.Host.Name); isLeaving {
		crash.HostHasNotice = true
	}
	for t := range b.tasks {
		request := quarantine.Request{Key: t.quarantineKey, SentAt: t.placedAt}
		if !t.isVerified {
			request.Parts = t.parts
		}
		crash.Requests = append(crash.Requests, request)
		crash.InIsolation = t.needsIsolation && len(b.tasks) == 1
	}
	b.crashVerdict = d.Quarantine.Report(crash, now)
	d.Log.Warn("Backend server process died; its runs were reported to the quarantine.",
		"host", b.Host.Name, "runs", len(b.tasks), "verdict", b.crashVerdict.String())
	return b.crashVerdict
}

// stopRun ends a run that waits in the queue or is placed on an engine. The reason goes to the log and, if the run waits,
// into its refusal.
func (d *Dispatcher) stopRun(ctx context.Context, r *Run, reason string) {
	t := r.task
	d.Log.Info("Stopping the run.", "run", r.ID, "reason", reason)
	r.stop()
	d.refuseIfWaiting(t, &peerpb.Refused{Reason: reason})
	d.mu.Lock()
	b := t.backend
	d.mu.Unlock()
	if b != nil {
		cancelOnEngine(context.WithoutCancel(ctx), b, r.ID)
	}
}

// cancelOnEngine tells an engine to drop a run that it may still hold. It ignores errors.
func cancelOnEngine(ctx context.Context, b *Backend, run string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_ = b.Engine.Cancel(ctx, run)
}

// stopWhenAbandoned stops a run once nobody has read it for its grace period. Another dispatcher may have resumed the run on
// the same engine, so the run is cancelled there only if the entry node has lost the caller; otherwise the engine ends it
// when no dispatcher reads it any more.
func (d *Dispatcher) stopWhenAbandoned(ctx context.Context, r *Run) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		abandoned, callerGone := r.isAbandoned(time.Now())
		if !abandoned {
			continue
		}
		if callerGone {
			d.stopRun(ctx, r, "nobody reads it")
			return
		}
		d.Log.Info("Stopping the run without cancelling it on the engine.", "run", r.ID, "reason", "nobody reads it")
		r.stop()
		return
	}
}

// stoppedEvent returns the last event of a stopped run.
func stoppedEvent(host string) *peerpb.RunEvent {
	return peer.BrokenEvent(&peerpb.Broken{Reason: "the run was stopped", Host: host})
}
