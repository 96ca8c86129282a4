// Package rollout moves the runners of a deployment to the model version that its Deployment object names, a few at a
// time, and back when the new version fails. The daemon runs one Loop on each node; a lease for each deployment decides
// which node acts.
package rollout

import (
	"fmt"
	"sort"
	"time"
)

// Phase is the phase of a rollout.
type Phase string

// The phases.
const (
	PhaseRolling   Phase = "rolling"
	PhaseDone      Phase = "done"
	PhaseReversing Phase = "reversing" // back to the previous version
	PhaseReversed  Phase = "reversed"  // every runner is back; the target is not tried again
)

const (
	// loadTimeout is how long a runner may take to load a version. 16 GB at the weight store's rate of today take about
	// 20 s; a runner that waits for its turn there takes a few times as long.
	loadTimeout = 3 * time.Minute
	// canaryTime is how long the first runner with a new version must serve before others follow.
	canaryTime = 10 * time.Second
	// maxLoading bounds the runners that load at a time, so that one load has the weight store's rate for itself.
	maxLoading = 1
	// maxFailures is the number of runners that may fail with a new version, after the canary, before it is reversed. A
	// single one may have failed by itself.
	maxFailures = 1
)

// State is what the loop keeps in the object API for a deployment.
type State struct {
	Target   string `json:"target"`
	Previous string `json:"previous"` // the last version that was in force everywhere, empty if there was none
	Phase    Phase  `json:"phase"`
	Reason   string `json:"reason,omitempty"`
	// PastFailures counts failures of runners that were told to load the target again since.
	PastFailures int `json:"past_failures"`
}

// Runner is a model runner as it reports itself, and what the loop ordered.
type Runner struct {
	Host      string
	Version   string
	Loading   string // version that it loads, empty if none
	Answering bool
	Leaving   bool // has a notice
	Runs      int
	Ordered   string    // version of the last order, empty if none
	OrderedAt time.Time // zero if there was no order
	MovedAt   time.Time // when the runner was first seen with the target after an order, zero if it was not
	Restarted bool      // its process started anew after it was moved
}

// serves reports whether the runner counts for the capacity.
func (r Runner) serves() bool { return r.Answering && !r.Leaving && r.Loading == "" }

// Order tells one runner to load a version.
type Order struct {
	Host    string
	Version string
}

// Input is what a decision is based on.
type Input struct {
	State   State
	Target  string // version that the Deployment names
	Runners []Runner
	Floor   int // runners that must go on serving
	Now     time.Time
}

// Decide returns the next state and the orders to send. It looks only at what runners report, so that a new holder of
// the lease decides like the old one; an order that was lost is sent again.
func Decide(in Input) (State, []Order) {
	state := begin(in)
	if state.Phase == PhaseRolling {
		state = judge(state, in)
	}
	wanted := state.Target
	if state.Phase == PhaseReversing || state.Phase == PhaseReversed {
		wanted = state.Previous
	}
	behind, loading, serving := survey(in, wanted)
	if len(behind) == 0 && loading == 0 {
		if state.Phase == PhaseRolling && isWatched(in) {
			return state, nil
		}
		return finish(state), nil
	}
	if loading >= maxLoading || isCanaryWatched(state, in) {
		return state, nil
	}
	next := behind[0]
	floor := min(in.Floor, len(in.Runners)-1)
	if next.serves() && serving-1 < floor {
		return state, nil
	}
	if failure(next, state.Target, in.Now) != "" {
		// The order forgets the failure of the runner, for example of one that restarted with its first version.
		state.PastFailures++
	}
	return state, []Order{{Host: next.Host, Version: wanted}}
}

// begin starts a rollout when the Deployment names another version than the state.
func begin(in Input) State {
	state := in.State
	switch {
	case state.Target == in.Target:
		return state
	case state.Target == "":
		return State{Target: in.Target, Phase: PhaseRolling}
	}
	previous := state.Previous
	if state.Phase == PhaseDone {
		previous = state.Target
	}
	return State{Target: in.Target, Previous: previous, Phase: PhaseRolling}
}

// judge counts the failures with the target and reverses the rollout if there are too many.
func judge(state State, in Input) State {
	failures := state.PastFailures
	healthy := 0
	reason := ""
	for _, r := range in.Runners {
		if why := failure(r, state.Target, in.Now); why != "" {
			failures++
			reason = why
			continue
		}
		if !r.Leaving && r.Ordered == state.Target && !r.MovedAt.IsZero() && in.Now.Sub(r.MovedAt) >= canaryTime {
			healthy++
		}
	}
	allowed := maxFailures
	if healthy == 0 {
		allowed = 0
	}
	if failures > allowed && state.Previous != "" {
		state.Phase = PhaseReversing
		state.Reason = reason
	}
	return state
}

// failure returns how a runner failed with the target, empty if it did not. A host with a notice does not count.
func failure(r Runner, target string, now time.Time) string {
	switch {
	case r.Leaving || r.Ordered != target:
		return ""
	case r.Restarted || !r.MovedAt.IsZero() && !r.Answering:
		return fmt.Sprintf("runner %s died with version %s", r.Host, target)
	case r.Loading == "" && r.Version != target && now.Sub(r.OrderedAt) > loadTimeout:
		return fmt.Sprintf("runner %s did not load version %s within %s", r.Host, target, loadTimeout)
	}
	return ""
}

// survey returns the runners that have another version than the wanted one, the least busy first, the number of those
// that load or were told to, and the number of those that serve.
func survey(in Input, wanted string) (behind []Runner, loading, serving int) {
	for _, r := range in.Runners {
		if r.serves() {
			serving++
		}
		ordered := r.Ordered == wanted && in.Now.Sub(r.OrderedAt) <= loadTimeout
		switch {
		case r.Leaving || !r.Answering || r.Version == wanted && r.Loading == "":
		case r.Loading == wanted || ordered:
			loading++
		default:
			behind = append(behind, r)
		}
	}
	sort.Slice(behind, func(i, j int) bool {
		if behind[i].Runs != behind[j].Runs {
			return behind[i].Runs < behind[j].Runs
		}
		return behind[i].Host < behind[j].Host
	})
	return behind, loading, serving
}

// isCanaryWatched reports whether the first runner with a new version must still prove itself.
func isCanaryWatched(state State, in Input) bool {
	if state.Phase != PhaseRolling || state.Previous == "" {
		return false
	}
	moved, proven := 0, 0
	for _, r := range in.Runners {
		if r.Version != state.Target || r.MovedAt.IsZero() {
			continue
		}
		moved++
		if in.Now.Sub(r.MovedAt) >= canaryTime {
			proven++
		}
	}
	return moved > 0 && proven == 0
}

// isWatched reports whether some runner was moved too recently to have proven the new version.
func isWatched(in Input) bool {
	for _, r := range in.Runners {
		if !r.Leaving && !r.MovedAt.IsZero() && in.Now.Sub(r.MovedAt) < canaryTime {
			return true
		}
	}
	return false
}

// finish ends a phase in which every runner has the wanted version.
func finish(state State) State {
	switch state.Phase {
	case PhaseRolling:
		state.Phase = PhaseDone
		state.Reason = ""
	case PhaseReversing:
		state.Phase = PhaseReversed
	}
	return state
}
