package backend

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

// The tests of this file put the load patterns of heavy days on a table and look at who waits, who is refused and where
// work goes.

func newTestTable(servers, slots int) *Table {
	t := NewTable(time.Second, slog.New(slog.DiscardHandler))
	for i := range servers {
		t.Put(Entry{ID: fmt.Sprintf("s%02d", i), Service: "m", Address: "127.0.0.1:9", FailureDomain: string(rune('a' + i%3)), Slots: slots})
	}
	return t
}

func generationRequest(subject string, urgency int) Request {
	return Request{Service: "m", IsGeneration: true, Urgency: urgency, PromptTokens: 6000, MaxOutputTokens: 100, Parts: []PromptPart{{"common", 500}, {subject, 4500}}}
}

// Pattern: many subjects, moderate load. Prompts of one subject meet at one server on every node, so that its cache has
// their shared parts.
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
			t.Fatalf("subject %d went to %v", subject, servers)
		}
	}
}

// Pattern: hot key. One subject takes all traffic; it must spread when its home is busy instead of waiting there.
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
		t.Fatalf("60 prompts that wait went to %v", used)
	}
}

// Pattern: burst beyond capacity. What cannot have its first token in time is refused at once, with a time to come back;
// urgent requests that would go first are still admitted.
func TestOverloadRefusesLessUrgentRequestsFirst(t *testing.T) {
	table := newTestTable(3, 64)
	var refusal *Refusal
	for i := 0; refusal == nil && i < 200; i++ {
		_, refusal = table.Place(generationRequest(fmt.Sprint(i), 1), time.Second)
	}
	if refusal == nil || refusal.RetryAfter <= 0 || refusal.NoServers {
		t.Fatalf("refusal %+v, want one with a wait", refusal)
	}
	if _, refused := table.Place(generationRequest("urgent", 0), 500*time.Millisecond); refused != nil {
		t.Fatalf("an urgent request is refused: %s", refused.Reason)
	}
}

// Pattern: all slots taken. No request goes to a full server while another has room, and none when all are full.
func TestFullServersGetNoRequests(t *testing.T) {
	table := newTestTable(2, 3)
	for range 6 {
		if _, refusal := table.Place(generationRequest("x", 1), 0); refusal != nil {
			t.Fatal(refusal.Reason)
		}
	}
	if _, refusal := table.Place(generationRequest("x", 1), 0); refusal == nil {
		t.Fatal("a seventh request was placed in six slots")
	}
}

// Pattern: a server that breaks connections or is dark gets no new work after its first failure, and is tried again.
func TestFailedServerIsEjectedAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(3, 64)
		p, _ := table.Place(Request{Service: "m"}, 0)
		ejected := p.ID
		p.Release(ResultConnectionFailure)
		for range 30 {
			p, _ := table.Place(Request{Service: "m"}, 0)
			if p.ID == ejected {
				t.Fatal("the broken server got work at once")
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
			t.Fatal("the server was never tried again")
		}
	})
}

// Pattern: all copies of a service fail part of their requests. Leaving all out would refuse everything.
func TestRequestsArePlacedWhenAllServersFail(t *testing.T) {
	table := newTestTable(3, 64)
	for range 60 {
		p, refusal := table.Place(Request{Service: "m"}, 0)
		if refusal != nil {
			t.Fatalf("refused: %s", refusal.Reason)
		}
		p.Release(ResultServerFailure)
	}
}

// Pattern: a slow spell of a small service. Requests were refused after the spell, since the old slowness predicted a late
// answer, and without requests nothing was measured any more.
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
			t.Fatalf("%d of 50 requests refused after the slow spell", refused)
		}
	})
}

// Pattern: peers' loads. What other nodes have at a server counts until they fall silent.
func TestPeerLoadCountsUntilTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(2, 4)
		table.SetPeerLoads("n2", map[string]PeerLoad{"s00": {Running: 4}, "s01": {Running: 3}})
		p, refusal := table.Place(generationRequest("x", 1), 0)
		if refusal != nil || p.ID != "s01" {
			t.Fatalf("placement %+v, refusal %+v, want s01", p, refusal)
		}
		if _, refusal := table.Place(generationRequest("x", 1), 0); refusal == nil {
			t.Fatal("both servers are full with the peer's requests")
		}
		time.Sleep(2 * peerLoadTimeout)
		table.Maintain(time.Minute)
		if _, refusal := table.Place(generationRequest("x", 1), 0); refusal != nil {
			t.Fatalf("the silent peer's requests still count: %s", refusal.Reason)
		}
	})
}

// Registry: a leaving or unlisted server gets no new work, its requests in progress go on, and one that starts again under
// its id and address is used again.
func TestDrainingUnlistedAndRestartedServers(t *testing.T) {
	table := newTestTable(1, 4)
	p, _ := table.Place(Request{Service: "m"}, 0)
	table.Put(Entry{ID: "s00", Service: "m", Address: "127.0.0.1:9", Slots: 4, Draining: true})
	if _, refusal := table.Place(Request{Service: "m"}, 0); refusal == nil || !refusal.NoServers {
		t.Fatalf("refusal %+v, want none to serve", refusal)
	}
	table.Remove("s00")
	p.RecordFirstByte()
	p.Release(ResultCompleted)
	table.Put(Entry{ID: "s00", Service: "m", Address: "127.0.0.1:9", Slots: 4, StartUnixMillis: 7})
	if _, refusal := table.Place(Request{Service: "m"}, 0); refusal != nil {
		t.Fatalf("the new incarnation is not used: %s", refusal.Reason)
	}
	table.Put(Entry{ID: "s00", Service: "m", Address: "127.0.0.1:8", Slots: 4, StartUnixMillis: 3})
	if table.servers["s00"].Address != "127.0.0.1:9" {
		t.Fatal("an entry from before the restart replaced the newer one")
	}
}
