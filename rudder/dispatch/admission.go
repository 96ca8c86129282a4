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
	shortestRetry = 200 * time.Millisecond
	longestRetry  = 5 * time.Second
	cancelTimeout = 500 * time.Millisecond
)

// Run implements peer.Dispatcher.
func (d *Dispatcher) Run(ctx context.Context, request *peerpb.RunRequest, send func(*peerpb.RunEvent) error) error {
	d.stopEarlier(ctx, request)
	r := newRun(request.Run, request.Organisation, attemptName(request), len(request.Generated))
	d.mu.Lock()
	t, refusal := d.admit(r, request, time.Now())
	var placed []*ticket
	if refusal == nil {
		d.runs[request.Run] = r
		placed = d.pump(request.Deployment)
		d.armExpiry(t)
	}
	d.mu.Unlock()
	if refusal != nil {
		d.Decisions.Record("dispatch", request.Run, refusal.Reason, "", nil, "attempt", request.Attempt)
		return send(peer.RefusedEvent(refusal))
	}
	d.start(placed)
	err := r.follow(ctx, len(request.Generated), send)
	if err != nil {
		d.withdraw(t, &peerpb.Refused{Reason: "the entry node left"})
	}
	return err
}

// stopEarlier ends an earlier attempt of the same run that is still in progress here, so that it takes no slot. If the new
// attempt wants to resume the run on its engine, only the stream is closed.
func (d *Dispatcher) stopEarlier(ctx context.Context, request *peerpb.RunRequest) {
	d.mu.Lock()
	r := d.runs[request.Run]
	d.mu.Unlock()
	switch {
	case r == nil || r.finished():
	case request.ResumeHost != "" && request.ResumeHost == r.host():
		r.stop()
	default:
		d.stop(ctx, r, "a later attempt took over")
	}
}

// admit adds a request to the queue or returns why it is refused. The caller holds the lock.
func (d *Dispatcher) admit(r *Run, request *peerpb.RunRequest, now time.Time) (*ticket, *peerpb.Refused) {
	organisation := d.organisation(request.Organisation)
	t := newTicket(r, request, organisation.Share, now)
	r.ticket = t
	s, holder := d.schedulers[request.Deployment], d.holder(t)
	if holder != nil {
		// A node without a runner of the deployment resumes a run as well: in its failure domain nobody else may be left.
		s = d.schedulerFor(request.Deployment)
	}
	if s == nil || (len(s.backends) == 0 && holder == nil) {
		return nil, &peerpb.Refused{Reason: "no backend server of the deployment", RetryAfterMs: 1000}
	}
	if refusal := d.checkCrashes(t, now); refusal != nil {
		return nil, refusal
	}
	if refusal := s.admit(t, organisation, now); refusal != nil {
		return nil, refusal
	}
	b := d.importer(t, s.betweenTokens())
	if b == nil && !t.isolated {
		b = holder
		t.resume = b != nil
	}
	if b != nil {
		s.count(t, now)
		s.place(t, b, now)
		go d.execute(t)
		return t, nil
	}
	s.push(t, now)
	return t, nil
}

// holder returns the runner whose engine may still hold the run of a ticket, nil if there is none. It may belong to
// another dispatcher that is dead or silent: the run has its slot already, so that no limit is passed.
func (d *Dispatcher) holder(t *ticket) *Backend {
	host := t.request.ResumeHost
	if host == "" || !t.item.Resumed || t.isolated || t.request.KvHandle != "" {
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

// checkCrashes refuses culprits. A suspect that comes without the mark is refused as well: its attempt after the crash
// runs at the first dispatcher by rendezvous hash, and only there copies wait for each other.
func (d *Dispatcher) checkCrashes(t *ticket, now time.Time) *peerpb.Refused {
	if t.key.Fingerprint == 0 || d.Quarantine == nil {
		return nil
	}
	if d.Quarantine.IsQuarantined(t.key, now) {
		return &peerpb.Refused{Reason: "the request has crashed backend servers", Quarantined: true}
	}
	if t.isolated || !d.Quarantine.IsSuspect(t.key, now) {
		return nil
	}
	if t.item.Resumed {
		t.isolated = true
		return nil
	}
	return &peerpb.Refused{Reason: "the request is suspected of a crash", Suspected: true, RetryAfterMs: shortestRetry.Milliseconds()}
}

// admit refuses what is over a limit or cannot meet its deadline. Resumed runs and suspects were admitted before.
func (s *scheduler) admit(t *ticket, organisation object.OrganisationSpec, now time.Time) *peerpb.Refused {
	if t.request.Attempt <= 1 {
		s.retries.RecordFirstAttempt(now)
	}
	if t.item.Resumed || t.isolated {
		return nil
	}
	if t.request.Attempt > 1 && !s.retries.TakeRetry(now) {
		return &peerpb.Refused{Reason: "retry budget is used up", RetryAfterMs: 1000}
	}
	allowed := limit.DispatcherLimit(organisation.MaxInProgress, len(s.backends), s.allRunners)
	if allowed > 0 && s.inProgress[t.item.Organisation] >= allowed {
		return &peerpb.Refused{Reason: "the organisation has its maximum of requests in progress", RetryAfterMs: 1000}
	}
	return s.checkDeadline(t, now)
}

func (s *scheduler) checkDeadline(t *ticket, now time.Time) *peerpb.Refused {
	deadline := time.Duration(t.request.DeadlineMs) * time.Millisecond
	f := s.predict(t, now)
	if !limit.MeetsDeadline(f.wait+f.first, deadline, f.idle) {
		late := f.wait + f.first - deadline
		return &peerpb.Refused{
			Reason:       "first token is predicted after the deadline",
			RetryAfterMs: min(max(late, shortestRetry), longestRetry).Milliseconds(),
		}
	}
	if deadline > 0 {
		t.expireIn = max(0, limit.FirstTokenLimit(deadline, f.idle)-f.first)
	}
	return nil
}

// pump places waiting requests while there is room and returns them for start. The caller holds the lock.
func (d *Dispatcher) pump(deployment string) []*ticket {
	s := d.schedulers[deployment]
	if s == nil {
		return nil
	}
	now := time.Now()
	d.sweep(s, now)
	if len(s.backends) == 0 {
		s.refuseAll("no backend server of the deployment")
		return nil
	}
	for _, b := range s.backends {
		b.closed = d.isClosed(b.Host.Name)
	}
	var placed []*ticket
	for t := s.next(now); t != nil; t = s.next(now) {
		placed = append(placed, t)
	}
	return placed
}

// armExpiry refuses a ticket that still waits when it can no longer meet its deadline. The caller holds the lock.
func (d *Dispatcher) armExpiry(t *ticket) {
	if t.expireIn <= 0 || t.backend != nil {
		return
	}
	t.expiry = time.AfterFunc(t.expireIn, func() {
		d.withdraw(t, &peerpb.Refused{Reason: "no slot within the deadline", RetryAfterMs: 1000})
	})
}

// withdraw ends a ticket that still waits.
func (d *Dispatcher) withdraw(t *ticket, refusal *peerpb.Refused) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.schedulers[t.request.Deployment]; s != nil {
		s.refuse(t, refusal)
	}
}

// refuseAll ends all waiting tickets.
func (s *scheduler) refuseAll(reason string) {
	for _, i := range s.queue.Items() {
		s.refuse(i.Value.(*ticket), &peerpb.Refused{Reason: reason, RetryAfterMs: 1000})
	}
}

// refuse ends a ticket if it still waits.
func (s *scheduler) refuse(t *ticket, refusal *peerpb.Refused) {
	if s.leave(t) {
		t.stopExpiry()
		t.run.finish(peer.RefusedEvent(refusal))
	}
}

// stopExpiry is called for tickets that no longer wait; one that fires nevertheless finds nothing to withdraw.
func (t *ticket) stopExpiry() {
	if t.expiry != nil {
		t.expiry.Stop()
	}
}

// sweep ends waiting requests that have been found to crash backend servers since they were admitted. The caller holds
// the lock.
func (d *Dispatcher) sweep(s *scheduler, now time.Time) {
	if d.Quarantine == nil || d.Quarantine.IsEmpty() {
		return
	}
	for _, i := range s.queue.Items() {
		t := i.Value.(*ticket)
		if refusal := d.checkCrashes(t, now); refusal != nil {
			s.refuse(t, refusal)
		}
	}
}

// start runs placed tickets. The caller does not hold the lock.
func (d *Dispatcher) start(placed []*ticket) {
	for _, t := range placed {
		t.stopExpiry()
		d.Decisions.Record("dispatch", t.request.Run, t.reason, t.backend.Host.Name, nil, "attempt", t.request.Attempt,
			"class", t.item.Class, "waited_ms", time.Since(t.item.EnqueuedAt).Milliseconds())
		go d.execute(t)
	}
}
