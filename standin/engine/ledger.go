package engine

import (
	"sync"
	"time"
)

// RunRecord says what one engine did for one attempt that got a slot. A refused or merely queued attempt has none.
type RunRecord struct {
	PromptHash      string `json:"prompt"` // PromptHash
	RunID           string `json:"run"`
	AttemptID       string `json:"attempt"`
	Host            string `json:"host"`
	GeneratedTokens int    `json:"generated"` // tokens of earlier attempts that came with the order
	ComputedTokens  int    `json:"computed"`  // prefilled tokens
	CachedTokens    int    `json:"cached"`
	DecodedTokens   int    `json:"decoded"`
}

// RunLedger holds the records of all engines that share it. It outlives crashed engines.
type RunLedger struct {
	mu       sync.Mutex
	records  []*RunRecord
	lateRuns []LateRun
}

// LateRunThreshold is how long after a notice new work may still reach a leaving backend server (invariant H5).
const LateRunThreshold = 3 * time.Second

// LateRun is a new run that reached an engine more than LateRunThreshold after its notice, taken or refused.
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

func (l *RunLedger) add(r RunRecord) *RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, &r)
	return &r
}

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
