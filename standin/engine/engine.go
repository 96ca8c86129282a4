// Package engine is a stand-in for a model engine. It serves the engines' HTTP API with deterministic answers and
// simulated timing. Each step decodes one token for every run in the batch whose prefill is complete, computes one chunk
// of the oldest incomplete prefill, and takes DecodeBase + runs × DecodePerRun + chunk / PrefillTokensPerSec. The
// cloud stand-in runs the engines; the oracle and other test tools compute the expected answers with it.
package engine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/engine"
)

// Config holds the timing model and the limits of an engine. It is decoded from JSON under the names of the Go fields.
type Config struct {
	Host                  string        // name in the run records
	Slots                 int           // maximum number of runs in the batch
	MaxWaiting            int           // waiting runs while all slots are busy; more are refused with 503
	PrefillTokensPerSec   float64       // input tokens computed per second
	PrefillChunkTokens    int           // maximum number of input tokens computed in one step
	DecodeBase            time.Duration // duration of a decode step with an empty batch
	DecodePerRun          time.Duration // added to the step for each run in the batch
	CacheBlocks           int           // capacity of the prefix cache
	HoldAfterDisconnect   time.Duration // how long a run without a reader continues, and is kept after its end
	ExportTokensPerSecond float64       // shared by all exports
	ImportTokensPerSecond float64       // of each import
	ModelVersion          string
	IgnoreFencing         bool       // follow orders with an outdated fencing token
	WeightStore           string     // base URL; empty: versions load without a fetch
	Ledger                *RunLedger // nil: New creates one
}

// DefaultConfig returns the default timing model and limits, without a host name, model version or weight store.
func DefaultConfig() Config {
	return Config{
		Slots:                 16,
		MaxWaiting:            16,
		PrefillTokensPerSec:   8000,
		PrefillChunkTokens:    64,
		DecodeBase:            10 * time.Millisecond,
		DecodePerRun:          500 * time.Microsecond,
		CacheBlocks:           4096,
		HoldAfterDisconnect:   5 * time.Second,
		ExportTokensPerSecond: 4000,
		ImportTokensPerSecond: 16000,
	}
}

const (
	// CrashMarker in a prompt crashes the engine when the prefill of the run is complete.
	CrashMarker = "crash-the-engine"
	// idlePollInterval is how often an idle engine deletes expired runs.
	idlePollInterval = 100 * time.Millisecond
)

// run is one run request that the engine has accepted.
type run struct {
	request          engine.RunRequest
	promptHash       uint64     // determines the answer
	inputTokens      []string   // prompt and tokens of earlier attempts
	answerLength     int        // in tokens, including those of earlier attempts
	answerTokens     []string   // generated so far, including those of earlier attempts
	record           *RunRecord // nil: has not had a slot
	remainingPrefill int        // input tokens
	isPrefilled      bool
	hasEnded         bool          // complete or cancelled
	isCancelled      bool          // ends at the next step
	computedTokens   int           // input tokens that need prefill
	cachedTokens     int           // input tokens found in a cache
	readerCount      int           // open streams
	idleSince        time.Time     // last disconnect of a reader
	changed          chan struct{} // closed and replaced at each change
}

// Engine simulates one model engine. Its methods are safe for concurrent use.
type Engine struct {
	config         Config          // ModelVersion changes when a version is loaded
	mu             sync.Mutex      // guards the fields that change
	runs           map[string]*run // by run ID; ended runs until they expire
	waitingRuns    []*run          // wait for a slot
	batch          []*run          // have a slot
	cache          *prefixCache
	epoch          int64         // start time, Unix nanoseconds; distinguishes restarts
	wake           chan struct{} // receives a value when a run is queued
	crashed        chan struct{} // closed when the engine crashes
	hasCrashed     bool
	freezeGate     gate
	faults         Faults
	highestFence   int64 // highest fencing token of an order
	adapters       []string
	role           string
	loadingVersion string // empty: none
	notice         reclaimNotice
	lastReport     engine.LoadReport // sent again until it is LoadLagMillis old
	lastReportAt   time.Time
	exports        map[string]exportedKV // by handle
	exportMu       sync.Mutex            // makes exports share the export rate one after another
	stats          Stats
}

// reclaimNotice is the announcement that the engine's host will be taken away.
type reclaimNotice struct {
	receivedAt  time.Time
	leaveAt     time.Time // zero: no notice
	refusesRuns bool      // refuse new runs with 410
}

// Stats counts what an engine has done since its start.
type Stats struct {
	Runs            int64 `json:"runs"`
	RefusedRuns     int64 `json:"refused"`
	PrefilledTokens int64 `json:"prefilled_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	DecodedTokens   int64 `json:"decoded_tokens"`
	ExportedTokens  int64 `json:"exported_tokens"`
	ImportedTokens  int64 `json:"imported_tokens"`
	VersionLoads    int64 `json:"loads"`
	RefusedOrders   int64 `json:"refused_orders"`
	// The planned and the measured duration of all steps, in microseconds. If ActualStepMicros is higher, the host that
	// runs the stand-in is overloaded, and latencies measured in this test run mean nothing.
	PlannedStepMicros int64 `json:"planned_micros"`
	ActualStepMicros  int64 `json:"taken_micros"`
}

// New returns an engine and starts its step loop, which runs until the engine crashes.
func New(config Config) *Engine {
	if config.Ledger == nil {
		config.Ledger = &RunLedger{}
	}
	e := &Engine{
		config:  config,
		runs:    map[string]*run{},
		cache:   newPrefixCache(config.CacheBlocks),
		epoch:   time.Now().UnixNano(),
		wake:    make(chan struct{}, 1),
		crashed: make(chan struct{}),
		exports: map[string]exportedKV{},
	}
	go e.runSteps()
	return e
}

// Crash stops the engine as the crash of its process does: open streams break and requests get no response.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

// crashLocked stops the engine and completes the records of the runs in the batch. The caller holds the lock.
func (e *Engine) crashLocked() {
	if e.hasCrashed {
		return
	}
	e.hasCrashed = true
	close(e.crashed)
	for _, r := range e.batch {
		e.config.Ledger.update(func() { r.record.DecodedTokens = len(r.answerTokens) - len(r.request.Generated) })
	}
}

// Crashed returns a channel that is closed when the engine crashes.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

// notifyReaders wakes the streams that wait for a change of the run. The caller holds the engine's lock.
func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// runSteps plans a step, waits for its planned duration and applies it, repeatedly until the engine crashes. It stops while
// the engine is frozen.
func (e *Engine) runSteps() {
	for e.freezeGate.wait(e.crashed, nil) {
		next := e.planStep()
		if next.isIdle {
			e.waitForWork()
			continue
		}
		startTime := time.Now()
		timer := time.NewTimer(next.plannedDuration)
		select {
		case <-timer.C:
		case <-e.crashed:
			timer.Stop()
			return
		}
		next.actualDuration = time.Since(startTime)
		if !e.freezeGate.wait(e.crashed, nil) {
			return
		}
		e.applyStep(next)
	}
}

// waitForWork waits up to idlePollInterval for a new run and then deletes expired runs.
func (e *Engine) waitForWork() {
	timer := time.NewTimer(idlePollInterval)
	defer timer.Stop()
	select {
	case <-e.wake:
	case <-timer.C:
	case <-e.crashed:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deleteExpiredRuns()
}

// stepPlan describes one step.
type stepPlan struct {
	isIdle          bool // the batch is empty
	plannedDuration time.Duration
	prefillRun      *run          // nil: no prefill
	chunkTokens     int           // input tokens to compute
	actualDuration  time.Duration // measured
}

// planStep ends cancelled runs, admits waiting runs to free slots and returns the next step.
func (e *Engine) planStep() stepPlan {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endCancelledRuns()
	for len(e.waitingRuns) > 0 && len(e.batch) < e.config.Slots {
		e.admit()
	}
	if len(e.batch) == 0 {
		return stepPlan{isIdle: true}
	}
	next := stepPlan{plannedDuration: e.decodeStepDuration()}
	for _, r := range e.batch {
		if !r.isPrefilled {
			next.prefillRun = r
			next.chunkTokens = min(r.remainingPrefill, e.config.PrefillChunkTokens)
			next.plannedDuration += time.Duration(float64(next.chunkTokens) / e.config.PrefillTokensPerSec * float64(time.Second))
			break
		}
	}
	return next
}

// decodeStepDuration returns the duration of a step without prefill. The caller holds the lock.
func (e *Engine) decodeStepDuration() time.Duration {
	duration := e.config.DecodeBase + time.Duration(len(e.batch))*e.config.DecodePerRun
	if e.faults.isSlowVersion(e.config.ModelVersion) {
		duration *= slowVersionFactor
	}
	return duration
}

// admit moves the waiting run with the highest priority, the first of several, into the batch and looks up its input in the
// prefix cache and in the imported KV caches. The caller holds the lock.
func (e *Engine) admit() {
	bestIndex := 0
	for i, r := range e.waitingRuns {
		if r.request.Priority > e.waitingRuns[bestIndex].request.Priority {
			bestIndex = i
		}
	}
	r := e.waitingRuns[bestIndex]
	e.waitingRuns = append(e.waitingRuns[:bestIndex], e.waitingRuns[bestIndex+1:]...)
	e.batch = append(e.batch, r)
	cached := min(e.cache.matchPrefix(engine.PrefixBlocks(r.inputTokens))*engine.TokensPerBlock, len(r.inputTokens))
	if r.request.KVHandle != "" {
		cached = max(cached, min(e.cache.consumeImport(r.request.KVHandle, r.request.Prompt), len(r.inputTokens)))
	}
	r.cachedTokens = cached
	r.computedTokens = len(r.inputTokens) - cached
	r.remainingPrefill = r.computedTokens
	e.stats.CachedTokens += int64(cached)
	r.record = e.config.Ledger.add(RunRecord{
		PromptHash: PromptHash(r.request.Prompt), RunID: r.request.RunID, AttemptID: r.request.AttemptID, Host: e.config.Host,
		GeneratedTokens: len(r.request.Generated), ComputedTokens: r.computedTokens, CachedTokens: r.cachedTokens,
	})
}

// applyStep adds one token to each run whose prefill is complete, advances the prefill and ends complete runs.
func (e *Engine) applyStep(step stepPlan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasCrashed {
		return
	}
	e.stats.PlannedStepMicros += step.plannedDuration.Microseconds()
	e.stats.ActualStepMicros += step.actualDuration.Microseconds()
	for _, r := range e.batch {
		if r.isPrefilled && !r.isCancelled && len(r.answerTokens) < r.answerLength {
			r.answerTokens = append(r.answerTokens, token(r.promptHash, len(r.answerTokens)))
			e.stats.DecodedTokens++
			r.notifyReaders()
		}
	}
	if step.prefillRun != nil {
		step.prefillRun.remainingPrefill -= step.chunkTokens
		e.stats.PrefilledTokens += int64(step.chunkTokens)
		if step.prefillRun.remainingPrefill <= 0 {
			e.finishPrefill(step.prefillRun)
		}
	}
	kept := e.batch[:0]
	for _, r := range e.batch {
		if r.isPrefilled && len(r.answerTokens) >= r.answerLength {
			e.endRun(r)
		} else {
			kept = append(kept, r)
		}
	}
	clear(e.batch[len(kept):])
	e.batch = kept
	e.deleteExpiredRuns()
}

// finishPrefill marks the prefill of a run as complete and stores its input in the prefix cache. It crashes the engine if
// CrashMarker or Faults.CrashVersions demands it. The caller holds the lock.
func (e *Engine) finishPrefill(r *run) {
	e.cache.store(engine.PrefixBlocks(r.inputTokens))
	r.isPrefilled = true
	r.notifyReaders()
	if strings.Contains(r.request.Prompt, CrashMarker) || slices.Contains(e.faults.CrashVersions, e.config.ModelVersion) {
		e.crashLocked()
	}
}

// endRun ends a run whose answer is complete or that was cancelled, and stores its tokens in the prefix cache if its prefill
// is complete. The caller holds the lock.
func (e *Engine) endRun(r *run) {
	r.hasEnded = true
	r.notifyReaders()
	if r.record == nil {
		return
	}
	decoded := len(r.answerTokens) - len(r.request.Generated)
	e.config.Ledger.update(func() { r.record.DecodedTokens = decoded })
	if r.isPrefilled {
		e.cache.store(engine.PrefixBlocks(append(engine.PromptTokens(r.request.Prompt), r.answerTokens...)))
	}
}

// endCancelledRuns ends cancelled runs, both waiting and in the batch. Runs that have had no reader for HoldAfterDisconnect
// are cancelled first. The caller holds the lock.
func (e *Engine) endCancelledRuns() {
	for _, list := range []*[]*run{&e.waitingRuns, &e.batch} {
		kept := (*list)[:0]
		for _, r := range *list {
			if r.readerCount == 0 && time.Since(r.idleSince) > e.config.HoldAfterDisconnect {
				r.isCancelled = true
			}
			if r.isCancelled {
				e.endRun(r)
			} else {
				kept = append(kept, r)
			}
		}
		clear((*list)[len(kept):])
		*list = kept
	}
}

// deleteExpiredRuns deletes ended runs that have had no reader for HoldAfterDisconnect. The caller holds the lock.
func (e *Engine) deleteExpiredRuns() {
	for id, r := range e.runs {
		if r.hasEnded && r.readerCount == 0 && time.Since(r.idleSince) > e.config.HoldAfterDisconnect {
			delete(e.runs, id)
		}
	}
}

func newRun(request engine.RunRequest) *run {
	return &run{
		request:      request,
		promptHash:   xxhash.Sum64String(request.Prompt),
		inputTokens:  append(engine.PromptTokens(request.Prompt), request.Generated...),
		answerLength: AnswerLength(request.Prompt, request.MaxTokens),
		readerCount:  1,
		answerTokens: append([]string(nil), request.Generated...),
		changed:      make(chan struct{}),
	}
}

// RunningCount returns the number of runs that have a slot.
func (e *Engine) RunningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch)
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
