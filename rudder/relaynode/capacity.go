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
	// planInterval is the pause between two plans of the runners. A reclaim leaves about two seconds until its runners stop.
	planInterval = 250 * time.Millisecond
	// orderRetryDelay is the pause before an order that was refused or not answered is sent again.
	orderRetryDelay = 2 * time.Second
	// onDemandScaleDownDelay is how long a lower number of on-demand runners must be sufficient before some are given back.
	onDemandScaleDownDelay = 2 * time.Second
	// reclaimableScaleDownDelay is the same for reclaimable runners, which cost little.
	reclaimableScaleDownDelay = 20 * time.Second
	// startupMargin is added to the time that runners take to start before an order for them counts as not carried out.
	startupMargin = 3 * time.Second
)

// orderKey identifies the number of runners that one order sets.
type orderKey struct {
	service, failureDomain string
	reclaimable            bool
}

// orderState is the state of the orders for one orderKey.
type orderState struct {
	// acceptedRunners is the number in the last order that the platform accepted; before the first one, the number that
	// served.
	acceptedRunners  int
	acceptedAt       time.Time
	sentAt           time.Time // when the last order was sent
	wasRefused       bool      // the last order was refused
	lowerTargetSince time.Time // since when a lower number has been sufficient; zero if none is
}

// capacityPlanner orders the runners of all services while its node holds the duty lease.
type capacityPlanner struct {
	node       *node
	log        *slog.Logger
	orders     map[orderKey]*orderState
	minRunners map[string]int                   // by service: runners to keep until the demand is known
	loads      map[string]*capacity.LoadHistory // by service

	listedRunners map[string]listedRunners // by service
}

// listedRunners is the number of runners of a service that the registry lists, and the time since when it has not grown.
type listedRunners struct {
	runners     int
	stableSince time.Time
}

// registrySettleTime is how long the number of runners must not have grown before a new holder of the lease orders:
// runners register one after the other, and an order for fewer would take away those that are not listed yet.
const registrySettleTime = 1500 * time.Millisecond

// emptyRegistrySettleTime is the same where no runner is listed: either the first ones have not registered yet, or a
// reclaim took all.
const emptyRegistrySettleTime = 4 * time.Second

// registryFillTime is how long after its first listing of the registry a node allows for runners that have not registered
// yet.
const registryFillTime = 8 * time.Second

// isRegistryComplete reports whether all runners that existed when this node began to plan can be expected to be listed:
// registryFillTime has passed since the first listing, or the number of runners has not grown for the settle time.
func (p *capacityPlanner) isRegistryComplete(service string, domains []capacity.DomainState) bool {
	if p.node.backends.TimeSinceFirstListing() >= registryFillTime {
		return true
	}
	total := 0
	for _, d := range domains {
		total += d.OnDemand
		if !p.node.settings.IsFirstStart {
			total += d.Reclaimable // at the first start, all of them were ordered by this system
		}
	}
	now := time.Now()
	c, known := p.listedRunners[service]
	if !known || total > c.runners && now.Sub(c.stableSince) < registrySettleTime {
		c = listedRunners{runners: total, stableSince: now}
		p.listedRunners[service] = c
	}
	wait := registrySettleTime
	if total == 0 {
		wait = emptyRegistrySettleTime
	}
	return now.Sub(c.stableSince) >= wait
}

// runCapacityPlanner plans and orders runners until the lease is lost or ctx ends.
func (n *node) runCapacityPlanner(ctx context.Context, dutyLease *lease.Lease) {
	p := &capacityPlanner{
		node: n, log: n.logger.Part("capacity"), listedRunners: map[string]listedRunners{},
		orders: map[orderKey]*orderState{}, minRunners: map[string]int{}, loads: map[string]*capacity.LoadHistory{},
	}
	for dutyLease.Check() == nil {
		if config := n.currentConfig.Config(); config != nil && n.backends.HasListing() {
			for _, service := range config.Services {
				if service.Scaling != nil {
					p.planService(ctx, dutyLease, service)
				}
			}
		}
		if !sleep.For(ctx, planInterval) {
			return
		}
	}
}

// planService compares the runners of one service with what its load needs, and orders the numbers that differ.
func (p *capacityPlanner) planService(ctx context.Context, dutyLease *lease.Lease, service *traffic.Service) {
	countsByDomain := p.node.backends.CountRunners(service.Name)
	domains := p.domainStates(service, countsByDomain)
	isComplete := p.isRegistryComplete(service.Name, domains)
	if !isComplete && !canOrderEarly(p.node.settings.IsFirstStart, domains) {
		return
	}
	load := p.load(service.Name)
	targets := capacity.PlanRunners(domains, load, p.minRunnersFor(service.Name, domains, load.Peak), capacity.DomainBounds{
		Min: service.Scaling.Min, Max: service.Scaling.Max, SpotPriceRatio: service.Scaling.SpotPriceRatio,
	})
	for _, t := range targets {
		c := countsByDomain[t.Name]
		p.orderRunners(ctx, dutyLease, service, orderKey{service.Name, t.Name, true}, targetRange{t.Reclaimable, t.Reclaimable}, c.Reclaimable, load)
		if !isComplete {
			continue
		}
		p.orderRunners(ctx, dutyLease, service, orderKey{service.Name, t.Name, false}, targetRange{t.OnDemand, t.OnDemandLimit}, c.OnDemand, load)
	}
}

// canOrderEarly reports whether reclaimable runners may be ordered while runners are still registering. At the first start of
// the system no reclaimable ones exist that an order for fewer could take away. The sooner they serve, the sooner the
// on-demand ones, which are paid for from the start, can be given back.
func canOrderEarly(isFirstStart bool, domains []capacity.DomainState) bool {
	if !isFirstStart {
		return false
	}
	for _, d := range domains {
		if d.Reclaimable > 0 {
			return false
		}
	}
	return true
}

// domainStates returns the failure domains in which the service may run, with its runners there.
func (p *capacityPlanner) domainStates(service *traffic.Service, countsByDomain map[string]backend.RunnerCounts) []capacity.DomainState {
	var domains []capacity.DomainState
	for name, price := range service.Scaling.FailureDomainPrices {
		if !slices.Contains(p.node.settings.FailureDomains, name) {
			continue
		}
		c := countsByDomain[name]
		domains = append(domains, capacity.DomainState{Name: name, Price: price, OnDemand: c.OnDemand, Reclaimable: c.Reclaimable})
	}
	return domains
}

// load returns the load of a service, over all nodes.
func (p *capacityPlanner) load(service string) capacity.Load {
	history, known := p.loads[service]
	if !known {
		history = &capacity.LoadHistory{}
		p.loads[service] = history
	}
	return history.Add(p.node.backends.Demand()[service]+p.node.mesh.PeerDemand(service), time.Now())
}

// targetRange holds the least and the largest number of runners that need no order.
type targetRange struct{ least, largest int }

// nearest returns the number in the range that is nearest to n.
func (r targetRange) nearest(n int) int { return min(max(n, r.least), r.largest) }

// minRunnersFor returns the number of runners to keep while there is no load that shows how many are needed: the largest
// number of on-demand runners that this planner has found.
func (p *capacityPlanner) minRunnersFor(service string, domains []capacity.DomainState, busyRunners float64) int {
	// The largest number counts because the registry fills in the first seconds, and because runners start before others
	// are given back.
	serving := 0
	for _, d := range domains {
		serving += d.OnDemand
	}
	p.minRunners[service] = max(p.minRunners[service], serving)
	if busyRunners > 0 {
		return 0
	}
	return p.minRunners[service]
}

// orderRunners orders a number of runners if an order is due.
func (p *capacityPlanner) orderRunners(ctx context.Context, dutyLease *lease.Lease, service *traffic.Service, key orderKey,
	targets targetRange, serving int, load capacity.Load,
) {
	now := time.Now()
	o, known := p.orders[key]
	if !known {
		o = &orderState{acceptedRunners: serving, acceptedAt: now}
		p.orders[key] = o
	}
	target := targets.nearest(o.acceptedRunners)
	if !p.isOrderDue(o, target, serving, service.Scaling.StartupTime, p.scaleDownDelay(key, load), now) || dutyLease.Check() != nil {
		return
	}
	o.sentAt = now
	err := p.node.platform.OrderCapacity(ctx, dutyLease.FencingToken, CapacityOrder{
		Service: key.service, FailureDomain: key.failureDomain, Runners: target, Reclaimable: key.reclaimable,
	})
	o.wasRefused = errors.Is(err, ErrRefused)
	if err == nil {
		o.acceptedRunners, o.acceptedAt, o.lowerTargetSince = target, now, time.Time{}
	}
	p.log.Info("Order for runners was sent.", "service", key.service, "failure_domain", key.failureDomain, "reclaimable", key.reclaimable,
		"runners", target, "serving", serving, "busy_runners", load.Peak, "sustained_busy_runners", load.Sustained,
		"prefill_tokens_per_ms", p.node.backends.PrefillRate(key.service), "fence", dutyLease.FencingToken, "error", err)
}

// isOrderDue reports whether an order is to be sent now. It also keeps track of since when a lower number has been
// sufficient.
func (p *capacityPlanner) isOrderDue(o *orderState, target, serving int, startupTime, scaleDownDelay time.Duration, now time.Time) bool {
	if target >= o.acceptedRunners {
		o.lowerTargetSince = time.Time{}
	}
	if now.Sub(o.sentAt) < orderRetryDelay && (o.wasRefused || target == o.acceptedRunners || !o.acceptedAt.Equal(o.sentAt)) {
		return false
	}
	switch {
	case target > o.acceptedRunners:
		return true
	case target == o.acceptedRunners:
		// Runners that the platform took away, or that it never started, are ordered again.
		return serving < target && now.Sub(o.acceptedAt) > startupTime+startupMargin
	}
	if o.lowerTargetSince.IsZero() {
		o.lowerTargetSince = now
	}
	return now.Sub(o.lowerTargetSince) >= scaleDownDelay
}

// scaleDownDelay returns how long a lower number of runners must be sufficient before runners are given back. At the first
// start, before any request, on-demand runners only wait for reclaimable ones to take their place.
func (p *capacityPlanner) scaleDownDelay(key orderKey, load capacity.Load) time.Duration {
	switch {
	case key.reclaimable:
		return reclaimableScaleDownDelay
	case p.node.settings.IsFirstStart && load.Peak == 0:
		return 0
	}
	return onDemandScaleDownDelay
}
