package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fault is one event in the life of a fleet.
type fault struct {
	kind  string
	share float64 // part of the nodes that it hits
	after time.Duration
}

// apply makes a fault happen. Cuts and their ends hit the first nodes, other faults random ones.
func (f *fleet) apply(e fault) {
	if e.kind == "cut" {
		f.cut(e.share)
		return
	}
	for i := range f.nodes {
		if f.random.Float64() >= e.share {
			continue
		}
		switch e.kind {
		case "kill":
			f.kill(i)
		case "start":
			f.startAgain(i)
		case "restart":
			f.kill(i)
			f.startAgain(i)
		case "freeze":
			f.freeze(i)
		case "thaw":
			f.thaw(i)
		}
	}
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind:  rapid.SampledFrom([]string{"cut", "cut", "kill", "start", "restart", "freeze", "thaw"}).Draw(t, "kind"),
		share: rapid.SampledFrom([]float64{0, 0.1, 0.35, 0.5, 0.65, 1}).Draw(t, "share"),
		after: time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond,
	}
}

// scenario is a fleet with the demand and the faults that it meets.
type scenario struct {
	nodes        int
	burstSeconds float64
	loss         float64
	factor       float64 // demand divided by the rate
	targets      int     // see demand.nodes
	faults       []fault
}

func drawScenario(t *rapid.T) scenario {
	return scenario{
		nodes:        rapid.SampledFrom([]int{2, 3, 9, 20}).Draw(t, "nodes"),
		burstSeconds: rapid.SampledFrom([]float64{0.2, 1, 2, 5}).Draw(t, "burst"),
		loss:         rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "loss"),
		factor:       rapid.SampledFrom([]float64{1.5, 3, 6}).Draw(t, "factor"),
		targets:      rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "targets"),
		faults:       rapid.SliceOfN(rapid.Custom(drawFault), 3, 8).Draw(t, "faults"),
	}
}

// run returns the largest part of what is allowed that is admitted in any window.
func (s scenario) run(seed uint64) float64 {
	o := organisationOf(9_880_000, s.burstSeconds)
	f := newFleet(s.nodes, seed, fleetTolerance)
	f.loss = s.loss
	wanted := &demand{rate: s.factor * o.RatePerSecond, size: 2900, nodes: s.targets}
	f.run(o, wanted, time.Second)
	for _, e := range s.faults {
		f.apply(e)
		f.run(o, wanted, e.after)
	}
	return f.mostInWindow() / allowed(o, fleetTolerance)
}

const (
	// faultSeeds is the number of runs with drawn faults.
	faultSeeds = 150
	// In the runs with these seeds, nodes that are cut off and have admitted requests end before their peers hear of it.
	sideRestartSeed, nodeRestartSeed = 42, 64
)

// Whatever is cut off, killed, started or frozen, in any order, the nodes together admit no more than is allowed. Each run's
// faults are drawn, with seeds that are the same each time.
func TestLimitHoldsUnderDrawnFaults(t *testing.T) {
	worst := 0.0
	for seed := range faultSeeds {
		if seed == sideRestartSeed || seed == nodeRestartSeed {
			continue // TestLimitHoldsWhenCutOffNodesRestart
		}
		s := rapid.Custom(drawScenario).Example(seed)
		share := s.run(uint64(seed))
		worst = max(worst, share)
		if share > 1 {
			t.Errorf("seed %d, %+v: %.3f of what is allowed was admitted in 8 s", seed, s, share)
		}
	}
	t.Logf("at most %.3f of what is allowed", worst)
}

// Guards against what nodes admitted while they were cut off, and nobody heard of because they ended before the end of the cut.
// Listed in KNOWN-RED.txt: their successors and the other side have no way to know.
func TestLimitHoldsWhenCutOffNodesRestart(t *testing.T) {
	for _, seed := range []int{sideRestartSeed, nodeRestartSeed} {
		s := rapid.Custom(drawScenario).Example(seed)
		if share := s.run(uint64(seed)); share > 1 {
			t.Errorf("seed %d, %+v: %.3f of what is allowed was admitted in 8 s", seed, s, share)
		}
	}
}
