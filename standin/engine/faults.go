package engine

import (
	"slices"
	"sync"
	"time"
)

// slowFactor stretches the steps of a version in Faults.SlowVersions.
const slowFactor = 4

// Faults change how an engine behaves. The zero value is an engine without faults.
type Faults struct {
	LoadLagMillis    int64    `json:"load_lag_ms"`       // the load report is up to this old
	EventDelayMillis int64    `json:"event_delay_ms"`    // cache events show this late
	DropEvents       int      `json:"drop_events"`       // number of coming cache events to lose
	RepeatEvery      int      `json:"repeat_every"`      // each n-th chunk is followed by the one before it
	StaleEvery       int      `json:"stale_every"`       // each n-th chunk is followed by one of an old attempt
	RefuseRuns       bool     `json:"refuse_runs"`       // refuse new runs with 503
	FailVersions     []string `json:"fail_versions"`     // loading these fails
	SlowVersions     []string `json:"slow_versions"`     // steps take slowFactor times as long under these
	CrashVersions    []string `json:"crash_versions"`    // a run under these crashes the engine
	LoadMillis       int64    `json:"load_ms"`           // time to load a version, besides fetching the weights
	StreamDelay      int64    `json:"stream_delay_ms"`   // wait before each chunk is sent
	SilentStreams    bool     `json:"silent_streams"`    // open streams carry nothing; new requests are answered
	CutStreamsAfter  int      `json:"cut_streams_after"` // break a stream after this many chunks
	RefuseExports    bool     `json:"refuse_exports"`    // refuse KV exports with 503
	LoseImports      bool     `json:"lose_imports"`      // imports are answered and forgotten
}

func (f Faults) slows(version string) bool { return slices.Contains(f.SlowVersions, version) }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.cache.drop = f.DropEvents
}

// Freeze stops the engine without closing connections, as a stopped process does, or lets it go on.
func (e *Engine) Freeze(frozen bool) { e.gate.set(frozen) }

// Leave announces that the engine goes away at a time.
func (e *Engine) Leave(at time.Time, refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving{noticeAt: time.Now(), at: at, refuse: refuse}
}

// gate can be closed; the zero value is open.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil: open; closed when the gate opens
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.closed == nil:
		g.closed = make(chan struct{})
	case !closed && g.closed != nil:
		close(g.closed)
		g.closed = nil
	}
}

// wait blocks while the gate is closed; false means that stop or done came first.
func (g *gate) wait(stop, done <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	default:
	}
	for {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed == nil {
			return true
		}
		select {
		case <-closed:
		case <-stop:
			return false
		case <-done:
			return false
		}
	}
}
