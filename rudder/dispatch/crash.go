package dispatch

import (
	"context"
	"time"

	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/quarantine"
)

// engineDown notes that the process of a runner is dead and returns what that is attributed to. Only the first call for a
// death reports it, with all requests that were on the runner.
func (d *Dispatcher) engineDown(b *Backend) quarantine.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if b.down {
		return b.verdict
	}
	b.down, b.downAt = true, now
	if d.Quarantine == nil {
		return b.verdict
	}
	crash := quarantine.Crash{
		Host: b.Host.Name, FailureDomain: b.Host.FailureDomain, HostHasNotice: b.load.Leaving,
		InRollout: d.OnTrial != nil && d.OnTrial(b.Host.Deployment, b.load.ModelVersion),
	}
	if _, noticed := d.Fleet.LeavingAt(b.Host.Name); noticed {
		crash.HostHasNotice = true
	}
	for other := range b.tickets {
		if other.key.Fingerprint != 0 {
			crash.Keys = append(crash.Keys, other.key)
		}
		crash.InIsolation = other.isolated && len(b.tickets) == 1
	}
	b.verdict = d.Quarantine.Report(crash, now)
	d.Log.Warn("Backend server process is dead.", "host", b.Host.Name, "runs", len(b.tickets), "verdict", b.verdict.String())
	return b.verdict
}

// stop ends a run on the caller's wish: in the queue, or on the engine.
func (d *Dispatcher) stop(ctx context.Context, r *Run, reason string) {
	t := r.ticket
	d.Log.Info("Run is stopped.", "run", r.ID, "reason", reason)
	r.stop()
	d.withdraw(t, &peerpb.Refused{Reason: reason})
	d.mu.Lock()
	b := t.backend
	d.mu.Unlock()
	if b != nil {
		cancelOnEngine(context.WithoutCancel(ctx), b, r.ID)
	}
}

// cancelOnEngine tells an engine to drop a run that it may still hold.
func cancelOnEngine(ctx context.Context, b *Backend, run string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_ = b.Engine.Cancel(ctx, run)
}

// dropIfAbandoned gives up a run that nobody reads for longer than its grace. Another dispatcher may have resumed the
// same engine run, so it is cancelled only if the entry node gave it up; otherwise the engine ends it when no
// dispatcher reads it any more.
func (d *Dispatcher) dropIfAbandoned(ctx context.Context, r *Run) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		abandoned, givenUp := r.isAbandoned(time.Now())
		if !abandoned {
			continue
		}
		if givenUp {
			d.stop(ctx, r, "nobody reads it")
			return
		}
		d.Log.Info("Run is stopped.", "run", r.ID, "reason", "nobody reads it")
		r.stop()
		return
	}
}

// stoppedEvent is the last event of a stopped run.
func stoppedEvent(host string) *peerpb.RunEvent {
	return peer.BrokenEvent(&peerpb.Broken{Reason: "the run was stopped", Host: host})
}
