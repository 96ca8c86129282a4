package capacity

import (
	"cmp"
	"math"
	"slices"
)

const (
	// targetBusyFraction is the fraction of the time that runners should be busy: above it, prompts that arrive together
	// wait for each other longer than the first-token target allows.
	targetBusyFraction = 0.35
	// afterLossBusyFraction may be reached while the reclaimable runners of one failure domain are missing.
	afterLossBusyFraction = 0.4
	// onDemandFillBusyFraction is the fraction up to which on-demand runners, which cost several times as much, replace
	// missing reclaimable ones.
	onDemandFillBusyFraction = 0.5
)

// DomainState is the number of serving runners of a service in one failure domain, with their price.
type DomainState struct {
	Name        string
	Price       float64 // of an on-demand runner per second
	OnDemand    int     // number of serving on-demand runners
	Reclaimable int     // number of serving reclaimable runners
	Unavailable bool    // reclaimable runners were refused or reclaimed there recently
}

// DomainBounds limits the runners in each failure domain.
type DomainBounds struct {
	Min, Max       int     // on-demand and reclaimable runners together
	SpotPriceRatio float64 // price of a reclaimable runner relative to an on-demand one; 0 if there are none
}

// DomainTarget is the number of runners of each kind that a failure domain should have.
type DomainTarget struct {
	Name          string
	OnDemand      int
	OnDemandLimit int // on-demand runners beyond it are given back, at least OnDemand
	Reclaimable   int
}

// PlanRunners distributes the runners that a load needs over the failure domains. minRunners is a number of runners to keep
// whatever the load. Reclaimable runners are spread so that the remaining ones carry the peak load when one failure domain
// loses all of its own. On-demand runners replace reclaimable ones that do not serve, and are dropped when those serve: they
// are ordered for the sustained load and kept for the peak load. The targets are sorted by price, the cheapest failure
// domain first.
func PlanRunners(domains []DomainState, load Load, minRunners int, bounds DomainBounds) []DomainTarget {
	if len(domains) == 0 {
		return nil
	}
	domains = slices.Clone(domains)
	slices.SortFunc(domains, func(x, y DomainState) int { return cmp.Or(cmp.Compare(x.Price, y.Price), cmp.Compare(x.Name, y.Name)) })
	needed := max(int(math.Ceil(load.Peak/targetBusyFraction)), minRunners)
	neededAfterLoss := int(math.Ceil(load.Peak / afterLossBusyFraction))
	targets := make([]DomainTarget, len(domains))
	servingReclaimable := 0
	for i, d := range domains {
		targets[i] = DomainTarget{Name: d.Name}
		if bounds.SpotPriceRatio > 0 && bounds.SpotPriceRatio < 1 {
			targets[i].Reclaimable = reclaimablePerDomain(len(domains), needed, neededAfterLoss, bounds)
		}
		servingReclaimable += d.Reclaimable
	}
	fillFraction := targetBusyFraction
	if bounds.SpotPriceRatio > 0 && bounds.SpotPriceRatio < 1 {
		// Every failure domain gets its reclaimable runners; on-demand ones replace those that do not serve.
		fillFraction = onDemandFillBusyFraction
	}
	missing := func(busyRunners float64) int {
		return max(int(math.Ceil(busyRunners/fillFraction)), minRunners) - servingReclaimable
	}
	limits := slices.Clone(targets)
	fillOnDemand(targets, domains, missing(load.Sustained), bounds)
	fillOnDemand(limits, domains, missing(load.Peak), bounds)
	for i := range targets {
		targets[i].OnDemandLimit = max(limits[i].OnDemand, targets[i].OnDemand)
	}
	return targets
}

// reclaimablePerDomain returns the number of reclaimable runners for each of a number of failure domains.
func reclaimablePerDomain(domains, needed, neededAfterLoss int, bounds DomainBounds) int {
	n := ceilDiv(needed, domains)
	if domains > 1 {
		n = max(n, ceilDiv(neededAfterLoss, domains-1))
	}
	return min(max(n, bounds.Min), bounds.Max)
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// fillOnDemand adds the missing runners to the targets as on-demand runners: first those that serve already, then new
// ones in the cheapest failure domains. The targets must be sorted by price.
func fillOnDemand(targets []DomainTarget, domains []DomainState, missing int, bounds DomainBounds) {
	for i := range targets {
		if targets[i].Reclaimable < bounds.Min {
			targets[i].OnDemand = bounds.Min - targets[i].Reclaimable
			missing -= targets[i].OnDemand
		}
	}
	for _, onlyServing := range []bool{true, false} {
		for i := range targets {
			limit := bounds.Max - domains[i].Reclaimable
			if onlyServing {
				limit = min(limit, domains[i].OnDemand)
			}
			additional := min(missing, limit-targets[i].OnDemand)
			if additional > 0 {
				targets[i].OnDemand += additional
				missing -= additional
			}
		}
	}
}
