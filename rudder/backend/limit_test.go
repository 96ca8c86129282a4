package backend

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// limitedFleet is a fleet of nodes whose requests go to the servers of one service, some of which name a limit.
type limitedFleet struct {
	limitedFleetOptions
	rng      *rand.Rand
	tables   []*Table
	isUp     []bool
	arrivals map[string][]time.Time // at each server that names a limit
	pending  []limitedRequest
	limited  func(server int, at time.Duration) bool
	begin    time.Time
	refused  int
	sent     int
}

type limitedFleetOptions struct {
	seed           uint64
	nodes          int
	perSecond      float64 // limit that servers name
	limitedShare   float64 // of the servers
	requestsPerS   float64
	digestInterval time.Duration
	isPlain        bool // requests are plain ones, not prompts
}

type limitedRequest struct {
	placement *Placement
	server    int
	answerAt  time.Time
}

const (
	limitNamedFrom  = 6 * time.Second
	limitNamedUntil = 25 * time.Second
	limitSimulated  = 36 * time.Second
	limitStep       = 5 * time.Millisecond
	// limitContactBound is the time after a server first named its limit from which it must be kept, and limitWindow the
	// time over which requests are counted.
	limitContactBound = 3 * time.Second
	limitWindow       = 4 * time.Second
	fleetServers      = 36
)

func newLimitedFleet(o limitedFleetOptions) *limitedFleet {
	f := &limitedFleet{limitedFleetOptions: o, rng: rand.New(rand.NewPCG(o.seed, 0)), arrivals: map[string][]time.Time{}, begin: time.Now()}
	for i := range o.nodes {
		f.tables = append(f.tables, f.newTable(i))
		f.isUp = append(f.isUp, true)
	}
	limitedCount := int(o.limitedShare * fleetServers)
	f.limited = func(server int, at time.Duration) bool {
		return server < limitedCount && at >= limitNamedFrom && at < limitNamedUntil
	}
	f.setNodes()
	return f
}

func (f *limitedFleet) newTable(node int) *Table {
	t := NewTable(time.Second, slog.New(slog.DiscardHandler))
	t.random = rand.New(rand.NewPCG(f.seed, uint64(node)+1))
	var entries []Entry
	for i := range fleetServers {
		entries = append(entries, Entry{ID: serverID(i), Service: "s", Address: "127.0.0.1:1", FailureDomain: fmt.Sprint("d", i%3), Slots: 64})
	}
	t.Replace(entries)
	return t
}

func serverID(i int) string { return fmt.Sprint("server-", i) }

// setNodes tells all nodes which ones serve.
func (f *limitedFleet) setNodes() {
	var nodes []Node
	for i, isUp := range f.isUp {
		if isUp {
			nodes = append(nodes, Node{Name: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("d", i%3)})
		}
	}
	for i, t := range f.tables {
		t.SetNodes(fmt.Sprint("n", i), nodes)
	}
}

func (f *limitedFleet) run() {
	for step := 0; time.Since(f.begin) < limitSimulated; step++ {
		time.Sleep(limitStep)
		now := time.Since(f.begin)
		switch { // a planned stop of one node, which starts again without its memory
		case now > 13*time.Second && now <= 13*time.Second+limitStep:
			f.isUp[0] = false
		case now > 14*time.Second && now <= 14*time.Second+limitStep:
			f.setNodes() // the others notice it
		case now > 20*time.Second && now <= 20*time.Second+limitStep:
			f.tables[0], f.isUp[0] = f.newTable(0), true
			f.setNodes()
		}
		for n := f.rng.ExpFloat64(); n < f.requestsPerS*limitStep.Seconds(); n += f.rng.ExpFloat64() {
			f.send()
		}
		f.answer()
		f.exchange(step)
	}
}

// send places a request at a random node.
func (f *limitedFleet) send() {
	node := f.rng.IntN(len(f.tables))
	if !f.isUp[node] {
		return
	}
	p, refusal := f.tables[node].Place(Request{
		Service: "s", IsGeneration: !f.isPlain, PromptTokens: 500 + f.rng.IntN(2500), MaxOutputTokens: 20,
		Parts: []PromptPart{{ID: fmt.Sprint("part", f.rng.IntN(40)), Tokens: 300}}, FailureDomain: fmt.Sprint("d", node%3),
	}, 0)
	if refusal != nil {
		f.refused++
		return
	}
	f.sent++
	f.arrivals[p.ID] = append(f.arrivals[p.ID], time.Now())
	server, _ := strconv.Atoi(p.ID[len("server-"):])
	f.pending = append(f.pending, limitedRequest{placement: p, server: server, answerAt: time.Now().Add(time.Duration(30+f.rng.IntN(200)) * time.Millisecond)})
}

// answer ends the requests whose answers are due.
func (f *limitedFleet) answer() {
	f.pending = slices.DeleteFunc(f.pending, func(r limitedRequest) bool {
		if time.Now().Before(r.answerAt) {
			return false
		}
		field := ""
		if f.limited(r.server, time.Since(f.begin)) {
			field = strconv.FormatFloat(f.perSecond, 'f', -1, 64)
		}
		r.placement.RecordLimit(field)
		r.placement.RecordFirstByte()
		r.placement.Release(ResultCompleted)
		return true
	})
}

// exchange passes the reports of nodes to the others, each node at its own phase.
func (f *limitedFleet) exchange(step int) {
	steps := int(f.digestInterval / limitStep)
	for i, from := range f.tables {
		if (step+7*i)%steps != 0 || !f.isUp[i] {
			continue
		}
		reports := from.Limits()
		for j, to := range f.tables {
			if i != j {
				to.ApplyLimits(reports)
				to.SetPeerLoads(fmt.Sprint("n", i), from.OwnLoads())
			}
		}
	}
}

// mostInWindow returns the largest number of arrivals at a limited server in a window from the contact bound on.
func (f *limitedFleet) mostInWindow() int {
	most := 0
	for i := range fleetServers {
		if !f.limited(i, limitNamedFrom) {
			continue
		}
		times := f.arrivals[serverID(i)]
		for first, at := range times {
			if at.Before(f.begin.Add(limitNamedFrom + limitContactBound)) {
				continue
			}
			count := 0
			for _, other := range times[first:] {
				if other.Sub(at) < limitWindow && other.Before(f.begin.Add(limitNamedUntil)) {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// countArrivals counts the arrivals at limited servers in a period.
func (f *limitedFleet) countArrivals(from, until time.Duration) int {
	count := 0
	for i := range fleetServers {
		if f.limited(i, limitNamedFrom) {
			for _, at := range f.arrivals[serverID(i)] {
				if at.After(f.begin.Add(from)) && at.Before(f.begin.Add(until)) {
					count++
				}
			}
		}
	}
	return count
}

// Pattern: many servers name a limit of requests from all nodes together, for a time, while a node is stopped and starts
// again without its memory. From the contact bound on, a server must get at most one and a half times its limit and five
// requests in any four seconds, however many nodes there are and however low the limit is; its part must be used where there
// is demand; and it must get its usual requests soon after it names no limit any more.
func TestNodesTogetherKeepLimitsOfServers(t *testing.T) {
	for name, o := range map[string]limitedFleetOptions{
		"9 nodes, 1 a second":           {nodes: 9, perSecond: 1, limitedShare: 0.7, requestsPerS: 140, digestInterval: 250 * time.Millisecond},
		"9 nodes, one in three seconds": {nodes: 9, perSecond: 0.3, limitedShare: 0.7, requestsPerS: 140, digestInterval: 250 * time.Millisecond},
		"9 nodes, none":                 {nodes: 9, perSecond: 0, limitedShare: 0.7, requestsPerS: 140, digestInterval: 250 * time.Millisecond},
		"9 nodes, 2.5 a second":         {nodes: 9, perSecond: 2.5, limitedShare: 1, requestsPerS: 200, digestInterval: 250 * time.Millisecond},
		"2 nodes, 20 a second":          {nodes: 2, perSecond: 20, limitedShare: 1, requestsPerS: 1500, digestInterval: 250 * time.Millisecond},
		"60 nodes, 1 a second":          {nodes: 60, perSecond: 1, limitedShare: 0.8, requestsPerS: 400, digestInterval: 500 * time.Millisecond},
		"60 nodes, 12 a second":         {nodes: 60, perSecond: 12, limitedShare: 0.8, requestsPerS: 600, digestInterval: 500 * time.Millisecond},
		"plain requests":                {nodes: 9, perSecond: 3, limitedShare: 1, requestsPerS: 300, digestInterval: 250 * time.Millisecond, isPlain: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLimitedFleet(t, o) })
		})
	}
}

func checkLimitedFleet(t *testing.T, o limitedFleetOptions) {
	f := newLimitedFleet(o)
	f.run()
	if most, allowed := f.mostInWindow(), int(1.5*o.perSecond*limitWindow.Seconds())+5; most > allowed {
		t.Errorf("%d requests in %s at a server with a limit of %g a second, allowed %d", most, limitWindow, o.perSecond, allowed)
	}
	limitedServers := float64(int(o.limitedShare * fleetServers))
	period := limitNamedUntil - limitNamedFrom - limitContactBound
	used := float64(f.countArrivals(limitNamedFrom+limitContactBound, limitNamedUntil)) / period.Seconds() / limitedServers
	if o.limitedShare == 1 && used < o.perSecond/2 {
		t.Errorf("%.2f requests a second at each limited server, of %g, although all are refused that do not go there", used, o.perSecond)
	}
	usual := float64(f.countArrivals(0, limitNamedFrom)) / limitNamedFrom.Seconds()
	after := float64(f.countArrivals(limitSimulated-5*time.Second, limitSimulated)) / 5
	if after < usual/2 {
		t.Errorf("%.1f requests a second at all limited servers after the limits, %.1f before", after, usual)
	}
}

// Guards against placements that differ between runs with the same seed, by the order of a map or an unseeded source.
func TestSameSeedGivesSamePlacements(t *testing.T) {
	for _, isPlain := range []bool{false, true} {
		o := limitedFleetOptions{nodes: 3, perSecond: 1, limitedShare: 0.7, requestsPerS: 60, digestInterval: 250 * time.Millisecond, isPlain: isPlain}
		var first map[string][]time.Time
		for range 2 {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(o)
				f.run()
				if first == nil {
					first = f.arrivals
				}
				for i := range fleetServers {
					if id := serverID(i); !slices.Equal(f.arrivals[id], first[id]) {
						t.Errorf("plain requests %t: %d requests at %s, or others than %d in the run before", isPlain, len(f.arrivals[id]), id, len(first[id]))
					}
				}
			})
		}
	}
}

// Guards against servers that get no usual requests any more although their need has ended: at low load no request went to them,
// so that no response could lift their limits.
func TestEndOfLimitsIsNoticedAtLowLoad(t *testing.T) {
	for _, o := range []limitedFleetOptions{
		{nodes: 9, perSecond: 0, limitedShare: 0.7, requestsPerS: 20, digestInterval: 250 * time.Millisecond},
		{nodes: 9, perSecond: 1, limitedShare: 0.7, requestsPerS: 20, digestInterval: 250 * time.Millisecond},
		{nodes: 3, perSecond: 12, limitedShare: 0.7, requestsPerS: 20, digestInterval: 250 * time.Millisecond, isPlain: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newLimitedFleet(o)
			f.run()
			for i, table := range f.tables {
				stillNamed := 0
				for _, s := range table.servers {
					if s.limit.isNamed {
						stillNamed++
					}
				}
				if stillNamed > 0 {
					t.Errorf("limit %g, plain requests %t: node %d holds that %d of %d servers name a limit, %s after they named the last",
						o.perSecond, o.isPlain, i, stillNamed, int(o.limitedShare*fleetServers), limitSimulated-limitNamedUntil)
				}
			}
			if most, allowed := f.mostInWindow(), int(1.5*o.perSecond*limitWindow.Seconds())+5; most > allowed {
				t.Errorf("%d requests in %s at a server with a limit of %g a second, allowed %d", most, limitWindow, o.perSecond, allowed)
			}
		})
	}
}

// The newest answer of a server counts, wherever it arrived. Malformed limits, older reports and those of an earlier process of
// the server change nothing.
func TestNewestAnswerDecidesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTestTable(1, 8), newTestTable(1, 8)
		answer := func(table *Table, field string) {
			t.Helper()
			time.Sleep(time.Minute) // enough for a token
			p, refusal := table.Place(generationRequest("x", 1), 0)
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			p.RecordLimit(field)
			p.Release(ResultCompleted)
		}
		limitOf := func(table *Table) string {
			l := table.servers["s00"].limit
			if !l.isNamed {
				return "none"
			}
			return fmt.Sprint(l.perSecond)
		}
		answer(a, "2.5")
		old := a.Limits()
		b.ApplyLimits(old)
		if limitOf(a) != "2.5" || limitOf(b) != "2.5" || a.UrgentLimits() != nil {
			t.Fatalf("limits %s and %s, want 2.5 at both and nothing urgent after a report", limitOf(a), limitOf(b))
		}
		for _, malformed := range []string{"many", "-1", "NaN", "Inf"} {
			if answer(a, malformed); limitOf(a) != "2.5" {
				t.Errorf("%q changed the limit to %s", malformed, limitOf(a))
			}
		}
		answer(b, "")
		if limitOf(b) != "none" {
			t.Fatalf("limit %s after an answer without one, want none", limitOf(b))
		}
		b.ApplyLimits(old)
		lifted := b.UrgentLimits()
		a.ApplyLimits(lifted)
		if limitOf(a) != "none" || limitOf(b) != "none" {
			t.Errorf("limits %s and %s, want none at both", limitOf(a), limitOf(b))
		}
		restarted := newTestTable(0, 8)
		restarted.Put(Entry{ID: "s00", Service: "m", Address: "127.0.0.1:9", Slots: 8, StartUnixMillis: 5})
		restarted.ApplyLimits(old)
		if limitOf(restarted) != "none" {
			t.Errorf("limit %s of an earlier process, want none", limitOf(restarted))
		}
	})
}

// Guards against reports that grow with the number of limited servers until digests exceed the links, and against limits that
// a peer never hears of because others are always sent first.
func TestLimitsAreReportedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = 300
		from, to := newTestTable(servers, 8), newTestTable(servers, 8)
		for i, id := range slices.Sorted(maps.Keys(from.servers)) {
			from.setLimit(from.servers[id], float64(i+1), true, time.Now())
		}
		time.Sleep(time.Minute)
		changed := from.servers[slices.Min(slices.Collect(maps.Keys(from.servers)))]
		from.setLimit(changed, 0.5, true, time.Now())
		const turns = (servers + limitReportsPerDigest - 2) / (limitReportsPerDigest - 1) // one place is taken by the change
		for turn := range turns {
			reports := from.Limits()
			if len(reports) > limitReportsPerDigest {
				t.Fatalf("%d reports at once, want at most %d", len(reports), limitReportsPerDigest)
			}
			to.ApplyLimits(reports)
			if l := to.servers[changed.ID].limit; !l.isNamed || l.perSecond != 0.5 {
				t.Fatalf("limit %+v after report %d, want the change in the first one", l, turn+1)
			}
		}
		for id, s := range to.servers {
			if !s.limit.isNamed || s.limit.perSecond != from.servers[id].limit.perSecond {
				t.Errorf("limit of %s is %+v after %d reports, want %g", id, s.limit, turns, from.servers[id].limit.perSecond)
			}
		}
	})
}

// The shares of all nodes must add up to the limit, and be large enough to send whole requests.
func TestLimitSharesAddUp(t *testing.T) {
	for _, count := range []int{1, 3, 9, 195} {
		var nodes []Node
		for i := range count {
			nodes = append(nodes, Node{Name: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("d", i%3)})
		}
		for _, perSecond := range []float64{0, 0.2, 1, 7.5, 400} {
			sum, senders := 0.0, 0
			for _, n := range nodes {
				share := limitShare(n.Name, nodes, 12345, "d1", perSecond)
				sum += share
				if share > 0 {
					senders++
				}
				if share > 0 && share < min(perSecond, minLimitShare) {
					t.Errorf("%d nodes, limit %g: share %g is too small", count, perSecond, share)
				}
			}
			if diff := sum - perSecond; diff > 1e-9 || diff < -1e-9 {
				t.Errorf("%d nodes, limit %g: shares add up to %g over %d nodes", count, perSecond, sum, senders)
			}
		}
	}
}
