package dispatch

import (
	"context"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// refresh adds and removes backend servers according to membership and fleet, polls them and places waiting requests.
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
	d.fleetKnown = d.Fleet.HasHostList()
	for name, b := range d.backends {
		if _, isOwned := owned[name]; !isOwned {
			delete(d.backends, name)
			if s := d.schedulers[b.Host.Deployment]; s != nil {
				s.removeBackend(b)
			}
		}
	}
	for _, h := range owned {
		b := d.backendFor(h)
		if b.Engine != nil && !b.isPolling {
			b.isPolling = true
			go d.pollBackend(ctx, b)
		}
	}
	var placed []*task
	for name, s := range d.schedulers {
		s.spec = d.deploymentSpec(name)
		s.totalRunners = runners[name]
		placed = append(placed, d.placeWaiting(name)...)
	}
	d.mu.Unlock()
	d.startPlaced(placed)
}

// backendFor returns the backend server of a host that is assigned to this node and creates it if there is none. The caller
// holds d.mu.
func (d *Dispatcher) backendFor(h cloud.Host) *Backend {
	if b, found := d.backends[h.Name]; found {
		return b
	}
	b := newBackend(h)
	d.backends[h.Name] = b
	d.Decisions.Record("dispatch", h.Name, "first by rendezvous hash", d.Members.Self().Name, nil)
	if b.Engine != nil {
		d.schedulerFor(h.Deployment).addBackend(b)
	}
	return b
}

func (d *Dispatcher) deploymentSpec(name string) object.DeploymentSpec {
	if d.CurrentSnapshot == nil {
		return object.DeploymentSpec{}
	}
	return d.CurrentSnapshot.Index().Deployments[name]
}

// Digests returns a summary of the load of the runners of this node, one for each deployment.
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
		digest.FreeSlots += int32(b.freeSlots(s.betweenTokens(), now))
		if !b.isDown {
			digest.Slots += int32(b.load.Slots)
		}
		price += b.Host.PriceMicrosPerHour
		if b.Host.Reclaimable {
			digest.ReclaimableRunners++
		}
	}
	digest.PriceMicrosPerHour = price / int64(len(s.backends))
	f := s.predict(newTask(nil, &peerpb.RunRequest{}, 1, now), now)
	digest.PredictedWaitMs = (f.slotWait + f.firstToken).Milliseconds()
	return digest
}

// Call implements peer.Dispatcher. A call that one service runner did not run is sent to one other.
func (d *Dispatcher) Call(ctx context.Context, request *peerpb.CallRequest) *peerpb.CallResponse {
	reply := &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: "no service runner", RetryAfterMs: 1000}
	tried := map[string]bool{}
	for range 2 {
		b := d.chooseServiceRunner(request.Deployment, tried)
		if b == nil {
			break
		}
		tried[b.Host.Name] = true
		d.Decisions.Record("dispatch", request.Call, "fewest calls", b.Host.Name, nil)
		reply = b.Service.Call(ctx, request)
		d.recordCallEnd(ctx, b, reply)
		if reply.Outcome != peerpb.Outcome_OUTCOME_NOT_RUN {
			break
		}
	}
	return reply
}

// chooseServiceRunner returns the service runner with the fewest calls in progress and counts the new call on it. It returns
// nil if there is none.
func (d *Dispatcher) chooseServiceRunner(deployment string, tried map[string]bool) *Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var chosen *Backend
	for _, b := range d.backends {
		if b.Service == nil || b.Host.Deployment != deployment || tried[b.Host.Name] ||
			!b.breaker.allowsPlacement(now) || d.isUnavailable(b.Host.Name) {
			continue
		}
		if chosen == nil || b.callsInProgress < chosen.callsInProgress ||
			(b.callsInProgress == chosen.callsInProgress && b.Host.Name < chosen.Host.Name) {
			chosen = b
		}
	}
	if chosen != nil {
		chosen.callsInProgress++
		chosen.breaker.recordPlacement()
	}
	return chosen
}

// recordCallEnd counts the end of a call. A call that the caller abandoned or that is malformed is neither a success nor a
// failure of the runner.
func (d *Dispatcher) recordCallEnd(ctx context.Context, b *Backend, reply *peerpb.CallResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.callsInProgress--
	notRun := reply.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN
	switch {
	case reply.Outcome == peerpb.Outcome_OUTCOME_DONE:
		b.breaker.recordSuccess()
	case ctx.Err() != nil, notRun && reply.RetryAfterMs == 0:
		b.breaker.recordInconclusiveEnd()
	default:
		b.breaker.recordFailure(time.Now(), notRun)
	}
}
