package route

import (
	"sync/atomic"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
)

// Policies of routing. PolicyPredicted is the default, the others are baselines for measurements.
const (
	PolicyPredicted   = "predicted"
	PolicyLeastLoaded = "least-loaded"
	PolicyRoundRobin  = "round-robin"
)

const (
	// loadBoundFactor bounds the load of a dispatcher to this multiple of the mean (consistent hashing with bounded loads,
	// Mirrokni, Thorup and Zadimoghaddam, 2018).
	loadBoundFactor = 1.1
	// minLoadBoundShare: below this part of its slots a dispatcher is never over the bound, because its runners have room and
	// prefix caches are worth more than an even spread. With 0.5 the dispatchers of popular prefixes queued requests while
	// others had free slots.
	minLoadBoundShare = 0.2
	// similarWaitMillis: predicted waits that differ by less are the same within what digests can tell.
	similarWaitMillis = 50
	// recomputeWeightMillis and costMillis weigh reclaim risk and price against the predicted wait.
	recomputeWeightMillis = 150
	costWeightMillis      = 50
)

// Request is what the choice of a dispatcher depends on.
type Request struct {
	Deployment string
	Class      limit.Class
	Preference object.Preference
	Excluded   map[string]bool // dispatchers that failed or refused
}

// Router chooses dispatchers by a policy.
type Router struct {
	Policy          string
	Digests         *DigestStore
	roundRobinIndex atomic.Uint64
}

// NewRouter returns a router without digests.
func NewRouter(policy string) *Router { return &Router{Policy: policy, Digests: NewDigestStore()} }

// Choose picks the dispatcher for a request and counts it there. Without digests it takes the first candidate.
func (r *Router) Choose(candidates []membership.Node, request Request) (Choice, bool) {
	digests := r.Digests.ForDeployment(request.Deployment)
	choice, found := selectByPolicy(r.Policy, candidates, digests, request, r.roundRobinIndex.Add(1))
	if found {
		r.Digests.RecordAssignment(choice.Node, request.Deployment)
	}
	return choice, found
}

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

func selectLeastLoaded(nodes []membership.Node, digests map[string]Digest) membership.Node {
	best := nodes[0]
	for _, n := range nodes[1:] {
		if usedSlots(digestFor(digests, n))*slotCapacity(digestFor(digests, best)) < usedSlots(digestFor(digests, best))*slotCapacity(digestFor(digests, n)) {
			best = n
		}
	}
	return best
}

// usedSlots returns the runs at a dispatcher, with those that were sent there since the digest.
func usedSlots(d Digest) float64 {
	if d.LoadDigest == nil {
		return 0
	}
	return float64(int(d.Slots)-int(d.FreeSlots)) + float64(d.AssignedRequests)
}

func slotCapacity(d Digest) float64 {
	if d.LoadDigest == nil {
		return 1
	}
	return float64(max(1, d.Slots))
}

// selectPredicted takes, of the dispatchers within the load bound whose selectPredicted wait is close to the shortest, the first by
// rendezvous hash. The entry node's failure domain has no say: it would save one way of about 1 ms, but copies of a
// request that reach different entry nodes would go to different dispatchers, and each could lose a runner to them.
func selectPredicted(ranked []membership.Node, digests map[string]Digest, request Request) (membership.Node, string) {
	similar := withSimilarScore(withinLoadBound(ranked, digests), digests, request)
	return similar[0], "first by rendezvous hash within bound and similar wait"
}

// withinLoadBound returns the dispatchers whose load with one more request is within the bound, all if none is.
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

// score is the predicted wait in milliseconds with what price and reclaim risk are worth. A dispatcher without a digest
// gets 0: it has just started and its runners are likely free.
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
