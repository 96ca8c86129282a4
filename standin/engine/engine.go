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
	// idlePause bounds how late an idle engine forgets held runs.
	idlePause = 100 * time.Millisecond
)

// run is one request in the engine.
type run struct {
	order     engine.RunRequest
	prompt    uint64   // hash of the prompt
	input     []string // tokens to prefill: prompt and earlier tokens
	length    int      // of the whole answer
	tokens    []string // of the whole answer
	record    *RunRecord
	remaining int // tokens still to prefill
	started   bool
	ended     bool
	cancelled bool
	computed  int
	cached    int
	readers   int
	idleFrom  time.Time
	changed   chan struct{}
}

// Engine is one model engine.
type Engine struct {
	config   Config
	mu       sync.Mutex
	runs     map[string]*run
	queue    []*run // waiting for a slot
	batch    []*run
	cache    *prefixCache
	epoch    int64
	wake     chan struct{}
	crashed  chan struct{}
	dead     bool
	gate     gate
	faults   Faults
	fence    int64
	adapters []string
	role     string
	loading  string
	leaving  leaving
	report   engine.LoadReport // as shown last, for LoadLagMillis
	reportAt time.Time
	exports  map[string]exported
	exportMu sync.Mutex // held while an export uses the export rate
	stats    Stats
}

type leaving struct {
	noticeAt time.Time
	at       time.Time // zero: not leaving
	refuse   bool      // refuse new runs with 410
}

// Stats count what an engine did.
type Stats struct {
	Runs            int64 `json:"runs"`
	Refused         int64 `json:"refused"`
	PrefilledTokens int64 `json:"prefilled_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	DecodedTokens   int64 `json:"decoded_tokens"`
	ExportedTokens  int64 `json:"exported_tokens"`
	ImportedTokens  int64 `json:"imported_tokens"`
	Loads           int64 `json:"loads"`
	RefusedOrders   int64 `json:"refused_orders"`
	// The time that steps should take and took. A higher TakenMicros means that the machine is too busy for the run to
	// say something about latency.
	PlannedMicros int64 `json:"planned_micros"`
	TakenMicros   int64 `json:"taken_micros"`
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
		exports: map[string]exported{},
	}
	go e.loop()
	return e
}

// Crash ends the engine: open streams break and nothing is answered any more.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	if e.dead {
		return
	}
	e.dead = true
	close(e.crashed)
	for _, r := range e.batch {
		e.config.Ledger.change(func() { r.record.Decoded = len(r.tokens) - len(r.order.Generated) })
	}
}

// Crashed is closed when the engine has crashed.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

func (r *run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// loop paces the steps.
func (e *Engine) loop() {
	for e.gate.wait(e.crashed, nil) {
		next := e.plan()
		if next.idle {
			e.rest()
			continue
		}
		begun := time.Now()
		timer := time.NewTimer(next.duration)
		select {
		case <-timer.C:
		case <-e.crashed:
			timer.Stop()
			return
		}
		next.took = time.Since(begun)
		if !e.gate.wait(e.crashed, nil) {
			return
		}
		e.step(next)
	}
}

// rest waits for a run and forgets held ones meanwhile.
func (e *Engine) rest() {
	timer := time.NewTimer(idlePause)
	defer timer.Stop()
	select {
	case <-e.wake:
	case <-timer.C:
	case <-e.crashed:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetHeld()
}

// work is what one step does.
type work struct {
	idle     bool // there is nothing to do
	duration time.Duration
	prefill  *run // nil: no prefill
	chunk    int  // tokens of the prefill
	took     time.Duration
}

// plan admits waiting runs and returns the next step.
func (e *Engine) plan() work {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelled()
	for len(e.queue) > 0 && len(e.batch) < e.config.Slots {
		e.admit()
	}
	if len(e.batch) == 0 {
		return work{idle: true}
	}
	next := work{duration: e.decodeTime()}
	for _, r := range e.batch {
		if !r.started {
			next.prefill = r
			next.chunk = min(r.remaining, e.config.PrefillChunkTokens)
			next.duration += time.Duration(float64(next.chunk) / e.config.PrefillTokensPerSec * float64(time.Second))
			break
		}
	}
	return next
}

// decodeTime returns the time of a step without prefill. The caller holds the lock.
func (e *Engine) decodeTime() time.Duration {
	duration := e.config.DecodeBase + time.Duration(len(e.batch))*e.config.DecodePerRun
	if e.faults.slows(e.config.ModelVersion) {
		duration *= slowFactor
	}
	return duration
}

// admit moves the waiting run with the highest priority into the batch. The caller holds the lock.
func (e *Engine) admit() {
	best := 0
	for i, r := range e.queue {
		if r.order.Priority > e.queue[best].order.Priority {
			best = i
		}
	}
	r := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	e.batch = append(e.batch, r)
	cached := min(e.cache.match(engine.PrefixBlocks(r.input))*engine.TokensPerBlock, len(r.input))
	if r.order.KVHandle != "" {
		cached = max(cached, min(e.cache.takeImport(r.order.KVHandle, r.order.Prompt), len(r.input)))
	}
	r.cached = cached
	r.computed = len(r.input) - cached
	r.remaining = r.computed
	e.stats.CachedTokens += int64(cached)
	r.record = e.config.Ledger.add(RunRecord{
		Prompt: PromptHash(r.order.Prompt), Run: r.order.RunID, Attempt: r.order.AttemptID, Host: e.config.Host,
		Generated: len(r.order.Generated), Computed: r.computed, Cached: r.cached,
	})
}

// step gives each run whose prefill has ended one token and advances the prefill.
func (e *Engine) step(w work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	e.stats.PlannedMicros += w.duration.Microseconds()
	e.stats.TakenMicros += w.took.Microseconds()
	for _, r := range e.batch {
		if r.started && !r.cancelled && len(r.tokens) < r.length {
			r.tokens = append(r.tokens, token(r.prompt, len(r.tokens)))
			e.stats.DecodedTokens++
			r.signal()
		}
	}
	if w.prefill != nil {
		w.prefill.remaining -= w.chunk
		e.stats.PrefilledTokens += int64(w.chunk)
		if w.prefill.remaining <= 0 {
			e.start(w.prefill)
		}
	}
	kept := e.batch[:0]
	for _, r := range e.batch {
		if r.started && len(r.tokens) >= r.length {
			e.end(r)
		} else {
			kept = append(kept, r)
		}
	}
	clear(e.batch[len(kept):])
	e.batch = kept
	e.forgetHeld()
}

// start ends the prefill of a run. The caller holds the lock.
func (e *Engine) start(r *run) {
	e.cache.store(engine.PrefixBlocks(r.input))
	r.started = true
	r.signal()
	if strings.Contains(r.order.Prompt, CrashMarker) || slices.Contains(e.faults.CrashVersions, e.config.ModelVersion) {
		e.crash()
	}
}

// end ends a run that has its whole answer or was cancelled. The caller holds the lock.
func (e *Engine) end(r *run) {
	r.ended = true
	r.signal()
	if r.record == nil {
		return
	}
	decoded := len(r.tokens) - len(r.order.Generated)
	e.config.Ledger.change(func() { r.record.Decoded = decoded })
	if r.started {
		e.cache.store(engine.PrefixBlocks(append(engine.PromptTokens(r.order.Prompt), r.tokens...)))
	}
}

// dropCancelled ends cancelled and abandoned runs, waiting ones too. The caller holds the lock.
func (e *Engine) dropCancelled() {
	for _, list := range []*[]*run{&e.queue, &e.batch} {
		kept := (*list)[:0]
		for _, r := range *list {
			if r.readers == 0 && time.Since(r.idleFrom) > e.config.HoldAfterDisconnect {
				r.cancelled = true
			}
			if r.cancelled {
				e.end(r)
			} else {
				kept = append(kept, r)
			}
		}
		clear((*list)[len(kept):])
		*list = kept
	}
}

// forgetHeld forgets ended runs that nobody has read for a while. The caller holds the lock.
func (e *Engine) forgetHeld() {
	for id, r := range e.runs {
		if r.ended && r.readers == 0 && time.Since(r.idleFrom) > e.config.HoldAfterDisconnect {
			delete(e.runs, id)
		}
	}
}

func newRun(order engine.RunRequest) *run {
	return &run{
		order:   order,
		prompt:  xxhash.Sum64String(order.Prompt),
		input:   append(engine.PromptTokens(order.Prompt), order.Generated...),
		length:  AnswerLength(order.Prompt, order.MaxTokens),
		readers: 1,
		tokens:  append([]string(nil), order.Generated...),
		changed: make(chan struct{}),
	}
}

// Running returns the number of runs in the batch.
func (e *Engine) Running() int {
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
