// Package streamorigin remembers at which software version of its backend servers each resumable stream began. What two
// versions write does not fit together, and servers do not check it: a stream may go on only at the version that began it.
//
// Each node remembers the streams that it began. While a service has one version, that is enough: any stream of the service
// began there. While it has several, or had within Retention, nodes tell their peers of each stream, and record it where it
// outlives the end of all nodes. A stream whose version cannot be told must not go on.
package streamorigin

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// Retention is how long the beginning of a stream is remembered after its last use, and how long streams may go on that
	// began at a version whose last server has left. Callers come back within seconds.
	Retention = 30 * time.Second
	// maxOwnStreams and maxPeerStreams bound the streams that a node remembers: its own ones and those of its peers.
	maxOwnStreams  = 1 << 12
	maxPeerStreams = 1 << 16
	// MaxAttemptBytes bounds the ids of attempts that are remembered.
	MaxAttemptBytes = 64
	// reportCheckInterval is the pause between two checks whether a report has arrived that a caller waits for.
	reportCheckInterval = 20 * time.Millisecond
	// maxVersions bounds the versions of a service that are remembered.
	maxVersions = 64
)

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // of the software of the server that began it
}

// Book holds the origins of streams by the id of the attempt that brought their first event. Its exported fields are set
// before use. It is safe for concurrent use.
type Book struct {
	Log *slog.Logger
	// Refresh reads, not before it is called, what nodes have recorded and which versions serve, and passes that to ApplyRecord
	// and ObserveVersions. Nil means that this node always knows both.
	Refresh func(context.Context) error
	// HasHeardPeersSince reports whether peers have told, since a moment, of the versions that they know. It makes up for a
	// Refresh that fails. Nil means that they never do.
	HasHeardPeersSince func(boottime.Instant) bool

	mu         sync.Mutex
	own, peers ledger
	versions   map[string]map[string]boottime.Instant // by service and version: when streams could last begin there
	unreported []string                               // attempts of own streams of which peers have not been told
	// isLoaded is true once the records of before the start of this node are known.
	isLoaded     bool
	recordedSets map[string][]string // versions by service in the last record
	isUnrecorded bool                // own streams have begun since the last record
	now          func() boottime.Instant
}

// New returns an empty book.
func New(log *slog.Logger) *Book {
	return &Book{
		Log: log, now: boottime.Now, versions: map[string]map[string]boottime.Instant{},
		own: newLedger(maxOwnStreams), peers: newLedger(maxPeerStreams),
	}
}

// Begin records that an attempt brought the first event of a stream. Ids that are empty or too long are not remembered.
func (b *Book) Begin(attempt string, o Origin) {
	if attempt == "" || len(attempt) > MaxAttemptBytes {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.noteVersion(o, now)
	b.own.put(attempt, o, now)
	b.unreported = append(b.unreported, attempt)
	b.unreported = b.unreported[max(len(b.unreported)-maxOwnStreams, 0):]
	b.isUnrecorded = true
}

// Find returns where a stream began that its caller takes up at the given service. It returns false if that cannot be told
// before ctx ends: a caller may come back sooner than the report of the node that began the stream arrives.
func (b *Book) Find(ctx context.Context, attempt, service string) (Origin, bool) {
	askedAt := b.now()
	o, found := b.lookUp(attempt, service, b.Refresh == nil)
	if found || b.Refresh == nil {
		return o, found
	}
	// A version that has joined a moment ago may have begun the stream at another node, while this one stood still or was cut
	// off: only what was read or heard since the caller asked tells that there is no other version.
	err := b.Refresh(ctx)
	if err != nil {
		b.Log.Warn("Reading the recorded beginnings of streams failed.", "attempt", attempt, "service", service, "error", err)
	}
	for {
		knowsVersions := err == nil || b.HasHeardPeersSince != nil && b.HasHeardPeersSince(askedAt)
		if o, found = b.lookUp(attempt, service, knowsVersions); found || !sleep.For(ctx, reportCheckInterval) {
			return o, found
		}
	}
}

// lookUp returns where a stream began as far as this node knows. knowsVersions tells whether a version that it does not know
// cannot have begun the stream.
func (b *Book) lookUp(attempt, service string, knowsVersions bool) (Origin, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, l := range []*ledger{&b.own, &b.peers} {
		if o, found := l.use(attempt, now); found {
			return o, true
		}
	}
	versions := b.possibleVersions(service, now)
	if len(versions) != 1 || !knowsVersions || !b.isLoaded && b.Refresh != nil {
		return Origin{}, false
	}
	return Origin{Service: service, Version: versions[0]}, true
}

// ObserveVersions notes the versions of the listed servers by service: streams can begin there.
func (b *Book) ObserveVersions(versions map[string][]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for service, list := range versions {
		for _, version := range list {
			b.noteVersion(Origin{service, version}, now)
		}
	}
}

// noteVersion notes that streams can begin at a version. The caller holds the lock.
func (b *Book) noteVersion(o Origin, now boottime.Instant) {
	if b.versions[o.Service] == nil {
		b.versions[o.Service] = map[string]boottime.Instant{}
	}
	if _, known := b.versions[o.Service][o.Version]; known || len(b.versions[o.Service]) < maxVersions {
		b.versions[o.Service][o.Version] = now
	}
}

// possibleVersions returns the versions at which streams of a service may have begun that can still be taken up, sorted. The
// caller holds the lock.
func (b *Book) possibleVersions(service string, now boottime.Instant) []string {
	maps.DeleteFunc(b.versions[service], func(_ string, at boottime.Instant) bool { return now.Sub(at) > Retention })
	return slices.Sorted(maps.Keys(b.versions[service]))
}

// mixedServices returns the services whose streams may have begun at several versions. The caller holds the lock.
func (b *Book) mixedServices(now boottime.Instant) map[string]bool {
	var mixed map[string]bool
	for service := range b.versions {
		if len(b.possibleVersions(service, now)) > 1 {
			if mixed == nil {
				mixed = map[string]bool{}
			}
			mixed[service] = true
		}
	}
	return mixed
}

// ledger holds origins by attempt, a limited number for a limited time.
type ledger struct {
	entries map[string]*entry
	order   []string // attempts, in the order in which they were put or moved to the end
	limit   int
}

type entry struct {
	Origin
	usedAt boottime.Instant
}

func newLedger(limit int) ledger { return ledger{entries: map[string]*entry{}, limit: limit} }

// put adds an origin. The first one of an attempt holds.
func (l *ledger) put(attempt string, o Origin, now boottime.Instant) {
	if e, found := l.entries[attempt]; found {
		if now.Sub(e.usedAt) > Retention {
			*e = entry{Origin: o, usedAt: now}
		}
		return
	}
	l.prune(now)
	l.entries[attempt] = &entry{Origin: o, usedAt: now}
	l.order = append(l.order, attempt)
}

// use returns the origin of an attempt and counts as a use of it.
func (l *ledger) use(attempt string, now boottime.Instant) (Origin, bool) {
	e, found := l.entries[attempt]
	if !found || now.Sub(e.usedAt) > Retention {
		return Origin{}, false
	}
	e.usedAt = now
	return e.Origin, true
}

// prune makes room for one entry and drops old ones.
func (l *ledger) prune(now boottime.Instant) {
	for checked := len(l.order); checked > 0; checked-- {
		attempt := l.order[0]
		e := l.entries[attempt]
		switch {
		case len(l.order) >= l.limit || now.Sub(e.usedAt) > Retention:
			delete(l.entries, attempt)
			l.order = l.order[1:]
		case now.Sub(e.usedAt) < Retention/2:
			return // later ones are hardly older
		default:
			l.order = append(l.order[1:], attempt) // used again since it was put
		}
	}
}
