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
	// canaryDuration is how long the first runner with a new version must serve before others follow.
	canaryDuration = 10 * time.Second
	// maxConcurrentLoads bounds the runners that load at a time, so that one load has the weight store's rate for itself.
	maxConcurrentLoads = 1
	// maxFailuresAfterCanary is the number of runners that may fail with a new version, after the canary, before it is reversed. A
	// single one may have failed by itself.
	maxFailuresAfterCanary = 1
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
	Host           string
	Version        string
	LoadingVersion string // version that it loads, empty if none
	IsReachable    bool
	IsLeaving      bool // has a notice
	ActiveRuns     int
	OrderedVersion string    // version of the last order, empty if none
	OrderedAt      time.Time // zero if there was no order
	OnTargetSince  time.Time // when the runner was first seen with the target after an order, zero if it was not
	HasRestarted   bool      // its process started anew after it was moved
}

// isServing reports whether the runner counts for the capacity.
func (r Runner) isServing() bool { return r.IsReachable && !r.IsLeaving && r.LoadingVersion == "" }

// Order tells one runner to load a version.
type Order struct {
	Host    string
	Version string
}

// Input is what a decision is based on.
type Input struct {
	State      State
	Target     string // version that the Deployment names
	Runners    []Runner
	MinServing int // runners that must go on serving
	Now        time.Time
}

// Decide returns the next state and the orders to send. It looks only at what runners report, so that a new holder of
// the lease decides like the old one; an order that was lost is sent again.
func Decide(in Input) (State, []Order) {
	state := startRollout(in)
	if state.Phase == PhaseRolling {
		state = checkFailures(state, in)
	}
	wantedVersion := state.Target
	if state.Phase == PhaseReversing || state.Phase == PhaseReversed {
		wantedVersion = state.Previous
	}
	outdated, loading, serving := classifyRunners(in, wantedVersion)
	if len(outdated) == 0 && loading == 0 {
		if state.Phase == PhaseRolling && hasUnprovenRunner(in) {
			return state, nil
		}
		return finishPhase(state), nil
	}
	if loading >= maxConcurrentLoads || isCanaryPending(state, in) {
		return state, nil
	}
	next := outdated[0]
	minServing := min(in.MinServing, len(in.Runners)-1)
	if next.isServing() && serving-1 < minServing {
		return state, nil
	}
	if failureReason(next, state.Target, in.Now) != "" {
		// The order forgets the failure of the runner, for example of one that restarted with its first version.
		state.PastFailures++
	}
	return state, []Order{{Host: next.Host, Version: wantedVersion}}
}

// startRollout starts a rollout when the Deployment names another version than the state.
func startRollout(in Input) State {
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

// checkFailures counts the failures with the target and reverses the rollout if there are too many.
func checkFailures(state State, in Input) State {
	failures := state.PastFailures
	healthy := 0
	reason := ""
	for _, r := range in.Runners {
		if cause := failureReason(r, state.Target, in.Now); cause != "" {
			failures++
			reason = cause
			continue
		}
		if !r.IsLeaving && r.OrderedVersion == state.Target && !r.OnTargetSince.IsZero() &&
			in.Now.Sub(r.OnTargetSince) >= canaryDuration {
			healthy++
		}
	}
	allowedFailures := maxFailuresAfterCanary
	if healthy == 0 {
		allowedFailures = 0
	}
	if failures > allowedFailures && state.Previous != "" {
		state.Phase = PhaseReversing
		state.Reason = reason
	}
	return state
}

// failureReason returns how a runner failed with the target, empty if it did not. A host with a notice does not count.
func failureReason(r Runner, target string, now time.Time) string {
	switch {
	case r.IsLeaving || r.OrderedVersion != target:
		return ""
	case r.HasRestarted || !r.OnTargetSince.IsZero() && !r.IsReachable:
		return fmt.Sprintf("runner %s died with version %s", r.Host, target)
	case r.LoadingVersion == "" && r.Version != target && now.Sub(r.OrderedAt) > loadTimeout:
		return fmt.Sprintf("runner %s did not load version %s within %s", r.Host, target, loadTimeout)
	}
	return ""
}

// classifyRunners returns the runners that have another version than the wanted one, the least busy first, the number of those
// that load or were told to, and the number of those that serve.
func classifyRunners(in Input, wantedVersion string) (outdated []Runner, loading, serving int) {
	for _, r := range in.Runners {
		if r.isServing() {
			serving++
		}
		isOrdered := r.OrderedVersion == wantedVersion && in.Now.Sub(r.OrderedAt) <= loadTimeout
		switch {
		case r.IsLeaving || !r.IsReachable || r.Version == wantedVersion && r.LoadingVersion == "":
		case r.LoadingVersion == wantedVersion || isOrdered:
			loading++
		default:
			outdated = append(outdated, r)
		}
	}
	sort.Slice(outdated, func(i, j int) bool {
		if outdated[i].ActiveRuns != outdated[j].ActiveRuns {
			return outdated[i].ActiveRuns < outdated[j].ActiveRuns
		}
		return outdated[i].Host < outdated[j].Host
	})
	return outdated, loading, serving
}

// isCanaryPending reports whether the first runner with a new version must still prove itself.
func isCanaryPending(state State, in Input) bool {
	if state.Phase != PhaseRolling || state.Previous == "" {
		return false
	}
	onTarget, proven := 0, 0
	for _, r := range in.Runners {
		if r.Version != state.Target || r.OnTargetSince.IsZero() {
			continue
		}
		onTarget++
		if in.Now.Sub(r.OnTargetSince) >= canaryDuration {
			proven++
		}
	}
	return onTarget > 0 && proven == 0
}

// hasUnprovenRunner reports whether some runner was moved too recently to have proven the new version.
func hasUnprovenRunner(in Input) bool {
	for _, r := range in.Runners {
		if !r.IsLeaving && !r.OnTargetSince.IsZero() && in.Now.Sub(r.OnTargetSince) < canaryDuration {
			return true
		}
	}
	return false
}

// finishPhase ends a phase in which every runner has the wanted version.
func finishPhase(state State) State {
	switch state.Phase {
	case PhaseRolling:
		state.Phase = PhaseDone
		state.Reason = ""
	case PhaseReversing:
		state.Phase = PhaseReversed
	}
	return state
}
