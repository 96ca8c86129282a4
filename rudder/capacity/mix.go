// Package capacity rents and gives back hosts, so that each deployment meets its latency target at the lowest price,
// also after one failure domain loses all its reclaimable hosts at once. The daemon runs one Loop on each node; a lease
// for each deployment decides which node acts.
package capacity

import (
	"math"
	"sort"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"
)

const (
	// normalUtilisation of the slots leaves room for arrivals that come together: with more, requests wait for a slot
	// longer than the first-token target allows.
	normalUtilisation = 0.7
	// survivingUtilisation may be reached for the minutes until replacements serve after a reclaim wave.
	survivingUtilisation = 0.95
	// lostHours is the rent that is lost with each reclaim while the replacement starts and loads weights.
	lostHours = 60.0 / 3600
	// recomputeHours weighs the tokens lost with a reclaim as rent, for a deployment whose preference lies wholly on
	// recomputed tokens.
	recomputeHours = 0.5
)

// Kind is a kind of host that can be rented.
type Kind struct {
	FailureDomain string
	Class         string
	Reclaimable   bool
}

// KindOf returns the kind of a host.
func KindOf(h cloud.Host) Kind { return Kind{h.FailureDomain, h.Class, h.Reclaimable} }

// Need says how many runners a deployment needs.
type Need struct {
	Normal    int // with all failure domains
	Surviving int // after the largest failure domain lost its reclaimable hosts
}

// NeedFor returns the need for a number of busy slots, within the deployment's bounds.
func NeedFor(busySlots float64, slotsPerRunner int, spec object.DeploymentSpec) Need {
	slots := float64(max(slotsPerRunner, 1))
	normal := int(math.Ceil(busySlots / normalUtilisation / slots))
	surviving := int(math.Ceil(busySlots / survivingUtilisation / slots))
	normal = min(max(normal, spec.MinRunners), spec.MaxRunners)
	return Need{Normal: normal, Surviving: min(max(surviving, 1), normal)}
}

// priced is the best offer of one failure domain.
type priced struct {
	kind  Kind
	price float64 // effective, millionths of a currency unit per hour
}

// effectivePrice adds to a reclaimable host's price what its reclaims are expected to cost. reclaimsPerHour is per host.
func effectivePrice(o cloud.Offer, reclaimsPerHour float64, preference object.Preference) float64 {
	price := float64(o.PriceMicrosPerHour)
	if !o.Reclaimable {
		return price
	}
	return price * (1 + reclaimsPerHour*(lostHours+preference.RecomputedTokens*recomputeHours))
}

// cheapest returns the best offer of each failure domain, the cheapest first.
func cheapest(offers []cloud.Offer, reclaimable bool, reclaimsPerHour map[string]float64, preference object.Preference) []priced {
	best := map[string]priced{}
	for _, o := range offers {
		if o.Reclaimable != reclaimable {
			continue
		}
		p := priced{Kind{o.FailureDomain, o.Class, o.Reclaimable}, effectivePrice(o, reclaimsPerHour[o.FailureDomain], preference)}
		if known, found := best[o.FailureDomain]; !found || p.price < known.price {
			best[o.FailureDomain] = p
		}
	}
	sorted := make([]priced, 0, len(best))
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

// Mix is a number of hosts of each kind.
type Mix map[Kind]int

// Total returns the number of hosts.
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

// Market is what can be rented now.
type Market struct {
	Offers          []cloud.Offer
	ReclaimsPerHour map[string]float64 // per reclaimable host, by failure domain
}

// ChooseMix returns the cheapest mix that meets the need. For each number of on-demand hosts and each bound on the
// reclaimable hosts of one failure domain it fills up with the cheapest reclaimable offers; the bounds are as large as
// the fleet, so that all combinations are tried. It returns as many hosts as can be had if no mix meets the need.
func ChooseMix(need Need, market Market, preference object.Preference) Mix {
	f := filler{
		need:        need,
		reclaimable: cheapest(market.Offers, true, market.ReclaimsPerHour, preference),
		onDemand:    cheapest(market.Offers, false, nil, preference),
	}
	maxFixed := 0
	if len(f.onDemand) > 0 {
		maxFixed = need.Normal
	}
	bestPrice := math.Inf(1)
	bestFixed, bestPerDomain := maxFixed, need.Normal
	for fixed := 0; fixed <= maxFixed && f.fixedPrice(fixed) < bestPrice; fixed++ {
		for perDomain := 0; perDomain <= need.Normal; perDomain++ {
			if price := f.price(fixed, perDomain); price < bestPrice {
				bestPrice, bestFixed, bestPerDomain = price, fixed, perDomain
			}
		}
	}
	return f.mix(bestFixed, bestPerDomain)
}

// filler makes mixes from a number of on-demand hosts and a bound on the reclaimable hosts of one failure domain.
type filler struct {
	need                  Need
	reclaimable, onDemand []priced // the best offer of each failure domain, the cheapest first
}

// fixedPrice returns the rent of the on-demand hosts. They are spread over the failure domains too: one that is cut off
// takes those with it.
func (f filler) fixedPrice(fixed int) float64 {
	price := 0.0
	for i := range fixed {
		price += f.onDemand[i%len(f.onDemand)].price
	}
	return price
}

// missing returns the number of reclaimable hosts that the need asks for.
func (f filler) missing(fixed, perDomain int) int {
	return max(f.need.Normal-fixed, f.need.Surviving+perDomain-fixed)
}

// price returns the rent of a mix, infinite if it does not meet the need.
func (f filler) price(fixed, perDomain int) float64 {
	price := f.fixedPrice(fixed)
	missing := f.missing(fixed, perDomain)
	for _, p := range f.reclaimable {
		n := max(min(perDomain, missing), 0)
		price += float64(n) * p.price
		missing -= n
	}
	if missing > 0 {
		return math.Inf(1)
	}
	return price
}

func (f filler) mix(fixed, perDomain int) Mix {
	mix := Mix{}
	for i := range fixed {
		mix[f.onDemand[i%len(f.onDemand)].kind]++
	}
	missing := f.missing(fixed, perDomain)
	for _, p := range f.reclaimable {
		if n := min(perDomain, missing); n > 0 {
			mix[p.kind] = n
			missing -= n
		}
	}
	return mix
}

// price returns the rent of a mix per hour at the market's prices; kinds that are not offered count with the highest
// price, so that keeping them never looks cheap.
func (m Market) price(mix Mix, preference object.Preference) float64 {
	prices := map[Kind]float64{}
	highest := 0.0
	for _, o := range m.Offers {
		p := effectivePrice(o, m.ReclaimsPerHour[o.FailureDomain], preference)
		prices[Kind{o.FailureDomain, o.Class, o.Reclaimable}] = p
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
