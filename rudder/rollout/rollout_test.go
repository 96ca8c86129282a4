package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1") }

// fakeRunner takes a number of steps to load a version.
type fakeRunner struct {
	Runner
	stepsLeft int // until the version is loaded
}

// fakeFleet simulates runners that carry out orders, in steps of stepDuration.
type fakeFleet struct {
	runners           []*fakeRunner
	now               time.Time
	unloadableVersion string // version that never loads
	crashingVersion   string // version that crashes its runner, which restarts with v1
	idleRunners       int    // first runners that get no request, so that crashingVersion does not crash them
}

const stepDuration = 10 * time.Second

func (f *fakeFleet) input(state State, target string, minServing int) Input {
	in := Input{State: state, Target: target, MinServing: minServing, Now: f.now}
	for _, r := range f.runners {
		in.Runners = append(in.Runners, r.Runner)
	}
	return in
}

func (f *fakeFleet) execute(orders []Order) {
	for _, o := range orders {
		for _, r := range f.runners {
			if r.Host == o.Host {
				r.OrderedVersion, r.OrderedAt, r.LoadingVersion, r.stepsLeft = o.Version, f.now, o.Version, 2
				r.OnTargetSince, r.HasRestarted = time.Time{}, false
			}
		}
	}
}

func (f *fakeFleet) step() {
	f.now = f.now.Add(stepDuration)
	for i, r := range f.runners {
		if i >= f.idleRunners && !r.OnTargetSince.IsZero() && r.Version == f.crashingVersion {
			r.HasRestarted, r.Version = true, "v1"
		}
		if r.LoadingVersion == "" {
			continue
		}
		if r.stepsLeft--; r.stepsLeft > 0 {
			continue
		}
		if r.LoadingVersion != f.unloadableVersion {
			r.Version, r.OnTargetSince = r.LoadingVersion, f.now
		}
		r.LoadingVersion = ""
	}
}

func newFakeFleet(count int, version string) *fakeFleet {
	f := &fakeFleet{now: time.Unix(10_000, 0)}
	for i := range count {
		f.runners = append(f.runners, &fakeRunner{Runner: Runner{Host: fmt.Sprint("host-", i), Version: version, IsReachable: true}})
	}
	return f
}

// TestRolloutKeepsMinServingRunners guards against a rollout that takes too many runners out of service at a time, that
// stops before it is complete, or that leaves a failing version in use.
func TestRolloutKeepsMinServingRunners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "runners")
		minServing := rapid.IntRange(0, count).Draw(t, "floor")
		f := newFakeFleet(count, "v1")
		switch rapid.SampledFrom([]string{"good", "bad", "deadly"}).Draw(t, "new version") {
		case "bad":
			f.unloadableVersion = "v2"
		case "deadly":
			f.crashingVersion = "v2"
			f.idleRunners = rapid.IntRange(0, count).Draw(t, "spared")
		}
		state := State{Target: "v1", Phase: PhaseDone}
		for step := 0; state.Target != "v2" || state.Phase == PhaseRolling || state.Phase == PhaseReversing; step++ {
			if step > 500 {
				t.Fatalf("rollout did not finish within %d steps: %+v", step, state)
			}
			var orders []Order
			state, orders = Decide(f.input(state, "v2", minServing))
			f.execute(orders)
			serving := 0
			for _, r := range f.runners {
				if r.isServing() {
					serving++
				}
			}
			if serving < min(minServing, count-1) {
				t.Fatalf("%d runners are serving, the minimum is %d", serving, minServing)
			}
			f.step()
		}
		wantPhase, wantVersion := PhaseDone, "v2"
		if f.unloadableVersion != "" || f.crashingVersion != "" && f.idleRunners < count {
			wantPhase, wantVersion = PhaseReversed, "v1"
		}
		if state.Phase != wantPhase {
			t.Fatalf("rollout ended %s (%s), expected %s", state.Phase, state.Reason, wantPhase)
		}
		for _, r := range f.runners {
			if r.Version != wantVersion {
				t.Fatalf("runner %s has version %s, expected %s", r.Host, r.Version, wantVersion)
			}
		}
	})
}

// TestCanaryGoesFirst guards against updating a second runner before the first one has passed the canary phase.
func TestCanaryGoesFirst(t *testing.T) {
	f := newFakeFleet(4, "v1")
	state, orders := Decide(f.input(State{Target: "v1", Phase: PhaseDone}, "v2", 2))
	if len(orders) != 1 {
		t.Fatalf("%d orders at the start of the rollout, expected 1", len(orders))
	}
	f.execute(orders)
	f.runners[0].Version, f.runners[0].LoadingVersion, f.runners[0].OnTargetSince = "v2", "", f.now
	if _, orders = Decide(f.input(state, "v2", 2)); len(orders) != 0 {
		t.Errorf("%d orders during the canary phase, expected none", len(orders))
	}
	f.now = f.now.Add(canaryDuration)
	if _, orders = Decide(f.input(state, "v2", 2)); len(orders) != 1 {
		t.Errorf("%d orders after the canary phase, expected 1", len(orders))
	}
}

// TestReclaimNoticeIsNotFailure guards against a rollback because the cloud reclaimed the host of an updated runner.
func TestReclaimNoticeIsNotFailure(t *testing.T) {
	f := newFakeFleet(3, "v1")
	r := f.runners[0]
	r.OrderedVersion, r.Version, r.OnTargetSince, r.IsReachable, r.IsLeaving = "v2", "v2", f.now, false, true
	state, _ := Decide(f.input(State{Target: "v2", Previous: "v1", Phase: PhaseRolling}, "v2", 1))
	if state.Phase != PhaseRolling {
		t.Errorf("phase is %s (%s), expected %s", state.Phase, state.Reason, PhaseRolling)
	}
}
