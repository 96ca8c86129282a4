package capacity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/internal/rapidtest"
	"chestnutrudder.example/rudder/object"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1") }

func offer(domain string, reclaimable bool, price int64) cloud.Offer {
	return cloud.Offer{FailureDomain: domain, Class: "gpu-small", Reclaimable: reclaimable, PriceMicrosPerHour: price}
}

func threeDomainMarket() Market {
	return Market{Offers: []cloud.Offer{
		offer("marikina", true, 900_000), offer("pasig", true, 800_000), offer("antipolo", true, 1_000_000),
		offer("marikina", false, 2_500_000), offer("pasig", false, 2_500_000), offer("antipolo", false, 2_500_000),
	}}
}

var spec = object.DeploymentSpec{MinRunners: 3, MaxRunners: 18, Preference: object.Preference{Cost: 0.7, RecomputedTokens: 0.3}}

// TestChooseMixReturnsCheapestSufficientMix guards against a mix that falls below the requirement in a reclaim wave, and
// against one that costs more than another mix that meets the requirement. It compares with an exhaustive search of
// small mixes.
func TestChooseMixReturnsCheapestSufficientMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		market := Market{ReclaimsPerHour: map[string]float64{}}
		domains := []string{"marikina", "pasig", "antipolo"}
		for _, domain := range domains {
			market.Offers = append(market.Offers, offer(domain, true, rapid.Int64Range(1, 20).Draw(t, "price")))
		}
		market.Offers = append(market.Offers, offer("pasig", false, rapid.Int64Range(1, 60).Draw(t, "on-demand price")))
		total := rapid.IntRange(1, 5).Draw(t, "normal")
		required := Requirement{Total: total, AfterLargestLoss: rapid.IntRange(1, total).Draw(t, "surviving")}
		preference := object.Preference{Cost: 1}
		mix := ChooseMix(required, market, preference)
		if mix.Total() < required.Total || mix.AfterLargestLoss() < required.AfterLargestLoss {
			t.Fatalf("mix %v does not meet %+v", mix, required)
		}
		lowestCost := math.Inf(1)
		const countsPerKind = 7
		for encoded := range countsPerKind * countsPerKind * countsPerKind * countsPerKind {
			candidate := Mix{}
			remaining := encoded
			for _, o := range market.Offers {
				candidate[HostKind{o.FailureDomain, o.Class, o.Reclaimable}] = remaining % countsPerKind
				remaining /= countsPerKind
			}
			if candidate.Total() >= required.Total && candidate.AfterLargestLoss() >= required.AfterLargestLoss {
				lowestCost = min(lowestCost, market.cost(candidate, preference))
			}
		}
		if cost := market.cost(mix, preference); cost > lowestCost {
			t.Fatalf("mix %v costs %.0f, the cheapest sufficient one costs %.0f", mix, cost, lowestCost)
		}
	})
}

// TestDecideConverges guards against starting and draining hosts without end and against never reaching the requirement:
// with a constant load, the decisions must come to an end at a mix that meets the requirement, whatever starts the cloud
// refuses before.
func TestDecideConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DeploymentState{Spec: spec, SlotsPerRunner: 16, Market: threeDomainMarket()}
		s.BusySlots = rapid.Float64Range(0, 200).Draw(t, "busy")
		for i := range rapid.IntRange(0, 20).Draw(t, "hosts") {
			o := rapid.SampledFrom(s.Market.Offers).Draw(t, "host")
			s.Hosts = append(s.Hosts, HostState{Host: cloud.Host{
				Name: fmt.Sprint("old-", i), FailureDomain: o.FailureDomain, Class: o.Class, Reclaimable: o.Reclaimable, PriceMicrosPerHour: o.PriceMicrosPerHour,
			}})
		}
		refusals := rapid.IntRange(0, 10).Draw(t, "refusals")
		stableDecisions := 0
		for step := 0; stableDecisions < 3; step++ {
			if step > 200 {
				t.Fatalf("Decide still orders changes after %d decisions: %+v", step, Decide(s))
			}
			d := Decide(s)
			stableDecisions++
			if len(d.Start)+len(d.Drain)+len(d.Release) > 0 {
				stableDecisions = 0
			}
			s.SurplusDuration = 0
			if d.HasSurplus {
				s.SurplusDuration = surplusDelay
				stableDecisions = 0
			}
			applyDecision(&s, d, step, &refusals)
		}
		required := RequirementFor(s.BusySlots, s.SlotsPerRunner, s.Spec)
		if mix := currentMix(s); mix.Total() < required.Total || mix.AfterLargestLoss() < required.AfterLargestLoss {
			t.Fatalf("decisions end at mix %v, which does not meet %+v", mix, required)
		}
	})
}

// applyDecision changes the state as the cloud would: it refuses starts while refusals are left, and drained hosts are
// idle at once.
func applyDecision(s *DeploymentState, d Decision, step int, refusals *int) {
	for i, k := range d.Start {
		if *refusals > 0 {
			*refusals--
			continue
		}
		price := int64(0)
		for _, o := range s.Market.Offers {
			if k == (HostKind{o.FailureDomain, o.Class, o.Reclaimable}) {
				price = o.PriceMicrosPerHour
			}
		}
		s.Hosts = append(s.Hosts, HostState{Host: cloud.Host{
			Name: fmt.Sprintf("new-%d-%d", step, i), FailureDomain: k.FailureDomain, Class: k.Class, Reclaimable: k.Reclaimable, PriceMicrosPerHour: price,
		}})
	}
	released := map[string]bool{}
	for _, name := range d.Release {
		released[name] = true
	}
	kept := s.Hosts[:0]
	for _, h := range s.Hosts {
		for _, name := range d.Drain {
			if h.Name == name {
				h.IsLeaving, h.IsIdle = true, true
			}
		}
		if !released[h.Name] {
			kept = append(kept, h)
		}
	}
	s.Hosts = kept
}

// TestRefusedKindIsNotRetriedDuringBackoff guards against a loop that keeps asking for a refused kind instead of others.
func TestRefusedKindIsNotRetriedDuringBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRefusalBackoffs()
	refusedKind := HostKind{"pasig", "gpu-small", true}
	r.recordRefusal(refusedKind, now)
	domains := map[string]bool{"marikina": true, "pasig": true, "antipolo": true}
	eligible := r.eligibleOffers(threeDomainMarket().Offers, domains, map[string]bool{"gpu-small": true}, now.Add(time.Second))
	if len(eligible) != 5 {
		t.Fatalf("%d offers are eligible during the backoff, expected 5", len(eligible))
	}
	mix := ChooseMix(Requirement{Total: 9, AfterLargestLoss: 6}, Market{Offers: eligible}, spec.Preference)
	if mix[refusedKind] != 0 || mix.Total() < 9 {
		t.Errorf("mix %v, expected 9 hosts and none of the refused kind", mix)
	}
	eligibleLater := r.eligibleOffers(threeDomainMarket().Offers, domains, map[string]bool{"gpu-small": true}, now.Add(time.Minute))
	if len(eligibleLater) != 6 {
		t.Errorf("%d offers are eligible after the backoff, expected 6", len(eligibleLater))
	}
}

// BenchmarkChooseMix measures the choice of a mix for a large deployment: 200 hosts in 22 failure domains.
func BenchmarkChooseMix(b *testing.B) {
	market := Market{}
	for i := range 22 {
		market.Offers = append(market.Offers, offer(fmt.Sprint("domain-", i), true, int64(800_000+10_000*i)), offer(fmt.Sprint("domain-", i), false, 2_500_000))
	}
	for b.Loop() {
		ChooseMix(Requirement{Total: 200, AfterLargestLoss: 150}, market, spec.Preference)
	}
}
