package dispatch

import (
	"math"
	"time"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
)

// Baseline policies for measurements; every other policy predicts the first token.
const (
	policyLeastLoaded = "least-loaded"
	policyRoundRobin  = "round-robin"
)

const (
	// defaultPrefillRate is assumed until an engine has reported its own rate, in tokens per second.
	defaultPrefillRate = 4000
	// maxReportAge is the age up to which a load report is up to date. Engines are polled every 250 ms; an older report
	// means that the runner answers late.
	maxReportAge = time.Second
	// reclaimRiskPenaltyMillis is how much later a first token may come on a host that is not reclaimable, at full
	// preference for few recomputed tokens; costPenaltyMillis is the same for the cheapest host. Both are well below the
	// first-token target.
	reclaimRiskPenaltyMillis = 150
	costPenaltyMillis        = 50
)

// candidate is the state of a backend server on which chooseBackend decides.
type candidate struct {
	host               string
	freeSlots          int
	runsInBatch        int     // own and foreign
	prefillBacklog     float64 // prompt tokens that wait for prefill
	prefillRate        float64 // tokens per second
	decodeStepMillis   float64 // with one more run
	cachedTokens       int     // tokens of this prompt that are probably cached
	reportAge          time.Duration
	reclaimable        bool
	priceMicrosPerHour int64
}

// placementRequest describes a request for chooseBackend.
type placementRequest struct {
	promptTokens int // including the tokens generated so far
	class        limit.Class
	preference   object.Preference
}

// predictFirstTokenMillis predicts the time from placement to the first token in milliseconds: half a decode step until the
// engine picks up the request, prefill of the backlog, prefill of the uncached part of the prompt, and one decode step. The
// time by which a load report is overdue is added.
func predictFirstTokenMillis(c candidate, promptTokens int) float64 {
	rate := c.prefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	uncached := float64(max(0, promptTokens-c.cachedTokens))
	millis := (c.prefillBacklog+uncached)/rate*1000 + 1.5*c.decodeStepMillis
	if lateBy := c.reportAge - maxReportAge; lateBy > 0 {
		millis += float64(lateBy.Milliseconds())
	}
	return millis
}

// chooseBackend returns the index of the backend server for a request and the reason, -1 if none has a free slot.
// decisionCount is the number of earlier decisions, which round-robin needs.
func chooseBackend(policy string, candidates []candidate, p placementRequest, decisionCount int) (int, string) {
	switch policy {
	case policyLeastLoaded:
		return leastLoaded(candidates), policyLeastLoaded
	case policyRoundRobin:
		for i := range candidates {
			if at := (decisionCount + i) % len(candidates); candidates[at].freeSlots > 0 {
				return at, policyRoundRobin
			}
		}
		return -1, policyRoundRobin
	}
	best, bestScore, reason := -1, math.Inf(1), "no free slot"
	highestPrice := highestPriceOf(candidates)
	for i, c := range candidates {
		if c.freeSlots <= 0 {
			continue
		}
		score := predictFirstTokenMillis(c, p.promptTokens) + penaltyMillis(c, p, highestPrice)
		// Equal predictions go to the smaller batch, which decodes faster.
		if score < bestScore || (score == bestScore && c.runsInBatch < candidates[best].runsInBatch) {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		reason = "earliest predicted first token"
		if candidates[best].cachedTokens > 0 {
			reason = "earliest predicted first token, prefix cached"
		}
	}
	return best, reason
}

func leastLoaded(candidates []candidate) int {
	best := -1
	for i, c := range candidates {
		if c.freeSlots > 0 && (best < 0 || c.freeSlots > candidates[best].freeSlots) {
			best = i
		}
	}
	return best
}

func highestPriceOf(candidates []candidate) int64 {
	highestPrice := int64(0)
	for _, c := range candidates {
		highestPrice = max(highestPrice, c.priceMicrosPerHour)
	}
	return highestPrice
}

// penaltyMillis returns the penalty of a candidate in milliseconds of first-token time: for reclaim risk if the request is
// long, for the price if it is short.
func penaltyMillis(c candidate, p placementRequest, highestPrice int64) float64 {
	if p.class == limit.ClassLong {
		if c.reclaimable {
			return reclaimRiskPenaltyMillis * p.preference.RecomputedTokens
		}
		return 0
	}
	if highestPrice == 0 {
		return 0
	}
	return costPenaltyMillis * p.preference.Cost * float64(c.priceMicrosPerHour) / float64(highestPrice)
}
