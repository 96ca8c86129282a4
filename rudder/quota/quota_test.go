package quota

import (
	"testing"
	"time"

	"chestnutrudder.example/rudder/traffic"
)

// cluster simulates ledgers that tell each other what they admitted.
type cluster struct {
	ledgers []*Ledger
	now     time.Time
}

func newCluster(n int, startsFull bool) *cluster {
	s := &cluster{now: time.Unix(1000, 0)}
	for range n {
		s.ledgers = append(s.ledgers, NewLedger(startsFull, Tolerance{}, func() time.Time { return s.now }))
	}
	return s
}

func (s *cluster) exchangeReports() {
	for i, from := range s.ledgers {
		for j, to := range s.ledgers {
			if i != j {
				to.ApplyPeerReport(string(rune('A'+i)), PeerReport{IsWarmingUp: from.IsWarmingUp(), Usages: from.FullReport()})
			}
		}
	}
}

// run asks each node for the given amount every 50 ms and returns what was admitted after the first period.
func (s *cluster) run(o *traffic.Organisation, amount float64, d time.Duration, exchangesReports bool) float64 {
	admitted := 0.0
	for step := range int(d / (50 * time.Millisecond)) {
		for _, l := range s.ledgers {
			if l.Take(o, amount) == nil {
				admitted += amount
			}
		}
		if exchangesReports && step%5 == 4 {
			s.exchangeReports()
		}
		s.now = s.now.Add(50 * time.Millisecond)
	}
	return admitted
}

var testOrganisation = &traffic.Organisation{Name: "o", CountsTokens: true, RatePerSecond: 10000, Burst: 10000}

// Pattern: one organisation sends many times its limit through all nodes. Together they must admit the limit, neither far
// more nor far less.
func TestNodesTogetherKeepTheLimit(t *testing.T) {
	s := newCluster(9, true)
	admitted := s.run(testOrganisation, 400, 8*time.Second, true)
	limit := 8*testOrganisation.RatePerSecond + testOrganisation.Burst
	if admitted > 1.5*limit || admitted < 0.8*limit {
		t.Fatalf("%.0f tokens admitted, the limit is %.0f", admitted, limit)
	}
}

// Pattern: nodes that are cut off from each other. Each must keep to its part; else every fragment admits the whole limit.
func TestPartitionedNodesKeepToTheirShare(t *testing.T) {
	s := newCluster(9, true)
	s.exchangeReports()
	for _, l := range s.ledgers {
		l.SetReachableShare(1.0 / 9)
	}
	admitted := s.run(testOrganisation, 400, 8*time.Second, false)
	if limit := 8*testOrganisation.RatePerSecond + 9*testOrganisation.Burst; admitted > limit {
		t.Fatalf("%.0f tokens admitted by nodes that hear nobody, want at most %.0f", admitted, limit)
	}
}

// Pattern: a node restarts while its organisation is at the limit. It must not begin with a full bucket of its own.
func TestRestartedNodeAdoptsPeerLevel(t *testing.T) {
	s := newCluster(3, true)
	s.run(testOrganisation, 1000, 2*time.Second, true)
	restarted := NewLedger(false, Tolerance{}, func() time.Time { return s.now })
	restarted.ApplyPeerReport("A", PeerReport{IsWarmingUp: s.ledgers[0].IsWarmingUp(), Usages: s.ledgers[0].FullReport()})
	if restarted.Take(testOrganisation, 5000) == nil {
		t.Fatal("5000 tokens were admitted although the peers have none left")
	}
}

// A request larger than the burst would never be admitted if it needed its whole amount at once.
func TestLargeRequestIsAdmittedFromFullBucket(t *testing.T) {
	s := newCluster(1, true)
	if missing := s.ledgers[0].Take(testOrganisation, 50000); missing != nil {
		t.Fatalf("refused: %+v", missing)
	}
	missing := s.ledgers[0].Take(testOrganisation, 100)
	if missing == nil || missing.RetryAfter <= 0 || missing.RetryAfter > 5*time.Second {
		t.Fatalf("after it: %+v, want a wait of some seconds", missing)
	}
}

// A request that has not run gives back what it took.
func TestReturnRestoresLevel(t *testing.T) {
	s := newCluster(1, true)
	l := s.ledgers[0]
	l.Take(testOrganisation, 10000)
	l.Return(testOrganisation, 10000)
	if missing := l.Take(testOrganisation, 10000); missing != nil {
		t.Fatalf("refused after a return: %+v", missing)
	}
}

// The first request of an organisation must not find the low level of a node's start when the node has run for long, nor
// less than the burst where nothing can have been admitted yet.
func TestInitialLevel(t *testing.T) {
	now := time.Unix(1000, 0)
	restarted := NewLedger(false, Tolerance{}, func() time.Time { return now })
	now = now.Add(10 * time.Second)
	if missing := restarted.Take(testOrganisation, 10000); missing != nil {
		t.Errorf("refused 10 s after the start: %+v", missing)
	}
	first := NewLedger(true, Tolerance{Slack: 40000}, func() time.Time { return now })
	if missing := first.Take(testOrganisation, 20000); missing != nil {
		t.Errorf("a quarter of the tolerance is refused at the first start: %+v", missing)
	}
}

// Each restart of a peer is a new incarnation; those that have ended must not add up in memory.
func TestSilentIncarnationsAreDropped(t *testing.T) {
	s := newCluster(1, true)
	l := s.ledgers[0]
	for i := range 50 {
		l.ApplyPeerReport(string(rune('a'+i)), PeerReport{Usages: map[string]Usage{"o": {Taken: 1, Level: 1}}})
	}
	s.now = s.now.Add(2 * peerRetention)
	l.FullReport()
	if n := len(l.peers); n != 0 {
		t.Fatalf("%d ended peers are remembered", n)
	}
}

// What a node had admitted of an organisation long before this one started is part of its level. It must not be taken from
// the bucket because a partial digest of another organisation came first.
func TestPartialReportBeforeFullReport(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(false, Tolerance{}, func() time.Time { return now })
	l.ApplyPeerReport("A", PeerReport{IsPartial: true, Usages: map[string]Usage{"other": {Taken: 5000, Level: 100}}})
	l.Take(testOrganisation, 1) // makes the account
	l.ApplyPeerReport("A", PeerReport{Usages: map[string]Usage{"o": {Taken: 1e9, Level: 9000}}})
	if missing := l.Take(testOrganisation, 8000); missing != nil {
		t.Fatalf("refused though a peer has 9000 tokens left: %+v", missing)
	}
	l.ApplyPeerReport("A", PeerReport{Usages: map[string]Usage{"o": {Taken: 1e9 + 5000, Level: 9000}}})
	if missing := l.Take(testOrganisation, 5000); missing == nil {
		t.Fatal("admitted though a peer has admitted 5000 tokens since")
	}
}
