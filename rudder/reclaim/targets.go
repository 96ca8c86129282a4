package reclaim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Target is a host that can take over runs.
type Target struct {
	Host          string
	FailureDomain string
	FreeSlots     int // free slots, negative if they are not known
}

// AssignTargets assigns a host to each run, in order. Hosts in failure domains without a current wave come first, also when
// they are full, because a run that waits for a slot there is cheaper than one that moves twice. Among those, runs are
// spread evenly over failure domains and then over hosts; hosts with a known free slot come before others. It returns
// nothing if there are no hosts. Hosts with a notice must not be among the candidates.
func AssignTargets(runs []string, candidates []Target, reclaimDomains map[string]bool) map[string]Target {
	preferred := slices.DeleteFunc(slices.Clone(candidates), func(t Target) bool { return reclaimDomains[t.FailureDomain] })
	if len(preferred) == 0 {
		preferred = slices.Clone(candidates)
	}
	if len(preferred) == 0 {
		return nil
	}
	chosen := make(map[string]Target, len(runs))
	byDomain, byHost := map[string]int{}, map[string]int{}
	for _, run := range runs {
		best := slices.MinFunc(preferred, func(a, b Target) int {
			return cmp.Or(
				cmp.Compare(slotRank(a, byHost[a.Host]), slotRank(b, byHost[b.Host])),
				cmp.Compare(byDomain[a.FailureDomain], byDomain[b.FailureDomain]),
				cmp.Compare(byHost[a.Host], byHost[b.Host]),
				// Dispatchers that move runs at the same time do not know of each other's choices.
				cmp.Compare(xxhash.Sum64String(run+a.Host), xxhash.Sum64String(run+b.Host)),
			)
		})
		byDomain[best.FailureDomain]++
		byHost[best.Host]++
		chosen[run] = best
	}
	return chosen
}

// slotRank is 1 for a host that is known to have no free slot left.
func slotRank(t Target, assigned int) int {
	if t.FreeSlots >= 0 && assigned >= t.FreeSlots {
		return 1
	}
	return 0
}
