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
	// initialPrefillRate is the prompt tokens that a runner is taken to read in a millisecond until its speed is measured.
	initialPrefillRate = 60.0
	// initialFirstEventMillis is the time to a first event without a prompt until it is measured.
	initialFirstEventMillis = 60.0
	// initialPlainMillis is the time of a plain request until it is measured.
	initialPlainMillis = 40.0
	// modelWeight is the weight of one measurement in the moving averages of the model.
	modelWeight = 0.1
	// ejectionPenaltyMillis is what being left out adds to the score in milliseconds, so that a server that fails is still
	// used when all others fail too.
	ejectionPenaltyMillis = 3000.0
	// failurePenaltyFactor is what a failure rate of 1 adds to the score, as a multiple of the prediction.
	failurePenaltyFactor = 4.0
	// maxRunningFactor bounds the requests at a plain server as a multiple of its slots; beyond it the server refuses.
	maxRunningFactor = 3
	// plainScoreJitter is how far chance moves the score of a server for plain requests.
	plainScoreJitter = 0.4
)

// latencyModel predicts times of one service from measurements.
type latencyModel struct {
	prefillRate      float64   // prompt tokens in a millisecond
	firstEventMillis float64   // to the first event, beside the prompt
	plainMillis      float64   // of a plain request
	throttle         *throttle // of plain requests
}

func (t *Table) model(service string) *latencyModel {
	m, found := t.models[service]
	if !found {
		m = &latencyModel{prefillRate: initialPrefillRate, firstEventMillis: initialFirstEventMillis, plainMillis: initialPlainMillis, throttle: newThrottle()}
		t.models[service] = m
	}
	return m
}

// Request is what the choice of a server depends on.
type Request struct {
	Service         string
	Parts           []PromptPart // shared parts of the prompt, in order
	PromptTokens    int          // all tokens of the prompt, shared parts included
	MaxOutputTokens int          // most tokens of the answer
	IsGeneration    bool
	Objective       time.Duration // until the first byte; 0 if there is none
	Urgency         int
	Exclude         map[string]bool // servers that have had the request
	FailureDomain   string          // of this node; equal servers of it go first
}

func (r *Request) urgencyLevel() int { return min(max(r.Urgency, 0), UrgencyLevels-1) }

// Candidate is one server with the inputs of the choice.
type Candidate struct {
	ID                string
	FirstByteMillis   float64 // predicted time to the first byte at a server of usual speed
	Score             float64 // FirstByteMillis with the server's slowness, the cost of work that others have to wait for, and penalties
	UncachedTokens    int     // prompt tokens that the server has to read
	Running           int
	IsFull            bool
	HasPendingPrompts bool // other prompts wait there already
	IsLocal           bool
}

// Pick returns the candidate with the lowest score that is not full. Of equal ones the local ones go first, then the
// order given.
func Pick(candidates []Candidate) (Candidate, bool) {
	available := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.IsFull })
	if len(available) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(available, func(a, b Candidate) int {
		if a.Score == b.Score && a.IsLocal != b.IsLocal {
			if a.IsLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Score, b.Score)
	}), true
}

// Placement is a request's place at a server, from Place to Release.
type Placement struct {
	Server             *Server
	ID                 string
	Address            string
	PredictedFirstByte time.Duration // to the first byte
	Running            int           // requests at the server when it was chosen
	CandidateCount     int
	UncachedTokens     int

	table         *Table
	request       Request
	pendingTokens float64
	placedAt      time.Time
	isUncontended bool // no other prompt waited at the server
	hasFirstByte  bool
}

// Refusal says why no server was chosen and when it is worth trying again.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration // predicted until a server can take the request; 0 if unknown
	NoServers  bool
}

// Place chooses a server for a request and counts the request there. It refuses if all servers are full or if the
// first byte is predicted later than firstByteLimit (0 means no limit).
func (t *Table) Place(r Request, firstByteLimit time.Duration) (*Placement, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	candidates := t.candidates(r, now)
	best, found := Pick(candidates)
	uncachedTokens := max(r.PromptTokens-sumTokens(r.Parts), 0)
	if found {
		uncachedTokens = best.UncachedTokens
	}
	t.countDemand(r, uncachedTokens, t.model(r.Service), now)
	switch {
	case len(candidates) == 0:
		return nil, &Refusal{Reason: "no server of the service is left to try", NoServers: true}
	case !found:
		return nil, &Refusal{Reason: "all servers are full", RetryAfter: shortestFirstByte(candidates)}
	}
	predicted := time.Duration(best.FirstByteMillis * float64(time.Millisecond))
	// Where nothing waits, a prediction alone is no reason to refuse: it may rest on old measurements. Plain requests are
	// shorter than the age of the peers' loads; the throttle bounds them.
	if firstByteLimit > 0 && predicted > firstByteLimit && best.HasPendingPrompts {
		return nil, &Refusal{Reason: "predicted first byte is too late", RetryAfter: predicted - firstByteLimit/2}
	}
	if firstByteLimit > 0 && !r.IsGeneration && !t.admitsPlain(r, now) {
		return nil, &Refusal{Reason: "service answers too late", RetryAfter: r.Objective}
	}
	s := t.servers[best.ID]
	p := &Placement{
		Server: s, ID: s.ID, Address: s.Address, PredictedFirstByte: predicted, Running: best.Running, CandidateCount: len(candidates),
		UncachedTokens: best.UncachedTokens, table: t, request: r, placedAt: now,
	}
	if r.IsGeneration {
		p.pendingTokens = float64(best.UncachedTokens)
		total := s.totalLoad()
		p.isUncontended = total.tokensAhead(UrgencyLevels-1) == 0
		t.prefixes.recordPrefill(s.ID, r.Parts, now)
	}
	s.ownLoad.running++
	s.ownLoad.pendingTokens[r.urgencyLevel()] += p.pendingTokens
	s.health.recordPlacement(now)
	return p, nil
}

// admitsPlain reports whether a plain request is within the share that the service answers on time.
func (t *Table) admitsPlain(r Request, now time.Time) bool {
	serviceThrottle := t.model(r.Service).throttle
	serviceThrottle.adapt(r.Objective, now)
	return serviceThrottle.admittedShare >= 1 || !t.isUnderLoad(r.Service) || rand.Float64() < serviceThrottle.admittedShare
}

// isUnderLoad reports whether the servers of a service are busy enough to answer late because of it.
func (t *Table) isUnderLoad(service string) bool {
	running, slots := 0, 0
	for _, s := range t.servers {
		if s.Service == service && s.isServing() {
			total := s.totalLoad()
			running += total.running
			slots += max(s.Slots, 1)
		}
	}
	return float64(running) >= throttleMinLoad*float64(slots)
}

// shortestFirstByte returns the shortest predicted time to a first byte.
func shortestFirstByte(candidates []Candidate) time.Duration {
	shortest := math.Inf(1)
	for _, c := range candidates {
		shortest = min(shortest, c.FirstByteMillis)
	}
	return time.Duration(shortest * float64(time.Millisecond))
}

// candidates lists the servers that may take a request. The home of the shared parts is taken to have them cached, since
// all nodes send these there first.
func (t *Table) candidates(r Request, now time.Time) []Candidate {
	var serving []*Server
	for _, s := range t.servers {
		if s.Service == r.Service && !r.Exclude[s.ID] && s.isServing() {
			serving = append(serving, s)
		}
	}
	home := homeServer(serving, r.Parts)
	m := t.model(r.Service)
	candidates := make([]Candidate, 0, len(serving))
	for _, s := range serving {
		candidates = append(candidates, t.candidate(s, s == home, r, m, now))
	}
	return candidates
}

func (t *Table) candidate(s *Server, isHome bool, r Request, m *latencyModel, now time.Time) Candidate {
	total := s.totalLoad()
	c := Candidate{ID: s.ID, Running: total.running, IsLocal: s.FailureDomain == r.FailureDomain}
	slots := max(s.Slots, 1)
	slowFactor := s.slowdown.current(now)
	if r.IsGeneration {
		cached := t.prefixes.cachedTokens(s.ID, r.Parts, now)
		if isHome {
			cached = sumTokens(r.Parts)
		}
		c.UncachedTokens = max(r.PromptTokens-cached, 0)
		prefillMillis := float64(c.UncachedTokens) / m.prefillRate
		c.FirstByteMillis = m.firstEventMillis + total.tokensAhead(r.Urgency)/m.prefillRate + prefillMillis
		c.IsFull = total.running >= slots
		c.HasPendingPrompts = total.tokensAhead(UrgencyLevels-1) > 0
		// What this prompt adds to the wait of others counts once more.
		c.Score = c.FirstByteMillis*slowFactor + prefillMillis
	} else {
		c.FirstByteMillis = m.plainMillis * (1 + float64(total.running)/float64(slots))
		c.IsFull = s.ownLoad.running >= maxRunningFactor*slots
		// Plain requests are shorter than the interval at which nodes tell their loads: all would run after the same old
		// figures. Own requests and chance spread them better.
		c.Score = m.plainMillis * (1 + float64(s.ownLoad.running)/float64(slots)) * slowFactor * (1 - plainScoreJitter*rand.Float64())
	}
	c.Score += c.FirstByteMillis * slowFactor * failurePenaltyFactor * s.health.failureRate(now)
	if s.health.isEjected(now) || s.ejectingPeers > 1 {
		c.Score += ejectionPenaltyMillis
	}
	return c
}

func sumTokens(parts []PromptPart) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// homeServer returns the server with the highest rendezvous hash for the shared parts: all nodes agree on it, so that prompts
// with a common beginning meet there.
func homeServer(servers []*Server, parts []PromptPart) *Server {
	key := xxhash.New()
	for _, p := range parts {
		_, _ = key.WriteString(p.ID)
		_, _ = key.WriteString(",")
	}
	seed := key.Sum64()
	var home *Server
	highest := uint64(0)
	for _, s := range servers {
		if weight := mix(seed ^ s.idHash); home == nil || weight > highest {
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

// RecordFirstByte notes the first byte of a response.
func (p *Placement) RecordFirstByte() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	if p.hasFirstByte {
		return
	}
	p.hasFirstByte = true
	p.Server.ownLoad.pendingTokens[p.request.urgencyLevel()] -= p.pendingTokens
	now := time.Now()
	elapsedMillis := now.Sub(p.placedAt).Seconds() * 1000
	p.Server.slowdown.observe(elapsedMillis/max(p.PredictedFirstByte.Seconds()*1000, 1), now)
	m := p.table.model(p.request.Service)
	if p.request.IsGeneration {
		if p.isUncontended {
			m.observePrompt(elapsedMillis, p.pendingTokens)
		}
		return
	}
	m.throttle.observe(elapsedMillis)
	if p.Running < p.Server.Slots {
		m.plainMillis += modelWeight * (min(elapsedMillis, 10*initialPlainMillis) - m.plainMillis)
	}
}

const (
	// minPrefillSampleTokens is from where on the time to the first event tells the speed of reading.
	minPrefillSampleTokens = 3000
	// maxOverheadSampleTokens is up to where it tells the time beside reading.
	maxOverheadSampleTokens = 1000
)

// prefillRateStep is how far one measurement moves the speed of reading.
const prefillRateStep = 0.02

// observePrompt takes the time to the first event of a prompt that waited for no other. The speed of reading follows the
// median of the measurements: parts that were cached without this node's knowledge and prompts of other nodes that came
// between make single ones far too high or too low.
func (m *latencyModel) observePrompt(millis, tokens float64) {
	switch {
	case tokens >= minPrefillSampleTokens && millis > m.firstEventMillis:
		if tokens/(millis-m.firstEventMillis) > m.prefillRate {
			m.prefillRate *= 1 + prefillRateStep
		} else {
			m.prefillRate /= 1 + prefillRateStep
		}
	case tokens <= maxOverheadSampleTokens:
		m.firstEventMillis += modelWeight * (max(millis-tokens/m.prefillRate, 5) - m.firstEventMillis)
	}
	m.prefillRate = max(m.prefillRate, initialPrefillRate/10)
	m.firstEventMillis = min(m.firstEventMillis, 4*initialFirstEventMillis)
}

// Result says how a request ended at a server.
type Result int

// The results of a request at a server.
const (
	// ResultCompleted is a whole response.
	ResultCompleted Result = iota
	// ResultInconclusive says nothing about the server: the caller left or the time was over.
	ResultInconclusive
	// ResultRejected means that the server refused to run the request.
	ResultRejected
	// ResultServerFailure is a response that reports a failure of the server.
	ResultServerFailure
	// ResultConnectionFailure is a failed connection, a cut or a silent response.
	ResultConnectionFailure
)

// Release ends the placement.
func (p *Placement) Release(result Result) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s := p.Server
	if !p.hasFirstByte {
		p.hasFirstByte = true
		s.ownLoad.pendingTokens[p.request.urgencyLevel()] -= p.pendingTokens
	}
	s.ownLoad.running--
	switch result {
	case ResultCompleted:
		s.health.recordSuccess(now)
	case ResultServerFailure:
		s.health.recordFailure(now, false)
	case ResultConnectionFailure:
		s.health.recordFailure(now, true)
	default:
		s.health.recordInconclusive()
	}
	if s.isUnlisted && s.ownLoad.running == 0 && t.servers[s.ID] == s {
		delete(t.servers, s.ID)
	}
}

// MarkMisdirected notes that another server answers at this server's address; the entry is used again when the registry
// changes it.
func (p *Placement) MarkMisdirected() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.Server.Draining = true
}
