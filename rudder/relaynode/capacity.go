package relaynode

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/capacity"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/sleep"
	"chestnutrudder.example/rudder/traffic"
)

const (
	// planInterval is the pause between two looks at the runners. A reclaim leaves about two seconds.
	planInterval = 250 * time.Millisecond
	// orderRetry is the pause before an order that was refused or not answered is sent again.
	orderRetry = 2 * time.Second
	// reduceDelay is how long a lower number must be enough before runners are given back.
	reduceDelay = 2 * time.Second
	// spareReduceDelay is the same for reclaimable runners, which cost little.
	spareReduceDelay = 20 * time.Second
	// bootSlack is added to the time that runners take to start before their order counts as not carried out.
	bootSlack = 3 * time.Second
	// demandMemory is how long the highest demand counts.
	demandMemory = 8 * time.Second
)

// orderKey names one number that can be ordered.
type orderKey struct {
	service, failureDomain string
	reclaimable            bool
}

// order is what is known of one number.
type order struct {
	accepted   int // last number that the platform accepted; -1 if none yet
	acceptedAt time.Time
	triedAt    time.Time
	refused    bool
	lowerAt    time.Time // since when a lower number would be enough
}

// planner orders the runners of all services while its node holds the lease.
type planner struct {
	node   *node
	log    *slog.Logger
	orders map[orderKey]*order
	floors map[string]int // runners to keep until the demand is known
	peaks  map[string]peak

	censuses map[string]stableCensus
}

// stableCensus is the number of runners of a service and since when it has not grown.
type stableCensus struct {
	runners int
	since   time.Time
}

// settleTime is how long the number of runners must not have grown before a new holder of the lease orders: runners write
// to the registry one after the other, and an order for fewer would take away those that are not listed yet.
const settleTime = 1500 * time.Millisecond

// emptySettleTime is the same where no runner is listed at all: either the first ones have not written yet or a reclaim
// took all.
const emptySettleTime = 4 * time.Second

// youngRegistry is how long after its start a node takes into account that runners may not have written yet.
const youngRegistry = 8 * time.Second

// settled reports whether the registry lists all runners that were there when this node began to plan.
func (p *planner) settled(service string, zones []capacity.ZoneState) bool {
	if p.node.backends.KnownFor() >= youngRegistry {
		return true
	}
	total := 0
	for _, z := range zones {
		total += z.OnDemand + z.Reclaimable
	}
	now := time.Now()
	c, known := p.censuses[service]
	if !known || total > c.runners && now.Sub(c.since) < settleTime {
		c = stableCensus{runners: total, since: now}
		p.censuses[service] = c
	}
	wait := settleTime
	if total == 0 {
		wait = emptySettleTime
	}
	return now.Sub(c.since) >= wait
}

// peak is the highest demand of the last while.
type peak struct {
	busy float64
	at   time.Time
}

// orderCapacity orders runners while the lease is held.
func (n *node) orderCapacity(ctx context.Context, held *lease.Lease) {
	p := &planner{node: n, log: n.logger.Part("capacity"), censuses: map[string]stableCensus{}, orders: map[orderKey]*order{}, floors: map[string]int{}, peaks: map[string]peak{}}
	for held.Check() == nil {
		if config := n.current.Config(); config != nil && n.backends.Known() {
			for _, service := range config.Services {
				if service.Scaling != nil {
					p.plan(ctx, held, service)
				}
			}
		}
		if !sleep.For(ctx, planInterval) {
			return
		}
	}
}

// plan compares the runners of one service with what its load needs and orders the difference.
func (p *planner) plan(ctx context.Context, held *lease.Lease, service *traffic.Service) {
	census := p.node.backends.Count(service.Name)
	zones := p.zones(service, census)
	if !p.settled(service.Name, zones) {
		return
	}
	busy := p.demand(service.Name)
	targets := capacity.PlanZones(zones, busy, p.floor(service.Name, zones, busy), capacity.ZoneBounds{
		Min: service.Scaling.Min, Max: service.Scaling.Max, SpotPrice: service.Scaling.SpotPriceRatio,
	})
	for _, t := range targets {
		c := census[t.Name]
		p.adjust(ctx, held, service, orderKey{service.Name, t.Name, true}, t.Reclaimable, c.Reclaimable, busy)
		p.adjust(ctx, held, service, orderKey{service.Name, t.Name, false}, t.OnDemand, c.OnDemand, busy)
	}
}

// zones returns the failure domains in which the service runs or may run.
func (p *planner) zones(service *traffic.Service, census map[string]backend.Census) []capacity.ZoneState {
	var zones []capacity.ZoneState
	for name, price := range service.Scaling.FailureDomainPrices {
		if !slices.Contains(p.node.settings.FailureDomains, name) {
			continue
		}
		c := census[name]
		zones = append(zones, capacity.ZoneState{Name: name, Price: price, OnDemand: c.OnDemand, Reclaimable: c.Reclaimable})
	}
	return zones
}

// demand returns the highest load of the last while in busy runners, over all nodes.
func (p *planner) demand(service string) float64 {
	busy := p.node.backends.Demand()[service]
	for _, m := range p.node.mesh.Members() {
		busy += m.Demand[service]
	}
	now := time.Now()
	if before := p.peaks[service]; busy < before.busy && now.Sub(before.at) < demandMemory {
		return before.busy
	}
	p.peaks[service] = peak{busy: busy, at: now}
	return busy
}

// floor returns the runners to keep while there is no load to tell how many are needed: those found at first.
func (p *planner) floor(service string, zones []capacity.ZoneState, busy float64) int {
	// The registry fills in the first seconds, and runners start before others are given back.
	serving := 0
	for _, z := range zones {
		serving += z.OnDemand
	}
	p.floors[service] = max(p.floors[service], serving)
	if busy > 0 {
		return 0
	}
	return p.floors[service]
}

// adjust orders a number if it differs from the accepted one.
func (p *planner) adjust(ctx context.Context, held *lease.Lease, service *traffic.Service, key orderKey, target, serving int, busy float64) {
	now := time.Now()
	o, known := p.orders[key]
	if !known {
		o = &order{accepted: serving, acceptedAt: now}
		p.orders[key] = o
	}
	if !p.due(o, key, target, serving, service.Scaling.StartupTime, now) || held.Check() != nil {
		return
	}
	o.triedAt = now
	err := p.node.outside.Order(ctx, held.FencingToken, Order{Service: key.service, FailureDomain: key.failureDomain, Runners: target, Reclaimable: key.reclaimable})
	o.refused = errors.Is(err, ErrRefused)
	if err == nil {
		o.accepted, o.acceptedAt, o.lowerAt = target, now, time.Time{}
	}
	p.log.Info("Runners are ordered.", "service", key.service, "failure_domain", key.failureDomain, "reclaimable", key.reclaimable,
		"runners", target, "serving", serving, "busy_runners", busy, "prefill_tokens_per_ms", p.node.backends.PrefillRate(key.service), "fence", held.FencingToken, "error", err)
}

// due reports whether an order should be sent now.
func (p *planner) due(o *order, key orderKey, target, serving int, boot time.Duration, now time.Time) bool {
	if target >= o.accepted {
		o.lowerAt = time.Time{}
	}
	if now.Sub(o.triedAt) < orderRetry && (o.refused || target == o.accepted || !o.acceptedAt.Equal(o.triedAt)) {
		return false
	}
	switch {
	case target > o.accepted:
		return true
	case target == o.accepted:
		// Runners that the platform took away, or that it never started, are ordered anew.
		return serving < target && now.Sub(o.acceptedAt) > boot+bootSlack
	}
	if o.lowerAt.IsZero() {
		o.lowerAt = now
	}
	delay := reduceDelay
	if key.reclaimable {
		delay = spareReduceDelay
	}
	return now.Sub(o.lowerAt) >= delay
}
