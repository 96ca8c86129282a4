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
	// waveWindow: crashes in one failure domain that are closer than this have a cause outside the requests.
	waveWindow = 2 * time.Second
	// suspicionTime is how long a suspect that was not seen again stays one.
	suspicionTime = time.Minute
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

// Spreader stores records that reach all nodes.
type Spreader interface {
	Put(key string, version int64, value any) error
	Watch(prefix string, notify func(*peerpb.Record))
}

// entry is the value of a record.
type entry struct {
	Organisation string `json:"organisation"`
	Fingerprint  uint64 `json:"fingerprint"`
	UntilMillis  int64  `json:"until_unix_ms"` // 0: lifted
}

// Crash is the death of a backend server process.
type Crash struct {
	Host          string
	FailureDomain string
	Noticed       bool  // the host had a notice
	OnTrial       bool  // the backend server's model version is being rolled out
	Keys          []Key // requests that ran on it
	Isolated      bool  // exactly one request ran on it, because it was a suspect
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

type seenCrash struct {
	Crash
	at time.Time
}

// List holds suspects and quarantined requests.
type List struct {
	records Spreader
	log     *slog.Logger

	mu       sync.Mutex
	crashes  []seenCrash
	suspects map[Key]time.Time // → end of the suspicion
	culprits map[Key]time.Time // → end of the quarantine
}

// New returns an empty list that follows the records of other nodes.
func New(records Spreader, log *slog.Logger) *List {
	l := &List{records: records, log: log, suspects: map[Key]time.Time{}, culprits: map[Key]time.Time{}}
	records.Watch(membership.RecordQuarantine, l.take)
	return l
}

func (l *List) take(r *peerpb.Record) {
	var e entry
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

// Empty reports whether there is neither a suspect nor a culprit.
func (l *List) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects)+len(l.culprits) == 0
}

// Quarantined reports whether a request is refused.
func (l *List) Quarantined(key Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, found := l.culprits[key]
	if found && !now.Before(until) {
		delete(l.culprits, key)
		return false
	}
	return found
}

// Suspected reports whether a request has to run alone.
func (l *List) Suspected(key Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, found := l.suspects[key]
	return found && now.Before(until)
}

// Clear ends the suspicion of a request that ran alone without a crash.
func (l *List) Clear(key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspects, key)
}

// Report takes a crash and returns what it is attributed to. A later crash in the same failure domain within two
// seconds withdraws suspicion and quarantine again.
func (l *List) Report(c Crash, now time.Time) Verdict {
	l.mu.Lock()
	l.forget(now)
	related := l.unrelated(c)
	l.crashes = append(l.crashes, seenCrash{c, now})
	if c.Noticed || c.OnTrial || len(related) > 0 {
		lifted := l.withdraw(related)
		l.mu.Unlock()
		for _, key := range lifted {
			l.spread(key, now, time.Time{})
		}
		return Excused
	}
	defer l.mu.Unlock()
	if c.Isolated && len(c.Keys) == 1 {
		until := now.Add(Duration)
		l.culprits[c.Keys[0]] = until
		delete(l.suspects, c.Keys[0])
		go l.spread(c.Keys[0], now, until)
		return Culprit
	}
	for _, key := range c.Keys {
		l.suspects[key] = now.Add(suspicionTime)
	}
	return Suspects
}

// unrelated returns earlier crashes of other hosts in the failure domain that share no request with c. Crashes that share
// a request have one cause and are no sign of a failing domain.
func (l *List) unrelated(c Crash) []seenCrash {
	var found []seenCrash
	for _, earlier := range l.crashes {
		if earlier.FailureDomain != c.FailureDomain || earlier.Host == c.Host {
			continue
		}
		shared := slices.ContainsFunc(earlier.Keys, func(k Key) bool { return slices.Contains(c.Keys, k) })
		if !shared {
			found = append(found, earlier)
		}
	}
	return found
}

// withdraw lifts what was concluded from crashes and returns the keys whose quarantine ends. The caller holds the lock.
func (l *List) withdraw(crashes []seenCrash) []Key {
	var lifted []Key
	for _, c := range crashes {
		for _, key := range c.Keys {
			delete(l.suspects, key)
			if _, found := l.culprits[key]; found && c.Isolated {
				delete(l.culprits, key)
				lifted = append(lifted, key)
			}
		}
	}
	return lifted
}

func (l *List) forget(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c seenCrash) bool { return now.Sub(c.at) > waveWindow })
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

// spread tells all nodes; a zero until lifts the quarantine.
func (l *List) spread(key Key, now, until time.Time) {
	e := entry{Organisation: key.Organisation, Fingerprint: key.Fingerprint}
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
