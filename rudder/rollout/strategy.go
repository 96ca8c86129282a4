package rollout

import (
	"fmt"
	"math"
	"math/bits"
	"time"
)

// Strategy says, as data, how a new version is introduced and when it counts as bad. The rollouts of model weights and of
// software versions use the same judgement with different strategies.
type Strategy struct {
	// ToleratedUnproven and ToleratedProven are the numbers of failures of whole servers with the new version that are
	// tolerated before and after it is proven.
	ToleratedUnproven, ToleratedProven int
	// ProofTime is how long the new version must serve, all requests or on one server, to be proven.
	ProofTime time.Duration
	// MinRouteAnswers is the number of responses that each route must have had from the new version before it is proven,
	// unless all requests have gone to it for MaxProofTime.
	MinRouteAnswers int64
	MaxProofTime    time.Duration
	// Comparison is applied to the responses of both versions.
	Comparison Comparison
	// Steps bound the share of the requests for the new version, in order of their shares.
	Steps []Step
}

// Step bounds the share of the requests for the new version until one of its conditions is met.
type Step struct {
	Share   float64
	Answers int64   // responses of the new version
	Elapsed float64 // part of the order's duration
}

// Comparison says when the responses of the new version count as worse than those of the old one.
type Comparison struct {
	MinBad int64 // bad responses beyond the tolerated ones below which nothing is concluded
	// BaselineFactor is the tolerated multiple of the old version's share of bad responses, and Floor the share that is
	// tolerated in any case.
	BaselineFactor, Floor float64
	// Deviations is the number of standard deviations by which the bad responses must exceed the tolerated ones.
	Deviations float64
	// MinBaseline is the number of the old version's responses below which its share of bad ones is not known.
	MinBaseline int64
	// UnknownFloorFactor multiplies Floor while that share is not known for the same time.
	UnknownFloorFactor float64
	// SlowFactor is the multiple of the old version's mean time from which on the new one counts as slow, in MinTimed responses.
	SlowFactor float64
	MinTimed   int64
	// MinBadOfOneServer is the number of bad responses that count although all may come from one of several servers.
	MinBadOfOneServer int64
}

// SlowRatio is the time of a response, as a multiple of the predicted one, from which on it counts as bad. Servers that are
// slow for a moment are 2.5 times slower than usual.
const SlowRatio = 3

// WeightStrategy is the strategy for the weights of our own engines, one server after the other.
var WeightStrategy = Strategy{ToleratedUnproven: 0, ToleratedProven: maxFailuresAfterCanary, ProofTime: canaryDuration}

// TrafficStrategy is the strategy for software versions.
var TrafficStrategy = Strategy{
	ProofTime: 1500 * time.Millisecond, MinRouteAnswers: 20, MaxProofTime: 4 * time.Second,
	Comparison: Comparison{
		MinBad: 3, BaselineFactor: 2, Floor: 0.01, Deviations: 4, MinBaseline: 20, UnknownFloorFactor: 5,
		SlowFactor: 2.2, MinTimed: 30, MinBadOfOneServer: 40,
	},
	Steps: []Step{{Share: 0.05, Answers: 20, Elapsed: 0.25}, {Share: 0.2, Answers: 60, Elapsed: 0.5}},
}

// Evidence is what is known of a new version.
type Evidence struct {
	Failures int    // failures of whole servers
	Failure  string // describes one of them
	IsProven bool
	// Pairs are the responses of both versions that are compared: of all routes together and of each route alone.
	Pairs []Pair
	// LeastAnswers is the number of responses of the new version on the route with the fewest of them.
	LeastAnswers int64
	Servers      int // with the new version
}

// Pair holds the responses of two versions over the same time.
type Pair struct {
	Name     string // of the route and the time, for the reason
	New, Old Counts
	// IsOldEarlier is true if the old version had too few requests in that time, so that Old is from before.
	IsOldEarlier bool
}

// Judge returns why the version counts as bad, "" if it does not.
func (s *Strategy) Judge(e Evidence) string {
	tolerated := s.ToleratedUnproven
	if e.IsProven {
		tolerated = s.ToleratedProven
	}
	if e.Failures > tolerated {
		return e.Failure
	}
	for _, p := range e.Pairs {
		if reason := s.Comparison.problem(p, e.Servers); reason != "" {
			return reason
		}
	}
	return ""
}

// problem returns why the new version of a pair counts as bad, "" if it does not.
func (c *Comparison) problem(p Pair, servers int) string {
	if reason := c.streamProblem(p); reason != "" {
		return reason
	}
	// A fault of one server is not one of the version.
	if servers > 1 && bits.OnesCount64(p.New.Servers) < 2 && p.New.bad() < c.MinBadOfOneServer {
		return ""
	}
	tolerated := c.tolerated(p)
	if bad := p.New.bad(); float64(bad) > tolerated+c.Deviations*math.Sqrt(tolerated)+float64(c.MinBad) {
		return fmt.Sprintf("%.100s: %d of %d responses were bad, %d of %d with the old version", p.Name, bad, p.New.ended(), p.Old.bad(), p.Old.ended())
	}
	if p.New.Answered < c.MinTimed || p.Old.Answered < c.MinTimed || p.IsOldEarlier {
		return ""
	}
	if newRatio, oldRatio := p.New.meanRatio(), p.Old.meanRatio(); newRatio > c.SlowFactor*max(oldRatio, 1) {
		return fmt.Sprintf("%.100s: responses took %.1f times the predicted time, %.1f with the old version", p.Name, newRatio, oldRatio)
	}
	return ""
}

// minStreamMillis is the mean time of streams below which delays of this process count for more than those of the servers.
const minStreamMillis = 20

// streamProblem compares the times of streams after their first events. The mean over several servers hardly depends on one.
func (c *Comparison) streamProblem(p Pair) string {
	if p.New.Streams < c.MinTimed || p.Old.Streams < c.MinTimed || p.IsOldEarlier {
		return ""
	}
	newMillis, oldMillis := p.New.meanStreamMillis(), p.Old.meanStreamMillis()
	if newMillis <= c.SlowFactor*max(oldMillis, minStreamMillis) {
		return ""
	}
	return fmt.Sprintf("%.100s: streams took %.0f ms after their first events, %.0f ms with the old version", p.Name, newMillis, oldMillis)
}

// tolerated returns the number of bad responses that the new version of a pair may have.
func (c *Comparison) tolerated(p Pair) float64 {
	share := 0.0
	if p.Old.ended() > 0 {
		share = float64(p.Old.bad()) / float64(p.Old.ended())
	}
	floor := c.Floor
	if p.IsOldEarlier || p.Old.ended() < c.MinBaseline {
		floor *= c.UnknownFloorFactor
	}
	return min(c.BaselineFactor*share+floor, 1) * float64(p.New.ended())
}

// next returns the phase that follows: a bad version is rolled back, and each phase ends when its work is finished.
func (p Phase) next(isBad, isFinished bool) Phase {
	switch {
	case p == PhaseRolling && isBad:
		return PhaseReversing
	case p == PhaseRolling && isFinished:
		return PhaseDone
	case p == PhaseReversing && isFinished:
		return PhaseReversed
	}
	return p
}
