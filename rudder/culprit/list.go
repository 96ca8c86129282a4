package culprit

import (
	"cmp"
	"encoding/binary"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// firstTrialAfter is the time from the start of a quarantine to its first trial. It doubles with each failed trial, up to
	// maxTrialInterval.
	firstTrialAfter  = time.Minute
	maxTrialInterval = 10 * time.Minute
	// quarantineRetention is how long a quarantine is kept after the last request that it refused or that crashed a server.
	quarantineRetention = 10 * time.Minute
	// maxCrashes, maxSuspectsOfKind, maxAnswers and maxQuarantines bound the memory of the list. maxSuspectsOfKind is the
	// number of contents, and that of prompt parts, for each crash.
	maxCrashes        = 64
	maxSuspectsOfKind = 96
	maxAnswers        = 8192
	maxQuarantines    = 64
	// evaluationInterval is how often the evidence is evaluated again while it does not change.
	evaluationInterval = 100 * time.Millisecond
)

// List holds the crashes of backend servers that this node and its peers saw, and the quarantines that follow from them. Set
// its exported fields before use. It is safe for concurrent use.
type List struct {
	Log *slog.Logger
	// IsTrialNode reports whether this node lets a request through when a trial is due. At most one node should. Nil means
	// that it does.
	IsTrialNode func() bool
	Now         func() boottime.Instant // nil means boottime.Now
	// RelaysPeers reports whether reports must include what peers have seen, since not all nodes hear of each other. Nil means
	// that they need not.
	RelaysPeers func() bool
	// MaxReportedTraits bounds the suspects in a report, and half of it the answers. 0 means 256.
	MaxReportedTraits int

	mu                sync.Mutex
	crashes           map[uint64]*crash // by server
	answers           map[Trait]answer  // the last one to a request with the trait
	serviceAnsweredAt map[string]boottime.Instant
	quarantines       map[uint64]*quarantine     // by id
	clearedAt         map[Trait]boottime.Instant // when an answer ended a quarantine with the trait
	suspicious        []*group                   // as of the last evaluation
	evaluatedAt       boottime.Instant
	hasNewEvidence    bool         // since the last evaluation
	hasUrgentChange   bool         // since the last report
	quarantineCount   atomic.Int64 // len(quarantines), readable without the lock
	crashCount        atomic.Int64 // len(crashes), likewise
}

// quarantine is the refusal of the requests that have all of its traits.
type quarantine struct {
	traits      []Trait // sorted
	convictedAt boottime.Instant
	clearedFrom boottime.Instant // an answer since then ends the quarantine
	matchedAt   boottime.Instant // last refusal or crash
	trialAt     boottime.Instant // when the next trial is due
	trials      int              // that were due
	crashCount  int              // known crashes of servers with requests that have all traits
}

// answer is a complete answer to a request.
type answer struct {
	at     boottime.Instant
	isPeer bool // a peer reported it
}

// Refusal says that a request must not be sent.
type Refusal struct {
	Quarantine string        // the traits, for log lines
	RetryAfter time.Duration // until the next trial
}

func (l *List) now() boottime.Instant {
	if l.Now == nil {
		return boottime.Now()
	}
	return l.Now()
}

// HasQuarantines reports whether any request is refused. It is cheap.
func (l *List) HasQuarantines() bool { return l.quarantineCount.Load() > 0 }

// HasCrashes reports whether a crash or a quarantine is known. It is cheap.
func (l *List) HasCrashes() bool { return l.crashCount.Load() > 0 || l.HasQuarantines() }

// CrashCount returns the number of servers that are known to have crashed lately.
func (l *List) CrashCount() int { return int(l.crashCount.Load()) }

// Check returns nil if a request with the given traits may be sent. With isNew, a trial that is due lets the request through
// on the node that makes trials.
func (l *List) Check(traits []Trait, isNew bool) (refusal *Refusal, isTrial bool) {
	if !l.HasCrashes() {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.evaluate(now)
	var due []*quarantine
	for _, q := range l.quarantines {
		if !containsAll(traits, q.traits) {
			continue
		}
		q.matchedAt = max(q.matchedAt, now)
		if isNew && now >= q.trialAt && (l.IsTrialNode == nil || l.IsTrialNode()) {
			due = append(due, q)
			continue
		}
		if wait := max(q.trialAt.Sub(now), 0); refusal == nil || wait > refusal.RetryAfter {
			refusal = &Refusal{Quarantine: q.name(), RetryAfter: wait}
		}
	}
	if refusal != nil || len(due) == 0 {
		return refusal, false
	}
	for _, q := range due {
		q.startTrial(now)
		l.Log.Info("Sends a request of a quarantine as a trial.", "quarantine", q.name(), "trial", q.trials, "next_trial_ms", q.trialAt.Sub(now).Milliseconds())
	}
	return nil, true
}

// startTrial counts a trial and sets when the next one is due.
func (q *quarantine) startTrial(now boottime.Instant) {
	q.trials++
	q.trialAt = now.Add(min(firstTrialAfter<<min(q.trials, 8), maxTrialInterval))
}

// IsSuspicious reports whether a request must not be repeated after a crash, since more than one server has crashed on
// requests with one of its traits.
func (l *List) IsSuspicious(traits []Trait) bool {
	if !l.HasCrashes() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evaluate(l.now())
	return slices.ContainsFunc(l.suspicious, func(g *group) bool {
		return g.isSuspicious() && containsAll(traits, g.traits)
	})
}

// RecordCrash records the crash of a server at the given time, and the traits of a request that it was about to answer, which
// was sent at sentAt.
func (l *List) RecordCrash(server uint64, service string, traits []Trait, at, sentAt boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	suspects := map[Trait]int64{}
	for _, trait := range traits {
		if !l.wasAnswered(trait, at) {
			suspects[trait] = at.Sub(sentAt).Milliseconds()
		}
	}
	if l.addCrash(&crash{server: server, service: service, at: at, suspects: suspects}) {
		l.hasUrgentChange = true
	}
	if c, found := l.crashes[server]; found {
		c.markSeenHere(suspects)
	}
	for _, q := range l.quarantines {
		if containsAll(traits, q.traits) {
			q.matchedAt = max(q.matchedAt, at)
		}
	}
}

// wasAnswered reports whether a request with the trait was answered at or after the given time. The caller holds the lock.
func (l *List) wasAnswered(trait Trait, since boottime.Instant) bool {
	a, found := l.answers[trait]
	return found && a.at >= since
}

// addCrash merges a crash with what is known of it, and reports whether it told something new. If there are too many, the
// oldest one is dropped. The caller holds the lock.
func (l *List) addCrash(added *crash) bool {
	if l.crashes == nil {
		l.crashes = map[uint64]*crash{}
	}
	known, found := l.crashes[added.server]
	if !found {
		if len(l.crashes) >= maxCrashes {
			oldest := slices.MinFunc(slices.Collect(maps.Values(l.crashes)), func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
			if oldest.at >= added.at {
				return false
			}
			delete(l.crashes, oldest.server)
		}
		l.crashes[added.server] = added
		l.crashCount.Store(int64(len(l.crashes)))
		l.hasNewEvidence = true
		return true
	}
	known.at = min(known.at, added.at)
	isNew := false
	if l.explanation(known) == nil && l.explanation(added) != nil {
		known.explainedBy, isNew = added.explainedBy, true
	}
	for _, trait := range slices.Sorted(maps.Keys(added.suspects)) { // sorted, so that the order decides nothing by chance
		sentBefore := added.suspects[trait]
		previous, found := known.suspects[trait]
		switch {
		case found:
			known.suspects[trait] = min(previous, sentBefore)
		case known.countKind(trait) < maxSuspectsOfKind:
			known.suspects[trait], isNew = sentBefore, true
		}
	}
	l.hasNewEvidence = l.hasNewEvidence || isNew
	return isNew
}

// Unanswered returns the traits with which no request was answered lately.
func (l *List) Unanswered(traits []Trait) []Trait {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.now().Add(-answerWindow)
	return slices.DeleteFunc(slices.Clone(traits), func(t Trait) bool { return l.wasAnswered(t, since) })
}

// RecordAnswer records the complete answer to a request of a service, which clears its traits.
func (l *List) RecordAnswer(service string, traits []Trait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.serviceAnsweredAt == nil {
		l.serviceAnsweredAt = map[string]boottime.Instant{}
	}
	l.serviceAnsweredAt[service] = now
	for _, trait := range traits {
		l.setAnswered(trait, answer{at: now})
	}
}

// setAnswered records an answer to a request with a trait, unless a later one is known. The caller holds the lock.
func (l *List) setAnswered(trait Trait, a answer) {
	if l.wasAnswered(trait, a.at) {
		return
	}
	if l.answers == nil {
		l.answers = map[Trait]answer{}
	}
	if len(l.answers) >= maxAnswers {
		l.forgetOldAnswers(a.at)
	}
	l.answers[trait] = a
}

// forgetOldAnswers removes answers that are too old to clear a trait of any crash that still counts, and more if that does
// not suffice. The caller holds the lock.
func (l *List) forgetOldAnswers(now boottime.Instant) {
	for _, maxAge := range []time.Duration{contentRetention + answerWindow, answerWindow / 2, 0} {
		if len(l.answers) < maxAnswers {
			return
		}
		maps.DeleteFunc(l.answers, func(_ Trait, a answer) bool { return now.Sub(a.at) >= maxAge })
	}
}

// evaluate drops what has expired and updates the quarantines, if there is new evidence or evaluationInterval has passed. The
// caller holds the lock.
func (l *List) evaluate(now boottime.Instant) {
	if !l.hasNewEvidence && now.Sub(l.evaluatedAt) < evaluationInterval {
		return
	}
	l.hasNewEvidence, l.evaluatedAt = false, now
	maps.DeleteFunc(l.crashes, func(_ uint64, c *crash) bool { return l.hasExpired(c, now) })
	maps.DeleteFunc(l.clearedAt, func(_ Trait, at boottime.Instant) bool { return now.Sub(at) > contentRetention })
	l.endQuarantines(now)
	for range maxQuarantines {
		l.attributeCrashes()
		l.suspicious = l.groups()
		g := l.mostSuspicious(now)
		if g == nil {
			break
		}
		q := &quarantine{traits: g.traits, convictedAt: now, clearedFrom: g.clearedFrom(), matchedAt: now, trialAt: now.Add(firstTrialAfter)}
		l.Log.Warn("Quarantined requests: servers crashed on what they have in common, and none of them was answered.", "quarantine", q.name(),
			"service", g.crashes[0].service, "crashes", len(g.crashes), "independent_crashes", g.moments, "first_crash_ms", now.Sub(g.crashes[0].at).Milliseconds())
		l.addQuarantine(q)
		l.hasUrgentChange = true
	}
	l.quarantineCount.Store(int64(len(l.quarantines)))
	l.crashCount.Store(int64(len(l.crashes)))
}

// hasExpired removes the suspects against which a crash does not count any more, and reports whether none is left. The caller
// holds the lock.
func (l *List) hasExpired(c *crash, now boottime.Instant) bool {
	age := now.Sub(c.at)
	if age <= contentRetention {
		return false
	}
	maps.DeleteFunc(c.suspects, func(t Trait, _ int64) bool { return t.isContent() || l.wasAnswered(t, c.at) })
	return age > partRetention || len(c.suspects) == 0
}

// endQuarantines removes the quarantines that an answer has cleared or that refuse nothing any more. The caller holds the
// lock.
func (l *List) endQuarantines(now boottime.Instant) {
	for _, id := range slices.Sorted(maps.Keys(l.quarantines)) {
		q := l.quarantines[id]
		switch {
		case l.isCleared(q):
			l.Log.Info("Ended a quarantine: a request with one of its traits was answered.", "quarantine", q.name())
			if l.clearedAt == nil {
				l.clearedAt = map[Trait]boottime.Instant{}
			}
			for _, t := range q.traits {
				l.clearedAt[t] = now
			}
			delete(l.quarantines, id)
			l.hasUrgentChange = true
		case l.isImplied(q):
			l.Log.Info("Ended a quarantine: another one refuses all of its requests.", "quarantine", q.name())
			delete(l.quarantines, id)
		case l.wasNearby(q):
			l.Log.Info("Ended a quarantine: another one explains the crashes.", "quarantine", q.name())
			delete(l.quarantines, id)
			l.hasUrgentChange = true
		case now.Sub(q.matchedAt) > quarantineRetention:
			l.Log.Info("Ended a quarantine: there was no request with its traits for too long.", "quarantine", q.name())
			delete(l.quarantines, id)
		}
	}
}

// isImplied reports whether another quarantine refuses all requests that the quarantine refuses. The caller holds the lock.
func (l *List) isImplied(q *quarantine) bool {
	for _, other := range l.quarantines {
		if len(other.traits) < len(q.traits) && containsAll(q.traits, other.traits) {
			return true
		}
	}
	return false
}

// wasNearby reports whether other quarantines explain all known crashes of a quarantine, so that its requests were at the
// servers by chance. The caller holds the lock.
func (l *List) wasNearby(q *quarantine) bool {
	id, count := quarantineID(q.traits), 0
	for _, c := range l.crashes {
		if !c.hasAll(q.traits) {
			continue
		}
		if c.explainedBy == id || l.explanation(c) == nil {
			return false
		}
		count++
	}
	return count > 0
}

// isCleared reports whether an answer to a request with one of the traits ends the quarantine. The caller holds the lock.
func (l *List) isCleared(q *quarantine) bool {
	return slices.ContainsFunc(q.traits, func(t Trait) bool { return l.wasAnswered(t, q.clearedFrom) })
}

// addQuarantine adds a quarantine. If there are too many, the one that refused no request for the longest time is removed. The
// caller holds the lock.
func (l *List) addQuarantine(q *quarantine) {
	if l.quarantines == nil {
		l.quarantines = map[uint64]*quarantine{}
	}
	if len(l.quarantines) >= maxQuarantines {
		idle := slices.MinFunc(slices.Collect(maps.Values(l.quarantines)), func(a, b *quarantine) int { return cmp.Compare(a.matchedAt, b.matchedAt) })
		delete(l.quarantines, quarantineID(idle.traits))
	}
	l.quarantines[quarantineID(q.traits)] = q
	l.quarantineCount.Store(int64(len(l.quarantines)))
}

// attributeCrashes attributes each crash to one of the quarantines whose traits a request at the server had. The caller holds
// the lock.
func (l *List) attributeCrashes() {
	ids := slices.Sorted(maps.Keys(l.quarantines))
	for _, id := range ids {
		q := l.quarantines[id]
		q.crashCount = 0
		for _, c := range l.crashes {
			if c.hasAll(q.traits) {
				q.crashCount++
			}
		}
	}
	for _, c := range l.crashes {
		for _, id := range ids {
			if q := l.quarantines[id]; c.hasAll(q.traits) && q.explainsMoreThan(l.explanation(c)) {
				c.explainedBy = id
			}
		}
	}
}

// quarantineID identifies the traits of a quarantine, which are sorted.
func quarantineID(traits []Trait) uint64 {
	key := make([]byte, 0, 8*len(traits))
	for _, t := range traits {
		key = binary.LittleEndian.AppendUint64(key, uint64(t))
	}
	return xxhash.Sum64(key)
}

// name returns the traits for log lines.
func (q *quarantine) name() string { return TraitNames(q.traits) }

// TraitNames returns traits for log lines, separated by commas. The kind stands before the hash of each.
func TraitNames(traits []Trait) string {
	names := make([]string, 0, len(traits))
	for _, t := range traits {
		kind := "part-"
		if t.isContent() {
			kind = "content-"
		}
		names = append(names, kind+strconv.FormatUint(uint64(t), 36))
	}
	return strings.Join(names, ",")
}
