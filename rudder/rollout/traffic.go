package rollout

import "time"

// Bounds limit the requests that a bad software version gets: at most Share of all requests that reach the service between
// the order and its deadline, and Slack in addition.
type Bounds struct {
	Share float64
	Slack float64
}

const (
	// budgetMargin is the part of the bound that is used. The rest covers what is not known: sends of nodes that are cut off.
	budgetMargin = 0.8
	// forecastShare is the part of the present rate of requests that is expected until the deadline.
	forecastShare = 0.75
	// surgeFactor is the growth of the rate of requests that the last step to all requests allows for.
	surgeFactor = 1.2
	// rampRequests is the number of requests by which a bad version shows before the last step to all requests. They are spread
	// evenly over the time, and take at least minRampShare and at most maxRampShare of the bound. The rest of it allows the last
	// step to come before the deadline, so that the streams at old servers can end.
	rampRequests               = 150.0
	minRampShare, maxRampShare = 0.15, 0.4
	// reactionTime bounds the time from the moment when a version turns bad until no node sends to it: its responses have to
	// come, be reported and be compared.
	reactionTime = 2 * time.Second
	// minServerShare is the number of new servers relative to the old ones from which on the new ones can take all requests.
	minServerShare = 0.5
)

// TrafficInput is everything that DecideTraffic depends on.
type TrafficInput struct {
	Phase    Phase
	Share    float64       // of the requests that nodes send to the new version at present
	Elapsed  time.Duration // since the order
	Duration time.Duration // from the order to its deadline
	Bounds   Bounds

	Total, Sent int64         // requests that reached the service, and those sent to the new version, since the order
	Rate        float64       // requests a second that reach the service
	CountLag    time.Duration // age of the oldest counts in Total and Sent
	Evidence    Evidence
	Answers     int64 // responses of the new version
	OldServers  int
	FullFor     time.Duration // time for which all requests have gone to the new version; 0 if they do not
	IsOldIdle   bool          // all nodes have confirmed that they send nothing to the old servers and that nothing runs there
	// IsUncertain is true while the order may not be the present one or counts are missing: then nothing is extended.
	IsUncertain bool
}

// TrafficDecision is the next step of the rollout of a software version.
type TrafficDecision struct {
	Phase  Phase
	Share  float64
	Reason string // of a rollback
}

// DecideTraffic returns the next phase and share of the rollout of a software version. The share grows such that a version
// that turns bad at any moment stays below the bound: what was sent, what is not counted yet and what would be sent until it
// is stopped everywhere fit in it at each step.
func DecideTraffic(in TrafficInput, s *Strategy) TrafficDecision {
	if in.Phase != PhaseRolling {
		d := TrafficDecision{Phase: in.Phase}
		if in.Phase == PhaseDone {
			d.Share = 1
		}
		return d
	}
	reason := s.Judge(in.Evidence)
	isProven := in.FullFor >= s.MaxProofTime || in.FullFor >= s.ProofTime && in.Evidence.LeastAnswers >= s.MinRouteAnswers
	isFinished := !in.IsUncertain && in.Share >= 1 && isProven && in.IsOldIdle && in.Evidence.Servers > 0
	phase := in.Phase.next(reason != "", isFinished)
	switch phase {
	case PhaseReversing:
		return TrafficDecision{Phase: phase, Reason: reason}
	case PhaseDone:
		return TrafficDecision{Phase: phase, Share: 1}
	}
	share := steady(nextShare(in, s), in.Share)
	if in.IsUncertain {
		share = min(share, in.Share)
	}
	return TrafficDecision{Phase: phase, Share: share}
}

const (
	// A share between minShareChange and maxShareChange times the present one is not told: all nodes hear of each change.
	minShareChange = 0.95
	maxShareChange = 1.1
)

// steady returns the present share if the next one is about the same.
func steady(next, present float64) float64 {
	if next < 1 && present < 1 && next >= minShareChange*present && next <= maxShareChange*present {
		return present
	}
	return next
}

// nextShare returns the share of the requests that nodes may send to the new version.
func nextShare(in TrafficInput, s *Strategy) float64 {
	switch {
	case in.Evidence.Servers == 0:
		return 0
	case in.Share >= 1 && in.Elapsed >= in.Duration:
		return 1
	}
	limit := stepLimit(in, s)
	if in.Elapsed >= in.Duration {
		return limit
	}
	remaining := (in.Duration - in.Elapsed).Seconds()
	budget := in.budget(remaining)
	used := float64(in.Sent) + in.Share*in.Rate*in.CountLag.Seconds() // with what is not counted yet
	free := budget - used
	surge := surgeFactor
	if in.Share >= 1 {
		surge = 1
	}
	if limit >= 1 && surge*in.Rate*remaining <= free {
		return 1
	}
	rate := max(in.Rate, 1/remaining) // at least one request is expected
	ramp := min(max(rampRequests, minRampShare*budget), maxRampShare*budget)
	even := (ramp - used) / (rate * remaining)
	stoppable := free / (rate * min(reactionTime.Seconds(), remaining))
	return max(min(limit, even, stoppable), 0)
}

// budget returns how many requests the new version may get before the deadline, under the rates that are expected.
func (in *TrafficInput) budget(remainingSeconds float64) float64 {
	expected := float64(in.Total) + forecastShare*in.Rate*remainingSeconds
	return budgetMargin * (in.Bounds.Share*expected + in.Bounds.Slack)
}

// stepLimit returns the bound of the share by the steps of the strategy and by the number of new servers.
func stepLimit(in TrafficInput, s *Strategy) float64 {
	limit := 1.0
	for _, step := range s.Steps {
		if in.Answers < step.Answers && in.Elapsed.Seconds() < step.Elapsed*in.Duration.Seconds() {
			limit = step.Share
			break
		}
	}
	if servers := float64(in.Evidence.Servers); in.Elapsed < in.Duration && servers < minServerShare*float64(in.OldServers) {
		limit = min(limit, servers/float64(in.OldServers))
	}
	return limit
}
