package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// pausedFleet is a fleet of nodes whose requests go to the servers of one service.
type pausedFleet struct {
	rng    *rand.Rand
	tables []*Table
	begin  time.Time
	pauses func(server string, at time.Duration) string // Retry-After with which a server refuses; empty if it serves

	requests sync.WaitGroup
	mu       sync.Mutex
	arrivals map[string][]time.Duration // at each server, since begin
	refused  int
}

func newPausedFleet(nodes, servers int) *pausedFleet {
	f := &pausedFleet{rng: rand.New(rand.NewPCG(1, 0)), begin: time.Now(), arrivals: map[string][]time.Duration{}}
	var list []Node
	for i := range nodes {
		table := newTestTable(servers, 64)
		table.useTestClock()
		f.tables = append(f.tables, table)
		list = append(list, Node{Name: fmt.Sprint("n", i), FailureDomain: "a"})
	}
	for i, table := range f.tables {
		table.SetNodes(fmt.Sprint("n", i), list)
	}
	return f
}

// run sends requests at random nodes, with random pauses between them, until the given time. Requests whose server refuses
// them are not sent again.
func (f *pausedFleet) run(until time.Duration, perSecond float64, request func() Request) {
	for {
		time.Sleep(time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)))
		if time.Since(f.begin) > until {
			f.requests.Wait()
			return
		}
		table, r := f.tables[f.rng.IntN(len(f.tables))], request()
		f.requests.Go(func() { f.send(table, r) })
	}
}

func (f *pausedFleet) send(table *Table, r Request) {
	p, refusal := table.Place(r, 0)
	for refusal != nil && refusal.Wait > 0 {
		r.Patience -= refusal.Wait
		refusal.Await(context.Background())
		r.HasWaited = true
		p, refusal = table.Place(r, 0)
	}
	if refusal != nil {
		f.mu.Lock()
		f.refused++
		f.mu.Unlock()
		return
	}
	at := time.Since(f.begin)
	f.mu.Lock()
	f.arrivals[p.ID] = append(f.arrivals[p.ID], at)
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	p.RecordFirstByte()
	if asked := f.pauses(p.ID, at); asked != "" {
		p.RecordPause("r", []string{asked})
		p.Release(ResultRejected)
		return
	}
	p.Release(ResultCompleted)
}

// arrivalsIn returns the number of requests that reached a server in a period.
func (f *pausedFleet) arrivalsIn(server string, from, until time.Duration) int {
	count := 0
	for _, at := range f.arrivals[server] {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

// Load pattern: all servers of a service ask for a pause under load at the same time, at all nodes. None may get more than what
// was under way, and at the end the nodes together must begin with a few requests, not with all that they have, and come
// back to the usual load within seconds.
func TestTrafficReturnsGraduallyAfterPause(t *testing.T) {
	for _, patience := range []time.Duration{0, 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			const servers, perSecond = 4, 400.0
			f := newPausedFleet(9, servers)
			pauseBegin, pauseEnd := 2*time.Second, 4*time.Second
			f.pauses = func(_ string, at time.Duration) string {
				if at < pauseBegin || at >= pauseEnd {
					return ""
				}
				return fmt.Sprint((pauseEnd - at).Seconds())
			}
			f.run(10*time.Second, perSecond, func() Request { return Request{Service: "m", Patience: patience} })
			usual := perSecond / servers
			for i := range servers {
				id := fmt.Sprintf("s%02d", i)
				if got := f.arrivalsIn(id, pauseBegin+500*time.Millisecond, pauseEnd); got > 0 {
					t.Errorf("patience %s: %s got %d requests later than 0.5 s after it asked for a pause, want none", patience, id, got)
				}
				if got := f.arrivalsIn(id, pauseEnd, pauseEnd+500*time.Millisecond); float64(got) > usual*0.5/4 {
					t.Errorf("patience %s: %s got %d requests in the first 0.5 s after its pause, want at most a quarter of the usual %.0f", patience, id, got, usual*0.5)
				}
				if got := f.arrivalsIn(id, pauseEnd+returnTime, pauseEnd+returnTime+2*time.Second); float64(got) < usual {
					t.Errorf("patience %s: %s got %d requests in 2 s after the return, want at least half of the usual %.0f", patience, id, got, 2*usual)
				}
			}
		})
	}
}

// Load pattern: one of several servers asks one node for a pause. That node must send its requests to the other servers, and
// prompts to their home server again after the pause; the other nodes go on as before.
func TestPausedServerIsAvoidedByOneNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPausedFleet(2, 6)
		f.pauses = func(string, time.Duration) string { return "" }
		request := func() Request { return generationRequest("subject", 1) }
		home, _ := f.tables[0].Place(request(), 0)
		home.RecordPause("r", []string{"5"})
		home.Release(ResultRejected)
		if got := f.tables[0].OwnLoads()[home.ID].EjectedBy; got != 0 {
			t.Error("a pause counts as a failure of the server")
		}
		for i, table := range f.tables {
			p, refusal := table.Place(request(), 0)
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			if isHome := p.ID == home.ID; isHome != (i == 1) {
				t.Errorf("node %d placed a prompt on %s, the server that asked node 0 for a pause is %s", i, p.ID, home.ID)
			}
			p.RecordFirstByte()
			p.Release(ResultCompleted)
		}
		f.tables = f.tables[:1]
		f.run(15*time.Second, 20, request)
		if got := f.arrivalsIn(home.ID, 0, 5*time.Second); got > 0 {
			t.Errorf("the home server got %d prompts during its pause, want none", got)
		}
		if got := f.arrivalsIn(home.ID, 10*time.Second, 15*time.Second); got < 50 || f.refused > 0 {
			t.Errorf("the home server got %d of about 100 prompts long after its pause, %d refused, want at least 50 and none", got, f.refused)
		}
	})
}

// Load pattern: the only server of a service is paused. What can wait within its patience waits, the rest is refused at once with
// the end of the pause.
func TestRequestsWaitForPauseWithinTheirPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(1, 8)
		table.useTestClock()
		p, _ := table.Place(Request{Service: "m"}, 0)
		p.RecordPause("r", []string{"3.5"})
		if p.SendProblem() == "" {
			t.Error("a request that was placed before the pause may still be sent")
		}
		p.Release(ResultInconclusive)
		time.Sleep(500 * time.Millisecond)
		if _, refusal := table.Place(Request{Service: "m", Patience: time.Second}, 0); refusal == nil || refusal.Wait > 0 || refusal.PausedFor != 3*time.Second {
			t.Errorf("refusal %+v with little patience, want one without a wait for a pause of 3 s", refusal)
		}
		begin := time.Now()
		_, refusal := table.Place(Request{Service: "m", Patience: 10 * time.Second}, 0)
		if refusal == nil || refusal.Wait < 3*time.Second {
			t.Fatalf("refusal %+v, want one with a wait of 3 s at least", refusal)
		}
		refusal.Await(t.Context())
		placed, refusal := table.Place(Request{Service: "m", Patience: time.Second, HasWaited: true}, 0)
		for ; refusal != nil && refusal.Wait > 0; placed, refusal = table.Place(Request{Service: "m", Patience: time.Second, HasWaited: true}, 0) {
			refusal.Await(t.Context())
		}
		if refusal != nil || placed.SendProblem() != "" || time.Since(begin) > 4*time.Second {
			t.Errorf("placement %+v, refusal %+v after %s, want a placement soon after 3 s", placed, refusal, time.Since(begin))
		}
		if got := table.servers["s00"].pause.waiting; got != 0 {
			t.Errorf("%d requests are counted as waiting, want none", got)
		}
	})
}

// Guards against requests that collect at a node without bound while a pause goes on.
func TestFewRequestsWaitForPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(1, 8)
		table.useTestClock()
		p, _ := table.Place(Request{Service: "m"}, 0)
		p.RecordPause("r", []string{"5"})
		p.Release(ResultRejected)
		waiting := 0
		for range 100 {
			_, refusal := table.Place(Request{Service: "m", Patience: time.Minute}, 0)
			if refusal.Wait > 0 {
				waiting++
			}
		}
		if waiting != 8 {
			t.Errorf("%d of 100 requests wait for a server with 8 slots, want 8", waiting)
		}
		if _, refusal := table.Place(Request{Service: "m", Patience: time.Minute, HasWaited: true}, 0); refusal.Wait == 0 {
			t.Error("a request that has waited is refused because others wait")
		}
	})
}

// The latest end of overlapping pauses holds, and no server is kept out for longer than the bound, whatever it asks for.
func TestLatestEndOfPausesHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, test := range map[string]struct {
			asked []string
			want  time.Duration
		}{
			"one":            {[]string{"1.25"}, 1250 * time.Millisecond},
			"longer first":   {[]string{"5", "1"}, 5 * time.Second},
			"longer last":    {[]string{"1", "5"}, 5 * time.Second},
			"huge":           {[]string{"86400"}, maxPause},
			"beyond numbers": {[]string{strings.Repeat("9", 300)}, maxPause},
			"overflow":       {[]string{strings.Repeat("9", 5000)}, 0},
			"zero":           {[]string{"0"}, 0},
			"fraction":       {[]string{".5"}, 500 * time.Millisecond},
			"empty":          {[]string{""}, 0},
			"negative":       {[]string{"-1"}, 0},
			"exponent":       {[]string{"1e9"}, 0},
			"not a number":   {[]string{"NaN"}, 0},
			"infinite":       {[]string{"Inf"}, 0},
			"hexadecimal":    {[]string{"0x10"}, 0},
			"two points":     {[]string{"1.2.3"}, 0},
			"list":           {[]string{"5, 6"}, 0},
			"date":           {[]string{"Wed, 21 Oct 2026 07:28:00 GMT"}, 0},
		} {
			table := newTestTable(1, 8)
			table.useTestClock()
			p, _ := table.Place(Request{Service: "m"}, 0)
			for _, value := range test.asked {
				p.RecordPause("r", []string{value})
			}
			p.RecordPause("r", nil)
			p.RecordPause("r", []string{"600", "600"})
			got := max(table.servers["s00"].pause.until.Sub(table.now()), 0)
			if test.want == 0 {
				got = table.servers["s00"].pause.wait(1, false, table.now())
			}
			if got != test.want {
				t.Errorf("%s: pause of %s, want %s", name, got, test.want)
			}
		}
	})
}

// Guards against a pause that is lost while the process of the server lives, that outlives it, or that a suspension of the host
// lengthens.
func TestPauseBelongsToProcessOfServer(t *testing.T) {
	entry := Entry{ID: "a", Service: "m", Address: "127.0.0.1:9", Slots: 4, StartUnixMillis: 5}
	restarted, moved := entry, entry
	restarted.StartUnixMillis, moved.Address = 6, "127.0.0.1:8"
	for name, test := range map[string]struct {
		change   func(table *Table, clock *boottime.Instant)
		isPaused bool
	}{
		"entry that comes back": {func(table *Table, _ *boottime.Instant) { table.Remove("a"); table.Maintain(0); table.Put(entry) }, true},
		"another address":       {func(table *Table, _ *boottime.Instant) { table.Put(moved) }, true},
		"restart":               {func(table *Table, _ *boottime.Instant) { table.Put(restarted) }, false},
		"suspension":            {func(_ *Table, clock *boottime.Instant) { *clock = clock.Add(time.Hour) }, false},
	} {
		table, clock := newTestTable(0, 0), boottime.Instant(time.Hour)
		table.now = func() boottime.Instant { return clock }
		table.Put(entry)
		p, _ := table.Place(Request{Service: "m"}, 0)
		p.RecordPause("r", []string{"10"})
		p.Release(ResultRejected)
		test.change(table, &clock)
		if _, refusal := table.Place(Request{Service: "m"}, 0); (refusal != nil) != test.isPaused {
			t.Errorf("%s: refusal %+v, want one: %t", name, refusal, test.isPaused)
		}
	}
	table, clock := newTestTable(0, 0), boottime.Instant(time.Hour)
	table.now = func() boottime.Instant { return clock }
	table.Put(entry)
	p, _ := table.Place(Request{Service: "m"}, 0)
	p.RecordPause("r", []string{"10"})
	p.Release(ResultRejected)
	table.Remove("a")
	clock = clock.Add(11 * time.Second)
	if table.Maintain(0); len(table.servers) > 0 {
		t.Error("a server that is gone is remembered longer than its pause")
	}
}
