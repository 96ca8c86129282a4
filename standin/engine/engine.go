// Package engine is a stand-in for a model engine with a stated timing model. Each step gives every run of the batch
// whose prefill has ended one token, computes one chunk of the oldest unfinished prefill, and takes
// DecodeBase + runs × DecodePerRun + chunk / PrefillTokensPerSec. Only cmd/standin, the cloud stand-in and tests use it.
package engine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/engine"
)

// Config is the timing model and the limits of an engine.
type Config struct {
	Host                  string        // name in the run ledger
	Slots                 int           // runs in the batch
	MaxWaiting            int           // waiting runs; more are refused with 503
	PrefillTokensPerSec   float64       // prompt tokens computed per second
	PrefillChunkTokens    int           // prompt tokens computed in one step
	DecodeBase            time.Duration // decode step with an empty batch
	DecodePerRun          time.Duration // added for each run in the batch
	CacheBlocks           int           // blocks held by the prefix cache
	HoldAfterDisconnect   time.Duration // a run goes on and a finished run is held this long without a reader
	ExportTokensPerSecond float64       // shared by all exports
	ImportTokensPerSecond float64
	ModelVersion          string
	IgnoreFencing         bool
	WeightStore           string // base URL; empty: weights are there at once
	Ledger                *RunLedger
}

// DefaultConfig returns a configuration with round figures.
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
	// CrashMarker in a prompt crashes the engine that runs it.
	CrashMarker = "crash-the-engine"
	// idlePollInterval bounds how late an idle engine forgets held runs.
	idlePollInterval = 100 * time.Millisecond
)

// run is one request in the engine.
type run struct {
	request          engine.RunRequest
	promptHash       uint64   // hash of the prompt
	inputTokens      []string // tokens to prefill: prompt and earlier tokens
	answerLength     int      // of the whole answer
	answerTokens     []string // of the whole answer
	record           *RunRecord
	remainingPrefill int // tokens still to prefill
	isPrefilled      bool
	hasEnded         bool
	isCancelled      bool
	computedTokens   int
	cachedTokens     int
	readerCount      int
	idleSince        time.Time
	changed          chan struct{}
}

// Engine is one model engine.
type Engine struct {
	config         Config
	mu             sync.Mutex
	runs           map[string]*run
	waitingRuns    []*run // waiting for a slot
	batch          []*run
	cache          *prefixCache
	epoch          int64
	wake           chan struct{}
	crashed        chan struct{}
	hasCrashed     bool
	freezeGate     gate
	faults         Faults
	highestFence   int64
	adapters       []string
	role           string
	loadingVersion string
	notice         reclaimNotice
	lastReport     engine.LoadReport // as shown last, for LoadLagMillis
	lastReportAt   time.Time
	exports        map[string]exportedKV
	exportMu       sync.Mutex // held while an export uses the export rate
	stats          Stats
}

type reclaimNotice struct {
	receivedAt  time.Time
	leaveAt     time.Time // zero: not leaving
	refusesRuns bool      // refuse new runs with 410
}

// Stats count what an engine did.
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
	// The time that steps should take and took. A higher ActualStepMicros means that the machine is too busy for the run to
	// say something about latency.
	PlannedStepMicros int64 `json:"planned_micros"`
	ActualStepMicros  int64 `json:"taken_micros"`
}

// New returns an engine and starts its decode loop, which ends with Crash.
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

// Crash ends the engine: open streams break and nothing is answered any more.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

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

// Crashed is closed when the engine has crashed.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// runSteps paces the steps.
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

// waitForWork waits for a run and forgets held ones meanwhile.
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

// stepPlan is what one step does.
type stepPlan struct {
	isIdle          bool // there is nothing to do
	plannedDuration time.Duration
	prefillRun      *run // nil: no prefill
	chunkTokens     int  // tokens of the prefill
	actualDuration  time.Duration
}

// planStep admits waiting runs and returns the next step.
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

// decodeStepDuration returns the time of a step without prefill. The caller holds the lock.
func (e *Engine) decodeStepDuration() time.Duration {
	duration := e.config.DecodeBase + time.Duration(len(e.batch))*e.config.DecodePerRun
	if e.faults.isSlowVersion(e.config.ModelVersion) {
		duration *= slowVersionFactor
	}
	return duration
}

// admit moves the waiting run with the highest priority into the batch. The caller holds the lock.
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

// applyStep gives each run whose prefill has ended one token and advances the prefill.
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

// finishPrefill ends the prefill of a run. The caller holds the lock.
func (e *Engine) finishPrefill(r *run) {
	e.cache.store(engine.PrefixBlocks(r.inputTokens))
	r.isPrefilled = true
	r.notifyReaders()
	if strings.Contains(r.request.Prompt, CrashMarker) || slices.Contains(e.faults.CrashVersions, e.config.ModelVersion) {
		e.crashLocked()
	}
}

// endRun ends a run that has its whole answer or was cancelled. The caller holds the lock.
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

// endCancelledRuns ends cancelled and abandoned runs, waiting ones too. The caller holds the lock.
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

// deleteExpiredRuns forgets ended runs that nobody has read for a while. The caller holds the lock.
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

// RunningCount returns the number of runs in the batch.
func (e *Engine) RunningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch)
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
