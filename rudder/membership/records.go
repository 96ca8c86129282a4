package membership

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// Record key prefixes. Other packages put their records under one of them.
const (
	RecordNode       = "node/"
	RecordHostNotice = "host/"
	RecordRevision   = "revision" // one record: number of the newest known revision
	RecordQuarantine = "quarantine/"
	RecordRollout    = "rollout/" // by deployment: the rollout's state
)

const (
	// maxRecords bounds memory and the size of a full exchange: 24,000 accelerators on 12,000 hosts give at most
	// 12,000 notices at once, besides 370 nodes.
	maxRecords = 20_000
	// maxRecordBytes is the largest value of one record.
	maxRecordBytes = 4 << 10
	// tombstoneTTL is how long a record that was forgotten is not taken back at the same version. Nodes forget a record
	// within seconds of each other, so that without it the last node to forget would bring the record back everywhere.
	tombstoneTTL = 10 * time.Minute
)

// recordTTLs is how long records stay after the last change, by key prefix. Others stay for good. The lifetimes are
// longer than those of the facts: a host with a notice is gone within minutes, a quarantine is lifted after 10 minutes.
var recordTTLs = map[string]time.Duration{
	RecordHostNotice: 2 * time.Hour,
	RecordQuarantine: 20 * time.Minute,
}

// entry is a record with what this node knows about its way.
type entry struct {
	*peerpb.Record
	sequence  int64     // position in this node's order of changes
	from      string    // node that sent it, empty if it was put here
	updatedAt time.Time // when it was taken
}

// Records holds versioned facts that every node should know. The higher version of a key wins.
type Records struct {
	mu         sync.Mutex
	now        func() time.Time
	entries    map[string]entry
	tombstones map[string]entry
	sequence   int64
	hash       uint64 // exclusive or over all records
	watchers   []watcher
	onLocalPut func() // called after a record was put on this node; may be nil
}

type watcher struct {
	prefix string
	notify func(*peerpb.Record)
}

// NewRecords returns an empty set of records.
func NewRecords() *Records {
	return &Records{now: time.Now, entries: map[string]entry{}, tombstones: map[string]entry{}}
}

// recordHash covers key and version: two nodes may have put different values of the same version, of which either will do.
func recordHash(r *peerpb.Record) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(r.Version))
	_, _ = digest.WriteString(r.Key)
	return digest.Sum64()
}

// Put stores a value under a key and spreads it, unless a record with the same or a higher version is known. It fails if
// the value is larger than 4 KiB.
func (r *Records) Put(key string, version int64, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode record %q", key)
	}
	if len(raw) > maxRecordBytes {
		return errors.Errorf("record %q has %d bytes, allowed are %d", key, len(raw), maxRecordBytes)
	}
	r.Merge(&peerpb.Record{Key: key, Version: version, Value: raw})
	return nil
}

// Merge takes a record if it is newer than the known one, tells the watchers, and reports whether it did.
func (r *Records) Merge(record *peerpb.Record) bool { return r.mergeFrom(record, "") }

// mergeFrom is Merge for a record that a node sent.
func (r *Records) mergeFrom(record *peerpb.Record, from string) bool {
	r.mu.Lock()
	if !r.isNewer(record) || (r.entries[record.Key].Record == nil && len(r.entries) >= maxRecords && !r.evictOldest()) {
		r.mu.Unlock()
		return false
	}
	if current, found := r.entries[record.Key]; found {
		r.hash ^= recordHash(current.Record)
	}
	r.sequence++
	r.entries[record.Key] = entry{Record: record, sequence: r.sequence, from: from, updatedAt: r.now()}
	r.hash ^= recordHash(record)
	delete(r.tombstones, record.Key)
	watchers, onLocalPut := r.watchers, r.onLocalPut
	r.mu.Unlock()
	for _, w := range watchers {
		if strings.HasPrefix(record.Key, w.prefix) {
			w.notify(record)
		}
	}
	if from == "" && onLocalPut != nil {
		onLocalPut()
	}
	return true
}

// setOnLocalPut sets what is called after a record was put on this node.
func (r *Records) setOnLocalPut(callback func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onLocalPut = callback
}

// isNewer reports whether a record is newer than what is known. The caller holds the lock.
func (r *Records) isNewer(record *peerpb.Record) bool {
	if current, found := r.entries[record.Key]; found {
		return record.Version > current.Version
	}
	tombstone, found := r.tombstones[record.Key]
	return !found || record.Version > tombstone.Version
}

// evictOldest makes room by forgetting the record that expires by itself and was taken longest ago; it reports false if
// there is none. The caller holds the lock.
func (r *Records) evictOldest() bool {
	oldest := ""
	for key, e := range r.entries {
		if ttlOf(key) > 0 && (oldest == "" || e.updatedAt.Before(r.entries[oldest].updatedAt)) {
			oldest = key
		}
	}
	if oldest == "" {
		return false
	}
	r.removeLocked(oldest)
	return true
}

func ttlOf(key string) time.Duration {
	for prefix, ttl := range recordTTLs {
		if strings.HasPrefix(key, prefix) {
			return ttl
		}
	}
	return 0
}

// removeLocked forgets a record. The caller holds the lock.
func (r *Records) removeLocked(key string) {
	e, found := r.entries[key]
	if !found {
		return
	}
	r.hash ^= recordHash(e.Record)
	delete(r.entries, key)
	e.updatedAt = r.now()
	r.tombstones[key] = e
}

// remove drops a record that is not needed any more.
func (r *Records) remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(key)
}

// removeTombstone lifts the tombstone of a key, because its subject has shown that it exists.
func (r *Records) removeTombstone(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tombstones, key)
}

// expire forgets records and tombstones whose time is over.
func (r *Records) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for key, e := range r.entries {
		if ttl := ttlOf(key); ttl > 0 && now.Sub(e.updatedAt) > ttl {
			r.removeLocked(key)
		}
	}
	for key, e := range r.tombstones {
		if now.Sub(e.updatedAt) > tombstoneTTL {
			delete(r.tombstones, key)
		}
	}
}

// Watch calls notify for each new record under a prefix. notify must not block.
func (r *Records) Watch(prefix string, notify func(*peerpb.Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers[:len(r.watchers):len(r.watchers)], watcher{prefix, notify})
}

// List returns the records under a prefix, sorted by key.
func (r *Records) List(prefix string) []*peerpb.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []*peerpb.Record
	for key, e := range r.entries {
		if strings.HasPrefix(key, prefix) {
			records = append(records, e.Record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

// changesAfter returns the records that were taken after a position and did not come from the node itself, with the position
// and hash that they lead to.
func (r *Records) changesAfter(after int64, exclude string) (records []*peerpb.Record, sequence int64, hash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.sequence {
		for _, e := range r.entries {
			if e.sequence > after && (exclude == "" || e.from != exclude) {
				records = append(records, e.Record)
			}
		}
		sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	}
	return records, r.sequence, r.hash
}

// sequenceAndHash returns the present sequenceAndHash and hash.
func (r *Records) sequenceAndHash() (sequence int64, hash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence, r.hash
}
