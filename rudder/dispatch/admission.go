package dispatch

import (
	"context"
	"time"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	cancelTimeout = 500 * time.Millisecond
)

// Run implements peer.Dispatcher: it admits a run and sends its events until the last one. If sending fails or ctx ends, a
// run that still waits leaves the queue, and a placed run continues; the error is returned.
func (d *Dispatcher) Run(ctx context.Context, request *peerpb.RunRequest, send func(*peerpb.RunEvent) error) error {
	d.stopPreviousAttempt(ctx, request)
	r := newRun(request.Run, request.Organisation, formatAttemptID(request), len(request.Generated))
	d.mu.Lock()
	t, refusal := d.admit(r, request, time.Now())
	var placed []*task
	if refusal == nil {
		d.runs[request.Run] = r
		placed = d.placeWaiting(request.Deployment)
		d.startExpiryTimer(t)
	}
	d.mu.Unlock()
	if refusal != nil {
		d.Decisions.Record("dispatch", request.Run, refusal.Reason, "", nil, "attempt", request.Attempt)
		return send(peer.RefusedEvent(refusal))
	}
	d.startPlaced(placed)
	err := r.sendEvents(ctx, len(request.Generated), send)
	if err != nil {
		d.refuseIfWaiting(t, &peerpb.Refused{Reason: "the entry node left"})
	}
	return err
}

// stopPreviousAttempt stops an earlier attempt of the same run that is still in progress on this node, so that it occupies
// no slot. If the new attempt resumes the run on the same engine, only the engine stream is closed.
func (d *Dispatcher) stopPreviousAttempt(ctx context.Context, request *peerpb.RunRequest) {
	d.mu.Lock()
	r := d.runs[request.Run]
	d.mu.Unlock()
	switch {
	case r == nil || r.isFinished():
	case request.ResumeHost != "" && request.ResumeHost == r.acceptedHost():
		r.stop()
	default:
		d.stopRun(ctx, r, "a later attempt took over")
	}
}

// admit places a run that is resumed or imported on its runner, queues any other request, or returns why the request is
// refused. The caller holds d.mu.
func (d *Dispatcher) admit(r *Run, request *peerpb.RunRequest, now time.Time) (*task, *peerpb.Refused) {
	organisation := d.organisationSpec(request.Organisation)
	t := newTask(r, request, organisation.Share, now)
	r.task = t
	s, resumeBackend := d.schedulers[request.Deployment], d.backendToResume(t)
	if resumeBackend != nil {
		// A node without a runner of the deployment also resumes runs: in its failure domain no other node may be left.
		s = d.schedulerFor(request.Deployment)
	}
	if s == nil || (len(s.backends) == 0 && resumeBackend == nil) {
		return nil, &peerpb.Refused{Reason: "no backend server of the deployment", RetryAfterMs: 1000}
	}
	if refusal := d.checkQuarantine(t, now); refusal != nil {
		return nil, refusal
	}
	if refusal := s.admit(t, organisation, now); refusal != nil {
		return nil, refusal
	}
	b := d.backendForImport(t, s.betweenTokens())
	if b == nil && !t.needsIsolation {
		b = resumeBackend
		t.canResume = b != nil
	}
	if b != nil {
		s.addInProgress(t, now)
		s.place(t, b, now)
		go d.execute(t)
		return t, nil
	}
	s.enqueue(t, now)
	return t, nil
}

// backendToResume returns the runner whose engine may still hold the run of a task, nil if there is none. The runner may be
// assigned to another dispatcher that is dead or does not respond. That exceeds no limit, because the run already has its
// slot.
func (d *Dispatcher) backendToResume(t *task) *Backend {
	host := t.request.ResumeHost
	if host == "" || !t.item.Resumed || t.needsIsolation || t.request.KvHandle != "" {
		return nil
	}
	if b := d.backends[host]; b != nil && b.Engine != nil {
		return b
	}
	for _, h := range d.Fleet.ServingHosts() {
		if h.Name == host && h.Deployment == t.request.Deployment && h.Backend == object.BackendModel {
			return newBackend(h)
		}
	}
	return nil
}

// checkQuarantine refuses quarantined requests, those with quarantined messages, and suspects that do not ask for isolation:
// the attempt after a crash has to run on the dispatcher that comes first by rendezvous hash, because only there do duplicates
// wait for each other. Resumed suspects are isolated instead of refused.
func (d *Dispatcher) checkQuarantine(t *task, now time.Time) *peerpb.Refused {
	if d.Quarantine == nil {
		return nil
	}
	if len(t.parts) > 0 && !t.request.Trial {
		if refusal, _ := d.Quarantine.Parts.Check(t.parts, false); refusal != nil {
			return &peerpb.Refused{Reason: "backend servers have crashed on requests with the same messages", Quarantined: true}
		}
	}
	if t.quarantineKey.Fingerprint == 0 {
		return nil
	}
	if d.Quarantine.IsQuarantined(t.quarantineKey, now) {
		return &peerpb.Refused{Reason: "the request has crashed backend servers", Quarantined: true}
	}
	if t.needsIsolation || !d.Quarantine.IsSuspect(t.quarantineKey, now) {
		return nil
	}
	if t.item.Resumed {
		t.needsIsolation = true
		return nil
	}
	return &peerpb.Refused{Reason: "the request is suspected of a crash", Suspected: true, RetryAfterMs: minRetryAfter.Milliseconds()}
}

// admit refuses a request that exceeds a limit or cannot meet its deadline. Resumed runs and suspects have been admitted
// before.
func (s *scheduler) admit(t *task, organisation object.OrganisationSpec, now time.Time) *peerpb.Refused {
	if t.request.Attempt <= 1 {
		s.retryBudget.RecordFirstAttempt(now)
	}
	if t.item.Resumed || t.needsIsolation {
		return nil
	}
	if t.request.Attempt > 1 && !s.retryBudget.TakeRetry(now) {
		return &peerpb.Refused{Reason: "retry budget is used up", RetryAfterMs: 1000}
	}
	maxInProgress := limit.DispatcherLimit(organisation.MaxInProgress, len(s.backends), s.totalRunners)
	if maxInProgress > 0 && s.inProgress[t.item.Organisation] >= maxInProgress {
		return &peerpb.Refused{Reason: "the organisation has its maximum of requests in progress", RetryAfterMs: 1000}
	}
	return s.checkDeadline(t, now)
}

// checkDeadline refuses a request whose first token is predicted after its deadline, and sets how long any other request
// with a deadline may wait.
func (s *scheduler) checkDeadline(t *task, now time.Time) *peerpb.Refused {
	deadline := time.Duration(t.request.DeadlineMs) * time.Millisecond
	f := s.predict(t, now)
	if !limit.MeetsDeadline(f.slotWait+f.firstToken, deadline, f.idleFirstToken) {
		lateBy := f.slotWait + f.firstToken - deadline
		return &peerpb.Refused{
			Reason:       "first token is predicted after the deadline",
			RetryAfterMs: min(max(lateBy, minRetryAfter), maxRetryAfter).Milliseconds(),
		}
	}
	if deadline > 0 {
		t.expireAfter = max(0, limit.FirstTokenLimit(deadline, f.idleFirstToken)-f.firstToken)
	}
	return nil
}

// placeWaiting places waiting requests while runners have free slots and returns their tasks for startPlaced. The caller
// holds d.mu.
func (d *Dispatcher) placeWaiting(deployment string) []*task {
	s := d.schedulers[deployment]
	if s == nil {
		return nil
	}
	now := time.Now()
	d.recheckWaiting(s, now)
	if len(s.backends) == 0 {
		s.refuseAll("no backend server of the deployment")
		return nil
	}
	for _, b := range s.backends {
		b.isUnavailable = d.isUnavailable(b.Host.Name)
	}
	var placed []*task
	for t := s.placeNext(now); t != nil; t = s.placeNext(now) {
		placed = append(placed, t)
	}
	return placed
}

// startExpiryTimer starts the timer that refuses a task if it still waits when it can no longer meet its deadline. The
// caller holds d.mu.
func (d *Dispatcher) startExpiryTimer(t *task) {
	if t.expireAfter <= 0 || t.backend != nil {
		return
	}
	t.expiryTimer = time.AfterFunc(t.expireAfter, func() {
		d.refuseIfWaiting(t, &peerpb.Refused{Reason: "no slot within the deadline", RetryAfterMs: 1000})
	})
}

// refuseIfWaiting refuses a task that still waits. The caller does not hold d.mu.
func (d *Dispatcher) refuseIfWaiting(t *task, refusal *peerpb.Refused) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.schedulers[t.request.Deployment]; s != nil {
		s.refuseIfWaiting(t, refusal)
	}
}

// refuseAll refuses all waiting tasks.
func (s *scheduler) refuseAll(reason string) {
	for _, item := range s.queue.Items() {
		s.refuseIfWaiting(item.Value.(*task), &peerpb.Refused{Reason: reason, RetryAfterMs: 1000})
	}
}

// refuseIfWaiting removes a task from the queue and ends its run with a refusal. It does nothing if the task does not wait.
func (s *scheduler) refuseIfWaiting(t *task, refusal *peerpb.Refused) {
	if s.removeWaiting(t) {
		t.stopExpiryTimer()
		t.run.finish(peer.RefusedEvent(refusal))
	}
}

// stopExpiryTimer stops the timer of a task that no longer waits. If the timer has fired already, refuseIfWaiting does
// nothing.
func (t *task) stopExpiryTimer() {
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
	}
}

// recheckWaiting refuses waiting requests that have been quarantined or suspected of a crash since they were admitted. The
// caller holds d.mu.
func (d *Dispatcher) recheckWaiting(s *scheduler, now time.Time) {
	if d.Quarantine == nil || d.Quarantine.IsEmpty() {
		return
	}
	for _, item := range s.queue.Items() {
		t := item.Value.(*task)
		if refusal := d.checkQuarantine(t, now); refusal != nil {
			s.refuseIfWaiting(t, refusal)
		}
	}
}

// startPlaced executes placed tasks in the background. The caller does not hold d.mu.
func (d *Dispatcher) startPlaced(placed []*task) {
	for _, t := range placed {
		t.stopExpiryTimer()
		d.Decisions.Record("dispatch", t.request.Run, t.choiceReason, t.backend.Host.Name, nil, "attempt", t.request.Attempt,
			"class", t.item.Class, "waited_ms", time.Since(t.item.EnqueuedAt).Milliseconds())
		go d.execute(t)
	}
}
