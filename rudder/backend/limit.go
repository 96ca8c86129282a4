package backend

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/internal/turn"
)

const (
	// minLimitShare is the smallest part of a server's limit that a node uses, in requests per second. A server with a lower
	// limit than that for each node gets requests from some nodes only: smaller parts could not be kept, since each node
	// sends whole requests.
	minLimitShare = 1.0
	// minServerLimit is the rate, in requests per second, at which servers with a lower limit are sent requests all the same:
	// only responses tell that a limit has ended.
	minServerLimit = 0.2
	// limitBurstSeconds is the time for which a node may save up its part of a limit.
	limitBurstSeconds = 0.5
	// otherNodesLimitWait is when a request that this node may not send to a limited server may be tried again: another node
	// may send it.
	otherNodesLimitWait = time.Second
	// limitProbeInterval is the age of a server's newest response from which on a limit in it is doubted, and the time between two
	// requests of a node that probe it.
	limitProbeInterval = 5 * time.Second
	// liftedLimitRetention is how long peers are told that a server names no limit any more.
	liftedLimitRetention = 20 * time.Second
	// limitReportsPerDigest bounds the reports for peers at one time; hundreds of servers may name a limit at once.
	limitReportsPerDigest = 48
	// limitNewsPeriod is how long a limit that has changed is reported before the others.
	limitNewsPeriod = 2 * time.Second
)

// serverLimit is what a server in need says of the requests that it takes from all nodes together, and this node's part of it.
type serverLimit struct {
	perSecond float64   // meaningful if isNamed
	isNamed   bool      // the last response named a limit
	at        time.Time // when that response arrived; zero if no response has named a limit yet
	changedAt time.Time // when this node learnt of the last change

	share    float64 // requests per second that this node may send
	tokens   float64 // requests that this node may send at filledAt
	filledAt time.Time
	placedAt time.Time // when this node last placed a request at the server while it named a limit
}

// Node is a node of the relay that sends requests to backend servers.
type Node struct {
	Name          string
	FailureDomain string
}

// LimitReport is what a node knows of the limit of one server, for its peers.
type LimitReport struct {
	_         struct{} `cbor:",toarray"`
	Server    uint64   // Placement.Incarnation
	IsNamed   bool
	PerSecond float64
	AgeMillis int64 // since the response that told it
}

// parseLimit returns the number of requests a second in a header field, false if it is not a number that can be kept.
func parseLimit(value string) (float64, bool) {
	perSecond, err := strconv.ParseFloat(value, 64)
	return perSecond, err == nil && perSecond >= 0 && !math.IsInf(perSecond, 0)
}

// RecordLimit records what a response of the server says of its limit: field is the value of the header that names it, empty
// if the response has none. A value that is not a number changes nothing.
func (p *Placement) RecordLimit(field string) {
	perSecond, isNumber := parseLimit(field)
	if field != "" && !isNumber {
		p.table.Log.Warn("Ignored a malformed limit of a backend server.", "server", p.ID, "limit", field)
		return
	}
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.setLimit(p.Server, perSecond, field != "", time.Now()) {
		t.hasUrgentLimit = true
	}
}

// setLimit sets what is known of the limit of a server, unless something newer is known, and reports whether the limit has
// changed. The caller holds the lock.
func (t *Table) setLimit(s *Server, perSecond float64, isNamed bool, at time.Time) bool {
	l := &s.limit
	if !isNamed && l.at.IsZero() || !at.After(l.at) {
		return false
	}
	l.at = at
	if isNamed == l.isNamed && (!isNamed || perSecond == l.perSecond) {
		return false
	}
	now := time.Now()
	l.fill(now)
	l.isNamed, l.perSecond, l.changedAt = isNamed, perSecond, now
	if !isNamed {
		t.Log.Info("Backend server names no limit of requests any more.", "server", s.ID, "service", s.Service)
		return true
	}
	t.updateLimitShare(s)
	t.Log.Info("Backend server names a limit of requests.", "server", s.ID, "service", s.Service, "requests_per_second", perSecond, "share_per_second", l.share)
	return true
}

// updateLimitShare sets this node's part of the limit of a server. The caller holds the lock.
func (t *Table) updateLimitShare(s *Server) {
	s.limit.fill(time.Now())
	s.limit.share = limitShare(t.selfName, t.nodes, s.idHash, s.FailureDomain, max(s.limit.perSecond, minServerLimit))
}

// limitShare returns the requests per second that a node may send to a server which takes perSecond from all nodes together.
// All nodes that know the same nodes divide the limit alike, without telling each other: the nodes with the highest
// rendezvous hashes share it, those in the server's failure domain before others.
func limitShare(self string, nodes []Node, serverHash uint64, failureDomain string, perSecond float64) float64 {
	if len(nodes) == 0 {
		return perSecond // this node is the only one that is known
	}
	type rankedNode struct {
		name    string
		isLocal bool
		weight  uint64
	}
	ranked := make([]rankedNode, 0, len(nodes))
	for _, n := range nodes {
		ranked = append(ranked, rankedNode{n.Name, n.FailureDomain == failureDomain, mix(serverHash ^ xxhash.Sum64String(n.Name))})
	}
	slices.SortFunc(ranked, func(a, b rankedNode) int {
		if a.isLocal != b.isLocal {
			if a.isLocal {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	senders := min(max(int(perSecond/minLimitShare), 1), len(ranked))
	for _, n := range ranked[:senders] {
		if n.name == self {
			return perSecond / float64(senders)
		}
	}
	return 0
}

// fill adds the tokens for the time since the last call. A limit that is new begins without tokens: requests were sent just
// before.
func (l *serverLimit) fill(now time.Time) {
	if !l.isNamed {
		l.tokens, l.filledAt = 0, now
		return
	}
	l.tokens = min(l.tokens+now.Sub(l.filledAt).Seconds()*l.share, max(1, l.share*limitBurstSeconds))
	l.filledAt = now
}

// limitWait returns how long this node must wait before it may send a request to the server; 0 if it may send one now.
func (s *Server) limitWait(now time.Time) time.Duration {
	l := &s.limit
	if !l.isNamed {
		return 0
	}
	l.fill(now)
	switch {
	case l.tokens >= 1:
		return 0
	case l.share <= 0:
		return otherNodesLimitWait
	default:
		return time.Duration((1 - l.tokens) / l.share * float64(time.Second))
	}
}

// isProbeDue reports whether the newest response of the server named a limit long ago and this node has not placed a request
// there since. Otherwise a server whose limit has ended could be chosen too rarely for a response to tell it.
func (l *serverLimit) isProbeDue(now time.Time) bool {
	return l.isNamed && now.Sub(l.at) >= limitProbeInterval && now.Sub(l.placedAt) >= limitProbeInterval
}

// SetNodes sets the nodes among which the limits of servers are divided. A node that does not serve callers is not among
// them.
func (t *Table) SetNodes(self string, nodes []Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.selfName == self && slices.Equal(t.nodes, nodes) {
		return
	}
	t.selfName, t.nodes = self, nodes
	limited, gained, lost := 0, 0, 0
	for _, s := range t.servers {
		if !s.limit.isNamed {
			continue
		}
		limited++
		previous := s.limit.share
		t.updateLimitShare(s)
		switch {
		case s.limit.share > previous:
			gained++
		case s.limit.share < previous:
			lost++
		}
	}
	if gained+lost > 0 {
		t.Log.Info("Shares of the limits of backend servers follow the list of nodes.", "nodes", len(nodes), "limited_servers", limited, "larger_shares", gained, "smaller_shares", lost)
	}
}

// Limits returns what is known of the limits of servers, for peers: those that are named, and those that were lately.
func (t *Table) Limits() []LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasUrgentLimit = false
	return t.limitReports()
}

// UrgentLimits returns the same as Limits if a response to this node has changed what is known, else nil.
func (t *Table) UrgentLimits() []LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasUrgentLimit {
		return nil
	}
	t.hasUrgentLimit = false
	return t.limitReports()
}

// limitReports returns at most limitReportsPerDigest reports for peers, those of limits that changed lately before the others.
// Successive calls go through all limits. The caller holds the lock.
func (t *Table) limitReports() []LimitReport {
	now := time.Now()
	var news, others []LimitReport
	for _, s := range t.servers {
		l := &s.limit
		age := now.Sub(l.at)
		if l.at.IsZero() || !s.isServing() || !l.isNamed && age >= liftedLimitRetention {
			continue
		}
		report := LimitReport{Server: s.incarnation(), IsNamed: l.isNamed, PerSecond: l.perSecond, AgeMillis: age.Milliseconds()}
		if now.Sub(l.changedAt) < limitNewsPeriod {
			news = append(news, report)
		} else {
			others = append(others, report)
		}
	}
	t.limitTurn++
	list := t.limitsInTurn(news, limitReportsPerDigest)
	return append(list, t.limitsInTurn(others, limitReportsPerDigest-len(list))...)
}

// limitsInTurn returns the up to n reports whose turn it is. The caller holds the lock.
func (t *Table) limitsInTurn(reports []LimitReport, n int) []LimitReport {
	slices.SortFunc(reports, func(a, b LimitReport) int { return cmp.Compare(a.Server, b.Server) })
	return turn.Take(reports, t.limitTurn, n)
}

// ApplyLimits adds what a peer reported.
func (t *Table) ApplyLimits(reports []LimitReport) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := t.serversByIncarnation()
	now := time.Now()
	for _, r := range reports {
		if s, found := servers[r.Server]; found && r.AgeMillis >= 0 && r.PerSecond >= 0 {
			t.setLimit(s, r.PerSecond, r.IsNamed, now.Add(-time.Duration(r.AgeMillis)*time.Millisecond))
		}
	}
}
