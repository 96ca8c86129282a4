package capacity

import (
	"cmp"
	"math"
	"slices"
)

const (
	// normalBusy is the part of their time that runners should be busy: above it prompts that arrive together wait for
	// each other longer than the objective of the first token allows.
	normalBusy = 0.35
	// survivingBusy may be reached while the reclaimable runners of one failure domain are missing.
	survivingBusy = 0.4
	// fillBusy is where on-demand runners, which cost several times as much, fill in for missing ones.
	fillBusy = 0.5
)

// ZoneState is a service's runners in one failure domain.
type ZoneState struct {
	Name        string
	Price       float64 // of an on-demand runner for each second
	OnDemand    int     // that serve
	Reclaimable int     // that serve
	Unavailable bool    // reclaimable runners were refused or reclaimed there a short while ago
}

// ZoneBounds bound the runners of both kinds together in each failure domain.
type ZoneBounds struct {
	Min, Max  int
	SpotPrice float64 // of a reclaimable runner as a share of the other kind's; 0 means that there are none
}

// ZoneTarget is the number of runners of each kind that a failure domain should have.
type ZoneTarget struct {
	Name        string
	OnDemand    int
	Reclaimable int
}

// PlanZones spreads the runners that a load needs over the failure domains. busy is the load in runners that work all the
// time, floor a number of runners to keep whatever the load. Reclaimable runners are spread so that the rest carries the
// load when one failure domain loses all of them. On-demand runners fill in what is missing now and go when it is there.
func PlanZones(zones []ZoneState, busy float64, floor int, b ZoneBounds) []ZoneTarget {
	if len(zones) == 0 {
		return nil
	}
	zones = slices.Clone(zones)
	slices.SortFunc(zones, func(x, y ZoneState) int { return cmp.Or(cmp.Compare(x.Price, y.Price), cmp.Compare(x.Name, y.Name)) })
	normal := max(int(math.Ceil(busy/normalBusy)), floor)
	surviving := int(math.Ceil(busy / survivingBusy))
	targets := make([]ZoneTarget, len(zones))
	serving := 0
	for i, z := range zones {
		targets[i] = ZoneTarget{Name: z.Name}
		if b.SpotPrice > 0 && b.SpotPrice < 1 {
			targets[i].Reclaimable = reclaimableForZone(len(zones), normal, surviving, b)
		}
		serving += z.Reclaimable
	}
	if b.SpotPrice > 0 && b.SpotPrice < 1 {
		// Every failure domain has its reclaimable runners; on-demand ones replace those that are not there.
		normal = max(int(math.Ceil(busy/fillBusy)), floor)
	}
	fillOnDemand(targets, zones, normal-serving, b)
	return targets
}

// reclaimableForZone returns the reclaimable runners of each failure domain.
func reclaimableForZone(zones, normal, surviving int, b ZoneBounds) int {
	n := ceilDiv(normal, zones)
	if zones > 1 {
		n = max(n, ceilDiv(surviving, zones-1))
	}
	return min(max(n, b.Min), b.Max)
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// fillOnDemand spreads on-demand runners over the failure domains: those that serve stay, further ones start where they
// are cheapest. The targets are in the order of price.
func fillOnDemand(targets []ZoneTarget, zones []ZoneState, missing int, b ZoneBounds) {
	for i := range targets {
		if targets[i].Reclaimable < b.Min {
			targets[i].OnDemand = b.Min - targets[i].Reclaimable
			missing -= targets[i].OnDemand
		}
	}
	for _, present := range []bool{true, false} {
		for i := range targets {
			room := b.Max - zones[i].Reclaimable
			if present {
				room = min(room, zones[i].OnDemand)
			}
			add := min(missing, room-targets[i].OnDemand)
			if add > 0 {
				targets[i].OnDemand += add
				missing -= add
			}
		}
	}
}
