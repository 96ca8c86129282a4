package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet simulates the samples that several nodes take of the servers of one service, without a network and without load.
type fleet struct {
	rng      *rand.Rand
	now      time.Time
	nodes    []*node
	slowness func(server int) float64
	round    int
}

// node is what one node knows.
type node struct {
	group      Group
	estimators []*Estimator
}

const (
	fleetStep = 500 * time.Millisecond
	// Each server gets 6 to 8 requests per second from all nodes together, as on the deployment with 87 hosts.
	fleetNodes, fleetServers = 36, 45
	// sampleNoise is the standard deviation of the log of a time.
	sampleNoise = 0.4
)

func newNode(servers int) *node {
	n := &node{}
	for range servers {
		n.estimators = append(n.estimators, &Estimator{})
	}
	return n
}

func newFleet(nodes, servers int, slowness func(server int) float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), slowness: slowness}
	for range nodes {
		f.nodes = append(f.nodes, newNode(servers))
	}
	return f
}

// run simulates a time in which each node takes samplesPerStep samples per step, of random servers.
func (f *fleet) run(d time.Duration, samplesPerStep int) {
	for end := f.now.Add(d); f.now.Before(end); f.round++ {
		f.now = f.now.Add(fleetStep)
		for _, n := range f.nodes {
			for range samplesPerStep {
				f.sample(n, f.rng.IntN(len(n.estimators)))
			}
		}
		for i, n := range f.nodes {
			f.report(i, n)
			n.group.Update(n.estimators, f.now, func(int, float64) {})
		}
	}
}

func (f *fleet) sample(n *node, server int) {
	level := min(f.rng.IntN(LoadLevels), f.rng.IntN(LoadLevels))
	ratio := 7 * f.slowness(server) * math.Exp(sampleNoise*f.rng.NormFloat64())
	n.group.Observe(n.estimators[server], Sample{Kind: EventInterval, Level: level, Ratio: ratio, Weight: 1})
}

// report passes a node's samples to the others, and all that it knows of some servers.
func (f *fleet) report(i int, n *node) {
	for server, e := range n.estimators {
		r := e.TakeReport(uint64(server), server%9 == (f.round+i)%9)
		for j, other := range f.nodes {
			if j != i {
				other.group.Merge(other.estimators[server], r, f.now)
			}
		}
	}
}

// paces returns the paces of all servers in use at a node, at the lowest load.
func (n *node) paces() []float64 {
	var list []float64
	for _, e := range n.estimators {
		list = append(list, e.Pace(0))
	}
	return list
}

func (n *node) countWithin(t *testing.T, low, high float64, isCounted func(server int) bool) (within, all int) {
	t.Helper()
	for server, p := range n.paces() {
		if isCounted(server) {
			all++
			if p >= low && p <= high {
				within++
			}
		}
	}
	return within, all
}

func threeGroups(server int) float64 {
	if server%3 == 2 {
		return 1.7
	}
	return 0.7
}

// Guards against estimates that need each node to take enough samples by itself: every node sees a server once in six seconds.
func TestNodesLearnPacesTogether(t *testing.T) {
	f := newFleet(fleetNodes, fleetServers, threeGroups)
	f.run(8*time.Second, 4)
	for _, n := range []*node{f.nodes[0], f.nodes[fleetNodes-1]} {
		if ok, all := n.countWithin(t, 1, 1, func(s int) bool { return s%3 != 2 }); ok < all*9/10 {
			t.Errorf("%d of %d usual servers count as the median: %.2f", ok, all, n.paces())
		}
		if ok, all := n.countWithin(t, 1.65, 2.9, func(s int) bool { return s%3 == 2 }); ok < all*9/10 {
			t.Errorf("%d of %d servers that take 2.4 times longer have a pace of 1.65 to 2.9: %.2f", ok, all, n.paces())
		}
	}
}

// Guards against noise that is taken for a difference between servers.
func TestAlikeServersCountAsMedian(t *testing.T) {
	f := newFleet(fleetNodes, fleetServers, func(int) float64 { return 1 })
	for range 10 {
		f.run(3*time.Second, 4)
		for _, n := range f.nodes {
			if ok, all := n.countWithin(t, 1, 1, func(int) bool { return true }); ok < all*9/10 {
				t.Fatalf("%d of %d alike servers count as the median: %.2f", ok, all, n.paces())
			}
		}
	}
}

// Guards against a slow-down of all servers that is taken for slow servers.
func TestSlowDownOfAllServersChangesNoPace(t *testing.T) {
	factor := 1.0
	f := newFleet(fleetNodes, fleetServers, func(server int) float64 { return factor * threeGroups(server) })
	f.run(15*time.Second, 4)
	factor = 3
	for range 10 {
		f.run(2*time.Second, 4)
		n := f.nodes[0]
		ok, all := n.countWithin(t, 1, 1, func(s int) bool { return s%3 != 2 })
		slow, allSlow := n.countWithin(t, 1.65, 2.9, func(s int) bool { return s%3 == 2 })
		if ok < all*9/10 || slow < allSlow*9/10 {
			t.Fatalf("after a slow-down of all servers %d of %d count as the median and %d of %d as 1.65 to 2.9 times slower: %.2f", ok, all, slow, allSlow, n.paces())
		}
	}
}

const (
	// changeBound and recoveryBound are the times in which a change of three times must be found, and its end: a third of the time
	// between two reclaims of the deployments.
	changeBound   = 6 * time.Second
	recoveryBound = 8 * time.Second
)

// Guards against changes that are found too late, or that move the estimates of the other servers.
func TestThirdOfServersTurnsSlowAndRecovers(t *testing.T) {
	isSlow := false
	f := newFleet(fleetNodes, fleetServers, func(server int) float64 {
		if isSlow && server < fleetServers/3 {
			return 3
		}
		return 1
	})
	f.run(20*time.Second, 4)
	isSlow = true
	f.run(changeBound, 4)
	n := f.nodes[0]
	if ok, all := n.countWithin(t, 2, 3.8, func(s int) bool { return s < fleetServers/3 }); ok < all*9/10 {
		t.Errorf("%s after the change %d of %d servers that turned 3 times slower have a pace of 2 to 3.8: %.2f", changeBound, ok, all, n.paces())
	}
	if ok, all := n.countWithin(t, 0.75, 1, func(s int) bool { return s >= fleetServers/3 }); ok < all*9/10 {
		t.Errorf("%s after the change %d of %d other servers have a pace of 0.75 to 1: %.2f", changeBound, ok, all, n.paces())
	}
	isSlow = false
	f.run(recoveryBound, 4)
	if ok, all := n.countWithin(t, 0.75, 1.35, func(int) bool { return true }); ok < all*9/10 {
		t.Errorf("%s after the recovery %d of %d servers have a pace of 0.75 to 1.35: %.2f", recoveryBound, ok, all, n.paces())
	}
}

// Guards against estimates that jump when a part of the servers is 2.5 times slower for 600 ms at a time.
func TestShortSlowTimesDoNotMoveEstimates(t *testing.T) {
	var f *fleet
	f = newFleet(fleetNodes, fleetServers, func(server int) float64 {
		// A step is 500 ms long, a slow time at least one step.
		if r := rand.New(rand.NewPCG(uint64(server), uint64(f.round))); r.IntN(100) < 15 {
			return 2.5
		}
		return 1
	})
	f.run(10*time.Second, 4)
	for range 20 {
		f.run(time.Second, 4)
		n := f.nodes[0]
		isCounted := func(int) bool { return true }
		if ok, all := n.countWithin(t, 1, 1, isCounted); ok < all*9/10 {
			t.Fatalf("%d of %d servers with short slow times count as the median, want nine in ten: %.2f", ok, all, n.paces())
		}
		if ok, all := n.countWithin(t, 0.75, 1.35, isCounted); ok < all {
			t.Fatalf("%d of %d servers with short slow times are within a step of the median: %.2f", ok, all, n.paces())
		}
	}
}

// Guards against nodes that have to learn anew what their peers know.
func TestStartingNodeLearnsFromPeers(t *testing.T) {
	f := newFleet(12, 36, threeGroups)
	f.run(15*time.Second, 4)
	f.nodes = append(f.nodes, newNode(36))
	f.run(time.Second, 4)
	n := f.nodes[12]
	if ok, all := n.countWithin(t, 1.65, 2.9, func(s int) bool { return s%3 == 2 }); ok < all*9/10 {
		t.Errorf("a second after its start a node knows %d of %d slow servers: %.2f", ok, all, n.paces())
	}
}

// Guards against servers that slow down early but are sent as many requests as the others: the estimate depends on the load.
func TestServerThatSlowsDownEarlyHandlesFewerRequests(t *testing.T) {
	f := newFleet(1, 12, func(int) float64 { return 1 })
	n := f.nodes[0]
	for range 4000 {
		f.now = f.now.Add(2 * time.Millisecond)
		server, level := f.rng.IntN(12), f.rng.IntN(LoadLevels)
		ratio := 5 * math.Exp(0.2*f.rng.NormFloat64()+0.1*float64(level))
		if server == 0 && level >= 2 {
			ratio *= 3
		}
		n.group.Observe(n.estimators[server], Sample{Kind: LongPrompt, Level: level, Ratio: ratio, Weight: 1})
		n.group.Update(n.estimators, f.now, func(int, float64) {})
	}
	if got := n.estimators[0].ComfortableSlots(24); got != 12 {
		t.Errorf("a server that slows down from half its slots on handles %d of 24 requests well, want 12: %.2f", got, n.estimators[0].paces)
	}
	for i, e := range n.estimators[1:] {
		if got := e.ComfortableSlots(24); got != 24 {
			t.Errorf("server %d handles %d of 24 requests well, want 24", i+1, got)
		}
	}
}

// Whatever is reported or observed, a pace stays within its bounds and is a number.
func TestPaceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(4)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pause")))
			e := n.estimators[rapid.IntRange(0, 3).Draw(t, "server")]
			if rapid.Bool().Draw(t, "isReport") {
				n.group.Merge(e, ServerReport{Samples: rapid.SliceOfN(rapid.Int(), 0, 7).Draw(t, "samples"), Weight: rapid.Int().Draw(t, "weight"), Deviation: rapid.Int().Draw(t, "mean")}, now)
			} else {
				n.group.Observe(e, Sample{Kind: PlainResponse, Level: rapid.IntRange(0, 3).Draw(t, "level"), Ratio: rapid.Float64().Draw(t, "ratio"), Weight: 1})
			}
			n.group.Update(n.estimators, now, func(int, float64) {})
			for _, e := range n.estimators {
				for level := range LoadLevels {
					if p := e.Pace(level); !(p >= Min && p <= Max) {
						t.Fatalf("pace %g, want %g to %g", p, Min, Max)
					}
				}
				if slots := e.ComfortableSlots(24); slots < 6 || slots > 24 {
					t.Fatalf("%d comfortable slots of 24, want 6 to 24", slots)
				}
			}
		}
	})
}

// Cost of finding the paces of the servers of a service, twice a second at most.
func BenchmarkUpdate(b *testing.B) {
	f := newFleet(4, 228, threeGroups)
	f.run(10*time.Second, 100)
	n := f.nodes[0]
	b.ReportAllocs()
	for b.Loop() {
		f.now = f.now.Add(time.Millisecond)
		n.group.Update(n.estimators, f.now, func(int, float64) {})
	}
}

// Cost of one response. Guards against allocations on the path of requests.
func TestSamplesAllocateNothing(t *testing.T) {
	f := newFleet(1, 12, threeGroups)
	f.run(2*time.Second, 50)
	if allocations := testing.AllocsPerRun(200, func() { f.sample(f.nodes[0], 3) }); allocations > 0 {
		t.Errorf("a sample allocates %g times", allocations)
	}
}
