package backend

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// fleetOfTables returns the tables of several nodes that know the same servers, with fixed random choices.
func fleetOfTables(nodes, servers int) []*Table {
	var tables []*Table
	for n := range nodes {
		t := NewTable(time.Second, slog.New(slog.DiscardHandler))
		t.random = rand.New(rand.NewPCG(1, uint64(n)))
		for s := range servers {
			t.Put(Entry{ID: fmt.Sprintf("s%02d", s), Service: "model", Address: "127.0.0.1:9", FailureDomain: "a", Slots: 24})
		}
		tables = append(tables, t)
	}
	return tables
}

// exchangeReports tells each node the loads and results of the others.
func exchangeReports(tables []*Table) {
	for from, sender := range tables {
		loads, results := sender.OwnLoads(), sender.OwnResults()
		for to, recipient := range tables {
			if to != from {
				recipient.SetPeerLoads(fmt.Sprint(from), loads)
				recipient.SetPeerResults(fmt.Sprint(from), results)
			}
		}
	}
}

// Load: one server in ten rejects 45 in 100 requests at once while its health check is good, as seen by 30 nodes of which each
// sends it a request in some seconds. Guards against such servers attracting requests since they look idle, which uses up the
// retry budget of the service.
func TestRejectingServersAreAvoidedByAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, servers, rejecting = 30, 40, 4
		tables := fleetOfTables(nodes, servers)
		random := rand.New(rand.NewPCG(7, 7))
		sent, sentToRejecting := 0, 0
		for round := range 100 { // of 50 ms
			for _, table := range tables {
				p, refusal := table.Place(Request{Service: "model", IsGeneration: true, PromptTokens: 1500, MaxOutputTokens: 24, Objective: 500 * time.Millisecond}, 0)
				if refusal != nil {
					t.Fatalf("request was refused: %s", refusal.Reason)
				}
				isRejecting := p.ID < fmt.Sprintf("s%02d", rejecting)
				if round >= 40 {
					sent++
					if isRejecting {
						sentToRejecting++
					}
				}
				if isRejecting && random.Float64() < 0.45 {
					p.Release(ResultRejected)
					continue
				}
				time.AfterFunc(60*time.Millisecond, p.RecordFirstByte)
				time.AfterFunc(150*time.Millisecond, func() { p.Release(ResultCompleted) })
			}
			time.Sleep(50 * time.Millisecond)
			if round%10 == 9 {
				exchangeReports(tables)
			}
		}
		time.Sleep(time.Second)
		// Rejections must stay below a tenth of the retry budget, which is a fifth of the requests.
		if share := float64(sentToRejecting) / float64(sent); share*0.45 > 0.02 {
			t.Errorf("%d of %d requests went to the rejecting servers", sentToRejecting, sent)
		}
	})
}

// Guards against servers being avoided for good: one that rejects no more gets requests again, though none may have been sent
// there meanwhile.
func TestRejectionsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := fleetOfTables(2, 1)
		s := tables[0].servers["s00"]
		r := Request{Service: "model", IsGeneration: true, PromptTokens: 100, Objective: 500 * time.Millisecond}
		for range 20 {
			p, _ := tables[1].Place(r, 0)
			p.Release(ResultRejected)
		}
		exchangeReports(tables)
		penalty := s.resultPenaltyMillis(r, 50, time.Now())
		if penalty < 150 {
			t.Fatalf("penalty of a server that rejected 20 requests of a peer is %.0f ms, want most of half the objective", penalty)
		}
		time.Sleep(8 * resultHalfLife)
		exchangeReports(tables)
		if penalty := s.resultPenaltyMillis(r, 50, time.Now()); penalty > 5 {
			t.Errorf("penalty 12 s later is %.0f ms", penalty)
		}
	})
}

// Guards against results of peers being counted twice, or for good, when they report anew, fall silent or the server is added
// later.
func TestPeerResultsAreReplaced(t *testing.T) {
	table := fleetOfTables(1, 1)[0]
	report := map[string]ResultReport{"s00": {Total: 400, Rejected: 300}, "new": {Total: 100, Failed: 100}}
	table.SetPeerResults("n2", report)
	table.SetPeerResults("n2", report)
	if got := table.servers["s00"].peerResults; got != (resultCounts{total: 4, rejected: 3}) {
		t.Errorf("results after the same report twice: %+v", got)
	}
	table.Put(Entry{ID: "new", Service: "model", Address: "127.0.0.1:9", Slots: 1})
	if got := table.servers["new"].peerResults; got != (resultCounts{total: 1, failed: 1}) {
		t.Errorf("results of a server that was added after the report: %+v", got)
	}
	table.DropPeerLoads("n2")
	if got := table.servers["s00"].peerResults; got != (resultCounts{}) {
		t.Errorf("results after the peer was dropped: %+v", got)
	}
}
