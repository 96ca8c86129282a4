package dispatch

import (
	"slices"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/quarantine"
)

// verifiedAfterTokens is the number of tokens after which a run is verified: a request that crashes engines does so earlier.
const verifiedAfterTokens = 8

// defaultAgeAfter applies to requests without a deadline; it is half the usual first-token target.
const defaultAgeAfter = 340 * time.Millisecond

// task is one attempt of a run at the scheduler, from its admission until it leaves its runner.
type task struct {
	item           *limit.Item
	request        *peerpb.RunRequest
	run            *Run
	quarantineKey  quarantine.Key
	parts          []culprit.Trait // of the prompt that other requests may share
	blocks         []uint64        // of prompt and generated tokens
	tokenCount     int             // of prompt and generated tokens
	needsIsolation bool            // must be alone on its runner
	expireAfter    time.Duration   // from admission; 0 means never
	expiryTimer    *time.Timer
	chosenBackend  *Backend // by the last placement decision
	choiceReason   string

	backend          *Backend // nil while it waits
	placedAt         boottime.Instant
	canResume        bool   // the engine may still hold the run
	modelVersion     string // as reported by the runner
	uncachedTokens   int    // to prefill, as predicted at placement
	hasStarted       bool   // the engine has prefilled the prompt
	isVerified       bool   // it has not crashed its runner; see verifiedAfterTokens
	isReclaimPlanned bool   // its host is leaving and its reclaim has begun
}

func newTask(r *Run, request *peerpb.RunRequest, share int, now time.Time) *task {
	tokens := append(engine.PromptTokens(request.Prompt), request.Generated...)
	t := &task{
		request:        request,
		run:            r,
		quarantineKey:  quarantine.Key{Organisation: request.Organisation, Fingerprint: request.Fingerprint},
		blocks:         engine.PrefixBlocks(tokens),
		tokenCount:     len(tokens),
		needsIsolation: request.Isolate,
		parts:          quarantine.Traits(request.Parts),
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

// ageAfter returns how long a long request waits before it competes with short ones: half its deadline, so that it can still
// be placed in time.
func ageAfter(deadlineMillis int64) time.Duration {
	if deadlineMillis <= 0 {
		return defaultAgeAfter
	}
	return time.Duration(deadlineMillis) * time.Millisecond / 2
}

// scheduler holds the queue and the runners of one deployment on this dispatcher. Dispatcher.mu guards it.
type scheduler struct {
	policy         string
	spec           object.DeploymentSpec
	totalRunners   int // of the deployment, on all dispatchers
	queue          *limit.Queue
	backends       []*Backend             // sorted by host name
	inProgress     map[string]int         // queued and placed requests by organisation
	unverifiedRuns map[quarantine.Key]int // placed runs that are not verified, by content
	retryBudget    *limit.RetryBudget
	classLoad      classLoad
	answerLengths  answerLengthRatios
	decisionCount  int
}

func newScheduler(policy string, now time.Time) *scheduler {
	return &scheduler{
		policy:         policy,
		queue:          limit.NewQueue(),
		inProgress:     map[string]int{},
		unverifiedRuns: map[quarantine.Key]int{},
		answerLengths:  answerLengthRatios{},
		retryBudget:    limit.NewRetryBudget(now),
	}
}

func (s *scheduler) addBackend(b *Backend) {
	index, _ := slices.BinarySearchFunc(s.backends, b, func(x, y *Backend) int { return compareHostNames(x, y) })
	s.backends = slices.Insert(s.backends, index, b)
}

func compareHostNames(x, y *Backend) int {
	switch {
	case x.Host.Name < y.Host.Name:
		return -1
	case x.Host.Name > y.Host.Name:
		return 1
	}
	return 0
}

func (s *scheduler) removeBackend(b *Backend) {
	s.backends = slices.DeleteFunc(s.backends, func(x *Backend) bool { return x == b })
	if b.reservedFor != nil && b.reservedFor.backend != b {
		b.reservedFor = nil
	}
}

// enqueue adds a task to the queue with the number of tokens that it is expected to cost.
func (s *scheduler) enqueue(t *task, now time.Time) {
	cachedTokens := 0
	for _, b := range s.backends {
		cachedTokens = max(cachedTokens, b.prefixCache.expectedCachedTokens(t.blocks, now))
	}
	answerTokens := s.answerLengths.expectedTokens(t.item.Class, int(t.request.MaxTokens)-len(t.request.Generated))
	t.item.Tokens = max(1, t.tokenCount-cachedTokens+int(answerTokens))
	s.queue.Push(t.item)
	s.addInProgress(t, now)
}

// addInProgress counts a task as in progress until removeInProgress is called.
func (s *scheduler) addInProgress(t *task, now time.Time) {
	if t.item.Class == limit.ClassShort {
		s.classLoad.addShort(now)
	}
	s.inProgress[t.item.Organisation]++
}

// removeWaiting removes a task from the queue and reports whether it waited.
func (s *scheduler) removeWaiting(t *task) bool {
	if !s.queue.Remove(t.item) {
		return false
	}
	s.cancelReservation(t)
	s.removeInProgress(t)
	return true
}

// removeInProgress reverses addInProgress.
func (s *scheduler) removeInProgress(t *task) {
	if t.item.Class == limit.ClassShort {
		s.classLoad.shortInProgress--
	}
	s.inProgress[t.item.Organisation]--
	if s.inProgress[t.item.Organisation] <= 0 {
		delete(s.inProgress, t.item.Organisation)
	}
}

func (s *scheduler) cancelReservation(t *task) {
	for _, b := range s.backends {
		if b.reservedFor == t {
			b.reservedFor = nil
		}
	}
}

// placeNext places one waiting task and returns it, nil if none can be placed now.
func (s *scheduler) placeNext(now time.Time) *task {
	if s.queue.Len() == 0 {
		return nil
	}
	// While no runner has a free slot, only suspects have to be examined, because they reserve busy runners.
	hasRoom := slices.ContainsFunc(s.backends, func(b *Backend) bool { return b.freeSlots(s.betweenTokens(), now) > 0 })
	hasRoomForLong := s.freeSlotsForLong(now) > 0
	item := s.queue.PeekFunc(now, func(i *limit.Item) bool {
		t := i.Value.(*task)
		switch {
		case s.isBlockedByDuplicate(t):
			return false
		case t.needsIsolation:
			t.chosenBackend, t.choiceReason = s.chooseIsolated(t, now), "alone, suspected of a crash"
			return t.chosenBackend != nil
		case !hasRoom, i.Class == limit.ClassLong && !i.Resumed && !hasRoomForLong:
			return false
		}
		// Excluded hosts or a different model version can leave a request without a runner while there are free slots.
		t.chosenBackend, t.choiceReason = s.choose(t, now)
		return t.chosenBackend != nil
	})
	if item == nil {
		return nil
	}
	t := item.Value.(*task)
	s.decisionCount++
	s.queue.Take(item)
	s.place(t, t.chosenBackend, now)
	return t
}

func (s *scheduler) betweenTokens() int { return s.spec.Target.BetweenTokensMilliseconds }

// isBlockedByDuplicate reports whether another request with the same content is on a runner and not verified. Duplicates
// wait for it, so that a request that crashes runners is detected before it runs on several; afterwards they find its prefix
// cached.
func (s *scheduler) isBlockedByDuplicate(t *task) bool {
	return t.quarantineKey.Fingerprint != 0 && s.unverifiedRuns[t.quarantineKey] > 0
}

// place assigns a task to a runner and counts it there.
func (s *scheduler) place(t *task, b *Backend, now time.Time) {
	t.backend, t.placedAt = b, boottime.Now()
	t.modelVersion = b.load.ModelVersion
	t.uncachedTokens = max(0, t.tokenCount-b.prefixCache.expectedCachedTokens(t.blocks, now))
	b.tasks[t] = true
	b.recentRuns.record(len(b.tasks), now)
	s.adjustLongPlaced(t, 1)
	b.breaker.recordPlacement()
	if t.needsIsolation {
		s.cancelReservation(t)
		b.reservedFor = t
	}
	if t.quarantineKey.Fingerprint != 0 {
		s.unverifiedRuns[t.quarantineKey]++
	}
}

// markVerified notes that a run is past the point where it could have crashed its runner: duplicates need not wait for it
// any more, and the reservation of its runner ends. It is also called when a run is released.
func (s *scheduler) markVerified(t *task) {
	if t.isVerified {
		return
	}
	t.isVerified = true
	if t.quarantineKey.Fingerprint != 0 {
		if s.unverifiedRuns[t.quarantineKey]--; s.unverifiedRuns[t.quarantineKey] <= 0 {
			delete(s.unverifiedRuns, t.quarantineKey)
		}
	}
	if t.backend != nil && t.backend.reservedFor == t {
		t.backend.reservedFor = nil
	}
}

// release frees the slot of a placed task.
func (s *scheduler) release(t *task) {
	s.markVerified(t)
	delete(t.backend.tasks, t)
	s.adjustLongPlaced(t, -1)
	s.removeInProgress(t)
}

// choose returns a runner for a task and the reason, a nil runner if none has a free slot.
func (s *scheduler) choose(t *task, now time.Time) (*Backend, string) {
	eligible := s.eligibleBackends(t)
	if len(eligible) == 0 {
		return nil, "no runner"
	}
	candidates := make([]candidate, len(eligible))
	for i, b := range eligible {
		candidates[i] = b.candidate(t.blocks, s.betweenTokens(), now)
		if b.Host.Name == t.request.TargetHost && candidates[i].freeSlots > 0 {
			return b, "target of a move"
		}
	}
	p := placementRequest{promptTokens: t.tokenCount, class: t.item.Class, preference: s.spec.Preference}
	index, reason := chooseBackend(s.policy, candidates, p, s.decisionCount)
	if index < 0 {
		return nil, reason
	}
	return eligible[index], reason
}

// eligibleBackends returns the runners on which a task may be placed. They are those that report its model version; if there
// are none, those with any other version of the deployment, which during a rollout are better than none.
func (s *scheduler) eligibleBackends(t *task) []*Backend {
	var sameVersion, otherVersions []*Backend
	for _, b := range s.backends {
		switch {
		case b.Engine == nil || b.loadRequestedAt.IsZero() || slices.Contains(t.request.ExcludeHosts, b.Host.Name):
		case b.load.ModelVersion == t.request.ModelVersion:
			sameVersion = append(sameVersion, b)
		default:
			otherVersions = append(otherVersions, b)
		}
	}
	if len(sameVersion) > 0 {
		return sameVersion
	}
	return otherVersions
}

// chooseIsolated returns an empty runner for a suspect. If there is none, it reserves the one with the fewest runs, which
// then gets no new work until it is empty, and returns nil. At least half of the runners remain for other requests.
func (s *scheduler) chooseIsolated(t *task, now time.Time) *Backend {
	var reservedBackend, leastBusy *Backend
	reservedCount := 0
	for _, b := range s.backends {
		if b.reservedFor != nil {
			reservedCount++
		}
		if b.reservedFor == t {
			reservedBackend = b
		}
	}
	if reservedBackend != nil {
		reservedBackend.reservedFor = nil
		defer func() { reservedBackend.reservedFor = t }()
		if len(reservedBackend.tasks)+reservedBackend.foreignRuns == 0 && reservedBackend.freeSlots(0, now) > 0 {
			return reservedBackend
		}
		return nil
	}
	if reservedCount > 0 && 2*(reservedCount+1) > len(s.backends) {
		return nil
	}
	for _, b := range s.backends {
		if b.freeSlots(0, now) <= 0 && len(b.tasks)+b.foreignRuns == 0 || b.reservedFor != nil ||
			b.load.Leaving || b.isDown || b.Engine == nil {
			continue
		}
		if !b.breaker.allowsPlacement(now) || slices.Contains(t.request.ExcludeHosts, b.Host.Name) {
			continue
		}
		if leastBusy == nil || len(b.tasks)+b.foreignRuns < len(leastBusy.tasks)+leastBusy.foreignRuns {
			leastBusy = b
		}
	}
	if leastBusy == nil {
		return nil
	}
	if len(leastBusy.tasks)+leastBusy.foreignRuns == 0 {
		return leastBusy
	}
	leastBusy.reservedFor = t
	return nil
}
