package backend

import (
	"bytes"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/pace"
)

// newPacedTable returns a table that chooses by the paces of servers.
func newPacedTable(servers, slots int) *Table {
	t := newTestTable(servers, slots)
	t.ChoosesByPace = true
	return t
}

// threeGroups is the slowness of model servers of which two in three take 0.7 times and the others 1.7 times the usual time.
func threeGroups(server int, _ time.Duration) float64 {
	if server%3 == 2 {
		return 1.7
	}
	return 0.7
}

func alike(int, time.Duration) float64 { return 1 }

// A quarter of deployment A: 28 servers, and the requests per second that they get on a usual day.
const (
	quarterServers   = 28
	quarterNodes     = 22
	quarterRequestsS = 190
	quarterSubjects  = 40
)

// compareFirstBytes returns the sums of mean and 95th percentile of times to the first byte over several seeds, without and
// with estimates of paces.
func compareFirstBytes(t *testing.T, o pacedFleetOptions) (without, with [2]float64) {
	for seed := range uint64(3) {
		for _, forgets := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				o.seed, o.forgets = seed, forgets
				f := newPacedFleet(o)
				f.run(6 * time.Second)
				f.reset()
				f.run(10 * time.Second)
				mean, p95 := f.meanFirstByte()
				sum := &with
				if forgets {
					sum = &without
				}
				sum[0] += mean
				sum[1] += p95
			})
		}
	}
	return without, with
}

// Load pattern: three groups of servers at 0.7, 0.7 and 1.7 times the usual pace, 15 in 100 servers 2.5 times slower for 600 ms
// at a time, usual load. Guards against estimates that do not serve callers: they must get the first byte sooner than by the
// choice without estimates.
func TestPacesLowerTimesToFirstByte(t *testing.T) {
	without, with := compareFirstBytes(t, pacedFleetOptions{
		nodes: quarterNodes, servers: quarterServers, requestsPerS: quarterRequestsS, subjects: quarterSubjects, hasNoise: true, paceOf: threeGroups,
	})
	if with[0] >= without[0] || with[1] >= without[1] {
		t.Errorf("mean and 95th percentile of times to the first byte are %.0f and %.0f ms, without estimates %.0f and %.0f ms", with[0]/3, with[1]/3, without[0]/3, without[1]/3)
	}
}

// Load pattern: servers of three groups under so much load that most of their time is used. Each must get requests in proportion
// to what it handles.
func TestUnevenServersGetWorkInProportion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPacedFleet(pacedFleetOptions{seed: 1, nodes: quarterNodes, servers: quarterServers, requestsPerS: 420, hasNoise: true, paceOf: threeGroups})
		f.run(6 * time.Second)
		f.reset()
		f.run(10 * time.Second)
		var fast, slow, fastServers, slowServers float64
		for server, sent := range f.sentTo {
			if threeGroups(server, 0) > 1 {
				slow, slowServers = slow+float64(sent), slowServers+1
			} else {
				fast, fastServers = fast+float64(sent), fastServers+1
			}
		}
		const wanted = 0.7 / 1.7
		if ratio := slow / slowServers / (fast / fastServers); ratio < wanted/1.35 || ratio > wanted*1.35 {
			t.Errorf("a slow server got %.2f times the requests of a fast one, want about %.2f: %v", ratio, wanted, f.sentTo)
		}
	})
}

// Guards against choices that change although all servers are alike.
func TestAlikeServersGetSameRequestsAsWithoutPaces(t *testing.T) {
	for _, subjects := range []int{0, quarterSubjects} {
		var sent [2][]int
		for i, forgets := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				f := newPacedFleet(pacedFleetOptions{seed: 3, nodes: quarterNodes, servers: quarterServers, requestsPerS: quarterRequestsS, subjects: subjects, paceOf: alike, forgets: forgets})
				f.run(10 * time.Second)
				sent[i] = f.sentTo
			})
		}
		if !slices.Equal(sent[0], sent[1]) {
			t.Errorf("%d subjects: alike servers got %v, without estimates %v", subjects, sent[1], sent[0])
		}
	}
}

// Guards against a latency model that follows a slow server, or that drifts while paces are relative to it.
func TestModelIsThatOfMedianServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowness = 2.2
		table := newPacedTable(5, 24)
		observeAll(table, func(id string) float64 {
			if id == "s00" {
				return slowness
			}
			return 1
		}, 60)
		maintain(table)
		others := map[string]bool{"s01": true, "s02": true, "s03": true, "s04": true}
		m := table.model("m")
		for i := range 1200 {
			r := Request{Service: "m", IsGeneration: i%3 > 0, Exclude: others, PromptTokens: 500 + 4000*(i%3/2)}
			p, refusal := table.Place(r, 0)
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			expected := initialPlainMillis
			if r.IsGeneration {
				expected = initialFirstEventMillis + float64(r.PromptTokens)/initialPrefillRate
			}
			p.placedAt = p.placedAt.Add(-fromMillis(slowness * expected))
			p.RecordFirstByte()
			p.Release(ResultCompleted)
		}
		for name, change := range map[string]float64{
			"prefill rate": m.prefillRate / initialPrefillRate, "first event": m.firstEventMillis / initialFirstEventMillis, "plain response": m.plainMillis / initialPlainMillis,
		} {
			if change < 0.85 || change > 1.15 {
				t.Errorf("%s of the model changed to %.2f times its value by requests to one slow server", name, change)
			}
		}
	})
}

// Guards against a new server that gets many more or many fewer requests than the others.
func TestNewServerStartsAtMedian(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := pacedFleetOptions{seed: 4, nodes: quarterNodes, servers: quarterServers, requestsPerS: 300, paceOf: threeGroups}
		f := newPacedFleet(o)
		added := quarterServers - 1 // one of the fast ones
		for _, table := range f.tables {
			table.Remove(serverID(added))
		}
		f.run(10 * time.Second)
		for _, table := range f.tables {
			table.Put(Entry{ID: serverID(added), Service: "s", Address: "127.0.0.1:1", Slots: pacedSlots, StartUnixMillis: 1})
		}
		f.reset()
		f.run(4 * time.Second)
		var others float64
		for server, sent := range f.sentTo {
			if server != added && threeGroups(server, 0) < 1 {
				others += float64(sent) / 18
			}
		}
		if sent := float64(f.sentTo[added]); sent < others/2 || sent > 2*others {
			t.Errorf("a new server got %.0f requests, the other fast ones %.0f on average: %v", sent, others, f.sentTo)
		}
	})
}

// Guards against a node that starts and takes all servers for alike until it has measured each of them.
func TestStartingNodeLearnsPacesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPacedFleet(pacedFleetOptions{seed: 5, nodes: quarterNodes, servers: quarterServers, requestsPerS: 300, paceOf: threeGroups})
		f.run(10 * time.Second)
		f.tables[0] = f.newTable(0)
		f.run(2 * time.Second)
		known := 0
		for server := range quarterServers {
			if (f.paceOfServer(0, server) > 1) == (threeGroups(server, 0) > 1) {
				known++
			}
		}
		if known < quarterServers*9/10 {
			t.Errorf("a node that has run for 2 s knows the group of %d of %d servers", known, quarterServers)
		}
	})
}

// observeAll adds samples of all servers of a table, as if they came from many requests.
func observeAll(table *Table, ratio func(id string) float64, samples int) {
	for range samples {
		for _, id := range slices.Sorted(maps.Keys(table.servers)) {
			s := table.servers[id]
			for level := range pace.LoadLevels {
				sample := pace.Sample{Kind: pace.EventInterval, Level: level, Ratio: ratio(id), Weight: 1}
				table.model(s.Service).paces.Observe(&s.pace, sample)
			}
		}
	}
}

// maintain lets a second pass, in which a table finds the paces from its samples.
func maintain(table *Table) {
	time.Sleep(time.Second)
	table.Maintain(time.Minute)
}

func usualPace(string) float64 { return 1 }

// Guards against digests that grow with the number of servers, and against servers that peers never hear of.
func TestPaceReportsAreBoundedAndReachAllServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers, maxReportBytes, maxQuietReportBytes = 300, 2 << 10, 512
		from, to := newPacedTable(servers, 8), newPacedTable(servers, 8)
		observeAll(from, usualPace, 8)
		isFirst := true
		for range servers/paceReportsPerDigest + servers/knownPacesPerDigest + 2 {
			maintain(from)
			report := from.TakePaceReport()
			if report == nil && !from.hasUnsentPaces() {
				break
			}
			encoded, err := cbor.Marshal(report)
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Servers) > paceReportsPerDigest || len(encoded) > maxReportBytes {
				t.Fatalf("report on %d servers of %d bytes, want at most %d and %d", len(report.Servers), len(encoded), paceReportsPerDigest, maxReportBytes)
			}
			if isFirst = isFirst && from.hasUnsentPaces(); !isFirst && len(report.Servers) <= knownPacesPerDigest && len(encoded) > maxQuietReportBytes {
				t.Fatalf("report of %d bytes without new samples, want at most %d", len(encoded), maxQuietReportBytes)
			}
			if from.TakePaceReport() != nil {
				t.Fatal("two reports at the same time")
			}
			to.ApplyPaceReport("n1", report)
		}
		maintain(to)
		unknown := 0
		for _, s := range to.servers {
			if s.pace.Weight() == 0 {
				unknown++
			}
		}
		if unknown > 0 {
			t.Errorf("nothing is known of %d of %d servers after all reports", unknown, servers)
		}
	})
}

// hasUnsentPaces reports whether peers have not been told all samples.
func (t *Table) hasUnsentPaces() bool {
	for _, s := range t.servers {
		if s.pace.UnsentWeight() > 0 {
			return true
		}
	}
	return false
}

// Guards against samples that count twice because a digest arrives twice or by two ways, and against an estimate that returns to
// a node as if it were new.
func TestPaceReportCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := newPacedTable(3, 8), newPacedTable(3, 8)
		observeAll(from, usualPace, 6)
		weight := func(table *Table) float64 {
			maintain(table)
			return table.servers["s00"].pace.Weight()
		}
		maintain(from)
		encoded, err := cbor.Marshal(from.TakePaceReport())
		if err != nil {
			t.Fatal(err)
		}
		report := &pace.Report{}
		if err := cbor.Unmarshal(encoded, report); err != nil {
			t.Fatal(err)
		}
		to.ApplyPaceReport("n1", report)
		once := weight(to)
		to.ApplyPaceReport("n1", report)
		if again := weight(to); once == 0 || again > once {
			t.Errorf("weight %g after a report and %g after its copy", once, again)
		}
		before := weight(from)
		from.ApplyPaceReport("n2", to.TakePaceReport())
		if after := weight(from); after > before {
			t.Errorf("weight rose from %g to %g by samples that came back", before, after)
		}
		to.ApplyPaceReport("n1 restarted", report)
		if restarted := weight(to); restarted <= once {
			t.Error("the reports of a peer that has restarted are not used")
		}
	})
}

// Guards against a slow server whose pace and short-lived slowdown both count, so that it gets no requests at all.
func TestSlowdownDoesNotCountPaceTwice(t *testing.T) {
	for _, c := range []struct{ slowdown, change, want float64 }{
		{2.4, 1 / 2.4, 1}, // measured before the pace was found
		{3, 1 / 2.0, 1.5}, // slower still
		{1, 1 / 2.4, 1},   // the pace was found by peers only
		{1.2, 1 / 2.4, 1},
		{0.5, 2, 1}, // the server has become faster
		{0.9, 2, 1},
		{1.5, 2, 1.5},
		{0, 2, 0}, // nothing was measured
	} {
		s := slowdown{factor: c.slowdown}
		s.rescale(c.change)
		if math.Abs(s.factor-c.want) > 0.01 {
			t.Errorf("slowdown %g after a change of the pace by %.2f is %.2f, want %g", c.slowdown, 1/c.change, s.factor, c.want)
		}
	}
}

// Guards against a server that is never sent a request any more because it was slow.
func TestSlowestServerStaysInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, isGeneration := range []bool{true, false} {
			table := newPacedTable(6, 24)
			observeAll(table, func(id string) float64 {
				if id == "s00" {
					return 50
				}
				return 1
			}, 40)
			time.Sleep(time.Second)
			got := 0
			for range 600 {
				r := Request{Service: "m", IsGeneration: isGeneration, PromptTokens: 100, MaxOutputTokens: 1}
				p, refusal := table.Place(r, 0)
				if refusal != nil {
					t.Fatal(refusal.Reason)
				}
				if p.ID == "s00" {
					got++
				}
				p.Release(ResultCompleted)
			}
			if pace := table.servers["s00"].pace.Pace(0); pace < 3.5 || pace > 4 || got == 0 || got > 60 {
				t.Errorf("generation %t: a server with pace %.2f got %d of 600 requests, want some at a pace of 3.5 to 4, at most 60", isGeneration, pace, got)
			}
		}
	})
}

// Guards against an operator who cannot see what a server is believed to handle, and against a line for each of hundreds of
// servers when a node starts.
func TestPaceChangesAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		table := newPacedTable(100, 24)
		table.Log = slog.New(slog.NewTextHandler(&log, nil))
		observeAll(table, func(id string) float64 {
			if strings.HasSuffix(id, "0") || strings.HasSuffix(id, "5") || strings.HasSuffix(id, "3") {
				return 2.5
			}
			return 1
		}, 30)
		place := func() {
			p, refusal := table.Place(generationRequest("x", 1), 0)
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			p.Release(ResultCompleted)
		}
		time.Sleep(time.Second)
		place()
		lines := strings.Count(log.String(), "The estimate of a backend server's pace changed.")
		if lines != maxPaceLogLines || !strings.Contains(log.String(), "service=m pace=2.2 previous=1 ") {
			t.Errorf("%d lines, want %d with pace=2.2: %.400s", lines, maxPaceLogLines, log.String())
		}
		observeAll(table, usualPace, 200)
		time.Sleep(paceLogPeriod)
		place()
		if want := fmt.Sprint("not_logged=", 30-maxPaceLogLines); !strings.Contains(log.String(), want) {
			t.Errorf("no line with %s: %.400s", want, log.String())
		}
		if s := table.PaceSummaries()["m"]; s.Slower > 30 || s.Slowest > pace.Max {
			t.Errorf("summary %+v, want at most 30 slower servers", s)
		}
	})
}

// Guards against a node that takes the slow servers of its own failure domain, which it prefers among equals, for usual ones.
func TestPacesAreFoundWhereDomainsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPacedFleet(pacedFleetOptions{seed: 6, nodes: quarterNodes, servers: quarterServers, requestsPerS: quarterRequestsS, paceOf: threeGroups, domainsDiffer: true, hasNoise: true})
		f.run(16 * time.Second)
		for _, node := range []int{0, 1, 2} { // one of each failure domain
			found, slow := 0, 0
			for server := range quarterServers {
				if threeGroups(server, 0) > 1 {
					slow++
					if p := f.paceOfServer(node, server); p > 1.65 && p < 3.5 {
						found++
					}
				}
			}
			if found < slow*8/10 {
				t.Errorf("node %d: %d of %d servers that take 2.4 times longer have a pace of 1.65 to 3.5", node, found, slow)
			}
		}
	})
}

// Load pattern: a third of the servers turn three times slower for 12 s. Guards against servers that get too few requests to
// show that they have recovered, and against a flood when they are found to have.
func TestRecoveredServersAreFoundWithoutFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowFrom, slowUntil, allowed = 8 * time.Second, 20 * time.Second, 15 * time.Second
		f := newPacedFleet(pacedFleetOptions{seed: 7, nodes: quarterNodes, servers: quarterServers, requestsPerS: quarterRequestsS, subjects: quarterSubjects, hasNoise: true,
			paceOf: func(server int, at time.Duration) float64 {
				if server < quarterServers/3 && at >= slowFrom && at < slowUntil {
					return 3
				}
				return 1
			}})
		f.run(slowFrom)
		f.reset()
		f.run(slowUntil - slowFrom)
		for server := range quarterServers / 3 {
			if p := f.paceOfServer(0, server); p <= 1 && f.sentTo[server] >= 20 {
				t.Errorf("server %d has a pace of %.2f although it has been 3 times slower for %s and %d requests", server, p, slowUntil-slowFrom, f.sentTo[server])
			}
		}
		for since := time.Duration(0); since < allowed; since += time.Second {
			f.reset()
			f.run(time.Second)
			total := 0
			for _, sent := range f.sentTo[:quarterServers/3] {
				total += sent
			}
			if most := quarterRequestsS * 2 / 3; total > most {
				t.Errorf("%s after their recovery a third of the servers got %d requests in a second, want at most %d", since, total, most)
			}
		}
		for server := range quarterServers / 3 {
			if p := f.paceOfServer(0, server); p > 1.35 {
				t.Errorf("server %d still has a pace of %.2f, %s after its recovery", server, p, allowed)
			}
		}
	})
}
