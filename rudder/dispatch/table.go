package dispatch

import (
	"context"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// refresh takes over and gives up backend servers as membership and fleet change.
func (d *Dispatcher) refresh(ctx context.Context) {
	live := d.Members.Live()
	self := d.Members.Self().Name
	owned := map[string]cloud.Host{}
	runners := map[string]int{}
	for _, h := range d.Fleet.ServingHosts() {
		runners[h.Deployment]++
		if n, found := membership.DispatcherFor(h.Name, h.FailureDomain, live); found && n.Name == self {
			owned[h.Name] = h
		}
	}
	d.mu.Lock()
	d.refreshed = d.Fleet.HasHostList()
	for name, b := range d.backends {
		if _, still := owned[name]; !still {
			delete(d.backends, name)
			if s := d.schedulers[b.Host.Deployment]; s != nil {
				s.drop(b)
			}
		}
	}
	for _, h := range owned {
		b := d.own(h)
		if b.Engine != nil && !b.polling {
			b.polling = true
			go d.observe(ctx, b)
		}
	}
	var placed []*ticket
	for name, s := range d.schedulers {
		s.spec = d.deployment(name)
		s.allRunners = runners[name]
		placed = append(placed, d.pump(name)...)
	}
	d.mu.Unlock()
	d.start(placed)
}

// own returns the backend server of a host that this node dispatches to. The caller holds the lock.
func (d *Dispatcher) own(h cloud.Host) *Backend {
	if b, found := d.backends[h.Name]; found {
		return b
	}
	b := newBackend(h)
	d.backends[h.Name] = b
	d.Decisions.Record("dispatch", h.Name, "first by rendezvous hash", d.Members.Self().Name, nil)
	if b.Engine != nil {
		d.schedulerFor(h.Deployment).add(b)
	}
	return b
}

func (d *Dispatcher) deployment(name string) object.DeploymentSpec {
	if d.Current == nil {
		return object.DeploymentSpec{}
	}
	return d.Current.Index().Deployments[name]
}

// Digests sums up the runners of this node, one digest for each deployment.
func (d *Dispatcher) Digests() []*peerpb.LoadDigest {
	self := d.Members.Self()
	d.mu.Lock()
	defer d.mu.Unlock()
	var digests []*peerpb.LoadDigest
	for name, s := range d.schedulers {
		if len(s.backends) == 0 {
			continue
		}
		digest := s.digest(time.Now())
		digest.Node, digest.FailureDomain, digest.Deployment = self.Name, self.FailureDomain, name
		digests = append(digests, digest)
	}
	return digests
}

func (s *scheduler) digest(now time.Time) *peerpb.LoadDigest {
	digest := &peerpb.LoadDigest{Runners: int32(len(s.backends)), QueuedTokens: int64(s.queue.Tokens())}
	price := int64(0)
	for _, b := range s.backends {
		digest.FreeSlots += int32(b.free(s.betweenTokens(), now))
		if !b.down {
			digest.Slots += int32(b.load.Slots)
		}
		price += b.Host.PriceMicrosPerHour
		if b.Host.Reclaimable {
			digest.ReclaimableRunners++
		}
	}
	digest.PriceMicrosPerHour = price / int64(len(s.backends))
	f := s.predict(newTicket(nil, &peerpb.RunRequest{}, 1, now), now)
	digest.PredictedWaitMs = (f.wait + f.first).Milliseconds()
	return digest
}

// Call implements peer.Dispatcher. A call that one service runner did not run goes to one other.
func (d *Dispatcher) Call(ctx context.Context, request *peerpb.CallRequest) *peerpb.CallResponse {
	reply := &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: "no service runner", RetryAfterMs: 1000}
	tried := map[string]bool{}
	for range 2 {
		b := d.chooseService(request.Deployment, tried)
		if b == nil {
			break
		}
		tried[b.Host.Name] = true
		d.Decisions.Record("dispatch", request.Call, "fewest calls", b.Host.Name, nil)
		reply = b.Service.Call(ctx, request)
		d.noteCall(ctx, b, reply)
		if reply.Outcome != peerpb.Outcome_OUTCOME_NOT_RUN {
			break
		}
	}
	return reply
}

// chooseService returns the service runner with the fewest calls and counts one on it, nil if there is none.
func (d *Dispatcher) chooseService(deployment string, tried map[string]bool) *Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var chosen *Backend
	for _, b := range d.backends {
		if b.Service == nil || b.Host.Deployment != deployment || tried[b.Host.Name] || !b.breaker.allows(now) || d.isClosed(b.Host.Name) {
			continue
		}
		if chosen == nil || b.calls < chosen.calls || (b.calls == chosen.calls && b.Host.Name < chosen.Host.Name) {
			chosen = b
		}
	}
	if chosen != nil {
		chosen.calls++
		chosen.breaker.placed()
	}
	return chosen
}

// noteCall counts the end of a call. A call that the caller left or that is malformed says nothing about the runner.
func (d *Dispatcher) noteCall(ctx context.Context, b *Backend, reply *peerpb.CallResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.calls--
	notRun := reply.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN
	switch {
	case reply.Outcome == peerpb.Outcome_OUTCOME_DONE:
		b.breaker.succeeded()
	case ctx.Err() != nil, notRun && reply.RetryAfterMs == 0:
		b.breaker.ended()
	default:
		b.breaker.failed(time.Now(), notRun)
	}
}
