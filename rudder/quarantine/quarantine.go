// Package quarantine identifies requests that crash backend servers. Dispatchers report each crash of a backend server
// process; the requests that ran on it become suspects and are run in isolation. A request that crashes a backend server
// in isolation is quarantined: dispatchers and entry nodes of all nodes reject it for a limited time. So are requests that
// share only a message with others on which servers crash; package culprit finds that message.
package quarantine

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	// Duration is how long a request stays quarantined.
	Duration = 10 * time.Minute
	// correlationWindow is the longest time between crashes on different hosts of a failure domain that are attributed to
	// a fault of the failure domain rather than to the requests.
	correlationWindow = 2 * time.Second
	// suspectTTL is how long a request stays a suspect after the last crash that it took part in.
	suspectTTL = time.Minute
)

// Key identifies a request by its organisation and the fingerprint of its content.
type Key struct {
	Organisation string
	Fingerprint  uint64
}

// Fingerprint hashes the deployment and the prompt of a request. The organisation is part of the hash, so that an
// organisation cannot get a request of another organisation quarantined.
func Fingerprint(organisation, deployment, prompt string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + deployment + "\x00" + prompt)
}

// RecordStore replicates records to all nodes. Watch calls notify for each record whose key has the prefix.
type RecordStore interface {
	Put(key string, version int64, value any) error
	Watch(prefix string, notify func(*peerpb.Record))
}

// recordValue is the value of a quarantine record.
type recordValue struct {
	Organisation string `json:"organisation"`
	Fingerprint  uint64 `json:"fingerprint"`
	UntilMillis  int64  `json:"until_unix_ms"` // 0 ends the quarantine
}

// Crash describes the unexpected end of a backend server process.
type Crash struct {
	Host          string
	FailureDomain string
	HostHasNotice bool   // the host had received a reclaim notice
	InRollout     bool   // the model version of the backend server is being rolled out
	Server        uint64 // identifies the process
	Deployment    string
	Requests      []Request // that were running on the backend server
	InIsolation   bool      // the backend server ran exactly one request, which was a suspect
}

// Request is a request that was running on a crashed backend server.
type Request struct {
	Key    Key             // zero for requests that are never quarantined by their content
	Parts  []culprit.Trait // messages that other requests may share; none if the request has shown that it is harmless
	SentAt boottime.Instant
}

// keys returns the keys of the requests.
func (c *Crash) keys() []Key {
	var keys []Key
	for _, r := range c.Requests {
		if r.Key.Fingerprint != 0 {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// PartTrait returns the trait of a message. The organisation is part of it, like in Fingerprint.
func PartTrait(organisation, role, content string) culprit.Trait {
	return culprit.PartTrait(organisation + "\x00" + role + "\x00" + content)
}

// Verdict is the cause to which a crash is attributed.
type Verdict int

// The verdicts.
const (
	// Excused means that the crash is attributed to the host, the failure domain or the model version.
	Excused Verdict = iota
	// Suspects means that one of the requests may have caused the crash; all of them become suspects.
	Suspects
	// Culprit means that the only request on the backend server caused the crash and is quarantined.
	Culprit
)

// String returns the name of the verdict for log lines.
func (v Verdict) String() string { return [...]string{"excused", "suspects", "culprit"}[v] }

type recentCrash struct {
	Crash
	suspectParts []culprit.Trait // parts with which no request was answered lately
	reportedAt   time.Time
}

// List holds the suspects of this node and the quarantined requests of all nodes. It is safe for concurrent use.
type List struct {
	// Parts holds what the requests on crashed backend servers have in common.
	Parts   *culprit.List
	records RecordStore
	node    string
	log     *slog.Logger

	mu       sync.Mutex
	crashes  []recentCrash
	suspects map[Key]time.Time // value: when the suspicion ends
	culprits map[Key]time.Time // value: when the quarantine ends
}

// New returns an empty list of a node and subscribes it to the quarantine and crash records of other nodes.
func New(node string, records RecordStore, log *slog.Logger) *List {
	l := &List{
		Parts: &culprit.List{Log: log, MaxReportedTraits: maxReportedMessages}, records: records, node: node, log: log,
		suspects: map[Key]time.Time{}, culprits: map[Key]time.Time{},
	}
	records.Watch(membership.RecordQuarantine, l.applyRecord)
	records.Watch(membership.RecordCrashes, l.applyCrashRecord)
	return l
}

// applyRecord applies a quarantine record from the record store. A record that cannot be decoded is ignored.
func (l *List) applyRecord(r *peerpb.Record) {
	var value recordValue
	if json.Unmarshal(r.Value, &value) != nil {
		return
	}
	key := Key{value.Organisation, value.Fingerprint}
	l.mu.Lock()
	defer l.mu.Unlock()
	if value.UntilMillis == 0 {
		delete(l.culprits, key)
		return
	}
	l.culprits[key] = time.UnixMilli(value.UntilMillis)
	delete(l.suspects, key)
}

// IsEmpty reports whether the list holds neither suspects nor quarantined requests or parts.
func (l *List) IsEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects)+len(l.culprits) == 0 && !l.Parts.HasQuarantines()
}

// IsQuarantined reports whether a request is quarantined and must be rejected.
func (l *List) IsQuarantined(key Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, found := l.culprits[key]
	if found && !now.Before(until) {
		delete(l.culprits, key)
		return false
	}
	return found
}

// CheckParts returns a refusal if new requests with parts of these traits are refused, or whether the request is a trial.
func (l *List) CheckParts(traits []uint64) (refusal *culprit.Refusal, isTrial bool) {
	return l.Parts.Check(Traits(traits), true)
}

// Traits converts the traits in a message between nodes.
func Traits(numbers []uint64) []culprit.Trait {
	traits := make([]culprit.Trait, 0, len(numbers))
	for _, number := range numbers {
		traits = append(traits, culprit.Trait(number))
	}
	return traits
}

// IsSuspect reports whether a request is a suspect and must run alone on a backend server.
func (l *List) IsSuspect(key Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, found := l.suspects[key]
	return found && now.Before(until)
}

// ClearSuspicion removes a request that ran in isolation without a crash from the suspects.
func (l *List) ClearSuspicion(key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspects, key)
}

// Report records a crash and returns the cause to which it is attributed. An unrelated crash on another host of the
// failure domain within correlationWindow (2 s) shows that the failure domain is at fault: the suspicions and quarantines
// that followed from the earlier crash are removed.
func (l *List) Report(c Crash, now time.Time) Verdict {
	suspectParts := l.recordParts(c)
	l.mu.Lock()
	l.removeExpired(now)
	crash := recentCrash{c, suspectParts, now}
	correlated := l.correlatedCrashes(crash)
	l.crashes = append(l.crashes, crash)
	if c.HostHasNotice || c.InRollout || len(correlated) > 0 {
		released := l.releaseRequests(correlated)
		l.mu.Unlock()
		for _, key := range released {
			l.publish(key, now, time.Time{})
		}
		return Excused
	}
	defer l.mu.Unlock()
	keys := c.keys()
	if c.InIsolation && len(keys) == 1 {
		until := now.Add(Duration)
		l.culprits[keys[0]] = until
		delete(l.suspects, keys[0])
		go l.publish(keys[0], now, until)
		return Culprit
	}
	for _, key := range keys {
		l.suspects[key] = now.Add(suspectTTL)
	}
	return Suspects
}

// recordParts records the crash for the parts of its requests, unless the host or the model version is at fault, and returns
// the parts with which no request was answered lately.
func (l *List) recordParts(c Crash) []culprit.Trait {
	if c.HostHasNotice || c.InRollout {
		return nil
	}
	var suspectParts []culprit.Trait
	for _, r := range c.Requests {
		if len(r.Parts) > 0 {
			l.Parts.RecordCrash(c.Server, c.Deployment, r.Parts, boottime.Now(), r.SentAt)
			suspectParts = append(suspectParts, l.Parts.Unanswered(r.Parts)...)
		}
	}
	return suspectParts
}

// correlatedCrashes returns the recent crashes on other hosts of the failure domain that have no request or suspect part in
// common with c. Crashes with something in common are likely caused by it and do not point to a fault of the failure domain.
func (l *List) correlatedCrashes(c recentCrash) []recentCrash {
	var found []recentCrash
	for _, earlier := range l.crashes {
		if earlier.FailureDomain != c.FailureDomain || earlier.Host == c.Host {
			continue
		}
		sharesRequest := slices.ContainsFunc(earlier.keys(), func(k Key) bool { return slices.Contains(c.keys(), k) })
		sharesPart := slices.ContainsFunc(earlier.suspectParts, func(p culprit.Trait) bool { return slices.Contains(c.suspectParts, p) })
		if !sharesRequest && !sharesPart {
			found = append(found, earlier)
		}
	}
	return found
}

// releaseRequests removes the suspicions and quarantines that followed from the crashes, and returns the keys whose
// quarantine ends. The caller holds the lock.
func (l *List) releaseRequests(crashes []recentCrash) []Key {
	var released []Key
	for _, c := range crashes {
		for _, key := range c.keys() {
			delete(l.suspects, key)
			if _, found := l.culprits[key]; found && c.InIsolation {
				delete(l.culprits, key)
				released = append(released, key)
			}
		}
	}
	return released
}

// removeExpired removes old crashes and expired suspects and quarantines. The caller holds the lock.
func (l *List) removeExpired(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c recentCrash) bool { return now.Sub(c.reportedAt) > correlationWindow })
	for key, until := range l.suspects {
		if !now.Before(until) {
			delete(l.suspects, key)
		}
	}
	for key, until := range l.culprits {
		if !now.Before(until) {
			delete(l.culprits, key)
		}
	}
}

// publish writes a quarantine record for all nodes. A zero until ends the quarantine.
func (l *List) publish(key Key, now, until time.Time) {
	value := recordValue{Organisation: key.Organisation, Fingerprint: key.Fingerprint}
	if !until.IsZero() {
		value.UntilMillis = until.UnixMilli()
	}
	name := fmt.Sprintf("%s%s/%016x", membership.RecordQuarantine, key.Organisation, key.Fingerprint)
	if err := l.records.Put(name, now.UnixNano(), value); err != nil {
		l.log.Warn("Failed to publish a quarantine record.", "organisation", key.Organisation, "error", err)
		return
	}
	l.log.Info("Published a quarantine record.", "organisation", key.Organisation, "fingerprint", key.Fingerprint, "until", until)
}
