package quota

import (
	"testing"
	"time"

	"chestnutrudder.example/rudder/traffic"
)

// cluster simulates nodes that exchange full reports of their ledgers all at the same time.
type cluster struct {
	ledgers []*Ledger
	now     time.Time
}

func newCluster(n int, startsFull bool) *cluster {
	c := &cluster{now: time.Unix(1000, 0)}
	for range n {
		c.ledgers = append(c.ledgers, NewLedger(startsFull, Tolerance{}, func() time.Time { return c.now }))
	}
	return c
}

func (c *cluster) exchangeReports() {
	for i, from := range c.ledgers {
		for j, to := range c.ledgers {
			if i != j {
				to.ApplyPeerReport(string(rune('A'+i)), PeerReport{IsWarmingUp: from.IsWarmingUp(), Usages: from.FullReport()})
			}
		}
	}
}

// run takes the given amount from each node every 50 ms and returns the total admitted amount.
func (c *cluster) run(o *traffic.Organisation, amount float64, d time.Duration, exchangesReports bool) float64 {
	admitted := 0.0
	for step := range int(d / (50 * time.Millisecond)) {
		for _, l := range c.ledgers {
			if l.Take(o, amount) == nil {
				admitted += amount
			}
		}
		if exchangesReports && step%5 == 4 {
			c.exchangeReports()
		}
		c.now = c.now.Add(50 * time.Millisecond)
	}
	return admitted
}

var testOrganisation = &traffic.Organisation{Name: "o", CountsTokens: true, RatePerSecond: 10000, Burst: 10000}

// An organisation sends many times its limit through all nodes. Together they must admit about the limit, neither far more nor
// far less.
func TestNodesTogetherKeepTheLimit(t *testing.T) {
	c := newCluster(9, true)
	admitted := c.run(testOrganisation, 400, 8*time.Second, true)
	limit := 8*testOrganisation.RatePerSecond + testOrganisation.Burst
	if admitted > 1.5*limit || admitted < 0.8*limit {
		t.Fatalf("%.0f tokens were admitted, the limit is %.0f", admitted, limit)
	}
}

// Guards against partitioned nodes that each admit the whole limit instead of their share.
func TestPartitionedNodesKeepToTheirShare(t *testing.T) {
	c := newCluster(9, true)
	c.exchangeReports()
	for _, l := range c.ledgers {
		l.SetNodes(Nodes{Count: 9, SilenceLimit: defaultSilenceLimit})
	}
	admitted := c.run(testOrganisation, 400, 8*time.Second, false)
	if limit := 8*testOrganisation.RatePerSecond + 9*testOrganisation.Burst; admitted > limit {
		t.Fatalf("partitioned nodes admitted %.0f tokens, want at most %.0f", admitted, limit)
	}
}

// Guards against a node that starts with a full bucket after a restart although the organisation has used up its limit.
func TestRestartedNodeAdoptsPeerLevel(t *testing.T) {
	c := newCluster(3, true)
	c.run(testOrganisation, 1000, 2*time.Second, true)
	restarted := NewLedger(false, Tolerance{}, func() time.Time { return c.now })
	restarted.ApplyPeerReport("A", PeerReport{IsWarmingUp: c.ledgers[0].IsWarmingUp(), Usages: c.ledgers[0].FullReport()})
	if restarted.Take(testOrganisation, 5000) == nil {
		t.Fatal("5000 tokens were admitted although the peers have none left")
	}
}

// Guards against a request larger than the burst that is refused for ever because the bucket never holds its whole amount.
func TestLargeRequestIsAdmittedFromFullBucket(t *testing.T) {
	c := newCluster(1, true)
	if shortage := c.ledgers[0].Take(testOrganisation, 50000); shortage != nil {
		t.Fatalf("request larger than the burst was refused: %+v", shortage)
	}
	shortage := c.ledgers[0].Take(testOrganisation, 100)
	if shortage == nil || shortage.RetryAfter <= 0 || shortage.RetryAfter > 5*time.Second {
		t.Fatalf("next request: shortage %+v, want one with RetryAfter of up to 5 s", shortage)
	}
}

// Guards against a loss of quota when a request that did not run returns its amount.
func TestReturnRestoresLevel(t *testing.T) {
	c := newCluster(1, true)
	l := c.ledgers[0]
	l.Take(testOrganisation, 10000)
	l.Return(testOrganisation, 10000)
	if shortage := l.Take(testOrganisation, 10000); shortage != nil {
		t.Fatalf("request was refused after Return: %+v", shortage)
	}
}

// Guards against a bucket that is created on the first request of an organisation with the low level of a restart although
// the node has run for some time, or with less than a full bucket at the first start of all nodes.
func TestInitialLevel(t *testing.T) {
	now := time.Unix(1000, 0)
	restarted := NewLedger(false, Tolerance{}, func() time.Time { return now })
	now = now.Add(10 * time.Second)
	if shortage := restarted.Take(testOrganisation, 10000); shortage != nil {
		t.Errorf("request was refused 10 s after the start: %+v", shortage)
	}
	first := NewLedger(true, Tolerance{Slack: 40000}, func() time.Time { return now })
	if shortage := first.Take(testOrganisation, 20000); shortage != nil {
		t.Errorf("burst and a quarter of the slack were refused at the first start: %+v", shortage)
	}
}

// Every restart of a peer is a new incarnation. Guards against the accumulation of the state of old ones.
func TestSilentIncarnationsAreDropped(t *testing.T) {
	c := newCluster(1, true)
	l := c.ledgers[0]
	for i := range 50 {
		l.ApplyPeerReport(string(rune('a'+i)), PeerReport{Usages: map[string]Usage{"o": {Taken: 1, Level: 1}}})
	}
	c.now = c.now.Add(2 * peerRetention)
	l.FullReport()
	if n := len(l.peers); n != 0 {
		t.Fatalf("state of %d silent incarnations is still kept", n)
	}
}

// What a peer admitted before this node started is part of the level it reports. Guards against subtracting it from the bucket
// as well when a partial report with another organisation arrived first.
func TestPartialReportBeforeFullReport(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(false, Tolerance{}, func() time.Time { return now })
	l.ApplyPeerReport("A", PeerReport{IsPartial: true, Usages: map[string]Usage{"other": {Taken: 5000, Level: 100}}})
	l.Take(testOrganisation, 1) // creates the bucket
	l.ApplyPeerReport("A", PeerReport{Usages: map[string]Usage{"o": {Taken: 1e9, Level: 9000}}})
	if shortage := l.Take(testOrganisation, 8000); shortage != nil {
		t.Fatalf("8000 tokens were refused although a peer reported a level of 9000: %+v", shortage)
	}
	l.ApplyPeerReport("A", PeerReport{Usages: map[string]Usage{"o": {Taken: 1e9 + 5000, Level: 9000}}})
	if shortage := l.Take(testOrganisation, 5000); shortage == nil {
		t.Fatal("5000 tokens were admitted although a peer has admitted 5000 tokens since")
	}
}
