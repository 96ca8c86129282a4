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

// steadyLoad returns a load that has not changed for a while.
func steadyLoad(busyRunners float64) Load {
	return Load{Peak: busyRunners, Sustained: busyRunners}
}

func totalRunners(targets []DomainTarget) (onDemand, reclaimable int) {
	for _, t := range targets {
		onDemand += t.OnDemand
		reclaimable += t.Reclaimable
	}
	return onDemand, reclaimable
}

// TestOnDemandRunnersStayUntilReclaimableRunnersServe guards against releasing on-demand runners before the reclaimable
// runners that replace them serve.
func TestOnDemandRunnersStayUntilReclaimableRunnersServe(t *testing.T) {
	onDemand, reclaimable := totalRunners(PlanRunners(threeDomains(6, 0), steadyLoad(0), 18, testBounds))
	if onDemand != 18 || reclaimable != 18 {
		t.Fatalf("before the reclaimable runners serve: %d on demand, %d reclaimable, want 18 and 18", onDemand, reclaimable)
	}
	onDemand, reclaimable = totalRunners(PlanRunners(threeDomains(6, 6), steadyLoad(0), 18, testBounds))
	if onDemand != 0 || reclaimable != 18 {
		t.Fatalf("after the reclaimable runners serve: %d on demand, %d reclaimable, want 0 and 18", onDemand, reclaimable)
	}
}

// TestLossOfOneFailureDomainLeavesEnoughRunners guards against a plan with too few runners for the load when all
// reclaimable runners of one failure domain are reclaimed, before any new runner is ordered.
func TestLossOfOneFailureDomainLeavesEnoughRunners(t *testing.T) {
	for busyRunners := 0.5; busyRunners <= 9; busyRunners += 0.5 {
		targets := PlanRunners(threeDomains(0, 0), steadyLoad(busyRunners), 0, testBounds)
		_, reclaimable := totalRunners(targets)
		for _, lost := range targets {
			if left := float64(reclaimable - lost.Reclaimable); left < busyRunners {
				t.Fatalf("load of %.1f busy runners: only %.0f reclaimable runners are left without failure domain %s", busyRunners, left, lost.Name)
			}
		}
	}
}

// TestOnDemandRunnersStartInCheapestFailureDomainFirst guards against a wrong distribution of on-demand runners when no
// reclaimable runner serves in any failure domain: they must carry the load, fill the cheapest failure domain first and
// stay within the bounds.
func TestOnDemandRunnersStartInCheapestFailureDomainFirst(t *testing.T) {
	targets := PlanRunners(threeDomains(0, 0), steadyLoad(9), 0, testBounds)
	if targets[0].Name != "b" || targets[0].OnDemand != 12 {
		t.Fatalf("first target %+v, want 12 on-demand runners in failure domain b", targets[0])
	}
	onDemand, _ := totalRunners(targets)
	if onDemand < 9 {
		t.Fatalf("%d on-demand runners for a load of 9 busy runners", onDemand)
	}
	for _, target := range targets {
		if target.OnDemand > testBounds.Max {
			t.Fatalf("target %+v exceeds the maximum of %d on-demand runners", target, testBounds.Max)
		}
	}
}

// TestOnDemandRunnersServeAloneWithoutReclaimableOnes guards against a plan with reclaimable runners for a service that
// has none, and against one with too few on-demand runners instead.
func TestOnDemandRunnersServeAloneWithoutReclaimableOnes(t *testing.T) {
	onDemand, reclaimable := totalRunners(PlanRunners(threeDomains(2, 0), steadyLoad(6), 0, DomainBounds{Min: 1, Max: 12}))
	if reclaimable != 0 || onDemand < 9 {
		t.Fatalf("%d on demand, %d reclaimable, want at least 9 and 0", onDemand, reclaimable)
	}
}
