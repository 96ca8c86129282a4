package engine

import (
	"sync"
	"time"
)

// RunRecord says what one engine did for one attempt that got a slot. A refused or merely queued attempt has none.
type RunRecord struct {
	Prompt    string `json:"prompt"` // PromptHash
	Run       string `json:"run"`
	Attempt   string `json:"attempt"`
	Host      string `json:"host"`
	Generated int    `json:"generated"` // tokens of earlier attempts that came with the order
	Computed  int    `json:"computed"`  // prefilled tokens
	Cached    int    `json:"cached"`
	Decoded   int    `json:"decoded"`
}

// RunLedger holds the records of all engines that share it. It outlives crashed engines.
type RunLedger struct {
	mu      sync.Mutex
	records []*RunRecord
	late    []LateOffer
}

// LateAfter is how long after a notice new work may still reach a leaving backend server (invariant H5).
const LateAfter = 3 * time.Second

// LateOffer is a new run that reached an engine more than LateAfter after its notice, taken or refused.
type LateOffer struct {
	Host        string `json:"host"`
	Run         string `json:"run"`
	AfterMillis int64  `json:"after_ms"`
}

func (l *RunLedger) addLate(o LateOffer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = append(l.late, o)
}

// LateOffers returns a copy of all late offers.
func (l *RunLedger) LateOffers() []LateOffer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LateOffer{}, l.late...)
}

func (l *RunLedger) add(r RunRecord) *RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, &r)
	return &r
}

func (l *RunLedger) change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
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
