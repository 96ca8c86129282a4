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
	FreeSlots     int // negative if the number is not known
}

// AssignTargets assigns a host to each run, in order. reclaimDomains are the failure domains in which hosts are being
// reclaimed; their hosts are used only if there are no others. Full hosts elsewhere are preferred to them, because a run
// that waits for a slot costs less than one that moves twice. Hosts that are not known to be full come first; runs are
// spread evenly over failure domains and then over hosts. AssignTargets returns nil if there are no candidates. Hosts with a
// notice must not be among the candidates.
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

// slotRank returns 1 for a host that is known to have no free slot left, and 0 for any other.
func slotRank(t Target, assigned int) int {
	if t.FreeSlots >= 0 && assigned >= t.FreeSlots {
		return 1
	}
	return 0
}
