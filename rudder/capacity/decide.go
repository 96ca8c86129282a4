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
	// surplusDelay is how long a surplus must last before a host is drained, so that a short drop of the load does not
	// cost the start of another host.
	surplusDelay = 2 * time.Minute
	// minSaving is the fraction of the price that a cheaper mix must save before running hosts are replaced. Each
	// replacement costs a start, the loading of weights and a cold prefix cache.
	minSaving = 0.15
	// maxStarts bounds the starts of one decision, so that the weight store and the cloud API are not overloaded.
	maxStarts = 4
)

// HostState is a started host with what the loop knows about it.
type HostState struct {
	cloud.Host
	IsLeaving bool // has a notice, from the cloud or for a drain, and takes no new work
	IsIdle    bool // nothing runs on it; known for leaving hosts only
}

// isAvailable reports whether the host serves, or will serve after its start.
func (h HostState) isAvailable() bool { return !h.IsLeaving }

// DeploymentState is the state of a deployment that a decision is based on.
type DeploymentState struct {
	Spec            object.DeploymentSpec
	SlotsPerRunner  int
	BusySlots       float64 // occupied or waited for, the highest number of the last minutes
	Hosts           []HostState
	PendingHosts    []HostKind // started, but not in the host list yet
	Market          Market
	SurplusDuration time.Duration // how long there have been more hosts than required
}

// Decision says which hosts a loop should start, drain and release now.
type Decision struct {
	Mix        Mix        // the cheapest mix that meets the requirement
	Start      []HostKind // one element for each host
	Drain      []string   // names of hosts
	Release    []string   // names of hosts
	Reason     string
	HasSurplus bool // a host can be drained without falling below the requirement
}

// Decide compares the hosts with the cheapest mix that meets the requirement. It starts missing hosts at once, drains a
// surplus host only after surplusDelay, and replaces running hosts with cheaper ones only if that saves more than
// minSaving.
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
		// The replacement is started first; the more expensive host then becomes a surplus.
		d.Start = firstKinds(missingKinds(mix, current), 1)
		d.Reason += "; a cheaper mix is offered"
	}
	return d
}

// currentMix returns the available and pending hosts by kind.
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

// releasableHosts returns the names of the leaving hosts on which nothing runs. Hosts that the cloud reclaims are among
// them, so that the rest of their notice period is not paid.
func releasableHosts(hosts []HostState) []string {
	var names []string
	for _, h := range hosts {
		if h.IsLeaving && h.IsIdle {
			names = append(names, h.Name)
		}
	}
	return names
}

// kindsToStart returns the kinds of the hosts to start now, one element for each host: those that the mix has and the
// current one lacks, until the requirement is met, at most maxStarts.
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

// missingKinds returns the kinds of the hosts that the mix has and the current one lacks, one element for each host. It
// takes one host of each kind in turn, reclaimable kinds first.
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

// isReplacementWorthwhile reports whether the mix saves more than minSaving over the current hosts. It is false while
// hosts are pending and if the mix has more hosts than there are now.
func isReplacementWorthwhile(s DeploymentState, mix, current Mix) bool {
	if len(s.PendingHosts) > 0 || mix.Total() > current.Total() {
		return false
	}
	currentCost := s.Market.cost(current, s.Spec.Preference)
	return currentCost > 0 && s.Market.cost(mix, s.Spec.Preference) < (1-minSaving)*currentCost
}

// surplusHost returns the name of the host to drain first, or nothing if none can be drained without falling below the
// requirement. Hosts of a kind that the mix has fewer of come first, then the most expensive, then idle ones. Without
// the first rule the loop would drain the host that it has just started as a replacement.
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
