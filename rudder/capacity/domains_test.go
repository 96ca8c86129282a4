package capacity

import "testing"

var testBounds = DomainBounds{Min: 1, Max: 12, SpotPriceRatio: 0.18}

func threeDomains(onDemand, reclaimable int) []DomainState {
	return []DomainState{
		{Name: "a", Price: 1.2, OnDemand: onDemand, Reclaimable: reclaimable},
		{Name: "b", Price: 0.85, OnDemand: onDemand, Reclaimable: reclaimable},
		{Name: "c", Price: 1.0, OnDemand: onDemand, Reclaimable: reclaimable},
	}
}

func totalRunners(targets []DomainTarget) (onDemand, reclaimable int) {
	for _, t := range targets {
		onDemand += t.OnDemand
		reclaimable += t.Reclaimable
	}
	return onDemand, reclaimable
}

// On-demand runners must not be given back before the reclaimable ones serve that take their place.
func TestOnDemandRunnersStayUntilReclaimableRunnersServe(t *testing.T) {
	onDemand, reclaimable := totalRunners(PlanRunners(threeDomains(6, 0), 0, 18, testBounds))
	if onDemand != 18 || reclaimable != 18 {
		t.Fatalf("before: %d on demand, %d reclaimable, want 18 and 18", onDemand, reclaimable)
	}
	onDemand, reclaimable = totalRunners(PlanRunners(threeDomains(6, 6), 0, 18, testBounds))
	if onDemand != 0 || reclaimable != 18 {
		t.Fatalf("after: %d on demand, %d reclaimable, want 0 and 18", onDemand, reclaimable)
	}
}

// A reclaim of a whole failure domain must leave enough runners for the load without any order.
func TestLossOfOneFailureDomainLeavesEnoughRunners(t *testing.T) {
	for busyRunners := 0.5; busyRunners <= 9; busyRunners += 0.5 {
		targets := PlanRunners(threeDomains(0, 0), busyRunners, 0, testBounds)
		_, reclaimable := totalRunners(targets)
		for _, lost := range targets {
			if left := float64(reclaimable - lost.Reclaimable); left < busyRunners {
				t.Fatalf("load of %.1f runners: %.0f are left without %s", busyRunners, left, lost.Name)
			}
		}
	}
}

// When all failure domains are reclaimed at once and reclaimable runners are refused, on-demand ones must take over in the
// cheapest failure domain first, within the bounds.
func TestOnDemandRunnersStartInCheapestFailureDomainFirst(t *testing.T) {
	targets := PlanRunners(threeDomains(0, 0), 9, 0, testBounds)
	if targets[0].Name != "b" || targets[0].OnDemand != 12 {
		t.Fatalf("first target %+v, want 12 on demand in b", targets[0])
	}
	onDemand, _ := totalRunners(targets)
	if onDemand < 9 {
		t.Fatalf("%d on demand for a load of 9", onDemand)
	}
	for _, target := range targets {
		if target.OnDemand > testBounds.Max {
			t.Fatalf("%+v exceeds the bound of %d", target, testBounds.Max)
		}
	}
}

// Deployments without reclaimable runners must be served by on-demand ones only.
func TestOnDemandRunnersServeAloneWithoutReclaimableOnes(t *testing.T) {
	onDemand, reclaimable := totalRunners(PlanRunners(threeDomains(2, 0), 6, 0, DomainBounds{Min: 1, Max: 12}))
	if reclaimable != 0 || onDemand < 9 {
		t.Fatalf("%d on demand, %d reclaimable, want at least 9 and 0", onDemand, reclaimable)
	}
}
