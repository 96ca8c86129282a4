package capacity

import (
	"cmp"
	"math"
	"slices"
)

const (
	// targetBusyFraction is the part of their time that runners should be busy: above it prompts that arrive together wait for
	// each other longer than the objective of the first token allows.
	targetBusyFraction = 0.35
	// afterLossBusyFraction may be reached while the reclaimable runners of one failure domain are missing.
	afterLossBusyFraction = 0.4
	// onDemandFillBusyFraction is where on-demand runners, which cost several times as much, fill in for missing ones.
	onDemandFillBusyFraction = 0.5
)

// DomainState is a service's runners in one failure domain.
type DomainState struct {
	Name        string
	Price       float64 // of an on-demand runner for each second
	OnDemand    int     // that serve
	Reclaimable int     // that serve
	Unavailable bool    // reclaimable runners were refused or reclaimed there a short while ago
}

// DomainBounds bound the runners of both kinds together in each failure domain.
type DomainBounds struct {
	Min, Max       int
	SpotPriceRatio float64 // of a reclaimable runner as a share of the other kind's; 0 means that there are none
}

// DomainTarget is the number of runners of each kind that a failure domain should have.
type DomainTarget struct {
	Name        string
	OnDemand    int
	Reclaimable int
}

// PlanRunners spreads the runners that a load needs over the failure domains. busy is the load in runners that work all the
// time, floor a number of runners to keep whatever the load. Reclaimable runners are spread so that the rest carries the
// load when one failure domain loses all of them. On-demand runners fill in what is missing now and go when it is there.
func PlanRunners(domains []DomainState, busyRunners float64, minRunners int, bounds DomainBounds) []DomainTarget {
	if len(domains) == 0 {
		return nil
	}
	domains = slices.Clone(domains)
	slices.SortFunc(domains, func(x, y DomainState) int { return cmp.Or(cmp.Compare(x.Price, y.Price), cmp.Compare(x.Name, y.Name)) })
	needed := max(int(math.Ceil(busyRunners/targetBusyFraction)), minRunners)
	neededAfterLoss := int(math.Ceil(busyRunners / afterLossBusyFraction))
	targets := make([]DomainTarget, len(domains))
	servingReclaimable := 0
	for i, d := range domains {
		targets[i] = DomainTarget{Name: d.Name}
		if bounds.SpotPriceRatio > 0 && bounds.SpotPriceRatio < 1 {
			targets[i].Reclaimable = reclaimablePerDomain(len(domains), needed, neededAfterLoss, bounds)
		}
		servingReclaimable += d.Reclaimable
	}
	if bounds.SpotPriceRatio > 0 && bounds.SpotPriceRatio < 1 {
		// Every failure domain has its reclaimable runners; on-demand ones replace those that are not there.
		needed = max(int(math.Ceil(busyRunners/onDemandFillBusyFraction)), minRunners)
	}
	fillOnDemand(targets, domains, needed-servingReclaimable, bounds)
	return targets
}

// reclaimablePerDomain returns the reclaimable runners of each failure domain.
func reclaimablePerDomain(domains, needed, neededAfterLoss int, bounds DomainBounds) int {
	n := ceilDiv(needed, domains)
	if domains > 1 {
		n = max(n, ceilDiv(neededAfterLoss, domains-1))
	}
	return min(max(n, bounds.Min), bounds.Max)
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// fillOnDemand spreads on-demand runners over the failure domains: those that serve stay, further ones start where they
// are cheapest. The targets are in the order of price.
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
