package backend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chestnutrudder.example/rudder/internal/turn"
	"chestnutrudder.example/rudder/pace"
)

const (
	// paceReportInterval is the shortest time between two reports. Hosts send digests to up to 95 peers over 10 Mbit/s links, and
	// estimates follow changes within seconds.
	paceReportInterval = time.Second
	// paceReportsPerDigest bounds the servers with samples in one report, and knownPacesPerDigest those of which all that is known
	// is told. All peers together tell a node that starts of hundreds of servers within two reports.
	paceReportsPerDigest = 48
	knownPacesPerDigest  = 12
	// minKnownWeight is the weight from which on a peer can use what is known of a server.
	minKnownWeight = 16.0
	// paceSenderRetention is how long the latest report of a peer is remembered.
	paceSenderRetention = time.Minute
	// paceIndexAge bounds the age of the index of servers.
	paceIndexAge = time.Second
)

// paceExchange is the state of the exchange of paces with peers.
type paceExchange struct {
	sequence   uint64 // of the latest report of this node
	turn       int
	reportedAt time.Time
	senders    map[string]paceSender // by peer and start of its process
	index      map[uint64]*Server    // by incarnation, renewed at indexedAt
	indexedAt  time.Time
}

// paceSender is the latest report of a peer.
type paceSender struct {
	sequence   uint64
	receivedAt time.Time
}

// dropOldSenders forgets peers that have not reported for long.
func (x *paceExchange) dropOldSenders(now time.Time) {
	maps.DeleteFunc(x.senders, func(_ string, s paceSender) bool { return now.Sub(s.receivedAt) > paceSenderRetention })
}

// TakePaceReport returns what peers are to be told of the paces of servers: the samples since the last report, and in turn what
// is known of some servers. It returns nil if the last report was a moment ago or there is nothing to tell.
func (t *Table) TakePaceReport() *pace.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, now := &t.paceExchange, time.Now()
	if !t.ChoosesByPace || now.Sub(x.reportedAt) < paceReportInterval {
		return nil
	}
	var changed, known []*Server
	for _, s := range t.servers {
		if !s.isServing() {
			continue
		}
		if s.pace.UnsentWeight() > 0 {
			changed = append(changed, s)
		}
		if s.pace.Weight() >= minKnownWeight {
			known = append(known, s)
		}
	}
	x.reportedAt = now
	x.turn++
	slices.SortFunc(changed, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(b.pace.UnsentWeight(), a.pace.UnsentWeight()), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(known, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	reported := changed[:min(len(changed), paceReportsPerDigest)]
	withKnown := map[*Server]bool{}
	for _, s := range turn.Take(known, x.turn, knownPacesPerDigest) {
		withKnown[s] = true
		if !slices.Contains(reported, s) && len(reported) < paceReportsPerDigest {
			reported = append(reported, s)
		}
	}
	if len(reported) == 0 {
		return nil
	}
	x.sequence++
	report := &pace.Report{Sequence: x.sequence}
	for _, s := range reported {
		report.Servers = append(report.Servers, s.pace.TakeReport(s.incarnation(), withKnown[s]))
	}
	return report
}

// ApplyPaceReport adds what a peer reported. peer identifies one start of the peer's process.
func (t *Table) ApplyPaceReport(peer string, report *pace.Report) {
	if report == nil || !t.ChoosesByPace {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x, now := &t.paceExchange, time.Now()
	if report.Sequence <= x.senders[peer].sequence {
		return // a copy, or overtaken by a later one
	}
	if x.senders == nil {
		x.senders = map[string]paceSender{}
	}
	x.senders[peer] = paceSender{sequence: report.Sequence, receivedAt: now}
	if now.Sub(x.indexedAt) >= paceIndexAge {
		x.index, x.indexedAt = t.serversByIncarnation(), now
	}
	for _, r := range report.Servers[:min(len(report.Servers), paceReportsPerDigest)] {
		if s, found := x.index[r.Server]; found {
			t.model(s.Service).paces.Merge(&s.pace, r, now)
		}
	}
}
