package membership

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// Record key prefixes. Other packages put their records under one of them.
const (
	RecordNode       = "node/"
	RecordHostNotice = "host/"
	RecordRevision   = "revision" // one record: number of the newest known revision
	RecordQuarantine = "quarantine/"
)

// Records holds versioned facts that every node should know. The higher version of a key wins.
type Records struct {
	mu       sync.Mutex
	records  map[string]*peerpb.Record
	watchers []watcher
}

type watcher struct {
	prefix string
	notify func(*peerpb.Record)
}

// NewRecords returns an empty set of records.
func NewRecords() *Records {
	return &Records{records: map[string]*peerpb.Record{}}
}

// Put stores a value under a key and spreads it, unless a record with the same or a higher version is known.
func (r *Records) Put(key string, version int64, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode record %q", key)
	}
	r.Merge(&peerpb.Record{Key: key, Version: version, Value: raw})
	return nil
}

// Merge takes a record if it is newer than the known one, tells the watchers, and reports whether it did.
func (r *Records) Merge(record *peerpb.Record) bool {
	r.mu.Lock()
	known, found := r.records[record.Key]
	if found && known.Version >= record.Version {
		r.mu.Unlock()
		return false
	}
	r.records[record.Key] = record
	watchers := r.watchers
	r.mu.Unlock()
	for _, w := range watchers {
		if strings.HasPrefix(record.Key, w.prefix) {
			w.notify(record)
		}
	}
	return true
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
	for key, record := range r.records {
		if strings.HasPrefix(key, prefix) {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}
