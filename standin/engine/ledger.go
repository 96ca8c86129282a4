package engine

import (
	"sync"
	"time"
)

// RunRecord is what one engine did for one attempt that got a slot. An attempt that was refused or only waited has none.
type RunRecord struct {
	PromptHash      string `json:"prompt"`
	RunID           string `json:"run"`
	AttemptID       string `json:"attempt"`
	Host            string `json:"host"`
	GeneratedTokens int    `json:"generated"` // of earlier attempts, sent with the request
	ComputedTokens  int    `json:"computed"`  // input tokens that needed prefill
	CachedTokens    int    `json:"cached"`    // input tokens found in a cache
	DecodedTokens   int    `json:"decoded"`   // set when the run ends or the engine crashes
}

// RunLedger collects the records of all engines that share it and keeps them when an engine crashes. It is safe for
// concurrent use.
type RunLedger struct {
	mu       sync.Mutex
	records  []*RunRecord
	lateRuns []LateRun
}

// LateRunThreshold is how long after a reclaim notice new work may still reach a backend server (invariant H5).
const LateRunThreshold = 3 * time.Second

// LateRun is a request for a new run that reached an engine more than LateRunThreshold after its reclaim notice, whether it
// was accepted or refused.
type LateRun struct {
	Host              string `json:"host"`
	RunID             string `json:"run"`
	AfterNoticeMillis int64  `json:"after_ms"`
}

func (l *RunLedger) addLateRun(late LateRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateRuns = append(l.lateRuns, late)
}

// LateRuns returns a copy of all late runs.
func (l *RunLedger) LateRuns() []LateRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LateRun{}, l.lateRuns...)
}

// add appends a record. The returned record may be changed only in update.
func (l *RunLedger) add(r RunRecord) *RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, &r)
	return &r
}

// update calls apply with the lock held.
func (l *RunLedger) update(apply func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply()
}

// Records returns a copy of all records.
func (l *RunLedger) Records() []RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]RunRecord, len(l.records))
	for i, r := range l.records {
		records[i] = *r
	}
	return records
}
