// Package quarantine decides which requests crash backend servers. Dispatchers report crashes to it; dispatchers and
// entry nodes ask it before they run a request.
package quarantine

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	// Duration is how long a culprit is refused.
	Duration = 10 * time.Minute
	// correlationWindow: crashes in one failure domain that are closer than this have a cause outside the requests.
	correlationWindow = 2 * time.Second
	// suspectTTL is how long a suspect that was not seen again stays one.
	suspectTTL = time.Minute
)

// Key names a request by organisation and content.
type Key struct {
	Organisation string
	Fingerprint  uint64
}

// Fingerprint hashes what an engine gets of a request. The organisation is part of it, so that no organisation can have
// the request of another one refused.
func Fingerprint(organisation, deployment, prompt string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + deployment + "\x00" + prompt)
}

// RecordStore stores records that reach all nodes.
type RecordStore interface {
	Put(key string, version int64, value any) error
	Watch(prefix string, notify func(*peerpb.Record))
}

// recordValue is the value of a record.
type recordValue struct {
	Organisation string `json:"organisation"`
	Fingerprint  uint64 `json:"fingerprint"`
	UntilMillis  int64  `json:"until_unix_ms"` // 0: lifted
}

// Crash is the death of a backend server process.
type Crash struct {
	Host          string
	FailureDomain string
	HostHasNotice bool  // the host had a notice
	InRollout     bool  // the backend server's model version is being rolled out
	Keys          []Key // requests that ran on it
	InIsolation   bool  // exactly one request ran on it, because it was a suspect
}

// Verdict says what a crash is attributed to.
type Verdict int

// The verdicts.
const (
	// Excused means that the cause is the host, the failure domain or the model version.
	Excused Verdict = iota
	// Suspects means that the cause may be one of the requests.
	Suspects
	// Culprit means that the only request on the backend server is quarantined.
	Culprit
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"excused", "suspects", "culprit"}[v] }

type recentCrash struct {
	Crash
	reportedAt time.Time
}

// List holds suspects and quarantined requests.
type List struct {
	records RecordStore
	log     *slog.Logger

	mu       sync.Mutex
	crashes  []recentCrash
	suspects map[Key]time.Time // → end of the suspicion
	culprits map[Key]time.Time // → end of the quarantine
}

// New returns an empty list that follows the records of other nodes.
func New(records RecordStore, log *slog.Logger) *List {
	l := &List{records: records, log: log, suspects: map[Key]time.Time{}, culprits: map[Key]time.Time{}}
	records.Watch(membership.RecordQuarantine, l.applyRecord)
	return l
}

func (l *List) applyRecord(r *peerpb.Record) {
	var e recordValue
	if json.Unmarshal(r.Value, &e) != nil {
		return
	}
	key := Key{e.Organisation, e.Fingerprint}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.UntilMillis == 0 {
		delete(l.culprits, key)
		return
	}
	l.culprits[key] = time.UnixMilli(e.UntilMillis)
	delete(l.suspects, key)
}

// IsEmpty reports whether there is neither a suspect nor a culprit.
func (l *List) IsEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects)+len(l.culprits) == 0
}

// IsQuarantined reports whether a request is refused.
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

// IsSuspect reports whether a request has to run alone.
func (l *List) IsSuspect(key Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, found := l.suspects[key]
	return found && now.Before(until)
}

// ClearSuspicion ends the suspicion of a request that ran alone without a crash.
func (l *List) ClearSuspicion(key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspects, key)
}

// Report takes a crash and returns what it is attributed to. A later crash in the same failure domain within two
// seconds withdraws suspicion and quarantine again.
func (l *List) Report(c Crash, now time.Time) Verdict {
	l.mu.Lock()
	l.removeExpired(now)
	correlated := l.correlatedCrashes(c)
	l.crashes = append(l.crashes, recentCrash{c, now})
	if c.HostHasNotice || c.InRollout || len(correlated) > 0 {
		released := l.releaseRequests(correlated)
		l.mu.Unlock()
		for _, key := range released {
			l.publish(key, now, time.Time{})
		}
		return Excused
	}
	defer l.mu.Unlock()
	if c.InIsolation && len(c.Keys) == 1 {
		until := now.Add(Duration)
		l.culprits[c.Keys[0]] = until
		delete(l.suspects, c.Keys[0])
		go l.publish(c.Keys[0], now, until)
		return Culprit
	}
	for _, key := range c.Keys {
		l.suspects[key] = now.Add(suspectTTL)
	}
	return Suspects
}

// correlatedCrashes returns earlier crashes of other hosts in the failure domain that share no request with c. Crashes that share
// a request have one cause and are no sign of a failing domain.
func (l *List) correlatedCrashes(c Crash) []recentCrash {
	var found []recentCrash
	for _, earlier := range l.crashes {
		if earlier.FailureDomain != c.FailureDomain || earlier.Host == c.Host {
			continue
		}
		sharesRequest := slices.ContainsFunc(earlier.Keys, func(k Key) bool { return slices.Contains(c.Keys, k) })
		if !sharesRequest {
			found = append(found, earlier)
		}
	}
	return found
}

// releaseRequests lifts what was concluded from crashes and returns the keys whose quarantine ends. The caller holds the lock.
func (l *List) releaseRequests(crashes []recentCrash) []Key {
	var released []Key
	for _, c := range crashes {
		for _, key := range c.Keys {
			delete(l.suspects, key)
			if _, found := l.culprits[key]; found && c.InIsolation {
				delete(l.culprits, key)
				released = append(released, key)
			}
		}
	}
	return released
}

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

// publish tells all nodes; a zero until lifts the quarantine.
func (l *List) publish(key Key, now, until time.Time) {
	e := recordValue{Organisation: key.Organisation, Fingerprint: key.Fingerprint}
	if !until.IsZero() {
		e.UntilMillis = until.UnixMilli()
	}
	name := fmt.Sprintf("%s%s/%016x", membership.RecordQuarantine, key.Organisation, key.Fingerprint)
	if err := l.records.Put(name, now.UnixNano(), e); err != nil {
		l.log.Warn("Quarantine could not be spread.", "organisation", key.Organisation, "error", err)
		return
	}
	l.log.Info("Quarantine changed.", "organisation", key.Organisation, "fingerprint", key.Fingerprint, "until", until)
}
