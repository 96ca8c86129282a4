package backend

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialPrefill is the prompt tokens that a runner is taken to read in a millisecond until its speed is measured.
	initialPrefill = 60.0
	// initialFirstMillis is the time to a first event without a prompt until it is measured.
	initialFirstMillis = 60.0
	// initialWorkMillis is the time of a plain request until it is measured.
	initialWorkMillis = 40.0
	// modelWeight is the weight of one measurement in the moving averages of the model.
	modelWeight = 0.1
	// ejectedPenalty is what being left out adds to the score in milliseconds, so that a server that fails is still
	// used when all others fail too.
	ejectedPenalty = 3000.0
	// failurePenalty is what a failure rate of 1 adds to the score, as a multiple of the prediction.
	failurePenalty = 4.0
	// maxRunningFactor bounds the requests at a plain server as a multiple of its slots; beyond it the server refuses.
	maxRunningFactor = 3
	// plainSpread is how far chance moves the score of a server for plain requests.
	plainSpread = 0.4
)

// engineModel predicts times of one service from measurements.
type engineModel struct {
	prefill     float64 // prompt tokens in a millisecond
	firstMillis float64 // to the first event, beside the prompt
	workMillis  float64 // of a plain request
	pace        *pace   // of plain requests
}

func (t *Table) model(service string) *engineModel {
	m, found := t.engine[service]
	if !found {
		m = &engineModel{prefill: initialPrefill, firstMillis: initialFirstMillis, workMillis: initialWorkMillis, pace: newPace()}
		t.engine[service] = m
	}
	return m
}

// Request is what the choice of a server depends on.
type Request struct {
	Service       string
	Parts         []Part // shared parts of the prompt, in order
	PromptTokens  int    // all tokens of the prompt, shared parts included
	OutputTokens  int    // most tokens of the answer
	IsGeneration  bool
	Objective     time.Duration // until the first byte; 0 if there is none
	Urgency       int
	Exclude       map[string]bool // servers that have had the request
	FailureDomain string          // of this node; equal servers of it go first
}

func (r *Request) level() int { return min(max(r.Urgency, 0), UrgencyLevels-1) }

// Candidate is one server with the inputs of the choice.
type Candidate struct {
	ID       string
	Millis   float64 // predicted time to the first byte at a server of usual speed
	Score    float64 // Millis with the server's slowness, the cost of work that others have to wait for, and penalties
	Uncached int     // prompt tokens that the server has to read
	Running  int
	Full     bool
	Waiting  bool // other prompts wait there already
	Local    bool
}

// Pick returns the candidate with the lowest score that is not full. Of equal ones the local ones go first, then the
// order given.
func Pick(candidates []Candidate) (Candidate, bool) {
	free := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Full })
	if len(free) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(free, func(a, b Candidate) int {
		if a.Score == b.Score && a.Local != b.Local {
			if a.Local {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Score, b.Score)
	}), true
}

// Placement is a request's place at a server, from Place to Release.
type Placement struct {
	Server    *Server
	ID        string
	Address   string
	Predicted time.Duration // to the first byte
	Running   int           // requests at the server when it was chosen
	Choices   int
	Uncached  int

	table    *Table
	request  Request
	pending  float64
	placedAt time.Time
	alone    bool // no other prompt waited at the server
	answered bool
}

// Refusal says why no server was chosen and when it is worth trying again.
type Refusal struct {
	Reason    string
	Wait      time.Duration // predicted until a server can take the request; 0 if unknown
	NoServers bool
}

// Place chooses a server for a request and counts the request there. It refuses if all servers are full or if the
// first byte is predicted later than limit (0 means no limit).
func (t *Table) Place(r Request, limit time.Duration) (*Placement, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	candidates := t.candidates(r, now)
	best, found := Pick(candidates)
	uncached := max(r.PromptTokens-sumTokens(r.Parts), 0)
	if found {
		uncached = best.Uncached
	}
	t.countDemand(r, uncached, t.model(r.Service), now)
	switch {
	case len(candidates) == 0:
		return nil, &Refusal{Reason: "no server of the service is left to try", NoServers: true}
	case !found:
		return nil, &Refusal{Reason: "all servers are full", Wait: shortestWait(candidates)}
	}
	predicted := time.Duration(best.Millis * float64(time.Millisecond))
	// Where nothing waits, a prediction alone is no reason to refuse: it may rest on old measurements. Plain requests are
	// shorter than the age of the peers' loads; the pace bounds them.
	if limit > 0 && predicted > limit && best.Waiting {
		return nil, &Refusal{Reason: "predicted first byte is too late", Wait: predicted - limit/2}
	}
	if limit > 0 && !r.IsGeneration && !t.isPaced(r, now) {
		return nil, &Refusal{Reason: "service answers too late", Wait: r.Objective}
	}
	s := t.servers[best.ID]
	p := &Placement{
		Server: s, ID: s.ID, Address: s.Address, Predicted: predicted, Running: best.Running, Choices: len(candidates),
		Uncached: best.Uncached, table: t, request: r, placedAt: now,
	}
	if r.IsGeneration {
		p.pending = float64(best.Uncached)
		sum := s.total()
		p.alone = sum.ahead(UrgencyLevels-1) == 0
		t.prefix.read(s.ID, r.Parts, now)
	}
	s.own.running++
	s.own.pending[r.level()] += p.pending
	s.health.placed(now)
	return p, nil
}

// isPaced reports whether a plain request is within the share that the service answers on time.
func (t *Table) isPaced(r Request, now time.Time) bool {
	p := t.model(r.Service).pace
	p.adapt(r.Objective, now)
	return p.share >= 1 || !t.isLoaded(r.Service) || rand.Float64() < p.share
}

// isLoaded reports whether the servers of a service are busy enough to answer late because of it.
func (t *Table) isLoaded(service string) bool {
	running, slots := 0, 0
	for _, s := range t.servers {
		if s.Service == service && s.serves() {
			sum := s.total()
			running += sum.running
			slots += max(s.Slots, 1)
		}
	}
	return float64(running) >= pacedLoad*float64(slots)
}

// shortestWait returns the shortest predicted time to a first byte.
func shortestWait(candidates []Candidate) time.Duration {
	shortest := math.Inf(1)
	for _, c := range candidates {
		shortest = min(shortest, c.Millis)
	}
	return time.Duration(shortest * float64(time.Millisecond))
}

// candidates lists the servers that may take a request. The home of the shared parts is taken to have them cached, since
// all nodes send these there first.
func (t *Table) candidates(r Request, now time.Time) []Candidate {
	var serving []*Server
	for _, s := range t.servers {
		if s.Service == r.Service && !r.Exclude[s.ID] && s.serves() {
			serving = append(serving, s)
		}
	}
	home := homeOf(serving, r.Parts)
	m := t.model(r.Service)
	list := make([]Candidate, 0, len(serving))
	for _, s := range serving {
		list = append(list, t.candidate(s, s == home, r, m, now))
	}
	return list
}

func (t *Table) candidate(s *Server, isHome bool, r Request, m *engineModel, now time.Time) Candidate {
	sum := s.total()
	c := Candidate{ID: s.ID, Running: sum.running, Local: s.FailureDomain == r.FailureDomain}
	slots := max(s.Slots, 1)
	slowness := s.speed.slowness(now)
	if r.IsGeneration {
		cached := t.prefix.cached(s.ID, r.Parts, now)
		if isHome {
			cached = sumTokens(r.Parts)
		}
		c.Uncached = max(r.PromptTokens-cached, 0)
		own := float64(c.Uncached) / m.prefill
		c.Millis = m.firstMillis + sum.ahead(r.Urgency)/m.prefill + own
		c.Full = sum.running >= slots
		c.Waiting = sum.ahead(UrgencyLevels-1) > 0
		// What this prompt adds to the wait of others counts once more.
		c.Score = c.Millis*slowness + own
	} else {
		c.Millis = m.workMillis * (1 + float64(sum.running)/float64(slots))
		c.Full = s.own.running >= maxRunningFactor*slots
		// Plain requests are shorter than the interval at which nodes tell their loads: all would run after the same old
		// figures. Own requests and chance spread them better.
		c.Score = m.workMillis * (1 + float64(s.own.running)/float64(slots)) * slowness * (1 - plainSpread*rand.Float64())
	}
	c.Score += c.Millis * slowness * failurePenalty * s.health.failureRate(now)
	if s.health.ejected(now) || s.failingAt > 1 {
		c.Score += ejectedPenalty
	}
	return c
}

func sumTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// homeOf returns the server with the highest rendezvous hash for the shared parts: all nodes agree on it, so that prompts
// with a common beginning meet there.
func homeOf(servers []*Server, parts []Part) *Server {
	key := xxhash.New()
	for _, p := range parts {
		_, _ = key.WriteString(p.ID)
		_, _ = key.WriteString(",")
	}
	seed := key.Sum64()
	var home *Server
	highest := uint64(0)
	for _, s := range servers {
		if weight := mix(seed ^ s.hash); home == nil || weight > highest {
			home, highest = s, weight
		}
	}
	return home
}

// mix spreads the bits of two combined hashes (finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Answered notes the first byte of a response.
func (p *Placement) Answered() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	if p.answered {
		return
	}
	p.answered = true
	p.Server.own.pending[p.request.level()] -= p.pending
	now := time.Now()
	took := now.Sub(p.placedAt).Seconds() * 1000
	p.Server.speed.observe(took/max(p.Predicted.Seconds()*1000, 1), now)
	m := p.table.model(p.request.Service)
	if p.request.IsGeneration {
		if p.alone {
			m.learnPrompt(took, p.pending)
		}
		return
	}
	m.pace.observe(took)
	if p.Running < p.Server.Slots {
		m.workMillis += modelWeight * (min(took, 10*initialWorkMillis) - m.workMillis)
	}
}

const (
	// longPromptTokens is from where on the time to the first event tells the speed of reading.
	longPromptTokens = 3000
	// shortPromptTokens is up to where it tells the time beside reading.
	shortPromptTokens = 1000
)

// prefillStep is how far one measurement moves the speed of reading.
const prefillStep = 0.02

// learnPrompt takes the time to the first event of a prompt that waited for no other. The speed of reading follows the
// median of the measurements: parts that were cached without this node's knowledge and prompts of other nodes that came
// between make single ones far too high or too low.
func (m *engineModel) learnPrompt(millis, tokens float64) {
	switch {
	case tokens >= longPromptTokens && millis > m.firstMillis:
		if tokens/(millis-m.firstMillis) > m.prefill {
			m.prefill *= 1 + prefillStep
		} else {
			m.prefill /= 1 + prefillStep
		}
	case tokens <= shortPromptTokens:
		m.firstMillis += modelWeight * (max(millis-tokens/m.prefill, 5) - m.firstMillis)
	}
	m.prefill = max(m.prefill, initialPrefill/10)
	m.firstMillis = min(m.firstMillis, 4*initialFirstMillis)
}

// Result says how a request ended at a server.
type Result int

// The results of a request at a server.
const (
	// Completed is a whole response.
	Completed Result = iota
	// Inconclusive says nothing about the server: the caller left or the time was over.
	Inconclusive
	// Rejected means that the server refused to run the request.
	Rejected
	// Failed is a response that reports a failure of the server.
	Failed
	// Broken is a failed connection, a cut or a silent response.
	Broken
)

// Release ends the placement.
func (p *Placement) Release(result Result) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s := p.Server
	if !p.answered {
		p.answered = true
		s.own.pending[p.request.level()] -= p.pending
	}
	s.own.running--
	switch result {
	case Completed:
		s.health.succeeded(now)
	case Failed:
		s.health.failed(now, false)
	case Broken:
		s.health.failed(now, true)
	default:
		s.health.ended()
	}
	if s.gone && s.own.running == 0 && t.servers[s.ID] == s {
		delete(t.servers, s.ID)
	}
}

// Misdirected notes that another server answers at this server's address; the entry is used again when the registry
// changes it.
func (p *Placement) Misdirected() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.Server.Draining = true
}
