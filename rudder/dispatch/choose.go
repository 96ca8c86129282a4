package dispatch

import (
	"math"
	"time"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
)

// Baselines for measurements; every other policy predicts the first token.
const (
	policyLeastLoaded = "least-loaded"
	policyRoundRobin  = "round-robin"
)

const (
	// defaultPrefillRate is assumed until an engine has reported its own, in tokens per second.
	defaultPrefillRate = 4000
	// freshReport: engines are asked each 250 ms; a report older than this means that the runner answers late.
	freshReport = time.Second
	// recomputeMillis is how much later a first token may come for the sake of a host that is not reclaimed, at full
	// preference for few recomputed tokens; costMillis is the same for the cheapest host. Both are well under the target.
	recomputeMillis = 150
	costMillis      = 50
)

// candidate is a backend server as the decision sees it.
type candidate struct {
	host        string
	free        int     // slots
	running     int     // runs in the batch
	backlog     float64 // tokens that wait for prefill there
	prefillRate float64 // tokens per second
	stepMillis  float64 // decode step with one run more
	cached      int     // tokens of this prompt that are likely cached
	reportAge   time.Duration
	reclaimable bool
	price       int64
}

// placement is what the decision needs to know of a request.
type placement struct {
	promptTokens int // with the tokens generated so far
	class        limit.Class
	preference   object.Preference
}

// firstToken predicts the time from placement to the first token in milliseconds: half a decode step until the engine
// looks at the request, prefill of what waits, prefill of the prompt less its cached part, one decode step. A late
// report adds its lateness.
func firstToken(c candidate, promptTokens int) float64 {
	rate := c.prefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	uncached := float64(max(0, promptTokens-c.cached))
	millis := (c.backlog+uncached)/rate*1000 + 1.5*c.stepMillis
	if late := c.reportAge - freshReport; late > 0 {
		millis += float64(late.Milliseconds())
	}
	return millis
}

// chooseBackend returns the index of the backend server for a request and the reason, -1 if none has a free slot. turn
// counts decisions, for round-robin.
func chooseBackend(policy string, candidates []candidate, p placement, turn int) (int, string) {
	switch policy {
	case policyLeastLoaded:
		return leastLoaded(candidates), policyLeastLoaded
	case policyRoundRobin:
		for i := range candidates {
			if at := (turn + i) % len(candidates); candidates[at].free > 0 {
				return at, policyRoundRobin
			}
		}
		return -1, policyRoundRobin
	}
	best, bestScore, reason := -1, math.Inf(1), "no free slot"
	highestPrice := highestPriceOf(candidates)
	for i, c := range candidates {
		if c.free <= 0 {
			continue
		}
		score := firstToken(c, p.promptTokens) + penalty(c, p, highestPrice)
		// Equal predictions go to the smaller batch, which decodes faster.
		if score < bestScore || (score == bestScore && c.running < candidates[best].running) {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		reason = "earliest predicted first token"
		if candidates[best].cached > 0 {
			reason = "earliest predicted first token, prefix cached"
		}
	}
	return best, reason
}

func leastLoaded(candidates []candidate) int {
	best := -1
	for i, c := range candidates {
		if c.free > 0 && (best < 0 || c.free > candidates[best].free) {
			best = i
		}
	}
	return best
}

func highestPriceOf(candidates []candidate) int64 {
	highestPrice := int64(0)
	for _, c := range candidates {
		highestPrice = max(highestPrice, c.price)
	}
	return highestPrice
}

// penalty weighs reclaim risk for long requests and the price for short ones, in milliseconds of first token.
func penalty(c candidate, p placement, highestPrice int64) float64 {
	if p.class == limit.ClassLong {
		if c.reclaimable {
			return recomputeMillis * p.preference.RecomputedTokens
		}
		return 0
	}
	if highestPrice == 0 {
		return 0
	}
	return costMillis * p.preference.Cost * float64(c.price) / float64(highestPrice)
}
