package backend

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chestnutrudder.example/rudder/admission"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/pace"
)

const (
	// initialPrefillRate is the prefill rate assumed before it is measured, in prompt tokens per millisecond.
	initialPrefillRate = 60.0
	// initialFirstEventMillis is the time to the first event without prefill that is assumed before it is measured.
	initialFirstEventMillis = 60.0
	// initialPlainMillis is the response time of a plain request that is assumed before it is measured.
	initialPlainMillis = 40.0
	// modelWeight is the weight of one measurement in the moving averages of the latency model.
	modelWeight = 0.1
	// ejectionPenaltyMillis is added to the score of an ejected server. It is finite so that the server is still used when all
	// others fail too.
	ejectionPenaltyMillis = 3000.0
	// failurePenaltyFactor is what a failure rate of 1 adds to the score, as a multiple of the predicted time.
	failurePenaltyFactor = 4.0
	// maxRunningFactor bounds this node's plain requests at a server as a multiple of its slots. Beyond it the server refuses
	// requests.
	maxRunningFactor = 3
	// plainScoreJitter is the largest part by which the score for a plain request is lowered at random.
	plainScoreJitter = 0.4
)

// latencyModel holds the measurements of one service from which times to the first byte are predicted.
type latencyModel struct {
	prefillRate      float64             // prompt tokens per millisecond
	firstEventMillis float64             // time to the first event without prefill
	plainMillis      float64             // response time of a plain request
	lateness         float64             // moving average of times to the first byte relative to the predicted ones, over all servers
	throttle         *throttle           // admission of plain requests
	occupancy        admission.Occupancy // of the slots by generation requests of this node
	paces            paces               // of the servers; all the times above are those of the median server
}

// model returns the latency model of a service, a new one if there is none. The caller holds the lock.
func (t *Table) model(service string) *latencyModel {
	m, found := t.models[service]
	if !found {
		m = &latencyModel{prefillRate: initialPrefillRate, firstEventMillis: initialFirstEventMillis, plainMillis: initialPlainMillis, lateness: 1, throttle: newThrottle()}
		t.models[service] = m
	}
	return m
}

// Request holds the properties of a request on which the choice of a server depends.
type Request struct {
	Service         string
	Parts           []PromptPart // shared parts of the prompt, in order
	PromptTokens    int          // all tokens of the prompt, shared parts included
	MaxOutputTokens int          // upper bound of the generated tokens
	IsGeneration    bool
	Objective       time.Duration   // for the time to the first byte; 0 if there is none
	Urgency         int             // 0 is the most urgent; see UrgencyLevels
	Exclude         map[string]bool // servers that have already received the request, by ID
	FailureDomain   string          // of this node; among equal servers, those in it go first
	SoftwareVersion *string         // of the only servers that may take the request; nil if all may
	// VersionFraction is a hash of the request's id, at least 0 and below 1, that assigns it to a version; see SetVersionShares.
	VersionFraction float64
	// Patience is how long the request may wait for the end of a pause and its first byte together; 0 if it may not wait.
	Patience  time.Duration
	HasWaited bool // for the end of a pause
}

func (r *Request) urgencyLevel() int { return min(max(r.Urgency, 0), UrgencyLevels-1) }

// Candidate is a server that may take a request, with the properties on which the choice depends.
type Candidate struct {
	ID                string
	FirstByteMillis   float64 // predicted time to the first byte without the server's slowdown
	Score             float64 // FirstByteMillis with slowdown, delay of other requests and penalties; the lowest wins
	UncachedTokens    int     // prompt tokens that the server has to prefill
	AssumedTokens     int     // those that are taken to be cached at a home server without this node's knowledge
	Running           int     // requests of all nodes at the server
	IsFull            bool
	SendWait          time.Duration // until this node may send the request to the server, which is in need; 0 if it may
	PauseWait         time.Duration // the same, as far as a pause is the reason
	MayAwait          bool          // only a pause keeps this node from sending the request
	IsLimitProbe      bool          // the response shows whether the server still names a limit
	HasPendingPrompts bool          // other prompts wait for prefill at the server
	IsLocal           bool          // in the failure domain of this node
	IsHome            bool          // of the shared parts; see homeServer
	TieBreak          uint64        // random for each request; the lowest wins among equals
	Pace              float64       // time that the server takes at its load relative to the median server; in FirstByteMillis
	ComfortableSlots  int           // requests that the server handles well, at most its slots
}

// Pick returns the candidate with the lowest score that is not full, false if all are full. Limit probes go before other
// candidates. Among equal scores, local candidates go first, then those with the lowest TieBreak.
func Pick(candidates []Candidate) (Candidate, bool) {
	available := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.IsFull })
	if len(available) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(available, func(a, b Candidate) int {
		if a.IsLimitProbe != b.IsLimitProbe {
			if a.IsLimitProbe {
				return -1
			}
			return 1
		}
		if a.Score == b.Score && a.IsLocal != b.IsLocal {
			if a.IsLocal {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.TieBreak, b.TieBreak))
	}), true
}

// Placement is the assignment of a request to a server, from Place to Release.
type Placement struct {
	Server             *Server
	ID                 string
	Address            string
	Incarnation        uint64        // identifies the server's process, on all nodes alike
	StartUnixMillis    int64         // start time of that process, 0 if unknown
	SoftwareVersion    string        // of the server when the request was placed
	PredictedFirstByte time.Duration // predicted time to the first byte
	ExpectedFirstByte  time.Duration // the same, longer while all servers of the service respond later than predicted
	Running            int           // requests of all nodes at the server before this one
	CandidateCount     int           // servers that could be chosen, full ones included
	UncachedTokens     int           // prompt tokens that the server has to prefill
	AssumedTokens      int           // see Candidate

	table         *Table
	request       Request
	pendingTokens float64 // counted in the server's pending tokens until the first byte or Release
	placedAt      time.Time
	isUncontended bool // no other prompt waited for prefill at the server
	pace          placementPace
	hasFirstByte  bool // the first byte came or the placement was released
	isProbe       bool // the request shows whether the server has recovered after an ejection
}

// Refusal says why no server was chosen and when to retry.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration // estimated time until a server can take the request; 0 if unknown
	NoServers  bool          // no server of the service serves or all are excluded
	PausedFor  time.Duration // until the first pause is over; 0 unless all servers have asked for one
	// MoreUrgentLevels is the number of urgency levels with requests that compete for the servers and go first.
	MoreUrgentLevels int

	// Wait is above 0 if the request is not refused but is to wait for the end of a pause: the caller of Place calls Await,
	// and then Place again with HasWaited.
	Wait   time.Duration
	table  *Table
	server *Server // that is waited for
}

// ReasonVersionHasLeft is the reason of a refusal that stands until a server of the required software version starts.
const ReasonVersionHasLeft = "no backend server of the software version that began the stream is available"

// Place chooses a server for a request and counts the request in the server's load until Release. It returns a refusal
// instead if there is no server or all are full. With a firstByteLimit above 0 it also refuses a request whose predicted
// time to the first byte exceeds the limit where other prompts wait, and plain requests that the throttle does not admit.
func (t *Table) Place(r Request, firstByteLimit time.Duration) (*Placement, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, bootNow := time.Now(), t.now()
	candidates := t.candidates(r, now, bootNow)
	moreUrgentLevels := t.model(r.Service).occupancy.MoreUrgentLevels(r.Urgency)
	best, found := Pick(candidates)
	if awaited, mayWait := pickAwaited(candidates, best, found, r.Patience); mayWait {
		s := t.servers[awaited.ID]
		s.pause.waiting++
		return nil, &Refusal{Reason: "waits for the end of a pause", Wait: awaited.PauseWait, table: t, server: s}
	}
	uncachedTokens := max(r.PromptTokens-sumTokens(r.Parts), 0)
	if found {
		uncachedTokens = best.UncachedTokens
	}
	t.countDemand(r, uncachedTokens, t.model(r.Service), now)
	switch {
	case r.SoftwareVersion != nil && !t.servesVersion(r.Service, *r.SoftwareVersion):
		return nil, &Refusal{Reason: ReasonVersionHasLeft, NoServers: true, RetryAfter: versionRetryAfter}
	case len(candidates) == 0:
		return nil, &Refusal{Reason: "no backend server of the service is available", NoServers: true}
	case !found:
		return nil, &Refusal{Reason: "all backend servers of the service are full or at their limits", RetryAfter: shortestWait(candidates), PausedFor: t.pausedFor(candidates, bootNow), MoreUrgentLevels: moreUrgentLevels}
	}
	predicted := time.Duration(best.FirstByteMillis * float64(time.Millisecond))
	// Without waiting prompts, the prediction alone is no reason to refuse, since it may rest on old measurements. It does not
	// bound plain requests, which are shorter than the age of the peers' loads; the throttle does.
	if firstByteLimit > 0 && predicted > firstByteLimit && best.HasPendingPrompts {
		return nil, &Refusal{Reason: "predicted time to first byte exceeds the limit", RetryAfter: predicted - firstByteLimit/2, MoreUrgentLevels: moreUrgentLevels}
	}
	if firstByteLimit > 0 && !r.IsGeneration && !t.admitsPlain(r, now) {
		return nil, &Refusal{Reason: "service is overloaded: recent responses were late", RetryAfter: r.Objective}
	}
	s := t.servers[best.ID]
	p := &Placement{
		Server: s, ID: s.ID, Address: s.Address, Incarnation: s.incarnation(), StartUnixMillis: s.StartUnixMillis, SoftwareVersion: s.SoftwareVersion, PredictedFirstByte: predicted,
		ExpectedFirstByte: time.Duration(float64(predicted) * max(t.model(r.Service).lateness, 1)), Running: best.Running, CandidateCount: len(candidates),
		UncachedTokens: best.UncachedTokens, AssumedTokens: best.AssumedTokens, table: t, request: r, placedAt: now, pace: newPlacementPace(best, s.Slots),
	}
	if r.IsGeneration {
		p.pendingTokens = float64(best.UncachedTokens)
		total := s.totalLoad()
		p.isUncontended = total.tokensAhead(UrgencyLevels-1) == 0
		t.lendPrefixes(candidates, t.prefixes.recordPrefill(s.ID, r.Parts, now))
	}
	s.recordSend(now)
	s.ownLoad.running++
	t.ownByVersion.add(r.Service, p.SoftwareVersion, 1)
	s.ownLoad.pendingTokens[r.urgencyLevel()] += p.pendingTokens
	p.isProbe = s.health.recordPlacement(now)
	return p, nil
}

// admitsPlain reports whether the throttle of the service admits a plain request. It admits all while the service is not
// under load, and else a random sample of the admitted share.
func (t *Table) admitsPlain(r Request, now time.Time) bool {
	serviceThrottle := t.model(r.Service).throttle
	serviceThrottle.adapt(r.Objective, now)
	return serviceThrottle.admittedShare >= 1 || !t.isUnderLoad(r.Service) || t.random.Float64() < serviceThrottle.admittedShare
}

// isUnderLoad reports whether so many slots of a service are in use that late responses are attributed to load.
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

// shortestWait returns the shortest time among the candidates until one can take a request.
func shortestWait(candidates []Candidate) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, c := range candidates {
		shortest = min(shortest, max(time.Duration(c.FirstByteMillis*float64(time.Millisecond)), c.SendWait))
	}
	return shortest
}

// candidates returns the servers that may take a request. The home server of the shared parts is assumed to have them
// cached, since all nodes prefer it for these parts. A server that names a limit is home only if all do.
func (t *Table) candidates(r Request, now time.Time, bootNow boottime.Instant) []Candidate {
	var serving, unlimited []*Server
	for _, s := range t.servers {
		t.updatePause(s, bootNow)
		if s.Service == r.Service && !r.Exclude[s.ID] && s.isServing() && s.hasVersion(r.SoftwareVersion) {
			serving = append(serving, s)
		}
	}
	serving = t.divide(&r, serving)
	for _, s := range serving {
		if !s.limit.isNamed {
			unlimited = append(unlimited, s)
		}
	}
	m := t.model(r.Service)
	t.updatePaces(r.Service, m, now)
	home := homeServer(unlimited, r.Parts, t.homeWeight(m))
	if home == nil {
		home = homeServer(serving, r.Parts, t.homeWeight(m))
	}
	requestNumber := t.random.Uint64()
	reservedFor := m.reservedShare(r)
	candidates := make([]Candidate, 0, len(serving))
	for _, s := range serving {
		c := t.candidate(s, s == home, r, m, mix(s.idHash^requestNumber), now, bootNow)
		if r.IsGeneration && c.Running >= admission.UsableSlots(max(s.Slots, 1), reservedFor) {
			c.IsFull = true
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// reservedShare returns the share of the service that is due to requests more urgent than this one. Nothing is kept free from a
// request that another server has had: it is late already, and a stream that has begun could only be cut.
func (m *latencyModel) reservedShare(r Request) float64 {
	if !r.IsGeneration || len(r.Exclude) > 0 {
		return 0
	}
	return m.occupancy.MoreUrgentShare(r.Urgency)
}

// candidate returns a server as a candidate for a request. random is a random number that differs between servers and between
// requests.
func (t *Table) candidate(s *Server, isHome bool, r Request, m *latencyModel, random uint64, now time.Time, bootNow boottime.Instant) Candidate {
	total := s.totalLoad()
	c := Candidate{ID: s.ID, Running: total.running, IsLocal: s.FailureDomain == r.FailureDomain, IsHome: isHome, TieBreak: random}
	slots := max(s.Slots, 1)
	slowFactor := s.slowdown.current(now)
	c.Pace, c.ComfortableSlots = 1, slots
	if t.ChoosesByPace {
		c.Pace, c.ComfortableSlots = s.pace.Pace(pace.Level(total.running, slots)), s.pace.ComfortableSlots(slots)
	}
	if r.IsGeneration {
		cached := t.prefixes.cachedTokens(s.ID, r.Parts, now)
		if isHome {
			known := cached
			cached = sumTokens(r.Parts)
			c.AssumedTokens = max(cached-known, 0)
		}
		c.UncachedTokens = max(r.PromptTokens-cached, 0)
		prefillMillis := float64(c.UncachedTokens) / m.prefillRate
		c.FirstByteMillis = (m.firstEventMillis + total.tokensAhead(r.Urgency)/m.prefillRate + prefillMillis) * c.Pace
		c.IsFull = total.running >= slots
		c.HasPendingPrompts = total.tokensAhead(UrgencyLevels-1) > 0
		// The prefill time counts twice: it also delays the other requests at the server.
		unpacedMillis := c.FirstByteMillis - (m.firstEventMillis+prefillMillis)*(c.Pace-1) // but for the wait for other prompts
		c.Score = unpacedMillis*slowFactor + prefillMillis
		if !isHome && 2*cached <= sumTokens(r.Parts) { // else another server would have to read what is cached here
			c.Score *= t.detourFactor(m, c.Pace, detourExponent, random)
		}
	} else {
		c.FirstByteMillis = m.plainMillis * (1 + float64(total.running)/float64(slots)) * c.Pace
		c.IsFull = s.ownLoad.running >= maxRunningFactor*slots
		// Plain requests are shorter than the interval at which nodes exchange their loads, so all nodes would choose the same
		// server by the same outdated loads. This node's own requests and jitter spread them better.
		c.Score = m.plainMillis * (1 + float64(s.ownLoad.running)/float64(slots)) * slowFactor * (1 - plainScoreJitter*unitInterval(random)) * t.detourFactor(m, c.Pace, plainDetourExponent, random)
	}
	c.SendWait, c.PauseWait = t.sendWait(s, r, now, bootNow)
	mayQueue := r.HasWaited || s.pause.waiting < slots
	c.MayAwait = !c.IsFull && c.PauseWait > 0 && c.SendWait == c.PauseWait && mayQueue
	c.IsFull = c.IsFull || c.SendWait > 0
	isLate := r.Objective > 0 && c.FirstByteMillis*slowFactor > r.Objective.Seconds()*1000
	c.IsLimitProbe = s.limit.isProbeDue(now) && len(r.Exclude) == 0 && !isLate && !c.HasPendingPrompts
	c.Score += s.resultPenaltyMillis(r, c.FirstByteMillis*slowFactor, now)
	if s.health.isEjected(now) || s.ejectingPeers > 1 {
		c.Score += ejectionPenaltyMillis
		c.IsLimitProbe = false
	}
	return c
}

// mix spreads the bits of two combined hashes (the finaliser of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// unitInterval maps a random number to one of at least 0 and below 1.
func unitInterval(random uint64) float64 {
	const precisionBits = 53 // of a float64
	return float64(random>>(64-precisionBits)) / (1 << precisionBits)
}

// RecordFirstByte records the arrival of the first byte of the response: it updates the measurements of the service and of
// the server. Further calls have no effect.
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
	ratio := elapsedMillis / max(p.PredictedFirstByte.Seconds()*1000, 1)
	p.Server.slowdown.observe(ratio, now)
	m := p.table.model(p.request.Service)
	m.observeLateness(ratio)
	p.observePace(elapsedMillis)
	if p.request.IsGeneration {
		if p.isUncontended {
			m.observePrompt(elapsedMillis/p.pace.factor, p.pendingTokens)
		}
		return
	}
	m.throttle.observe(elapsedMillis)
	if p.Running < p.Server.Slots {
		m.plainMillis += modelWeight * (min(elapsedMillis/p.pace.factor, 10*initialPlainMillis) - m.plainMillis)
	}
}

const (
	// latenessWeight is the weight of one measurement in the moving average of lateness.
	latenessWeight = 0.1
	// maxLateness bounds one measurement, maxSilentLateness one without a first byte: that server may be dead, which says
	// nothing about the others.
	maxLateness       = 10.0
	maxSilentLateness = 4.0
)

// observeLateness adds the ratio of a time to the first byte, or of the time after which one was given up, to the predicted
// time.
func (m *latencyModel) observeLateness(ratio float64) {
	m.lateness += latenessWeight * (min(ratio, maxLateness) - m.lateness)
}

const (
	// minPrefillSampleTokens is the prompt length from which on the time to the first event is a sample of the prefill rate.
	minPrefillSampleTokens = 3000
	// maxOverheadSampleTokens is the prompt length up to which that time is a sample of the time without prefill.
	maxOverheadSampleTokens = 1000
)

// prefillRateStep is the relative change of the prefill rate by one measurement.
const prefillRateStep = 0.02

// observePrompt adds the measured time to the first event of a prompt that waited for no other. The prefill rate follows the
// median of the measurements, since single ones are far too high or too low: parts may have been cached without this node's
// knowledge, and prompts of other nodes may have been prefilled in between.
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

// Result is the result of a request at a server.
type Result int

// The results of a request at a server.
const (
	// ResultCompleted is a complete response.
	ResultCompleted Result = iota
	// ResultInconclusive says nothing about the server: the caller disconnected or the deadline passed.
	ResultInconclusive
	// ResultRejected means that the server refused to run the request.
	ResultRejected
	// ResultServerFailure is a response that reports or shows a failure of the server.
	ResultServerFailure
	// ResultConnectionFailure is a connection that failed, or a response that broke off or stalled.
	ResultConnectionFailure
)

// Release ends the placement: it removes the request from the server's load and records the result. It must be called once.
func (p *Placement) Release(result Result) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s := p.Server
	if !p.hasFirstByte {
		p.hasFirstByte = true
		s.ownLoad.pendingTokens[p.request.urgencyLevel()] -= p.pendingTokens
		if result == ResultConnectionFailure {
			waited := now.Sub(p.placedAt).Seconds() / max(p.PredictedFirstByte.Seconds(), 0.001)
			t.model(p.request.Service).observeLateness(min(waited, maxSilentLateness))
		}
	}
	s.ownLoad.running--
	s.ownResults.observe(result, now)
	if p.request.IsGeneration {
		t.model(p.request.Service).occupancy.Add(p.request.Urgency, now.Sub(p.placedAt), now)
	}
	t.ownByVersion.add(p.request.Service, p.SoftwareVersion, -1)
	switch result {
	case ResultCompleted:
		s.health.recordSuccess(now)
	case ResultServerFailure:
		s.health.recordFailure(now, false)
	case ResultConnectionFailure:
		s.health.recordFailure(now, true)
	default:
		if p.isProbe {
			s.health.recordInconclusiveProbe()
		}
	}
	t.dropIfForgettable(s)
}

// RecordSilence ejects the server for a while because it is silent for longer than requests should wait for it. This request
// goes on waiting.
func (p *Placement) RecordSilence() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.Server.health.recordFailure(time.Now(), true)
}
