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

func duwendeMarket() Market {
	return Market{Offers: []cloud.Offer{
		offer("marikina", true, 900_000), offer("pasig", true, 800_000), offer("antipolo", true, 1_000_000),
		offer("marikina", false, 2_500_000), offer("pasig", false, 2_500_000), offer("antipolo", false, 2_500_000),
	}}
}

var spec = object.DeploymentSpec{MinRunners: 3, MaxRunners: 18, Preference: object.Preference{Cost: 0.7, RecomputedTokens: 0.3}}

// TestMixIsCheapestThatSurvives guards against a mix that falls below the need in a reclaim wave, and against one that
// costs more than another mix that meets the need. The oracle tries every mix of small fleets.
func TestMixIsCheapestThatSurvives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		market := Market{ReclaimsPerHour: map[string]float64{}}
		domains := []string{"marikina", "pasig", "antipolo"}
		for _, domain := range domains {
			market.Offers = append(market.Offers, offer(domain, true, rapid.Int64Range(1, 20).Draw(t, "price")))
		}
		market.Offers = append(market.Offers, offer("pasig", false, rapid.Int64Range(1, 60).Draw(t, "on-demand price")))
		normal := rapid.IntRange(1, 5).Draw(t, "normal")
		need := Need{Normal: normal, Surviving: rapid.IntRange(1, normal).Draw(t, "surviving")}
		preference := object.Preference{Cost: 1}
		mix := ChooseMix(need, market, preference)
		if mix.Total() < need.Normal || mix.AfterLargestLoss() < need.Surviving {
			t.Fatalf("mix %v does not meet %+v", mix, need)
		}
		best := math.Inf(1)
		const most = 7
		for code := range most * most * most * most {
			candidate := Mix{}
			rest := code
			for _, o := range market.Offers {
				candidate[Kind{o.FailureDomain, o.Class, o.Reclaimable}] = rest % most
				rest /= most
			}
			if candidate.Total() >= need.Normal && candidate.AfterLargestLoss() >= need.Surviving {
				best = min(best, market.price(candidate, preference))
			}
		}
		if price := market.price(mix, preference); price > best {
			t.Fatalf("mix %v costs %.0f, the cheapest costs %.0f", mix, price, best)
		}
	})
}

// TestDecideConverges guards against flapping and against a fleet that never reaches its need: with a constant load, the
// loop that obeys Decide comes to rest at a mix that meets the need, whatever the cloud refuses on the way.
func TestDecideConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Situation{Spec: spec, SlotsPerRunner: 16, Market: duwendeMarket()}
		s.BusySlots = rapid.Float64Range(0, 200).Draw(t, "busy")
		for i := range rapid.IntRange(0, 20).Draw(t, "hosts") {
			o := rapid.SampledFrom(s.Market.Offers).Draw(t, "host")
			s.Hosts = append(s.Hosts, HostState{Host: cloud.Host{
				Name: fmt.Sprint("old-", i), FailureDomain: o.FailureDomain, Class: o.Class, Reclaimable: o.Reclaimable, PriceMicrosPerHour: o.PriceMicrosPerHour,
			}})
		}
		refusals := rapid.IntRange(0, 10).Draw(t, "refusals")
		quiet := 0
		for step := 0; quiet < 3; step++ {
			if step > 200 {
				t.Fatalf("no rest after %d decisions: %+v", step, Decide(s))
			}
			d := Decide(s)
			quiet++
			if len(d.Start)+len(d.Drain)+len(d.Release) > 0 {
				quiet = 0
			}
			s.SurplusFor = 0
			if d.Surplus {
				s.SurplusFor = surplusDelay
				quiet = 0
			}
			obey(&s, d, step, &refusals)
		}
		need := NeedFor(s.BusySlots, s.SlotsPerRunner, s.Spec)
		if mix := presentMix(s); mix.Total() < need.Normal || mix.AfterLargestLoss() < need.Surviving {
			t.Fatalf("came to rest at %v, which does not meet %+v", mix, need)
		}
	})
}

func obey(s *Situation, d Decision, step int, refusals *int) {
	for i, k := range d.Start {
		if *refusals > 0 {
			*refusals--
			continue
		}
		price := int64(0)
		for _, o := range s.Market.Offers {
			if k == (Kind{o.FailureDomain, o.Class, o.Reclaimable}) {
				price = o.PriceMicrosPerHour
			}
		}
		s.Hosts = append(s.Hosts, HostState{Host: cloud.Host{
			Name: fmt.Sprintf("new-%d-%d", step, i), FailureDomain: k.FailureDomain, Class: k.Class, Reclaimable: k.Reclaimable, PriceMicrosPerHour: price,
		}})
	}
	gone := map[string]bool{}
	for _, name := range d.Release {
		gone[name] = true
	}
	kept := s.Hosts[:0]
	for _, h := range s.Hosts {
		for _, name := range d.Drain {
			if h.Name == name {
				h.Leaving, h.Idle = true, true
			}
		}
		if !gone[h.Name] {
			kept = append(kept, h)
		}
	}
	s.Hosts = kept
}

// TestRefusedKindIsNotAskedAgainAtOnce guards against a loop that asks for the same refused kind instead of others.
func TestRefusedKindIsNotAskedAgainAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRefusals()
	refused := Kind{"pasig", "gpu-small", true}
	r.refused(refused, now)
	domains := map[string]bool{"marikina": true, "pasig": true, "antipolo": true}
	open := r.open(duwendeMarket().Offers, domains, map[string]bool{"gpu-small": true}, now.Add(time.Second))
	if len(open) != 5 {
		t.Fatalf("%d offers are open, expected 5", len(open))
	}
	mix := ChooseMix(Need{Normal: 9, Surviving: 6}, Market{Offers: open}, spec.Preference)
	if mix[refused] != 0 || mix.Total() < 9 {
		t.Errorf("mix %v, expected 9 hosts and none of the refused kind", mix)
	}
	later := r.open(duwendeMarket().Offers, domains, map[string]bool{"gpu-small": true}, now.Add(time.Minute))
	if len(later) != 6 {
		t.Errorf("%d offers are open after the pause, expected 6", len(later))
	}
}

// BenchmarkChooseMix measures a decision for a large deployment.
func BenchmarkChooseMix(b *testing.B) {
	market := Market{}
	for i := range 22 {
		market.Offers = append(market.Offers, offer(fmt.Sprint("domain-", i), true, int64(800_000+10_000*i)), offer(fmt.Sprint("domain-", i), false, 2_500_000))
	}
	for b.Loop() {
		ChooseMix(Need{Normal: 200, Surviving: 150}, market, spec.Preference)
	}
}
