// Package engine is a stand-in for a model engine with a stated timing model: prompts are prefilled one after another
// at a fixed rate, and each decode step gives every run in the batch one token and takes a time that grows with the
// batch. Only cmd/standin and tests use it.
package engine

import (
	"sync"
	"time"

	"chestnutrudder.example/rudder/engine"
)

// Config is the timing model of an engine.
type Config struct {
	Slots                 int           // runs in the batch
	PrefillTokensPerSec   float64       // prompt tokens computed per second
	DecodeBase            time.Duration // decode step with an empty batch
	DecodePerRun          time.Duration // added for each run in the batch
	CacheBlocks           int           // blocks held by the prefix cache
	HoldAfterDisconnect   time.Duration // a run goes on this long without a reader
	ExportTokensPerSecond float64
	ModelVersion          string
	IgnoreFencing         bool
}

// DefaultConfig returns a configuration with round figures.
func DefaultConfig() Config {
	return Config{
		Slots:                 16,
		PrefillTokensPerSec:   8000,
		DecodeBase:            10 * time.Millisecond,
		DecodePerRun:          500 * time.Microsecond,
		CacheBlocks:           4096,
		HoldAfterDisconnect:   5 * time.Second,
		ExportTokensPerSecond: 4000,
	}
}

// run is one request in the engine.
type run struct {
	order     engine.RunOrder
	tokens    []string // of the whole answer
	ended     bool
	cancelled bool
	computed  int
	cached    int
	started   bool
	readers   int
	idleFrom  time.Time
	changed   chan struct{}
}

// Engine is one model engine.
type Engine struct {
	config  Config
	mu      sync.Mutex
	runs    map[string]*run
	queue   []*run // waiting for a slot
	batch   []*run
	cache   *prefixCache
	epoch   int64
	crashed chan struct{}
	dead    bool
	leaving bool
	fence   int64
	stats   Stats
}

// Stats count what an engine did.
type Stats struct {
	Runs            int64 `json:"runs"`
	PrefilledTokens int64 `json:"prefilled_tokens"`
	DecodedTokens   int64 `json:"decoded_tokens"`
}

// New returns an engine and starts its decode loop, which ends with Crash.
func New(config Config) *Engine {
	e := &Engine{
		config:  config,
		runs:    map[string]*run{},
		cache:   newPrefixCache(config.CacheBlocks),
		epoch:   time.Now().UnixNano(),
		crashed: make(chan struct{}),
	}
	go e.loop()
	return e
}

// Crash ends the engine: open streams break and nothing is answered any more.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead {
		e.dead = true
		close(e.crashed)
	}
}

// Crashed is closed when the engine has crashed.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

// crashMarker in a prompt crashes the engine that runs it.
const crashMarker = "crash-the-engine"

func (r *run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// loop admits, prefills and decodes.
func (e *Engine) loop() {
	for {
		select {
		case <-e.crashed:
			return
		default:
		}
		if next := e.admit(); next != nil {
			e.prefill(next)
			continue
		}
		pause := e.stepTime()
		time.Sleep(pause)
		e.step()
	}
}

// admit moves the waiting run with the highest priority into the batch, nil if there is none or no slot.
func (e *Engine) admit() *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 || len(e.batch) >= e.config.Slots {
		return nil
	}
	best := 0
	for i, r := range e.queue {
		if r.order.Priority > e.queue[best].order.Priority {
			best = i
		}
	}
	r := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	e.batch = append(e.batch, r)
	return r
}

// prefill computes the tokens that the cache lacks; the batch waits meanwhile.
func (e *Engine) prefill(r *run) {
	tokens := append(engine.PromptTokens(r.order.Prompt), r.order.Generated...)
	blocks := engine.PrefixBlocks(tokens)
	e.mu.Lock()
	r.cached = min(e.cache.match(blocks)*engine.BlockTokens, len(tokens))
	if r.order.KVHandle != "" && e.cache.takeImport(r.order.KVHandle) {
		r.cached = len(tokens)
	}
	r.computed = len(tokens) - r.cached
	e.stats.PrefilledTokens += int64(r.computed)
	e.mu.Unlock()
	time.Sleep(time.Duration(float64(r.computed) / e.config.PrefillTokensPerSec * float64(time.Second)))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(blocks)
	r.started = true
	r.signal()
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.batch) == 0 {
		return time.Millisecond
	}
	return e.config.DecodeBase + time.Duration(len(e.batch))*e.config.DecodePerRun
}

// step gives each run of the batch one token.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	kept := e.batch[:0]
	for _, r := range e.batch {
		if r.readers == 0 && time.Since(r.idleFrom) > e.config.HoldAfterDisconnect {
			r.cancelled = true
		}
		if !r.cancelled && len(r.tokens) < r.order.MaxTokens {
			r.tokens = append(r.tokens, Token(r.order.Prompt, len(r.tokens)))
			e.stats.DecodedTokens++
		}
		if r.cancelled || len(r.tokens) >= r.order.MaxTokens {
			r.ended = true
			e.cache.store(engine.PrefixBlocks(append(engine.PromptTokens(r.order.Prompt), r.tokens...)))
		} else {
			kept = append(kept, r)
		}
		r.signal()
	}
	clear(e.batch[len(kept):])
	e.batch = kept
	e.dropEndedRuns()
}

// dropEndedRuns forgets ended runs that nobody reads. The caller holds the lock.
func (e *Engine) dropEndedRuns() {
	for id, r := range e.runs {
		if r.ended && r.readers == 0 && time.Since(r.idleFrom) > e.config.HoldAfterDisconnect {
			delete(e.runs, id)
		}
	}
}
