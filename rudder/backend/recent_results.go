package backend

import (
	"math"
	"time"
)

const (
	// resultHalfLife is the time after which a result counts half. Rejections show that a server is full or in trouble now.
	resultHalfLife = 1500 * time.Millisecond
	// priorResults is the number of good results that every server is assumed to have had, so that a single bad one does not
	// make it look useless.
	priorResults = 3.0
	// minReportedResults is the number of bad results from which on peers are told of a server.
	minReportedResults = 0.2
	// resultUnit is the unit of reported counts.
	resultUnit = 0.01
	// rejectionCost is the time that a certain rejection costs, as a part of the objective: the request has lost that time
	// when it goes elsewhere, and has used a retry from the shared budget.
	rejectionCost = 0.5
	// defaultRejectionCostMillis is the same for requests without an objective.
	defaultRejectionCostMillis = 250.0
)

// resultCounts counts recent results of requests at a server. A server that rejects at once, or fails, looks idle by its load
// and would attract ever more requests; each node alone sends too few to notice that.
type resultCounts struct{ total, rejected, failed float64 }

func (c resultCounts) add(other resultCounts, sign float64) resultCounts {
	return resultCounts{total: c.total + sign*other.total, rejected: c.rejected + sign*other.rejected, failed: c.failed + sign*other.failed}
}

func (c resultCounts) scale(factor float64) resultCounts {
	return resultCounts{total: c.total * factor, rejected: c.rejected * factor, failed: c.failed * factor}
}

// rejectionRate and failureRate return the shares of rejected and failed requests, 0 to 1.
func (c resultCounts) rejectionRate() float64 {
	return max(c.rejected, 0) / (max(c.total, 0) + priorResults)
}
func (c resultCounts) failureRate() float64 {
	return max(c.failed, 0) / (max(c.total, 0) + priorResults)
}

// decayingResults holds result counts that lose half of their weight each resultHalfLife.
type decayingResults struct {
	counts resultCounts // as of at
	at     time.Time
}

// current returns the counts at a time.
func (d *decayingResults) current(now time.Time) resultCounts {
	if d.counts.total == 0 {
		return resultCounts{}
	}
	return d.counts.scale(math.Exp2(-now.Sub(d.at).Seconds() / resultHalfLife.Seconds()))
}

// observe adds a result. An inconclusive one is not counted.
func (d *decayingResults) observe(r Result, now time.Time) {
	counts := d.current(now)
	switch r {
	case ResultInconclusive:
		return
	case ResultRejected:
		counts.rejected++
	case ResultServerFailure, ResultConnectionFailure:
		counts.failed++
	}
	counts.total++
	d.counts, d.at = counts, now
}

// ResultReport is what a node tells its peers of its recent results at one server, in hundredths of a request.
type ResultReport struct {
	_                       struct{} `cbor:",toarray"`
	Total, Rejected, Failed int
}

func (r ResultReport) counts() resultCounts {
	return resultCounts{total: float64(r.Total), rejected: float64(r.Rejected), failed: float64(r.Failed)}.scale(resultUnit)
}

// OwnResults returns this node's recent results by server ID for its peers. Servers without bad ones are left out.
func (t *Table) OwnResults() map[string]ResultReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var reports map[string]ResultReport
	for id, s := range t.servers {
		counts := s.ownResults.current(now)
		if counts.rejected+counts.failed < minReportedResults || t.isPathLost(s.Service) {
			continue
		}
		if reports == nil {
			reports = map[string]ResultReport{}
		}
		inUnits := counts.scale(1 / resultUnit)
		reports[id] = ResultReport{Total: int(inUnits.total), Rejected: int(inUnits.rejected), Failed: int(inUnits.failed)}
	}
	return reports
}

// SetPeerResults replaces the results that a peer last reported, by server ID. They are forgotten with the loads of the peer.
func (t *Table) SetPeerResults(peer string, results map[string]ResultReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.peerLoads[peer]
	t.addPeerResults(r.results, -1)
	r.results, r.receivedAt = results, time.Now()
	t.peerLoads[peer] = r
	t.addPeerResults(results, 1)
}

// addPeerResults adds the results of a peer to the servers (sign 1) or subtracts them (sign -1). The caller holds the lock.
func (t *Table) addPeerResults(results map[string]ResultReport, sign float64) {
	for id, r := range results {
		if s, found := t.servers[id]; found {
			s.peerResults = s.peerResults.add(r.counts(), sign)
		}
	}
}

// recentResults returns the recent results of all nodes at the server, as far as known.
func (s *Server) recentResults(now time.Time) resultCounts {
	return s.ownResults.current(now).add(s.peerResults, 1)
}

// resultPenaltyMillis returns what the recent results of a server add to its score for a request that it would answer within
// the given time.
func (s *Server) resultPenaltyMillis(r Request, firstByteMillis float64, now time.Time) float64 {
	results := s.recentResults(now)
	cost := rejectionCost * r.Objective.Seconds() * 1000
	if cost <= 0 {
		cost = defaultRejectionCostMillis
	}
	failureRate := max(s.health.failureRate(now), results.failureRate())
	return firstByteMillis*failurePenaltyFactor*failureRate + cost*results.rejectionRate()
}
