package backend

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutrudder.example/rudder/pace"
)

// pacedFleet simulates nodes that send generation requests to model servers of different pace: long streams of 6,610 prompt
// tokens and 48 events, and short ones of 1,800 tokens and 3 events, four short ones for each long one. A server prefills one
// prompt at a time; a step takes longer the more slots are in use.
type pacedFleet struct {
	pacedFleetOptions
	rng     *rand.Rand
	tables  []*Table
	servers []*pacedServer
	pending []*pacedRequest
	begin   time.Time
	step    int

	firstBytes []float64 // milliseconds, of requests counted since the last reset
	refused    int
	late       int   // first byte after 500 ms, of long streams 1,000 ms
	sentTo     []int // by server, since the last reset
}

type pacedFleetOptions struct {
	seed           uint64
	nodes, servers int
	requestsPerS   float64
	paceOf         func(server int, at time.Duration) float64
	subjects       int  // of prompts, which share half of their tokens; 0 for no shared parts
	domainsDiffer  bool // each failure domain has the servers of one group
	hasNoise       bool // 15 in 100 servers are 2.5 times slower for 600 ms at a time
	forgets        bool // tables learn no pace: the choice as it was before
}

type pacedServer struct {
	busyUntil time.Time // end of the prefill of all prompts
	running   int
	cached    map[string]time.Time // when each prompt part was last used
}

type pacedRequest struct {
	placement            *Placement
	server, events       int
	placedAt, firstAt    time.Time
	endAt                time.Time
	hasFirstByte, isLong bool
}

const (
	paceStep           = time.Millisecond
	paceDigestInterval = 620 * time.Millisecond // of 87 nodes
	pacedSlots         = 24
	pacedPrefillRate   = 55.0 // tokens per millisecond
	pacedCacheTime     = 10 * time.Second
)

func newPacedFleet(o pacedFleetOptions) *pacedFleet {
	f := &pacedFleet{pacedFleetOptions: o, rng: rand.New(rand.NewPCG(o.seed, 0)), begin: time.Now()}
	for i := range o.nodes {
		f.tables = append(f.tables, f.newTable(i))
	}
	for range o.servers {
		f.servers = append(f.servers, &pacedServer{cached: map[string]time.Time{}})
	}
	f.reset()
	return f
}

func (f *pacedFleet) newTable(node int) *Table {
	t := NewTable(time.Second, slog.New(slog.DiscardHandler))
	t.ChoosesByPace = true
	t.random = rand.New(rand.NewPCG(f.seed, uint64(node)+1))
	for i := range f.pacedFleetOptions.servers {
		domain := i / 3 % 3 // has servers of all groups
		if f.domainsDiffer {
			domain = i % 3
		}
		t.Put(Entry{ID: serverID(i), Service: "s", Address: "127.0.0.1:1", FailureDomain: fmt.Sprint("d", domain), Slots: pacedSlots})
	}
	return t
}

// reset starts counting anew.
func (f *pacedFleet) reset() {
	f.firstBytes, f.refused, f.late, f.sentTo = nil, 0, 0, make([]int, f.pacedFleetOptions.servers)
}

// run simulates the given time.
func (f *pacedFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); f.step++ {
		time.Sleep(paceStep)
		for n := f.rng.ExpFloat64(); n < f.requestsPerS*paceStep.Seconds(); n += f.rng.ExpFloat64() {
			f.send(f.rng.IntN(len(f.tables)))
		}
		f.answer()
		f.exchange()
	}
}

// slowness returns the time that a server takes relative to the usual one.
func (f *pacedFleet) slowness(server int) float64 {
	at := time.Since(f.begin)
	factor := f.paceOf(server, at)
	const noisePeriod = 600 * time.Millisecond
	if f.hasNoise && mix(uint64(server)<<32|uint64(at/noisePeriod))%100 < 15 {
		factor *= 2.5
	}
	return factor
}

func (f *pacedFleet) send(node int) {
	isLong := f.rng.IntN(5) == 0
	r := Request{Service: "s", IsGeneration: true, PromptTokens: 1800, MaxOutputTokens: 3, FailureDomain: fmt.Sprint("d", node%3)}
	if isLong {
		r.PromptTokens, r.MaxOutputTokens, r.Urgency = 6610, 48, 1
	}
	if f.subjects > 0 {
		subject := fmt.Sprint("subject", int(float64(f.subjects)*f.rng.Float64()*f.rng.Float64()))
		r.Parts = []PromptPart{{"common", 300}, {subject, (r.PromptTokens - 300) / 2}}
	}
	table := f.tables[node]
	if f.forgets {
		for _, s := range table.servers {
			s.pace = pace.Estimator{}
		}
	}
	p, refusal := table.Place(r, 0)
	if refusal != nil {
		f.refused++
		return
	}
	var server int
	_, _ = fmt.Sscanf(p.ID, "server-%d", &server)
	s, now := f.servers[server], time.Now()
	if s.running >= pacedSlots {
		f.refused++
		p.Release(ResultRejected)
		return
	}
	f.sentTo[server]++
	slowness := f.slowness(server)
	stepMillis := (2.89 + 0.101*float64(s.running+1)) * slowness
	s.running++
	s.busyUntil = later(s.busyUntil, now).Add(fromMillis(float64(s.uncached(r, now)) / pacedPrefillRate * slowness))
	q := &pacedRequest{placement: p, server: server, events: r.MaxOutputTokens, placedAt: now, isLong: isLong}
	q.firstAt = s.busyUntil.Add(fromMillis(stepMillis + 2))
	q.endAt = q.firstAt.Add(fromMillis(stepMillis * float64(q.events-1)))
	f.pending = append(f.pending, q)
}

// uncached returns the tokens of a prompt that the server has to prefill, and caches its parts.
func (s *pacedServer) uncached(r Request, now time.Time) int {
	tokens := r.PromptTokens
	for _, part := range r.Parts {
		if at, found := s.cached[part.ID]; found && now.Sub(at) < pacedCacheTime {
			tokens -= part.Tokens
		}
		s.cached[part.ID] = now
	}
	return tokens
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func fromMillis(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}

// answer records the first bytes and the ends that are due.
func (f *pacedFleet) answer() {
	now := time.Now()
	f.pending = slices.DeleteFunc(f.pending, func(q *pacedRequest) bool {
		if !q.hasFirstByte && !now.Before(q.firstAt) {
			q.hasFirstByte = true
			q.placement.RecordFirstByte()
			elapsed := millis(now.Sub(q.placedAt))
			f.firstBytes = append(f.firstBytes, elapsed)
			if q.isLong && elapsed > 1000 || !q.isLong && elapsed > 500 {
				f.late++
			}
		}
		if now.Before(q.endAt) {
			return false
		}
		q.placement.RecordEvents(q.events-1, q.endAt.Sub(q.firstAt))
		q.placement.Release(ResultCompleted)
		f.servers[q.server].running--
		return true
	})
}

// exchange passes the digests of nodes to the others, each node at its own phase.
func (f *pacedFleet) exchange() {
	steps := int(paceDigestInterval / paceStep)
	for i, from := range f.tables {
		if (f.step+31*i)%steps == 0 {
			f.report(i, from)
		}
	}
}

func (f *pacedFleet) report(node int, from *Table) {
	loads, report := from.OwnLoads(), from.TakePaceReport()
	for j, to := range f.tables {
		if j != node {
			to.SetPeerLoads(fmt.Sprint("n", node), loads)
			to.ApplyPaceReport(fmt.Sprint("n", node), report)
		}
	}
}

// paceOfServer returns the pace in use of a server at a node.
func (f *pacedFleet) paceOfServer(node, server int) float64 {
	return f.tables[node].servers[serverID(server)].pace.Pace(0)
}

// meanFirstByte returns the mean of the counted times to the first byte, and the one that 95 in 100 do not exceed.
func (f *pacedFleet) meanFirstByte() (mean, p95 float64) {
	for _, m := range f.firstBytes {
		mean += m / float64(len(f.firstBytes))
	}
	slices.Sort(f.firstBytes)
	return mean, f.firstBytes[len(f.firstBytes)*95/100]
}
