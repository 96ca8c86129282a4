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

// Keys and key prefixes of records, by kind. Other packages store their records under one of them.
const (
	RecordNode       = "node/"
	RecordHostNotice = "host/"
	RecordRevision   = "revision" // a single key, not a prefix; its version is the newest known configuration revision
	RecordQuarantine = "quarantine/"
	RecordCrashes    = "crashes/" // followed by the node that reports crashes of backend servers
	RecordRollout    = "rollout/" // followed by the deployment; the value is the state of its rollout
	RecordEpoch      = "epoch"    // a single key, not a prefix; its version is the latest known epoch of the object API
)

const (
	// maxRecords bounds memory and the size of a full exchange. 24,000 accelerators on 12,000 hosts have at most 12,000
	// notices at once, in addition to the records of 370 nodes.
	maxRecords = 20_000
	// maxRecordBytes is the maximum size of a record's encoded value.
	maxRecordBytes = 4 << 10
	// tombstoneTTL is how long a deleted record is not accepted again at the same or a lower version. Nodes delete an
	// expired record within seconds of each other; without tombstones the last node to do so would restore it on all others.
	tombstoneTTL = 10 * time.Minute
)

// recordTTLs holds, by key prefix, how long a record is kept after its last change. Other records never expire. The times
// are longer than the records are valid: a host with a notice is gone within minutes, a quarantine is lifted after 10
// minutes.
var recordTTLs = map[string]time.Duration{
	RecordHostNotice: 2 * time.Hour,
	RecordQuarantine: 20 * time.Minute,
	RecordCrashes:    20 * time.Minute,
}

// entry is a stored record, or the tombstone of one, with its local history.
type entry struct {
	*peerpb.Record
	sequence  int64     // sequence number of the change on this node
	from      string    // node that sent it, empty if it was put on this node
	updatedAt time.Time // when it was stored, or deleted in case of a tombstone
}

// Records is a set of versioned records that is replicated to all nodes. Of two records with the same key the higher version
// wins. It is safe for concurrent use.
type Records struct {
	mu         sync.Mutex
	now        func() time.Time
	entries    map[string]entry
	tombstones map[string]entry
	sequence   int64  // number of the latest change
	hash       uint64 // exclusive or of the hashes of all records
	watchers   []watcher
	onLocalPut func() // called after a record has been put on this node; may be nil
}

type watcher struct {
	prefix string
	notify func(*peerpb.Record)
}

// NewRecords returns an empty set of records.
func NewRecords() *Records {
	return &Records{now: time.Now, entries: map[string]entry{}, tombstones: map[string]entry{}}
}

// recordHash hashes key and version but not the value: if two nodes have put different values with the same version, either
// value is acceptable.
func recordHash(r *peerpb.Record) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(r.Version))
	_, _ = digest.WriteString(r.Key)
	return digest.Sum64()
}

// Put stores a value as JSON under a key and replicates it, unless the key is known with the same or a higher version. It
// returns an error if the value cannot be encoded or its encoding is larger than 4 KiB.
func (r *Records) Put(key string, version int64, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode record %q", key)
	}
	if len(raw) > maxRecordBytes {
		return errors.Errorf("put record %q: value of %d bytes exceeds the limit of %d bytes", key, len(raw), maxRecordBytes)
	}
	r.Merge(&peerpb.Record{Key: key, Version: version, Value: raw})
	return nil
}

// Merge stores a record if it is newer than the known one, notifies the watchers, and reports whether it did. It reports
// false too if the set is full and no record can be evicted.
func (r *Records) Merge(record *peerpb.Record) bool { return r.mergeFrom(record, "") }

// mergeFrom is Merge for a record that another node sent; an empty name stands for this node.
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

// setOnLocalPut sets the function that is called after a record has been put on this node.
func (r *Records) setOnLocalPut(callback func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onLocalPut = callback
}

// isNewer reports whether a record is newer than the stored one or its tombstone. The caller holds the lock.
func (r *Records) isNewer(record *peerpb.Record) bool {
	if current, found := r.entries[record.Key]; found {
		return record.Version > current.Version
	}
	tombstone, found := r.tombstones[record.Key]
	return !found || record.Version > tombstone.Version
}

// evictOldest deletes the least recently updated of the records that have a TTL, and reports false if there is none. The
// caller holds the lock.
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

// ttlOf returns the TTL of the record with a key, or 0 if it never expires.
func ttlOf(key string) time.Duration {
	for prefix, ttl := range recordTTLs {
		if strings.HasPrefix(key, prefix) {
			return ttl
		}
	}
	return 0
}

// removeLocked deletes a record and leaves a tombstone. The caller holds the lock.
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

// remove deletes a record and leaves a tombstone.
func (r *Records) remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(key)
}

// removeTombstone deletes the tombstone of a key, so that its record is accepted again at any version.
func (r *Records) removeTombstone(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tombstones, key)
}

// expire deletes the records and tombstones whose TTL has passed.
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

// Watch calls notify for each record under a prefix that is stored from now on. notify must not block.
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

// changesAfter returns the records that changed after a sequence number, without those that the excluded node sent, and the
// current sequence number and hash. An empty name excludes none.
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

// sequenceAndHash returns the sequence number of the latest change and the hash of all records.
func (r *Records) sequenceAndHash() (sequence int64, hash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence, r.hash
}
