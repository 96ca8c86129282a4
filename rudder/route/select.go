package route

import (
	"sync/atomic"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
)

// Policies of routing. Predicted is the default, the others are baselines for measurements.
const (
	Predicted   = "predicted"
	LeastLoaded = "least-loaded"
	RoundRobin  = "round-robin"
)

const (
	// loadFactor bounds the load of a dispatcher to this multiple of the mean (consistent hashing with bounded loads,
	// Mirrokni, Thorup and Zadimoghaddam, 2018).
	loadFactor = 1.1
	// spillFrom: below this part of its slots a dispatcher is never over the bound, because its runners have room and
	// prefix caches are worth more than an even spread. With 0.5 the dispatchers of popular prefixes queued requests while
	// others had free slots.
	spillFrom = 0.2
	// similarMillis: predicted waits that differ by less are the same within what digests can tell.
	similarMillis = 50
	// recomputeMillis and costMillis weigh reclaim risk and price against the predicted wait.
	recomputeMillis = 150
	costMillis      = 50
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
	Policy  string
	Digests *Digests
	turn    atomic.Uint64
}

// NewRouter returns a router without digests.
func NewRouter(policy string) *Router { return &Router{Policy: policy, Digests: NewDigests()} }

// Choose picks the dispatcher for a request and counts it there. Without digests it takes the first candidate.
func (r *Router) Choose(candidates []membership.Node, request Request) (Choice, bool) {
	digests := r.Digests.For(request.Deployment)
	choice, found := choose(r.Policy, candidates, digests, request, r.turn.Add(1))
	if found {
		r.Digests.Assign(choice.Node, request.Deployment)
	}
	return choice, found
}

func choose(policy string, ranked []membership.Node, digests map[string]Digest, request Request, turn uint64) (Choice, bool) {
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
	case policy == RoundRobin:
		node, reason = membership.Rank("", allowed)[turn%uint64(len(allowed))], RoundRobin
	case len(digests) == 0:
	case policy == LeastLoaded:
		node, reason = leastLoaded(allowed, digests), LeastLoaded
	default:
		node, reason = predicted(allowed, digests, request)
	}
	return Choice{Node: node, Reason: reason, Rejected: len(ranked) - 1}, true
}

func leastLoaded(nodes []membership.Node, digests map[string]Digest) membership.Node {
	best := nodes[0]
	for _, n := range nodes[1:] {
		if used(of(digests, n))*capacity(of(digests, best)) < used(of(digests, best))*capacity(of(digests, n)) {
			best = n
		}
	}
	return best
}

// used returns the runs at a dispatcher, with those that were sent there since the digest.
func used(d Digest) float64 {
	if d.LoadDigest == nil {
		return 0
	}
	return float64(int(d.Slots)-int(d.FreeSlots)) + float64(d.Assigned)
}

func capacity(d Digest) float64 {
	if d.LoadDigest == nil {
		return 1
	}
	return float64(max(1, d.Slots))
}

// predicted takes, of the dispatchers within the load bound whose predicted wait is close to the shortest, the first by
// rendezvous hash. The entry node's failure domain has no say: it would save one way of about 1 ms, but copies of a
// request that reach different entry nodes would go to different dispatchers, and each could lose a runner to them.
func predicted(ranked []membership.Node, digests map[string]Digest, request Request) (membership.Node, string) {
	near := withSimilarScore(withinBound(ranked, digests), digests, request)
	return near[0], "first by rendezvous hash within bound and similar wait"
}

// withinBound returns the dispatchers whose load with one more request is within the bound, all if none is.
func withinBound(ranked []membership.Node, digests map[string]Digest) []membership.Node {
	total, slots := 1.0, 0.0
	for _, n := range ranked {
		total += used(of(digests, n))
		slots += capacity(of(digests, n))
	}
	var within []membership.Node
	for _, n := range ranked {
		d := of(digests, n)
		bound := max(loadFactor*total*capacity(d)/slots, spillFrom*capacity(d))
		if used(d)+1 <= bound {
			within = append(within, n)
		}
	}
	if len(within) == 0 {
		return ranked
	}
	return within
}

func withSimilarScore(nodes []membership.Node, digests map[string]Digest, request Request) []membership.Node {
	highestPrice := int64(1)
	for _, n := range nodes {
		if d := of(digests, n); d.LoadDigest != nil {
			highestPrice = max(highestPrice, d.PriceMicrosPerHour)
		}
	}
	scores := make([]float64, len(nodes))
	best := 0
	for i, n := range nodes {
		scores[i] = score(of(digests, n), request, highestPrice)
		if scores[i] < scores[best] {
			best = i
		}
	}
	var near []membership.Node
	for i, n := range nodes {
		if scores[i] <= scores[best]+similarMillis {
			near = append(near, n)
		}
	}
	return near
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
		return millis + recomputeMillis*request.Preference.RecomputedTokens*risk
	}
	return millis + costMillis*request.Preference.Cost*float64(d.PriceMicrosPerHour)/float64(highestPrice)
}
