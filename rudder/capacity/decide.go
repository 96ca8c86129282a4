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
	IsLeaving bool // has a notice, from the cloud or from this loop, and takes no new work
	IsIdle    bool // nothing runs on it
}

// isAvailable reports whether the host serves, now or soon.
func (h HostState) isAvailable() bool { return !h.IsLeaving }

// DeploymentState is what a decision is based on.
type DeploymentState struct {
	Spec            object.DeploymentSpec
	SlotsPerRunner  int
	BusySlots       float64 // runs in progress and waiting, the highest of the last minutes
	Hosts           []HostState
	PendingHosts    []HostKind // started, not yet in the host list
	Market          Market
	SurplusDuration time.Duration // how long there have been more hosts than needed
}

// Decision is what a loop should do now.
type Decision struct {
	Mix        Mix
	Start      []HostKind
	Drain      []string
	Release    []string
	Reason     string
	HasSurplus bool // a host could go without breaking the need
}

// Decide compares the hosts with the cheapest mix. It starts what is missing at once, gives a surplus back late, and
// exchanges running hosts for cheaper ones only where that saves minSaving.
func Decide(s DeploymentState) Decision {
	required := RequirementFor(s.BusySlots, s.SlotsPerRunner, s.Spec)
	mix := ChooseMix(required, s.Market, s.Spec.Preference)
	current := currentMix(s)
	d := Decision{Mix: mix, Release: releasableHosts(s.Hosts)}
	d.Reason = fmt.Sprintf("%.0f busy slots need %d runners, %d after a wave; %d serve or start", s.BusySlots, required.Total, required.AfterLargestLoss, current.Total())
	surplus := surplusHost(s, mix, current, required)
	d.HasSurplus = len(surplus) > 0
	switch {
	case current.Total() < required.Total || current.AfterLargestLoss() < required.AfterLargestLoss:
		d.Start = kindsToStart(mix, current, required)
	case d.HasSurplus && s.SurplusDuration >= surplusDelay:
		d.Drain = surplus
	case !d.HasSurplus && isReplacementWorthwhile(s, mix, current):
		// The replacement starts first; the more expensive host becomes a surplus when it serves.
		d.Start = firstKinds(missingKinds(mix, current), 1)
		d.Reason += "; a cheaper mix is offered"
	}
	return d
}

func currentMix(s DeploymentState) Mix {
	current := Mix{}
	for _, h := range s.Hosts {
		if h.isAvailable() {
			current[HostKindOf(h.Host)]++
		}
	}
	for _, k := range s.PendingHosts {
		current[k]++
	}
	return current
}

// releasableHosts returns the hosts that are drained. Those that the cloud reclaims are given back too when they are idle, so
// that the rest of their notice is not paid.
func releasableHosts(hosts []HostState) []string {
	var names []string
	for _, h := range hosts {
		if h.IsLeaving && h.IsIdle {
			names = append(names, h.Name)
		}
	}
	return names
}

// kindsToStart returns the kinds to start, those of the mix that are below their number first, until the need is met.
func kindsToStart(mix, current Mix, required Requirement) []HostKind {
	var starts []HostKind
	planned := Mix{}
	for k, n := range current {
		planned[k] = n
	}
	for _, k := range missingKinds(mix, current) {
		if planned.Total() >= required.Total && planned.AfterLargestLoss() >= required.AfterLargestLoss || len(starts) >= maxStarts {
			break
		}
		planned[k]++
		starts = append(starts, k)
	}
	return starts
}

// missingKinds lists the hosts by which the mix exceeds the present one, in turn over the kinds.
func missingKinds(mix, current Mix) []HostKind {
	var kinds []HostKind
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
	var shortfall []HostKind
	for round := 0; ; round++ {
		added := false
		for _, k := range kinds {
			if mix[k]-current[k] > round {
				shortfall = append(shortfall, k)
				added = true
			}
		}
		if !added {
			return shortfall
		}
	}
}

func firstKinds(kinds []HostKind, n int) []HostKind { return kinds[:min(n, len(kinds))] }

// isReplacementWorthwhile reports whether the mix saves enough over the present hosts.
func isReplacementWorthwhile(s DeploymentState, mix, current Mix) bool {
	if len(s.PendingHosts) > 0 || mix.Total() > current.Total() {
		return false
	}
	currentCost := s.Market.cost(current, s.Spec.Preference)
	return currentCost > 0 && s.Market.cost(mix, s.Spec.Preference) < (1-minSaving)*currentCost
}

// surplusHost returns the host that should go first, if one can go without breaking the need: one of a kind that the mix has
// fewer of, then the most expensive, then an idle one. Without the first rule the loop would give back the host that it has
// just started in exchange for others.
func surplusHost(s DeploymentState, mix, current Mix, required Requirement) []string {
	var candidates []HostState
	for _, h := range s.Hosts {
		k := HostKindOf(h.Host)
		current[k]--
		if h.isAvailable() && current.Total() >= required.Total && current.AfterLargestLoss() >= required.AfterLargestLoss {
			candidates = append(candidates, h)
		}
		current[k]++
	}
	if len(candidates) == 0 {
		return nil
	}
	rank := func(h HostState) (exceedsMix bool, price float64) {
		o := cloud.Offer{FailureDomain: h.FailureDomain, Class: h.Class, Reclaimable: h.Reclaimable, PriceMicrosPerHour: h.PriceMicrosPerHour}
		k := HostKindOf(h.Host)
		return current[k] > mix[k], effectivePrice(o, s.Market.ReclaimsPerHour[h.FailureDomain], s.Spec.Preference)
	}
	selected := slices.MinFunc(candidates, func(a, b HostState) int {
		exceedsA, priceA := rank(a)
		exceedsB, priceB := rank(b)
		return cmp.Or(
			compareBool(exceedsB, exceedsA),
			cmp.Compare(priceB, priceA),
			compareBool(b.IsIdle, a.IsIdle),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return []string{selected.Name}
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
