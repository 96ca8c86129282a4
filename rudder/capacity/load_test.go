package capacity

import (
	"testing"
	"time"
)

// measure adds one measurement each 250 ms, as the planner does, and returns the load after each.
func measure(h *LoadHistory, busyRunners ...float64) []Load {
	at := time.Unix(1000, 0)
	if len(h.samples) > 0 {
		at = h.samples[len(h.samples)-1].at
	}
	var loads []Load
	for _, busy := range busyRunners {
		at = at.Add(250 * time.Millisecond)
		loads = append(loads, h.Add(busy, at))
	}
	return loads
}

func repeat(busyRunners float64, d time.Duration) []float64 {
	list := make([]float64, d/(250*time.Millisecond))
	for i := range list {
		list[i] = busyRunners
	}
	return list
}

// Guards against on-demand runners being ordered for single measurements that are high, while reclaimable ones cost little.
func TestShortPeakOrdersNoOnDemandRunners(t *testing.T) {
	var h LoadHistory
	measure(&h, repeat(30, 5*time.Second)...)
	for _, load := range measure(&h, repeat(75, 500*time.Millisecond)...) {
		if load.Sustained != 30 {
			t.Fatalf("load %+v during a peak of 0.5 s, want a sustained load of 30", load)
		}
		// 130 reclaimable runners carry twice the sustained load.
		domains := []DomainState{{Name: "a", Reclaimable: 50}, {Name: "b", Reclaimable: 40}, {Name: "c", Reclaimable: 40}}
		onDemand, reclaimable := totalRunners(PlanRunners(domains, load, 0, DomainBounds{Max: 76, SpotPriceRatio: 0.18}))
		if onDemand != 0 || reclaimable < 150 {
			t.Fatalf("%d on demand, %d reclaimable for %+v, want none and at least 150", onDemand, reclaimable, load)
		}
	}
}

// Guards against a load that lasts, as after a jump of the traffic, not being served by on-demand runners.
func TestSustainedLoadOrdersOnDemandRunners(t *testing.T) {
	var h LoadHistory
	measure(&h, repeat(30, 5*time.Second)...)
	loads := measure(&h, repeat(75, time.Second)...)
	if last := loads[len(loads)-1]; last.Sustained != 75 {
		t.Fatalf("load %+v after 1 s at 75, want it sustained", last)
	}
}

// Guards against on-demand runners being given back and ordered again: a load that varies within seconds keeps those that
// serve.
func TestVaryingLoadKeepsOnDemandRunners(t *testing.T) {
	var h LoadHistory
	domains := []DomainState{{Name: "a", OnDemand: 60}, {Name: "b", Reclaimable: 40}, {Name: "c"}}
	for range 5 {
		measure(&h, repeat(60, 2*time.Second)...)
		for _, load := range measure(&h, repeat(40, 2*time.Second)...) {
			for _, target := range PlanRunners(domains, load, 0, DomainBounds{Max: 76, SpotPriceRatio: 0.18}) {
				if target.Name == "a" && target.OnDemandLimit < 60 {
					t.Fatalf("%+v for %+v, want at least 60 on-demand runners kept", target, load)
				}
				if target.OnDemandLimit < target.OnDemand {
					t.Fatalf("%+v: limit below the target", target)
				}
			}
		}
	}
}

// Guards against a lower load being served by too many runners for long.
func TestLoadForgetsPeaks(t *testing.T) {
	var h LoadHistory
	measure(&h, repeat(75, 2*time.Second)...)
	loads := measure(&h, repeat(20, 9*time.Second)...)
	if after := loads[16]; after.Sustained != 20 || after.Peak != 75 {
		t.Errorf("load %+v 4.25 s after a peak, want a sustained load of 20 and a peak of 75", after)
	}
	if after := loads[len(loads)-1]; after.Peak != 20 {
		t.Errorf("load %+v 9 s after a peak, want a peak of 20", after)
	}
}
