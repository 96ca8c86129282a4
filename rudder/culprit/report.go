package culprit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// defaultMaxReportedTraits bounds the size of a report: all crashes of a large fleet together may have more suspects than fit
// into a datagram.
const defaultMaxReportedTraits = 256

// Report holds what a node has seen of crashes, with List.RelaysPeers also what it has heard, and the quarantines that it
// knows, for its peers. Points in time are given as ages.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Crashes     []CrashReport
	Answers     []AnswerReport
	Quarantines []QuarantineReport
}

// IsEmpty reports whether the report holds nothing.
func (r *Report) IsEmpty() bool {
	return r == nil || len(r.Crashes)+len(r.Answers)+len(r.Quarantines) == 0
}

// CrashReport is the crash of one backend server.
type CrashReport struct {
	_           struct{} `cbor:",toarray"`
	Server      uint64   // identifies the incarnation of the server
	Service     string
	AgeMillis   int64
	ExplainedBy uint64    // id of the quarantine that explains the crash; 0 for none
	Suspects    []Suspect // of an explained crash, no contents but those of the quarantine; not all if there are too many
}

// AnswerReport tells when a request with a trait was last answered.
type AnswerReport struct {
	_         struct{} `cbor:",toarray"`
	Trait     Trait
	AgeMillis int64
}

// QuarantineReport is a quarantine.
type QuarantineReport struct {
	_              struct{} `cbor:",toarray"`
	Traits         []Trait
	AgeMillis      int64 // since the start
	ClearAgeMillis int64 // an answer that is not older ends the quarantine
	MatchAgeMillis int64 // since the last request that was refused or crashed a server
	TrialInMillis  int64 // until the next trial; negative if it is overdue
	Trials         int
}

// FullReport returns what peers must know, nil if that is nothing.
func (l *List) FullReport() *Report {
	if !l.HasCrashes() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasUrgentChange = false
	return l.report()
}

// UrgentReport returns the same as FullReport if it has changed in a way that peers must learn soon, else nil.
func (l *List) UrgentReport() *Report {
	if !l.HasCrashes() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasUrgentChange {
		return nil
	}
	l.hasUrgentChange = false
	return l.report()
}

// report composes a report. The caller holds the lock.
func (l *List) report() *Report {
	now := l.now()
	l.evaluate(now)
	r := &Report{}
	suspects := l.reportedSuspects()
	for _, server := range slices.Sorted(maps.Keys(l.crashes)) {
		c := l.crashes[server]
		if len(suspects[server]) == 0 {
			continue
		}
		entry := CrashReport{Server: c.server, Service: c.service, AgeMillis: now.Sub(c.at).Milliseconds(), Suspects: suspects[server]}
		if l.explanation(c) != nil {
			entry.ExplainedBy = c.explainedBy
		}
		r.Crashes = append(r.Crashes, entry)
	}
	r.Quarantines = l.quarantineReports(now)
	r.Answers = l.answerReports(now)
	if r.IsEmpty() {
		return nil
	}
	return r
}

func (l *List) relaysPeers() bool { return l.RelaysPeers != nil && l.RelaysPeers() }

func (l *List) maxReportedTraits() int { return cmp.Or(l.MaxReportedTraits, defaultMaxReportedTraits) }

// reportedSuspects returns the suspects to report by server, at most maxReportedTraits in all: first those that most crashes
// have in common, and prompt parts before contents. The caller holds the lock.
func (l *List) reportedSuspects() map[uint64][]Suspect {
	servers := map[Trait][]uint64{}
	for _, server := range slices.Sorted(maps.Keys(l.crashes)) {
		for t := range l.crashes[server].suspects {
			if l.isReported(l.crashes[server], t) && (l.relaysPeers() || l.crashes[server].seenHere[t]) {
				servers[t] = append(servers[t], server)
			}
		}
	}
	ranked := slices.SortedFunc(maps.Keys(servers), func(a, b Trait) int {
		return cmp.Or(cmp.Compare(len(servers[b]), len(servers[a])), cmp.Compare(a&contentBit, b&contentBit), cmp.Compare(a, b))
	})
	reported := map[uint64][]Suspect{}
	count := 0
	for _, t := range ranked {
		if count += len(servers[t]); count > l.maxReportedTraits() {
			break
		}
		for _, server := range servers[t] {
			reported[server] = append(reported[server], Suspect{Trait: t, SentMillisBefore: l.crashes[server].suspects[t]})
		}
	}
	return reported
}

// isReported reports whether peers may need to know that a request with the trait was at a crashed server: no request with it was
// answered since, and it is not a content that had nothing to do with an explained crash. The caller holds the lock.
func (l *List) isReported(c *crash, t Trait) bool {
	q := l.explanation(c)
	return !l.wasAnswered(t, c.at) && (q == nil || !t.isContent() || slices.Contains(q.traits, t))
}

// answerReports returns the last answers with the traits that peers may suspect, half of maxReportedTraits at most, the latest
// first. The caller holds the lock.
func (l *List) answerReports(now boottime.Instant) []AnswerReport {
	relevant := map[Trait]bool{}
	for _, c := range l.crashes {
		for t := range c.suspects {
			relevant[t] = true
		}
	}
	for t := range l.clearedAt {
		relevant[t] = true
	}
	var list []AnswerReport
	for t := range relevant {
		if a, found := l.answers[t]; found && (l.relaysPeers() || !a.isPeer) {
			list = append(list, AnswerReport{Trait: t, AgeMillis: now.Sub(a.at).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b AnswerReport) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Trait, b.Trait))
	})
	return list[:min(len(list), l.maxReportedTraits()/2)]
}

// Quarantines returns the present quarantines.
func (l *List) Quarantines() []QuarantineReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.evaluate(now)
	return l.quarantineReports(now)
}

// quarantineReports returns the present quarantines. The caller holds the lock.
func (l *List) quarantineReports(now boottime.Instant) []QuarantineReport {
	var list []QuarantineReport
	for _, id := range slices.Sorted(maps.Keys(l.quarantines)) {
		q := l.quarantines[id]
		list = append(list, QuarantineReport{
			Traits: q.traits, AgeMillis: now.Sub(q.convictedAt).Milliseconds(), ClearAgeMillis: now.Sub(q.clearedFrom).Milliseconds(), MatchAgeMillis: now.Sub(q.matchedAt).Milliseconds(),
			TrialInMillis: q.trialAt.Sub(now).Milliseconds(), Trials: q.trials,
		})
	}
	return list
}

// ID identifies the traits of the quarantine, on all nodes alike.
func (r *QuarantineReport) ID() uint64 { return quarantineID(r.Traits) }

// AddAge adds the time for which the report was on its way to all ages.
func (r *Report) AddAge(d time.Duration) {
	for i := range r.Crashes {
		r.Crashes[i].AgeMillis += d.Milliseconds()
	}
	for i := range r.Answers {
		r.Answers[i].AgeMillis += d.Milliseconds()
	}
	for i := range r.Quarantines {
		q := &r.Quarantines[i]
		q.AgeMillis, q.ClearAgeMillis = q.AgeMillis+d.Milliseconds(), q.ClearAgeMillis+d.Milliseconds()
		q.MatchAgeMillis, q.TrialInMillis = q.MatchAgeMillis+d.Milliseconds(), q.TrialInMillis-d.Milliseconds()
	}
}

// Apply adds what a peer reported.
func (l *List) Apply(r *Report) {
	if r.IsEmpty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	before := func(ageMillis int64) boottime.Instant { return now.Add(-time.Duration(ageMillis) * time.Millisecond) }
	isValid := func(ageMillis int64, maxAge time.Duration) bool {
		return ageMillis >= 0 && ageMillis <= maxAge.Milliseconds()
	}
	for _, a := range r.Answers {
		if isValid(a.AgeMillis, partRetention+answerWindow) {
			l.setAnswered(a.Trait, answer{at: before(a.AgeMillis), isPeer: true})
		}
	}
	for _, q := range r.Quarantines {
		l.applyQuarantine(q, before, now)
	}
	for _, c := range r.Crashes {
		if !isValid(c.AgeMillis, partRetention) {
			continue
		}
		suspects, isCleared := map[Trait]int64{}, false
		for _, s := range c.Suspects[:min(len(c.Suspects), 2*maxSuspectsOfKind)] {
			suspects[s.Trait] = s.SentMillisBefore
			isCleared = isCleared || l.wasAnswered(s.Trait, before(c.AgeMillis).Add(-answerWindow))
		}
		if l.addCrash(&crash{server: c.Server, service: c.Service, at: before(c.AgeMillis), suspects: suspects, explainedBy: c.ExplainedBy}) && isCleared {
			l.hasUrgentChange = true // the peer does not know of the answer
		}
	}
	l.evaluate(now)
}

// maxQuarantineAge bounds the ages in reports: greater ones cannot be told from the future.
const maxQuarantineAge = 10 * 365 * 24 * time.Hour

// maxTrials bounds the number of trials in reports.
const maxTrials = 1 << 20

// applyQuarantine adds the quarantine of a peer or merges it with the known one. The caller holds the lock.
func (l *List) applyQuarantine(r QuarantineReport, before func(int64) boottime.Instant, now boottime.Instant) {
	isOdd := r.Trials < 0 || r.Trials > maxTrials
	for _, age := range []int64{r.AgeMillis, r.ClearAgeMillis, r.MatchAgeMillis} {
		isOdd = isOdd || age < 0 || age > maxQuarantineAge.Milliseconds()
	}
	if isOdd || len(r.Traits) == 0 {
		return
	}
	trialInMillis := min(max(r.TrialInMillis, -maxTrialInterval.Milliseconds()), maxTrialInterval.Milliseconds())
	reported := &quarantine{
		traits: r.Traits, convictedAt: before(r.AgeMillis), clearedFrom: before(r.ClearAgeMillis), matchedAt: before(r.MatchAgeMillis),
		trialAt: before(-trialInMillis), trials: r.Trials,
	}
	isExpired := now.Sub(reported.matchedAt) > quarantineRetention
	if isExpired || l.isCleared(reported) || l.isImplied(reported) || l.wasNearby(reported) {
		return
	}
	known, found := l.quarantines[quarantineID(reported.traits)]
	if !found {
		l.Log.Info("A peer quarantined requests.", "quarantine", reported.name(), "age_ms", r.AgeMillis, "trials", r.Trials)
		l.addQuarantine(reported)
		return
	}
	known.convictedAt, known.clearedFrom = min(known.convictedAt, reported.convictedAt), max(known.clearedFrom, reported.clearedFrom)
	known.matchedAt = max(known.matchedAt, min(reported.matchedAt, now))
	if reported.trials >= known.trials {
		known.trials, known.trialAt = reported.trials, max(known.trialAt, reported.trialAt)
	}
}
