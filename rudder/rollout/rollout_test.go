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
	left int
}

// fakeFleet obeys orders in steps of ten seconds.
type fakeFleet struct {
	runners []*fakeRunner
	now     time.Time
	bad     string // version that does not load
	deadly  string // version that kills its runner, which starts again with the first version
	spared  int    // runners that the deadly version does not kill, since they get no request
}

const stepTime = 10 * time.Second

func (f *fakeFleet) input(state State, target string, floor int) Input {
	in := Input{State: state, Target: target, Floor: floor, Now: f.now}
	for _, r := range f.runners {
		in.Runners = append(in.Runners, r.Runner)
	}
	return in
}

func (f *fakeFleet) obey(orders []Order) {
	for _, o := range orders {
		for _, r := range f.runners {
			if r.Host == o.Host {
				r.Ordered, r.OrderedAt, r.Loading, r.left = o.Version, f.now, o.Version, 2
				r.MovedAt, r.Restarted = time.Time{}, false
			}
		}
	}
}

func (f *fakeFleet) step() {
	f.now = f.now.Add(stepTime)
	for i, r := range f.runners {
		if i >= f.spared && !r.MovedAt.IsZero() && r.Version == f.deadly {
			r.Restarted, r.Version = true, "v1"
		}
		if r.Loading == "" {
			continue
		}
		if r.left--; r.left > 0 {
			continue
		}
		if r.Loading != f.bad {
			r.Version, r.MovedAt = r.Loading, f.now
		}
		r.Loading = ""
	}
}

func newFakeFleet(count int, version string) *fakeFleet {
	f := &fakeFleet{now: time.Unix(10_000, 0)}
	for i := range count {
		f.runners = append(f.runners, &fakeRunner{Runner: Runner{Host: fmt.Sprint("host-", i), Version: version, Answering: true}})
	}
	return f
}

// TestRolloutEndsAboveFloor guards against a rollout that takes too many runners out of service at a time, that stops half
// way, or that leaves a failing version in force; also when the lease changes hands and the new holder knows no orders.
func TestRolloutEndsAboveFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "runners")
		floor := rapid.IntRange(0, count).Draw(t, "floor")
		f := newFakeFleet(count, "v1")
		switch rapid.SampledFrom([]string{"good", "bad", "deadly"}).Draw(t, "new version") {
		case "bad":
			f.bad = "v2"
		case "deadly":
			f.deadly = "v2"
			f.spared = rapid.IntRange(0, count).Draw(t, "spared")
		}
		state := State{Target: "v1", Phase: PhaseDone}
		for step := 0; state.Target != "v2" || state.Phase == PhaseRolling || state.Phase == PhaseReversing; step++ {
			if step > 500 {
				t.Fatalf("no end after %d steps: %+v", step, state)
			}
			var orders []Order
			state, orders = Decide(f.input(state, "v2", floor))
			f.obey(orders)
			serving := 0
			for _, r := range f.runners {
				if r.serves() {
					serving++
				}
			}
			if serving < min(floor, count-1) {
				t.Fatalf("%d runners serve, the floor is %d", serving, floor)
			}
			f.step()
		}
		wantPhase, wantVersion := PhaseDone, "v2"
		if f.bad != "" || f.deadly != "" && f.spared < count {
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
	f.obey(orders)
	f.runners[0].Version, f.runners[0].Loading, f.runners[0].MovedAt = "v2", "", f.now
	if _, orders = Decide(f.input(state, "v2", 2)); len(orders) != 0 {
		t.Errorf("%d orders while the canary is watched, expected none", len(orders))
	}
	f.now = f.now.Add(canaryTime)
	if _, orders = Decide(f.input(state, "v2", 2)); len(orders) != 1 {
		t.Errorf("%d orders after the canary, expected 1", len(orders))
	}
}

// TestNoticeIsNoFailure guards against a rollout that is reversed because the cloud took a moved runner away.
func TestNoticeIsNoFailure(t *testing.T) {
	f := newFakeFleet(3, "v1")
	r := f.runners[0]
	r.Ordered, r.Version, r.MovedAt, r.Answering, r.Leaving = "v2", "v2", f.now, false, true
	state, _ := Decide(f.input(State{Target: "v2", Previous: "v1", Phase: PhaseRolling}, "v2", 1))
	if state.Phase != PhaseRolling {
		t.Errorf("phase is %s (%s), expected %s", state.Phase, state.Reason, PhaseRolling)
	}
}
