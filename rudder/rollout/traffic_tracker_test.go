package rollout

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/boottime"
)

// testFleet holds the trackers of several nodes with one clock. Node 0 holds the duty lease.
type testFleet struct {
	clock    boottime.Instant
	unix     time.Time
	trackers []*TrafficTracker
	shares   []VersionShares
	divided  []bool
	running  []int // requests at old servers by node
	cutOff   map[int]bool
	fence    int64
	requests int
	servers  int
}

func newTestFleet(nodes int) *testFleet {
	f := &testFleet{clock: boottime.Instant(time.Hour), unix: time.UnixMilli(1_700_000_000_000), cutOff: map[int]bool{}, fence: 1, servers: 3}
	f.shares, f.divided, f.running = make([]VersionShares, nodes), make([]bool, nodes), make([]int, nodes)
	for i := range nodes {
		f.trackers = append(f.trackers, f.newTracker(i))
	}
	return f
}

func (f *testFleet) newTracker(i int) *TrafficTracker {
	t := NewTrafficTracker(slog.New(slog.DiscardHandler))
	t.Now, t.UnixNow = func() boottime.Instant { return f.clock }, func() time.Time { return f.unix }
	t.CountServers = func(string, string) (int, int) { return f.servers, 3 }
	t.CountRunning = func(string, string) int { return f.running[i] }
	t.OnShares = func(_ string, s VersionShares, isDivided bool) { f.shares[i], f.divided[i] = s, isDivided }
	return t
}

func incarnation(i int) string { return fmt.Sprint("n", i, "/1") }

func (f *testFleet) acks() Acknowledgement {
	var a Acknowledgement
	for i := 1; i < len(f.trackers); i++ {
		a.Peers = append(a.Peers, incarnation(i))
	}
	return a
}

// step lets 200 ms pass: each node gets the given requests, of which the part of the new version that is bad fails.
func (f *testFleet) step(perNode int, badEach int) HolderStep {
	f.clock, f.unix = f.clock.Add(200*time.Millisecond), f.unix.Add(200*time.Millisecond)
	for i, t := range f.trackers {
		for range perNode {
			f.requests++
			t.CountArrival("s")
			version := "v1"
			if fraction := float64(f.requests*7919%1000) / 1000; f.divided[i] && (f.shares[i].IsOnlyTarget || fraction < f.shares[i].Share) {
				version = "v2"
			}
			t.CountSend("s", version, "r")
			t.CountEnd("s", version, "r", Result{IsFailed: version == "v2" && badEach > 0 && f.requests%badEach == 0, Ratio: 1, Server: uint64(f.requests)})
		}
		t.Update()
	}
	step := f.trackers[0].Decide("s", f.fence, f.unix, Bounds{Share: 0.1, Slack: 50}, f.acks(), false)
	f.exchange()
	return step
}

func (f *testFleet) exchange() {
	for i, from := range f.trackers {
		fence := int64(0)
		if i == 0 {
			fence = f.fence
		}
		reports := from.Reports(fence)
		for j, to := range f.trackers {
			if i != j && !f.cutOff[i] && !f.cutOff[j] {
				to.ApplyReports(fmt.Sprint("n", i), incarnation(i), reports)
			}
		}
	}
}

func (f *testFleet) order() {
	p := readOrder("v2", 10)
	p.Order.StartedUnixMillis = f.unix.UnixMilli()
	f.trackers[1].Apply(p)
	f.exchange()
}

// sent returns the requests of all nodes at the new version.
func (f *testFleet) sent() int64 {
	var sum int64
	for _, t := range f.trackers {
		if s := t.services["s"]; s != nil {
			for key, c := range s.own {
				if key.isNew {
					sum += c.Sent
				}
			}
		}
	}
	return sum
}

// Guards against a completion that comes before all nodes have confirmed that nothing runs at old servers.
func TestCompletionWaitsForAllNodes(t *testing.T) {
	f := newTestFleet(4)
	f.order()
	f.running[3] = 1
	for range 120 { // 24 s
		if f.step(4, 0).IsFinished {
			t.Fatal("finished while a request runs at an old server of node 3")
		}
	}
	f.running[3] = 0
	f.cutOff[2] = true
	for range 20 {
		if step := f.step(4, 0); step.IsFinished && f.clock > 0 && len(f.trackers[0].services["s"].peers) > 0 {
			age := f.clock.Sub(f.trackers[0].services["s"].peers[incarnation(2)].receivedAt)
			if age > maxAcknowledgementAge {
				t.Fatalf("finished although node 2 has been silent for %s", age)
			}
		}
	}
	f.cutOff[2] = false
	for i := 0; !f.step(4, 0).IsFinished; i++ {
		if i > 20 {
			t.Fatal("not finished although all nodes have confirmed")
		}
	}
	f.trackers[0].Finish("s", f.trackers[0].Progresses()[0].Order, true, f.fence)
	f.exchange()
	for i, s := range f.shares {
		if !f.divided[i] || !s.IsOnlyTarget {
			t.Errorf("node %d may send to old servers after the completion: %+v", i, s)
		}
	}
	for range 200 { // 40 s
		f.step(1, 0)
	}
	for i := range f.shares {
		if f.divided[i] {
			t.Errorf("node %d still divides the requests 40 s after the completion", i)
		}
	}
}

// Guards against a bad version that is stopped only where the holder is heard: each node has to find it out.
func TestEachNodeStopsABadVersionWithoutHolder(t *testing.T) {
	f := newTestFleet(3)
	f.order()
	for range 25 {
		f.step(40, 0)
	}
	f.cutOff[0] = true // the holder
	before := f.sent()
	for range 6 {
		f.step(40, 2)
	}
	for i := 1; i < 3; i++ {
		if p := f.trackers[i].Progresses()[0]; p.Phase != PhaseReversing || len(f.shares[i].Excluded) != 1 {
			t.Errorf("node %d: phase %s, shares %+v, want the version to be excluded", i, p.Phase, f.shares[i])
		}
	}
	stopped := f.sent()
	for range 10 {
		f.step(40, 2)
	}
	t.Logf("%d sent before the holder was cut off, %d until all stopped", before, stopped)
	f.cutOff[0] = false
	f.step(1, 0)
	f.step(1, 0)
	if p := f.trackers[0].Progresses()[0]; p.Phase != PhaseReversing {
		t.Errorf("the holder has not taken over that the version is bad: phase %s", p.Phase)
	}
}

// Guards against a node that goes on sending to an unproven version while it does not hear of the holder.
func TestShareEndsWithoutHolder(t *testing.T) {
	f := newTestFleet(3)
	f.order()
	for range 20 {
		f.step(10, 0)
	}
	if f.shares[2].Share == 0 {
		t.Fatal("node 2 has no share after 4 s")
	}
	f.cutOff[2] = true
	for range 12 { // 2.4 s
		f.step(10, 0)
	}
	if f.shares[2].Share != 0 {
		t.Errorf("share %v at a node that has not heard of the holder for 2.4 s, want 0", f.shares[2].Share)
	}
	f.cutOff[2] = false
	f.step(10, 0)
	if f.shares[2].Share == 0 {
		t.Error("no share after the node hears of the holder again")
	}
}

// Guards against a new holder, which has just started, that forgets what was sent before, and extends the share before it knows
// the rate of requests.
func TestNewHolderKnowsWhatWasSent(t *testing.T) {
	f := newTestFleet(3)
	f.order()
	for range 30 {
		f.step(40, 0)
	}
	sent := f.sent()
	if sent < 10 {
		t.Fatalf("%d requests at the new version after 6 s, want some", sent)
	}
	share := f.trackers[0].Progresses()[0].Share
	f.trackers[0], f.fence = f.newTracker(0), 2 // the node starts again and takes the lease
	f.exchange()
	step := f.step(40, 0)
	if known := f.trackers[0].Readings()[0].Sent; known < sent {
		t.Errorf("the new holder knows of %d requests at the new version, want at least %d", known, sent)
	}
	if step.Progress.Share > share {
		t.Errorf("share %v right after the takeover, it was %v", step.Progress.Share, share)
	}
}

// Guards against reports of peers that make the tracker grow or panic.
func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTrafficTracker(slog.New(slog.DiscardHandler))
	var reports []Report
	for i := range 10 * maxOrders {
		p := readOrder("v2", 10)
		p.Order.Service = fmt.Sprint("s", i)
		reports = append(reports, Report{Progress: p, Counts: make([]RouteCounts, 100*maxRoutes)})
	}
	tracker.ApplyReports("n", "n/1", append(reports, Report{}))
	if n := len(tracker.Progresses()); n != maxOrders {
		t.Errorf("%d orders, want %d", n, maxOrders)
	}
	for i := range 100 * maxRoutes {
		tracker.CountSend("s0", "v2", fmt.Sprint("route", i))
	}
	if n := len(tracker.Reports(0)[0].Counts); n > 2*maxRoutes+2 {
		t.Errorf("%d routes are counted, want at most %d", n, 2*maxRoutes+2)
	}
	for i := range maxOrders {
		for j := range 2 * maxRoutes {
			tracker.CountSend(fmt.Sprint("s", i), "v2", fmt.Sprint("route with a long name ", j))
		}
	}
	encoding, err := cbor.Marshal(tracker.Reports(0))
	if err != nil || len(encoding) > maxReportBytes {
		t.Errorf("reports have %d bytes, error %v, want at most %d", len(encoding), err, maxReportBytes)
	}
}
