package dispatch

import (
	"context"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const idlePollInterval = 20 * time.Millisecond

// UnreadRunPlaces returns the places of the runs that no entry node reads, for the registry: only the dispatcher knows them.
func (d *Dispatcher) UnreadRunPlaces() []*peerpb.RunPlace {
	var places []*peerpb.RunPlace
	for _, r := range d.listRuns() {
		if _, isUnread := r.unreadSince(); !isUnread {
			continue
		}
		places = append(places, &peerpb.RunPlace{
			Run:          r.ID,
			Organisation: r.Organisation,
			Key:          r.task.request.Key,
			Dispatcher:   d.Members.Self().Name,
			EntryNode:    r.task.request.EntryNode,
			Host:         d.hostOf(r).Name,
			Fingerprint:  r.task.request.Content,
			Deployment:   r.task.request.Deployment,
			Finished:     r.isFinished(),
			Sequence:     r.task.request.Sequence,
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

// RunsInProgress returns the number of unfinished runs, waiting ones included.
func (d *Dispatcher) RunsInProgress() int {
	count := 0
	for _, r := range d.listRuns() {
		if !r.isFinished() {
			count++
		}
	}
	return count
}

// AwaitIdle waits until every run is finished and unread, or until ctx ends, and reports whether the node is idle.
func (d *Dispatcher) AwaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		busy := false
		for _, r := range d.listRuns() {
			_, isUnread := r.unreadSince()
			busy = busy || !r.isFinished() || !isUnread
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

// hostOf returns the host on which a run is placed, the zero host while the run waits.
func (d *Dispatcher) hostOf(r *Run) cloud.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.task.backend == nil {
		return cloud.Host{}
	}
	return r.task.backend.Host
}

// HandOver ends each run in progress with an event that names the dispatcher to which its host will be assigned without this
// node, so that the entry node resumes it there. The engines keep the runs meanwhile. Waiting requests are refused as not
// run.
func (d *Dispatcher) HandOver() {
	var otherNodes []membership.Node
	self := d.Members.Self().Name
	for _, n := range d.Members.Live() {
		if n.Name != self {
			otherNodes = append(otherNodes, n)
		}
	}
	for _, r := range d.listRuns() {
		if r.isFinished() {
			continue
		}
		d.refuseIfWaiting(r.task, &peerpb.Refused{Reason: "the node is draining", RetryAfterMs: minRetryAfter.Milliseconds()})
		host := d.hostOf(r)
		newDispatcher, found := membership.DispatcherFor(host.Name, host.FailureDomain, otherNodes)
		if !found || r.isFinished() {
			continue
		}
		d.Log.Info("Handing over the run to another dispatcher.", "run", r.ID, "dispatcher", newDispatcher.Name, "host", host.Name)
		r.finish(peer.MovedEvent(&peerpb.Moved{Node: newDispatcher.Name, Host: host.Name}))
		r.stop()
	}
}
