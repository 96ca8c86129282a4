package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1") }

// fakeRunner loads a version in a number of steps; bad versions never load or kill it.
type fakeRunner struct {
	Runner
	stepsLeft int
}

// fakeFleet obeys orders in steps of ten seconds.
type fakeFleet struct {
	runners           []*fakeRunner
	now               time.Time
	unloadableVersion string // version that does not load
	crashingVersion   string // version that kills its runner, which starts again with the first version
	idleRunners       int    // runners that the deadly version does not kill, since they get no request
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

// TestRolloutKeepsMinServingRunners guards against a rollout that takes too many runners out of service at a time, that stops half
// way, or that leaves a failing version in force; also when the lease changes hands and the new holder knows no orders.
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
				t.Fatalf("no end after %d steps: %+v", step, state)
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
				t.Fatalf("%d runners serve, the floor is %d", serving, minServing)
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

// TestCanaryGoesFirst guards against a second runner that moves before the first one has proven the new version.
func TestCanaryGoesFirst(t *testing.T) {
	f := newFakeFleet(4, "v1")
	state, orders := Decide(f.input(State{Target: "v1", Phase: PhaseDone}, "v2", 2))
	if len(orders) != 1 {
		t.Fatalf("%d orders, expected 1", len(orders))
	}
	f.execute(orders)
	f.runners[0].Version, f.runners[0].LoadingVersion, f.runners[0].OnTargetSince = "v2", "", f.now
	if _, orders = Decide(f.input(state, "v2", 2)); len(orders) != 0 {
		t.Errorf("%d orders while the canary is watched, expected none", len(orders))
	}
	f.now = f.now.Add(canaryDuration)
	if _, orders = Decide(f.input(state, "v2", 2)); len(orders) != 1 {
		t.Errorf("%d orders after the canary, expected 1", len(orders))
	}
}

// TestReclaimNoticeIsNotFailure guards against a rollout that is reversed because the cloud took a moved runner away.
func TestReclaimNoticeIsNotFailure(t *testing.T) {
	f := newFakeFleet(3, "v1")
	r := f.runners[0]
	r.OrderedVersion, r.Version, r.OnTargetSince, r.IsReachable, r.IsLeaving = "v2", "v2", f.now, false, true
	state, _ := Decide(f.input(State{Target: "v2", Previous: "v1", Phase: PhaseRolling}, "v2", 1))
	if state.Phase != PhaseRolling {
		t.Errorf("phase is %s (%s), expected %s", state.Phase, state.Reason, PhaseRolling)
	}
}
