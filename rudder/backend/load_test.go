package backend

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// The tests of this file apply load patterns to a table and check which requests are placed, where, and which are refused.

func newTestTable(servers, slots int) *Table {
	t := NewTable(time.Second, slog.New(slog.DiscardHandler))
	t.random = rand.New(rand.NewPCG(1, uint64(servers)))
	for i := range servers {
		t.Put(Entry{ID: fmt.Sprintf("s%02d", i), Service: "m", Address: "127.0.0.1:9", FailureDomain: string(rune('a' + i%3)), Slots: slots})
	}
	return t
}

// generationRequest returns a request of 6000 prompt tokens, of which 500 are shared by all requests and 4500 by those with
// the same subject.
func generationRequest(subject string, urgency int) Request {
	return Request{Service: "m", IsGeneration: true, Urgency: urgency, PromptTokens: 6000, MaxOutputTokens: 100, Parts: []PromptPart{{"common", 500}, {subject, 4500}}}
}

// Load pattern: many prompt prefixes at moderate load. Every node must send prompts with the same shared parts to the same
// server, so that they hit its prefix cache.
func TestPromptsWithSharedPartsGoToOneServer(t *testing.T) {
	nodes := []*Table{newTestTable(18, 64), newTestTable(18, 64), newTestTable(18, 64)}
	for subject := range 50 {
		servers := map[string]bool{}
		for _, node := range nodes {
			p, refusal := node.Place(generationRequest(fmt.Sprint("subject", subject), 1), 0)
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			servers[p.ID] = true
			p.RecordFirstByte()
			p.Release(ResultCompleted)
		}
		if len(servers) != 1 {
			t.Fatalf("prompts of subject %d went to %v, want one server", subject, servers)
		}
	}
}

// Load pattern: hot key. All requests share one prefix. They must spread over other servers when the home server is busy
// instead of waiting there.
func TestPopularPrefixSpreadsOverServers(t *testing.T) {
	table := newTestTable(18, 64)
	used := map[string]int{}
	for range 60 {
		p, refusal := table.Place(generationRequest("hot", 1), 0)
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		used[p.ID]++
	}
	if len(used) < 6 {
		t.Fatalf("60 waiting prompts went to %v, want at least 6 servers", used)
	}
}

// Load pattern: burst beyond capacity. Requests whose first token would be late must be refused at once, with a time to retry.
// More urgent requests are served first and must still be admitted.
func TestOverloadRefusesLessUrgentRequestsFirst(t *testing.T) {
	table := newTestTable(3, 64)
	var refusal *Refusal
	for i := 0; refusal == nil && i < 200; i++ {
		_, refusal = table.Place(generationRequest(fmt.Sprint(i), 1), time.Second)
	}
	if refusal == nil || refusal.RetryAfter <= 0 || refusal.NoServers {
		t.Fatalf("refusal %+v, want one with RetryAfter", refusal)
	}
	if _, refused := table.Place(generationRequest("urgent", 0), 500*time.Millisecond); refused != nil {
		t.Fatalf("an urgent request was refused: %s", refused.Reason)
	}
}

// Load pattern: all slots in use. No request may go to a full server while another has free slots, and none when all are full.
func TestFullServersGetNoRequests(t *testing.T) {
	table := newTestTable(2, 3)
	for range 6 {
		if _, refusal := table.Place(generationRequest("x", 1), 0); refusal != nil {
			t.Fatal(refusal.Reason)
		}
	}
	if _, refusal := table.Place(generationRequest("x", 1), 0); refusal == nil {
		t.Fatal("a seventh request was placed on servers with six slots")
	}
}

// Load pattern: a server that breaks connections or does not respond. It must get no requests after its first failure, and be
// probed later.
func TestFailedServerIsEjectedAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(3, 64)
		p, _ := table.Place(Request{Service: "m"}, 0)
		ejected := p.ID
		p.Release(ResultConnectionFailure)
		for range 30 {
			p, _ := table.Place(Request{Service: "m"}, 0)
			if p.ID == ejected {
				t.Fatal("the ejected server got a request right after its failure")
			}
			time.Sleep(10 * time.Millisecond)
			p.RecordFirstByte()
			p.Release(ResultCompleted)
		}
		time.Sleep(maxEjectionTime)
		placements := 0
		for range 60 {
			p, _ := table.Place(Request{Service: "m"}, 0)
			if p.ID == ejected {
				placements++
			}
			time.Sleep(30 * time.Millisecond)
			p.RecordFirstByte()
			p.Release(ResultCompleted)
		}
		if placements == 0 {
			t.Fatal("the ejected server was never probed")
		}
	})
}

// Load pattern: all servers of a service fail requests. Ejecting all of them must not refuse every request.
func TestRequestsArePlacedWhenAllServersFail(t *testing.T) {
	table := newTestTable(3, 64)
	for range 60 {
		p, refusal := table.Place(Request{Service: "m"}, 0)
		if refusal != nil {
			t.Fatalf("request was refused: %s", refusal.Reason)
		}
		p.Release(ResultServerFailure)
	}
}

// Load pattern: a small service is slow for a while. Requests were refused afterwards because the old slowdown predicted a
// late response, and without requests there were no new measurements to correct it.
func TestSlowdownEstimateDecaysWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(2, 6)
		for range 20 {
			p, refusal := table.Place(Request{Service: "m"}, 0)
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			time.Sleep(500 * time.Millisecond)
			p.RecordFirstByte()
			p.Release(ResultCompleted)
		}
		refused := 0
		for range 50 {
			p, refusal := table.Place(Request{Service: "m"}, 225*time.Millisecond)
			if refusal != nil {
				refused++
				time.Sleep(100 * time.Millisecond)
				continue
			}
			time.Sleep(30 * time.Millisecond)
			p.RecordFirstByte()
			p.Release(ResultCompleted)
		}
		if refused > 25 {
			t.Fatalf("%d of 50 requests were refused after the slowdown, want at most 25", refused)
		}
	})
}

// The load that other nodes have at a server must count until their reports time out.
func TestPeerLoadCountsUntilTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(2, 4)
		table.SetPeerLoads("n2", map[string]PeerLoad{"s00": {Running: 4}, "s01": {Running: 3}})
		p, refusal := table.Place(generationRequest("x", 1), 0)
		if refusal != nil || p.ID != "s01" {
			t.Fatalf("placement %+v, refusal %+v, want s01", p, refusal)
		}
		if _, refusal := table.Place(generationRequest("x", 1), 0); refusal == nil {
			t.Fatal("a request was placed although the peer's requests fill both servers")
		}
		time.Sleep(2 * peerLoadTimeout)
		table.Maintain(time.Minute)
		if _, refusal := table.Place(generationRequest("x", 1), 0); refusal != nil {
			t.Fatalf("a request was refused after the peer's report timed out: %s", refusal.Reason)
		}
	})
}

// Registry changes: a draining or unlisted server must get no new requests, but its requests in progress continue. A server
// that starts again under the same ID and address must be used again.
func TestDrainingUnlistedAndRestartedServers(t *testing.T) {
	table := newTestTable(1, 4)
	p, _ := table.Place(Request{Service: "m"}, 0)
	table.Put(Entry{ID: "s00", Service: "m", Address: "127.0.0.1:9", Slots: 4, Draining: true})
	if _, refusal := table.Place(Request{Service: "m"}, 0); refusal == nil || !refusal.NoServers {
		t.Fatalf("refusal %+v, want one with NoServers", refusal)
	}
	table.Remove("s00")
	p.RecordFirstByte()
	p.Release(ResultCompleted)
	table.Put(Entry{ID: "s00", Service: "m", Address: "127.0.0.1:9", Slots: 4, StartUnixMillis: 7})
	if _, refusal := table.Place(Request{Service: "m"}, 0); refusal != nil {
		t.Fatalf("the new incarnation of the server is not used: %s", refusal.Reason)
	}
	table.Put(Entry{ID: "s00", Service: "m", Address: "127.0.0.1:8", Slots: 4, StartUnixMillis: 3})
	if table.servers["s00"].Address != "127.0.0.1:9" {
		t.Fatal("an entry from before the restart replaced the newer entry")
	}
}

// Load pattern: reclaimed servers leave the others overloaded, and all first bytes are late (quiet-1 of duwende-route-large:
// 1,853 requests were given up after 0.5 s and read again by another server, which added a third to the load, and 741 of them
// failed when the retry budget was spent). The expected time must follow, so that requests wait where they are. A few servers
// that do not respond at all must not have that effect.
func TestExpectedFirstByteFollowsLateServices(t *testing.T) {
	serve := func(table *Table, requests int, isSilent func(i int) bool, delay time.Duration) time.Duration {
		var expected, predicted time.Duration
		for i := range requests {
			p, refusal := table.Place(Request{Service: "m", PromptTokens: 1800, IsGeneration: true}, 0)
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			expected, predicted = p.ExpectedFirstByte, p.PredictedFirstByte
			p.placedAt = p.placedAt.Add(-delay)
			if isSilent(i) {
				p.placedAt = p.placedAt.Add(delay - 4*p.ExpectedFirstByte)
				p.Release(ResultConnectionFailure)
				continue
			}
			p.RecordFirstByte()
			p.Release(ResultCompleted)
		}
		return time.Duration(float64(expected) / predicted.Seconds()) // for one predicted second
	}
	never := func(int) bool { return false }
	if got := serve(newTestTable(20, 8), 40, never, 90*time.Millisecond); got > 1500*time.Millisecond {
		t.Errorf("expected time is %s for one predicted second of servers that respond in time, want at most 1.5 s", got)
	}
	if got := serve(newTestTable(20, 8), 40, never, 400*time.Millisecond); got < 2500*time.Millisecond {
		t.Errorf("expected time is %s for one predicted second of late servers, want at least 2.5 s", got)
	}
	everySixth := func(i int) bool { return i%6 == 0 }
	if got := serve(newTestTable(20, 8), 40, everySixth, 90*time.Millisecond); got > 2500*time.Millisecond {
		t.Errorf("expected time is %s for one predicted second while every sixth server is silent, want at most 2.5 s", got)
	}
}
