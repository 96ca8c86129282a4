package dispatch

import (
	"slices"
	"time"

	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/quarantine"
)

// provenTokens: a run that made so many tokens has passed the point where a request that crashes engines does so.
const provenTokens = 8

// defaultAgeAfter is for requests without a deadline; it is half the usual first-token target.
const defaultAgeAfter = 340 * time.Millisecond

// ticket is one attempt from its admission to the queue until it leaves its runner.
type ticket struct {
	item     *limit.Item
	request  *peerpb.RunRequest
	run      *Run
	key      quarantine.Key
	blocks   []uint64      // of prompt and generated tokens
	tokens   int           // of prompt and generated tokens
	isolated bool          // has to run alone
	expireIn time.Duration // from admission; 0: waits without end
	expiry   *time.Timer
	choice   *Backend // by the last decision
	reason   string

	backend  *Backend // nil while it waits
	resume   bool     // the engine may still hold the run
	version  string   // that the runner reported
	uncached int      // tokens to prefill, as predicted at placement
	started  bool     // prefilled
	proven   bool
	triaged  bool // its host leaves and it was decided what to do
}

func newTicket(r *Run, request *peerpb.RunRequest, share int, now time.Time) *ticket {
	tokens := append(engine.PromptTokens(request.Prompt), request.Generated...)
	t := &ticket{
		request:  request,
		run:      r,
		key:      quarantine.Key{Organisation: request.Organisation, Fingerprint: request.Fingerprint},
		blocks:   engine.PrefixBlocks(tokens),
		tokens:   len(tokens),
		isolated: request.Isolate,
	}
	class := limit.ClassShort
	if request.Class == string(limit.ClassLong) {
		class = limit.ClassLong
	}
	t.item = &limit.Item{
		Organisation: request.Organisation,
		Share:        max(1, share),
		Class:        class,
		EnqueuedAt:   now,
		AgeAfter:     ageAfter(request.DeadlineMs),
		Resumed:      request.Resumed,
		Value:        t,
	}
	return t
}

// ageAfter returns how long a long request waits before it competes with short ones: half its deadline, so that it can
// still be placed within it.
func ageAfter(deadlineMillis int64) time.Duration {
	if deadlineMillis <= 0 {
		return defaultAgeAfter
	}
	return time.Duration(deadlineMillis) * time.Millisecond / 2
}

// scheduler has the queue and the runners of one deployment on this dispatcher. The dispatcher's lock guards it.
type scheduler struct {
	policy     string
	spec       object.DeploymentSpec
	allRunners int // of the deployment, at all dispatchers
	queue      *limit.Queue
	backends   []*Backend     // sorted by host name
	inProgress map[string]int // queued and placed requests by organisation
	unproven   map[quarantine.Key]int
	retries    *limit.RetryBudget
	short      shortPeak
	answers    answerLengths
	turn       int
}

func newScheduler(policy string, now time.Time) *scheduler {
	return &scheduler{
		policy:     policy,
		queue:      limit.NewQueue(),
		inProgress: map[string]int{},
		unproven:   map[quarantine.Key]int{},
		answers:    answerLengths{},
		retries:    limit.NewRetryBudget(now),
	}
}

func (s *scheduler) add(b *Backend) {
	at, _ := slices.BinarySearchFunc(s.backends, b, func(x, y *Backend) int { return compareNames(x, y) })
	s.backends = slices.Insert(s.backends, at, b)
}

func compareNames(x, y *Backend) int {
	switch {
	case x.Host.Name < y.Host.Name:
		return -1
	case x.Host.Name > y.Host.Name:
		return 1
	}
	return 0
}

func (s *scheduler) drop(b *Backend) {
	s.backends = slices.DeleteFunc(s.backends, func(x *Backend) bool { return x == b })
	if b.reserved != nil && b.reserved.backend != b {
		b.reserved = nil
	}
}

// push adds a ticket to the queue.
func (s *scheduler) push(t *ticket, now time.Time) {
	cached := 0
	for _, b := range s.backends {
		cached = max(cached, b.prefix.expected(t.blocks, now))
	}
	answer := s.answers.expected(t.item.Class, int(t.request.MaxTokens)-len(t.request.Generated))
	t.item.Tokens = max(1, t.tokens-cached+int(answer))
	s.queue.Push(t.item)
	s.count(t, now)
}

// count begins the count of a ticket, which finish ends.
func (s *scheduler) count(t *ticket, now time.Time) {
	if t.item.Class == limit.ClassShort {
		s.short.arrived(now)
	}
	s.inProgress[t.item.Organisation]++
}

// leave takes a ticket out of the queue that was not placed and reports whether it waited.
func (s *scheduler) leave(t *ticket) bool {
	if !s.queue.Remove(t.item) {
		return false
	}
	s.unreserve(t)
	s.finish(t)
	return true
}

// finish ends the count of a ticket.
func (s *scheduler) finish(t *ticket) {
	if t.item.Class == limit.ClassShort {
		s.short.now--
	}
	s.inProgress[t.item.Organisation]--
	if s.inProgress[t.item.Organisation] <= 0 {
		delete(s.inProgress, t.item.Organisation)
	}
}

func (s *scheduler) unreserve(t *ticket) {
	for _, b := range s.backends {
		if b.reserved == t {
			b.reserved = nil
		}
	}
}

// next places one waiting ticket, nil if none can be placed now.
func (s *scheduler) next(now time.Time) *ticket {
	if s.queue.Len() == 0 {
		return nil
	}
	// While no runner has room, only suspects need a look, because they reserve runners that are busy.
	room := slices.ContainsFunc(s.backends, func(b *Backend) bool { return b.free(s.betweenTokens(), now) > 0 })
	roomForLong := s.roomForLong(now) > 0
	item := s.queue.PeekFunc(now, func(i *limit.Item) bool {
		t := i.Value.(*ticket)
		switch {
		case s.isHeld(t):
			return false
		case t.isolated:
			t.choice, t.reason = s.chooseAlone(t, now), "alone, suspected of a crash"
			return t.choice != nil
		case !room, i.Class == limit.ClassLong && !i.Resumed && !roomForLong:
			return false
		}
		// Hosts that it excludes or versions that differ can leave a request without a runner while there is room.
		t.choice, t.reason = s.choose(t, now)
		return t.choice != nil
	})
	if item == nil {
		return nil
	}
	t := item.Value.(*ticket)
	s.turn++
	s.queue.Take(item)
	s.place(t, t.choice, now)
	return t
}

func (s *scheduler) betweenTokens() int { return s.spec.Target.BetweenTokensMilliseconds }

// isHeld reports whether another request with the same content is on a runner and has not proven that it crashes none.
// Copies wait for it, so that one that crashes runners is found before it runs on several; they then find its prefix cached.
func (s *scheduler) isHeld(t *ticket) bool {
	return t.key.Fingerprint != 0 && s.unproven[t.key] > 0
}

// place puts a ticket on a runner.
func (s *scheduler) place(t *ticket, b *Backend, now time.Time) {
	t.backend = b
	t.version = b.load.ModelVersion
	t.uncached = max(0, t.tokens-b.prefix.expected(t.blocks, now))
	b.tickets[t] = true
	b.recent.note(len(b.tickets), now)
	s.countClass(t, 1)
	b.breaker.placed()
	if t.isolated {
		s.unreserve(t)
		b.reserved = t
	}
	if t.key.Fingerprint != 0 {
		s.unproven[t.key]++
	}
}

// prove notes that a run has come further than where it could have crashed a runner.
func (s *scheduler) prove(t *ticket) {
	if t.proven {
		return
	}
	t.proven = true
	if t.key.Fingerprint != 0 {
		if s.unproven[t.key]--; s.unproven[t.key] <= 0 {
			delete(s.unproven, t.key)
		}
	}
	if t.backend != nil && t.backend.reserved == t {
		t.backend.reserved = nil
	}
}

// release frees the slot of a ticket.
func (s *scheduler) release(t *ticket) {
	s.prove(t)
	delete(t.backend.tickets, t)
	s.countClass(t, -1)
	s.finish(t)
}

// choose picks a runner for a request, nil if none has room.
func (s *scheduler) choose(t *ticket, now time.Time) (*Backend, string) {
	usable := s.usable(t)
	if len(usable) == 0 {
		return nil, "no runner"
	}
	candidates := make([]candidate, len(usable))
	for i, b := range usable {
		candidates[i] = b.candidate(t.blocks, s.betweenTokens(), now)
		if b.Host.Name == t.request.TargetHost && candidates[i].free > 0 {
			return b, "target of a move"
		}
	}
	p := placement{promptTokens: t.tokens, class: t.item.Class, preference: s.spec.Preference}
	at, reason := chooseBackend(s.policy, candidates, p, s.turn)
	if at < 0 {
		return nil, reason
	}
	return usable[at], reason
}

// usable returns the runners that may run a request. Those that report its model version go first; during a rollout any
// other version of the deployment is better than none.
func (s *scheduler) usable(t *ticket) []*Backend {
	var same, other []*Backend
	for _, b := range s.backends {
		switch {
		case b.Engine == nil || b.loadAt.IsZero() || slices.Contains(t.request.ExcludeHosts, b.Host.Name):
		case b.load.ModelVersion == t.request.ModelVersion:
			same = append(same, b)
		default:
			other = append(other, b)
		}
	}
	if len(same) > 0 {
		return same
	}
	return other
}

// chooseAlone picks an empty runner for a suspect. If there is none, it reserves the one with the fewest runs, which then
// takes no new work until it is empty. At least half of the runners stay with the other requests.
func (s *scheduler) chooseAlone(t *ticket, now time.Time) *Backend {
	var own, fewest *Backend
	reserved := 0
	for _, b := range s.backends {
		if b.reserved != nil {
			reserved++
		}
		if b.reserved == t {
			own = b
		}
	}
	if own != nil {
		own.reserved = nil
		defer func() { own.reserved = t }()
		if len(own.tickets)+own.foreign == 0 && own.free(0, now) > 0 {
			return own
		}
		return nil
	}
	if reserved > 0 && 2*(reserved+1) > len(s.backends) {
		return nil
	}
	for _, b := range s.backends {
		if b.free(0, now) <= 0 && len(b.tickets)+b.foreign == 0 || b.reserved != nil || b.load.Leaving || b.down || b.Engine == nil {
			continue
		}
		if !b.breaker.allows(now) || slices.Contains(t.request.ExcludeHosts, b.Host.Name) {
			continue
		}
		if fewest == nil || len(b.tickets)+b.foreign < len(fewest.tickets)+fewest.foreign {
			fewest = b
		}
	}
	if fewest == nil {
		return nil
	}
	if len(fewest.tickets)+fewest.foreign == 0 {
		return fewest
	}
	fewest.reserved = t
	return nil
}
