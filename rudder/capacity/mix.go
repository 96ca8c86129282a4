// Package capacity starts and releases hosts, so that each deployment meets its latency target at the lowest price, even
// after one failure domain loses all its reclaimable hosts at once. The daemon runs one Loop on each node; a lease for
// each deployment decides which node acts. PlanRunners does the planning for services whose runners a platform starts.
package capacity

import (
	"math"
	"sort"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"
)

const (
	// targetUtilisation of the slots leaves room for requests that arrive together: above it, requests wait for a slot
	// longer than the first-token target allows.
	targetUtilisation = 0.7
	// afterLossUtilisation may be reached after a reclaim wave, for the minutes until replacements serve.
	afterLossUtilisation = 0.95
	// replacementHours is the cost of each reclaim in hours of the host's price: the replacement is paid while it starts
	// and loads weights.
	replacementHours = 60.0 / 3600
	// recomputationHours is the cost of the tokens that a reclaim loses, in hours of the host's price, for a deployment
	// whose preference lies wholly on recomputed tokens.
	recomputationHours = 0.5
)

// HostKind is a kind of host that the cloud can offer.
type HostKind struct {
	FailureDomain string
	Class         string
	Reclaimable   bool
}

// HostKindOf returns the kind of a host.
func HostKindOf(h cloud.Host) HostKind { return HostKind{h.FailureDomain, h.Class, h.Reclaimable} }

// Requirement is the number of runners that a deployment needs.
type Requirement struct {
	Total            int // in normal operation, with all failure domains
	AfterLargestLoss int // after the failure domain with the most reclaimable hosts has lost them
}

// RequirementFor returns the requirement for a number of busy slots, within the minimum and maximum of the deployment.
func RequirementFor(busySlots float64, slotsPerRunner int, spec object.DeploymentSpec) Requirement {
	slots := float64(max(slotsPerRunner, 1))
	total := int(math.Ceil(busySlots / targetUtilisation / slots))
	afterLoss := int(math.Ceil(busySlots / afterLossUtilisation / slots))
	total = min(max(total, spec.MinRunners), spec.MaxRunners)
	return Requirement{Total: total, AfterLargestLoss: min(max(afterLoss, 1), total)}
}

// pricedKind is a kind of host with its price.
type pricedKind struct {
	kind  HostKind
	price float64 // effectivePrice, in millionths of a currency unit per hour
}

// effectivePrice returns the price of an offer in millionths of a currency unit per hour, plus the expected cost of
// reclaims for a reclaimable host. reclaimsPerHour is per host.
func effectivePrice(o cloud.Offer, reclaimsPerHour float64, preference object.Preference) float64 {
	price := float64(o.PriceMicrosPerHour)
	if !o.Reclaimable {
		return price
	}
	return price * (1 + reclaimsPerHour*(replacementHours+preference.RecomputedTokens*recomputationHours))
}

// cheapestByDomain returns the cheapest offer of each failure domain, sorted by price.
func cheapestByDomain(offers []cloud.Offer, reclaimable bool, reclaimsPerHour map[string]float64, preference object.Preference) []pricedKind {
	best := map[string]pricedKind{}
	for _, o := range offers {
		if o.Reclaimable != reclaimable {
			continue
		}
		p := pricedKind{HostKind{o.FailureDomain, o.Class, o.Reclaimable}, effectivePrice(o, reclaimsPerHour[o.FailureDomain], preference)}
		if known, found := best[o.FailureDomain]; !found || p.price < known.price {
			best[o.FailureDomain] = p
		}
	}
	sorted := make([]pricedKind, 0, len(best))
	for _, p := range best {
		sorted = append(sorted, p)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].price != sorted[j].price {
			return sorted[i].price < sorted[j].price
		}
		return sorted[i].kind.FailureDomain < sorted[j].kind.FailureDomain
	})
	return sorted
}

// Mix is the number of hosts of each kind.
type Mix map[HostKind]int

// Total returns the number of hosts of all kinds.
func (m Mix) Total() int {
	total := 0
	for _, n := range m {
		total += n
	}
	return total
}

// AfterLargestLoss returns the number of hosts left when the failure domain with the most reclaimable hosts loses them.
func (m Mix) AfterLargestLoss() int {
	reclaimable := map[string]int{}
	largest := 0
	for kind, n := range m {
		if kind.Reclaimable {
			reclaimable[kind.FailureDomain] += n
			largest = max(largest, reclaimable[kind.FailureDomain])
		}
	}
	return m.Total() - largest
}

// Market holds the offers of the cloud and the reclaim rates.
type Market struct {
	Offers          []cloud.Offer
	ReclaimsPerHour map[string]float64 // per reclaimable host, by failure domain
}

// ChooseMix returns the cheapest mix that meets the requirement. For each number of on-demand hosts and each maximum of
// reclaimable hosts per failure domain it fills up with the cheapest reclaimable offers. Both go up to the required
// total, so that all combinations are tried. If no mix meets the requirement, it returns as many hosts as are offered.
func ChooseMix(required Requirement, market Market, preference object.Preference) Mix {
	builder := mixBuilder{
		required:          required,
		reclaimableOffers: cheapestByDomain(market.Offers, true, market.ReclaimsPerHour, preference),
		onDemandOffers:    cheapestByDomain(market.Offers, false, nil, preference),
	}
	maxOnDemandCount := 0
	if len(builder.onDemandOffers) > 0 {
		maxOnDemandCount = required.Total
	}
	bestCost := math.Inf(1)
	bestOnDemandCount, bestMaxPerDomain := maxOnDemandCount, required.Total
	for onDemandCount := 0; onDemandCount <= maxOnDemandCount && builder.onDemandCost(onDemandCount) < bestCost; onDemandCount++ {
		for maxPerDomain := 0; maxPerDomain <= required.Total; maxPerDomain++ {
			if cost := builder.cost(onDemandCount, maxPerDomain); cost < bestCost {
				bestCost, bestOnDemandCount, bestMaxPerDomain = cost, onDemandCount, maxPerDomain
			}
		}
	}
	return builder.build(bestOnDemandCount, bestMaxPerDomain)
}

// mixBuilder builds mixes from a number of on-demand hosts and a maximum of reclaimable hosts per failure domain.
type mixBuilder struct {
	required                          Requirement
	reclaimableOffers, onDemandOffers []pricedKind // the cheapest of each failure domain, sorted by price
}

// onDemandCost returns the hourly cost of the on-demand hosts. They are spread over the failure domains like the
// reclaimable ones, because a failure domain that is cut off takes its on-demand hosts with it.
func (b mixBuilder) onDemandCost(onDemandCount int) float64 {
	cost := 0.0
	for i := range onDemandCount {
		cost += b.onDemandOffers[i%len(b.onDemandOffers)].price
	}
	return cost
}

// reclaimableCount returns the number of reclaimable hosts that the requirement demands in addition to the on-demand
// hosts.
func (b mixBuilder) reclaimableCount(onDemandCount, maxPerDomain int) int {
	return max(b.required.Total-onDemandCount, b.required.AfterLargestLoss+maxPerDomain-onDemandCount)
}

// cost returns the hourly cost of a mix, infinite if it does not meet the requirement.
func (b mixBuilder) cost(onDemandCount, maxPerDomain int) float64 {
	cost := b.onDemandCost(onDemandCount)
	remaining := b.reclaimableCount(onDemandCount, maxPerDomain)
	for _, p := range b.reclaimableOffers {
		n := max(min(maxPerDomain, remaining), 0)
		cost += float64(n) * p.price
		remaining -= n
	}
	if remaining > 0 {
		return math.Inf(1)
	}
	return cost
}

// build returns a mix, with fewer hosts than required if the offers do not suffice.
func (b mixBuilder) build(onDemandCount, maxPerDomain int) Mix {
	mix := Mix{}
	for i := range onDemandCount {
		mix[b.onDemandOffers[i%len(b.onDemandOffers)].kind]++
	}
	remaining := b.reclaimableCount(onDemandCount, maxPerDomain)
	for _, p := range b.reclaimableOffers {
		if n := min(maxPerDomain, remaining); n > 0 {
			mix[p.kind] = n
			remaining -= n
		}
	}
	return mix
}

// cost returns the hourly cost of a mix at the prices of the market. Kinds that are not offered count with the highest
// price, so that keeping them never looks cheap.
func (m Market) cost(mix Mix, preference object.Preference) float64 {
	prices := map[HostKind]float64{}
	highest := 0.0
	for _, o := range m.Offers {
		p := effectivePrice(o, m.ReclaimsPerHour[o.FailureDomain], preference)
		prices[HostKind{o.FailureDomain, o.Class, o.Reclaimable}] = p
		highest = max(highest, p)
	}
	total := 0.0
	for kind, n := range mix {
		p, offered := prices[kind]
		if !offered {
			p = highest
		}
		total += float64(n) * p
	}
	return total
}
