package route

import (
	"sync/atomic"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
)

// Routing policies. PolicyPredicted is the default; the others serve as baselines in benchmarks.
const (
	PolicyPredicted   = "predicted"
	PolicyLeastLoaded = "least-loaded"
	PolicyRoundRobin  = "round-robin"
)

const (
	// loadBoundFactor is the largest load of a dispatcher as a multiple of the mean load (consistent hashing with bounded
	// loads, Mirrokni, Thorup and Zadimoghaddam, 2018).
	loadBoundFactor = 1.1
	// minLoadBoundShare is the share of a dispatcher's slots that the load bound never goes below: while its runners have
	// free slots, prefix cache hits are worth more than an even load. With 0.5 the dispatchers of popular prefixes queued
	// requests while others had free slots.
	minLoadBoundShare = 0.2
	// similarWaitMillis is the largest difference between scores that count as equal; digests are no more precise.
	similarWaitMillis = 50
	// recomputeWeightMillis and costWeightMillis are the penalties, in milliseconds of predicted wait at a preference of 1,
	// for a dispatcher with reclaimable runners only (long requests) and for the most expensive one (other requests).
	recomputeWeightMillis = 150
	costWeightMillis      = 50
)

// Request holds the properties of a request that the selection of a dispatcher depends on.
type Request struct {
	Deployment string
	Class      limit.Class
	Preference object.Preference
	Excluded   map[string]bool // names of dispatchers that failed or rejected the request
}

// Router selects dispatchers according to a policy. It is safe for concurrent use.
type Router struct {
	Policy          string
	Digests         *DigestStore
	roundRobinIndex atomic.Uint64
}

// NewRouter returns a router with an empty digest store.
func NewRouter(policy string) *Router { return &Router{Policy: policy, Digests: NewDigestStore()} }

// Choose selects the dispatcher for a request and counts the request in the digest store. Unless the policy is
// PolicyRoundRobin, it returns the first candidate as long as there are no digests. It returns false if all candidates are
// excluded.
func (r *Router) Choose(candidates []membership.Node, request Request) (Choice, bool) {
	digests := r.Digests.ForDeployment(request.Deployment)
	choice, found := selectByPolicy(r.Policy, candidates, digests, request, r.roundRobinIndex.Add(1))
	if found {
		r.Digests.RecordAssignment(choice.Node, request.Deployment)
	}
	return choice, found
}

// selectByPolicy selects one of the ranked dispatchers that are not excluded; false if there is none.
func selectByPolicy(policy string, ranked []membership.Node, digests map[string]Digest, request Request, roundRobinIndex uint64) (Choice, bool) {
	var allowed []membership.Node
	for _, n := range ranked {
		if !request.Excluded[n.Name] {
			allowed = append(allowed, n)
		}
	}
	if len(allowed) == 0 {
		return Choice{}, false
	}
	node, reason := allowed[0], "first by rendezvous hash"
	switch {
	case policy == PolicyRoundRobin:
		node, reason = membership.Rank("", allowed)[roundRobinIndex%uint64(len(allowed))], PolicyRoundRobin
	case len(digests) == 0:
	case policy == PolicyLeastLoaded:
		node, reason = selectLeastLoaded(allowed, digests), PolicyLeastLoaded
	default:
		node, reason = selectPredicted(allowed, digests, request)
	}
	return Choice{Node: node, Reason: reason, RejectedCount: len(ranked) - 1}, true
}

// selectLeastLoaded returns the dispatcher with the smallest share of used slots.
func selectLeastLoaded(nodes []membership.Node, digests map[string]Digest) membership.Node {
	best := nodes[0]
	for _, n := range nodes[1:] {
		if usedSlots(digestFor(digests, n))*slotCapacity(digestFor(digests, best)) <
			usedSlots(digestFor(digests, best))*slotCapacity(digestFor(digests, n)) {
			best = n
		}
	}
	return best
}

// usedSlots returns the used slots of a dispatcher, including the requests sent to it since its digest was created.
func usedSlots(d Digest) float64 {
	if d.LoadDigest == nil {
		return 0
	}
	return float64(int(d.Slots)-int(d.FreeSlots)) + float64(d.AssignedRequests)
}

// slotCapacity returns the number of slots of a dispatcher, at least 1.
func slotCapacity(d Digest) float64 {
	if d.LoadDigest == nil {
		return 1
	}
	return float64(max(1, d.Slots))
}

// selectPredicted returns, of the dispatchers within the load bound whose score is close to the lowest, the first by
// rendezvous hash. The failure domain of the entry node is not considered: a dispatcher in the same failure domain would
// save about 1 ms of one-way latency, but copies of a request that crashes backend servers would go from different entry
// nodes to different dispatchers, and each of these could lose a runner.
func selectPredicted(ranked []membership.Node, digests map[string]Digest, request Request) (membership.Node, string) {
	similar := withSimilarScore(withinLoadBound(ranked, digests), digests, request)
	return similar[0], "first by rendezvous hash within bound and similar wait"
}

// withinLoadBound returns the dispatchers whose load with one more request is within the bound, or all if none is.
func withinLoadBound(ranked []membership.Node, digests map[string]Digest) []membership.Node {
	totalUsed, totalSlots := 1.0, 0.0
	for _, n := range ranked {
		totalUsed += usedSlots(digestFor(digests, n))
		totalSlots += slotCapacity(digestFor(digests, n))
	}
	var underBound []membership.Node
	for _, n := range ranked {
		d := digestFor(digests, n)
		bound := max(loadBoundFactor*totalUsed*slotCapacity(d)/totalSlots, minLoadBoundShare*slotCapacity(d))
		if usedSlots(d)+1 <= bound {
			underBound = append(underBound, n)
		}
	}
	if len(underBound) == 0 {
		return ranked
	}
	return underBound
}

// withSimilarScore returns the dispatchers whose score exceeds the lowest by at most similarWaitMillis, in the given order.
func withSimilarScore(nodes []membership.Node, digests map[string]Digest, request Request) []membership.Node {
	highestPrice := int64(1)
	for _, n := range nodes {
		if d := digestFor(digests, n); d.LoadDigest != nil {
			highestPrice = max(highestPrice, d.PriceMicrosPerHour)
		}
	}
	scores := make([]float64, len(nodes))
	best := 0
	for i, n := range nodes {
		scores[i] = score(digestFor(digests, n), request, highestPrice)
		if scores[i] < scores[best] {
			best = i
		}
	}
	var similar []membership.Node
	for i, n := range nodes {
		if scores[i] <= scores[best]+similarWaitMillis {
			similar = append(similar, n)
		}
	}
	return similar
}

// score returns the predicted wait in milliseconds plus the penalty for reclaim risk (long requests) or price (other
// requests). A dispatcher without a digest scores 0: it has just started and its runners are likely idle.
func score(d Digest, request Request, highestPrice int64) float64 {
	if d.LoadDigest == nil {
		return 0
	}
	millis := float64(d.PredictedWaitMs)
	if request.Class == limit.ClassLong {
		risk := float64(d.ReclaimableRunners) / float64(max(1, d.Runners))
		return millis + recomputeWeightMillis*request.Preference.RecomputedTokens*risk
	}
	return millis + costWeightMillis*request.Preference.Cost*float64(d.PriceMicrosPerHour)/float64(highestPrice)
}
