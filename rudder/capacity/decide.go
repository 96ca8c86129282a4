package capacity

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"
)

const (
	// surplusDelay is how long a surplus must last before a host is given back, so that a short drop of load does not cost the
	// start of a host.
	surplusDelay = 2 * time.Minute
	// minSaving is the share of the rent that a cheaper mix must save before running hosts are exchanged. Each exchange
	// costs a start, the loading of weights and a cold prefix cache.
	minSaving = 0.15
	// maxStarts bounds the starts of one decision, so that the weight store and the cloud API are not flooded.
	maxStarts = 4
)

// HostState is a rented host as the loop sees it.
type HostState struct {
	cloud.Host
	Leaving bool // has a notice, from the cloud or from this loop, and takes no new work
	Idle    bool // nothing runs on it
}

// counts reports whether the host serves, now or soon.
func (h HostState) counts() bool { return !h.Leaving }

// Situation is what a decision is based on.
type Situation struct {
	Spec           object.DeploymentSpec
	SlotsPerRunner int
	BusySlots      float64 // runs in progress and waiting, the highest of the last minutes
	Hosts          []HostState
	Pending        []Kind // started, not yet in the host list
	Market         Market
	SurplusFor     time.Duration // how long there have been more hosts than needed
}

// Decision is what a loop should do now.
type Decision struct {
	Mix     Mix
	Start   []Kind
	Drain   []string
	Release []string
	Reason  string
	Surplus bool // a host could go without breaking the need
}

// Decide compares the hosts with the cheapest mix. It starts what is missing at once, gives a surplus back late, and
// exchanges running hosts for cheaper ones only where that saves minSaving.
func Decide(s Situation) Decision {
	need := NeedFor(s.BusySlots, s.SlotsPerRunner, s.Spec)
	mix := ChooseMix(need, s.Market, s.Spec.Preference)
	present := presentMix(s)
	d := Decision{Mix: mix, Release: releasable(s.Hosts)}
	d.Reason = fmt.Sprintf("%.0f busy slots need %d runners, %d after a wave; %d serve or start", s.BusySlots, need.Normal, need.Surviving, present.Total())
	spare := worst(s, mix, present, need)
	d.Surplus = len(spare) > 0
	switch {
	case present.Total() < need.Normal || present.AfterLargestLoss() < need.Surviving:
		d.Start = missing(mix, present, need)
	case d.Surplus && s.SurplusFor >= surplusDelay:
		d.Drain = spare
	case !d.Surplus && worthExchanging(s, mix, present):
		// The replacement starts first; the more expensive host becomes a surplus when it serves.
		d.Start = firstOf(above(mix, present), 1)
		d.Reason += "; a cheaper mix is offered"
	}
	return d
}

func presentMix(s Situation) Mix {
	present := Mix{}
	for _, h := range s.Hosts {
		if h.counts() {
			present[KindOf(h.Host)]++
		}
	}
	for _, k := range s.Pending {
		present[k]++
	}
	return present
}

// releasable returns the hosts that are drained. Those that the cloud reclaims are given back too when they are idle, so
// that the rest of their notice is not paid.
func releasable(hosts []HostState) []string {
	var names []string
	for _, h := range hosts {
		if h.Leaving && h.Idle {
			names = append(names, h.Name)
		}
	}
	return names
}

// missing returns the kinds to start, those of the mix that are below their number first, until the need is met.
func missing(mix, present Mix, need Need) []Kind {
	var starts []Kind
	planned := Mix{}
	for k, n := range present {
		planned[k] = n
	}
	for _, k := range above(mix, present) {
		if planned.Total() >= need.Normal && planned.AfterLargestLoss() >= need.Surviving || len(starts) >= maxStarts {
			break
		}
		planned[k]++
		starts = append(starts, k)
	}
	return starts
}

// above lists the hosts by which the mix exceeds the present one, in turn over the kinds.
func above(mix, present Mix) []Kind {
	var kinds []Kind
	for k := range mix {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool {
		a, b := kinds[i], kinds[j]
		if a.Reclaimable != b.Reclaimable {
			return a.Reclaimable
		}
		return a.FailureDomain+"/"+a.Class < b.FailureDomain+"/"+b.Class
	})
	var list []Kind
	for round := 0; ; round++ {
		added := false
		for _, k := range kinds {
			if mix[k]-present[k] > round {
				list = append(list, k)
				added = true
			}
		}
		if !added {
			return list
		}
	}
}

func firstOf(kinds []Kind, n int) []Kind { return kinds[:min(n, len(kinds))] }

// worthExchanging reports whether the mix saves enough over the present hosts.
func worthExchanging(s Situation, mix, present Mix) bool {
	if len(s.Pending) > 0 || mix.Total() > present.Total() {
		return false
	}
	now := s.Market.price(present, s.Spec.Preference)
	return now > 0 && s.Market.price(mix, s.Spec.Preference) < (1-minSaving)*now
}

// worst returns the host that should go first, if one can go without breaking the need: one of a kind that the mix has
// fewer of, then the most expensive, then an idle one. Without the first rule the loop would give back the host that it has
// just started in exchange for others.
func worst(s Situation, mix, present Mix, need Need) []string {
	var candidates []HostState
	for _, h := range s.Hosts {
		k := KindOf(h.Host)
		present[k]--
		if h.counts() && present.Total() >= need.Normal && present.AfterLargestLoss() >= need.Surviving {
			candidates = append(candidates, h)
		}
		present[k]++
	}
	if len(candidates) == 0 {
		return nil
	}
	rank := func(h HostState) (beyondMix bool, price float64) {
		o := cloud.Offer{FailureDomain: h.FailureDomain, Class: h.Class, Reclaimable: h.Reclaimable, PriceMicrosPerHour: h.PriceMicrosPerHour}
		k := KindOf(h.Host)
		return present[k] > mix[k], effectivePrice(o, s.Market.ReclaimsPerHour[h.FailureDomain], s.Spec.Preference)
	}
	first := slices.MinFunc(candidates, func(a, b HostState) int {
		beyondA, priceA := rank(a)
		beyondB, priceB := rank(b)
		return cmp.Or(
			compareBool(beyondB, beyondA),
			cmp.Compare(priceB, priceA),
			compareBool(b.Idle, a.Idle),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return []string{first.Name}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
