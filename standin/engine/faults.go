package engine

import (
	"slices"
	"sync"
	"time"
)

// slowVersionFactor stretches the steps of a version in Faults.SlowVersions.
const slowVersionFactor = 4

// Faults change how an engine behaves. The zero value is an engine without faults.
type Faults struct {
	LoadLagMillis         int64    `json:"load_lag_ms"`       // the load report is up to this old
	EventDelayMillis      int64    `json:"event_delay_ms"`    // cache events show this late
	DropEvents            int      `json:"drop_events"`       // number of coming cache events to lose
	RepeatEveryChunks     int      `json:"repeat_every"`      // each n-th chunk is followed by the one before it
	StaleEveryChunks      int      `json:"stale_every"`       // each n-th chunk is followed by one of an old attempt
	RefuseRuns            bool     `json:"refuse_runs"`       // refuse new runs with 503
	FailVersions          []string `json:"fail_versions"`     // loading these fails
	SlowVersions          []string `json:"slow_versions"`     // steps take slowVersionFactor times as long under these
	CrashVersions         []string `json:"crash_versions"`    // a run under these crashes the engine
	VersionLoadMillis     int64    `json:"load_ms"`           // time to load a version, besides fetching the weights
	StreamDelayMillis     int64    `json:"stream_delay_ms"`   // wait before each chunk is sent
	SilentStreams         bool     `json:"silent_streams"`    // open streams carry nothing; new requests are answered
	CutStreamsAfterChunks int      `json:"cut_streams_after"` // break a stream after this many chunks
	RefuseExports         bool     `json:"refuse_exports"`    // refuse KV exports with 503
	DropImports           bool     `json:"lose_imports"`      // imports are answered and forgotten
}

func (faults Faults) isSlowVersion(version string) bool {
	return slices.Contains(faults.SlowVersions, version)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.cache.eventsToDrop = faults.DropEvents
}

// SetFrozen stops the engine without closing connections, as a stopped process does, or lets it go on.
func (e *Engine) SetFrozen(frozen bool) { e.freezeGate.setClosed(frozen) }

// AnnounceReclaim announces that the engine goes away at a time.
func (e *Engine) AnnounceReclaim(leaveAt time.Time, refusesRuns bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notice = reclaimNotice{receivedAt: time.Now(), leaveAt: leaveAt, refusesRuns: refusesRuns}
}

// gate can be closed; the zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil: open; closed when the gate opens
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.opened == nil:
		g.opened = make(chan struct{})
	case !closed && g.opened != nil:
		close(g.opened)
		g.opened = nil
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
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return true
		}
		select {
		case <-opened:
		case <-stop:
			return false
		case <-done:
			return false
		}
	}
}
