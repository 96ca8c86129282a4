// Package rollout updates the runners of a deployment to the model version that its Deployment object names, one after
// another with a canary first, and rolls back if the new version fails. The daemon runs one Loop on each node; only the
// node that holds the lease of a deployment acts on it.
package rollout

import (
	"fmt"
	"sort"
	"time"
)

// Phase is the phase of a rollout, as stored in State.
type Phase string

const (
	PhaseRolling   Phase = "rolling"
	PhaseDone      Phase = "done"
	PhaseReversing Phase = "reversing" // rolling back to the previous version
	PhaseReversed  Phase = "reversed"  // rolled back on every runner; the target is not tried again
)

const (
	// loadTimeout is how long a runner may take to load a version. At the current rate of the weight store, 16 GB take
	// about 20 s; a load that is queued there takes a few times as long.
	loadTimeout = 3 * time.Minute
	// canaryDuration is how long a runner must serve a new version without a failure to count as healthy. Other runners are
	// updated only after the first one has done so.
	canaryDuration = 10 * time.Second
	// maxConcurrentLoads limits the runners that load a version at a time, so that a load gets the full bandwidth of the
	// weight store.
	maxConcurrentLoads = 1
	// maxFailuresAfterCanary is the number of runner failures with a new version that are tolerated once a runner has passed
	// the canary phase; one more starts the rollback. A single failure may have a cause other than the version.
	maxFailuresAfterCanary = 1
)

// State is the rollout state of a deployment. It is stored as JSON in the object API and sent to all nodes.
type State struct {
	Target   string `json:"target"`   // model version that is rolled out
	Previous string `json:"previous"` // last version whose rollout was completed, empty if there was none
	Phase    Phase  `json:"phase"`
	Reason   string `json:"reason,omitempty"` // why the rollout is rolled back
	// PastFailures counts the failures with the target that are no longer visible in Runner, because the runner has since
	// been ordered to load a version again.
	PastFailures int `json:"past_failures"`
}

// Runner is the observed state of a model runner, together with the last order that was sent to it.
type Runner struct {
	Host           string
	Version        string
	LoadingVersion string    // version that is being loaded, empty if none
	IsReachable    bool      // answered the last load request
	IsLeaving      bool      // its host has a reclaim notice
	ActiveRuns     int       // running and waiting
	OrderedVersion string    // version in the last order, empty if there was none
	OrderedAt      time.Time // zero if there was no order
	OnTargetSince  time.Time // when the runner first reported the ordered target version, zero if it has not
	HasRestarted   bool      // its process has restarted since OnTargetSince
}

// isServing reports whether the runner counts as serving capacity.
func (r Runner) isServing() bool { return r.IsReachable && !r.IsLeaving && r.LoadingVersion == "" }

// Order is an instruction to one runner to load a version.
type Order struct {
	Host    string
	Version string
}

// Input holds everything that Decide depends on.
type Input struct {
	State      State
	Target     string // model version that the Deployment object names
	Runners    []Runner
	MinServing int // number of runners that must keep serving during the rollout
	Now        time.Time
}

// Decide returns the next state and the orders to send. It relies on the stored state and on what the runners report, so
// that a new lease holder decides like the previous one. An order that was lost is sent again.
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
		// The order clears the recorded failure of the runner, for example if it restarted with its initial version.
		state.PastFailures++
	}
	return state, []Order{{Host: next.Host, Version: wantedVersion}}
}

// startRollout returns the state of a new rollout if the Deployment names a different version than the current state, which
// is returned unchanged otherwise. Previous changes only if the last rollout was completed.
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

// checkFailures counts the runner failures with the target version and starts the rollback if there are too many. While no
// runner has served the target for canaryDuration, no failure is tolerated; afterwards maxFailuresAfterCanary are. There is
// no rollback without a previous version.
func checkFailures(state State, in Input) State {
	failures := state.PastFailures
	healthy := 0
	reason := fmt.Sprintf("runners failed with version %s before they were ordered again", state.Target)
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
	problem := WeightStrategy.Judge(Evidence{Failures: failures, Failure: reason, IsProven: healthy > 0})
	if problem != "" && state.Previous != "" {
		state.Phase, state.Reason = state.Phase.next(true, false), problem
	}
	return state
}

// failureReason describes how a runner failed with the target version; it is empty if the runner did not fail. Runners on
// hosts with a reclaim notice are ignored.
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

// classifyRunners returns the runners that still need an order to load wantedVersion, the least busy first, the number of
// runners that are loading it or were ordered to within loadTimeout, and the number of serving runners. Unreachable runners
// and those on hosts with a reclaim notice need no order.
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

// isCanaryPending reports whether at least one runner has the target version, but none for canaryDuration yet. The first
// rollout of a deployment, without a previous version, has no canary phase.
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

// hasUnprovenRunner reports whether any runner has had the target version for less than canaryDuration. Runners on hosts
// with a reclaim notice are ignored.
func hasUnprovenRunner(in Input) bool {
	for _, r := range in.Runners {
		if !r.IsLeaving && !r.OnTargetSince.IsZero() && in.Now.Sub(r.OnTargetSince) < canaryDuration {
			return true
		}
	}
	return false
}

// finishPhase completes a rollout or a rollback after every runner has reached the wanted version.
func finishPhase(state State) State {
	if state.Phase == PhaseRolling {
		state.Reason = ""
	}
	state.Phase = state.Phase.next(false, true)
	return state
}
