package dispatch

import (
	"context"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const idlePoll = 20 * time.Millisecond

// Places returns the places of the runs that no entry node reads, for the registry: only the dispatcher knows them.
func (d *Dispatcher) Places() []*peerpb.RunPlace {
	var places []*peerpb.RunPlace
	for _, r := range d.listRuns() {
		if _, idle := r.idleSince(); !idle {
			continue
		}
		places = append(places, &peerpb.RunPlace{
			Run:          r.ID,
			Organisation: r.Organisation,
			Key:          r.ticket.request.Key,
			Dispatcher:   d.Members.Self().Name,
			EntryNode:    r.ticket.request.EntryNode,
			Host:         d.hostOf(r).Name,
			Fingerprint:  r.ticket.request.Content,
			Deployment:   r.ticket.request.Deployment,
			Finished:     r.finished(),
			Sequence:     r.ticket.request.Sequence,
		})
	}
	return places
}

func (d *Dispatcher) listRuns() []*Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := make([]*Run, 0, len(d.runs))
	for _, r := range d.runs {
		runs = append(runs, r)
	}
	return runs
}

// InProgress returns the number of runs that have not ended.
func (d *Dispatcher) InProgress() int {
	count := 0
	for _, r := range d.listRuns() {
		if !r.finished() {
			count++
		}
	}
	return count
}

// AwaitIdle waits until no run is in progress or read, or until ctx ends, and reports whether the node is idle.
func (d *Dispatcher) AwaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		busy := false
		for _, r := range d.listRuns() {
			_, unread := r.idleSince()
			busy = busy || !r.finished() || !unread
		}
		if !busy {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// hostOf returns the host of a run, the zero host while it waits.
func (d *Dispatcher) hostOf(r *Run) cloud.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.ticket.backend == nil {
		return cloud.Host{}
	}
	return r.ticket.backend.Host
}

// HandOver ends the runs in progress with the dispatcher that now owns their hosts, so that entry nodes resume them
// there. The engines hold the runs meanwhile. Waiting requests are refused as not run.
func (d *Dispatcher) HandOver() {
	var others []membership.Node
	self := d.Members.Self().Name
	for _, n := range d.Members.Live() {
		if n.Name != self {
			others = append(others, n)
		}
	}
	for _, r := range d.listRuns() {
		if r.finished() {
			continue
		}
		d.withdraw(r.ticket, &peerpb.Refused{Reason: "the node is draining", RetryAfterMs: shortestRetry.Milliseconds()})
		host := d.hostOf(r)
		next, found := membership.DispatcherFor(host.Name, host.FailureDomain, others)
		if !found || r.finished() {
			continue
		}
		d.Log.Info("Run handed over.", "run", r.ID, "dispatcher", next.Name, "host", host.Name)
		r.finish(peer.MovedEvent(&peerpb.Moved{Node: next.Name, Host: host.Name}))
		r.stop()
	}
}
