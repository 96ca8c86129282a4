package engine

import (
	"slices"
	"sync"
	"time"
)

// slowVersionFactor multiplies the decode time of a step under a version in Faults.SlowVersions.
const slowVersionFactor = 4

// Faults are the faults that an engine injects. The zero value injects none.
type Faults struct {
	LoadLagMillis         int64    `json:"load_lag_ms"`       // load reports are up to this old
	EventDelayMillis      int64    `json:"event_delay_ms"`    // cache events are reported this late
	DropEvents            int      `json:"drop_events"`       // number of next cache events to drop
	RepeatEveryChunks     int      `json:"repeat_every"`      // before each n-th chunk, repeat the last chunk with tokens
	StaleEveryChunks      int      `json:"stale_every"`       // before each n-th chunk, send a chunk of an old attempt
	RefuseRuns            bool     `json:"refuse_runs"`       // refuse new runs with 503
	FailVersions          []string `json:"fail_versions"`     // loading these versions fails
	SlowVersions          []string `json:"slow_versions"`     // decoding takes slowVersionFactor times as long
	CrashVersions         []string `json:"crash_versions"`    // a run under these versions crashes the engine
	VersionLoadMillis     int64    `json:"load_ms"`           // duration of a version load after the weights are fetched
	StreamDelayMillis     int64    `json:"stream_delay_ms"`   // delay before each chunk and heartbeat
	SilentStreams         bool     `json:"silent_streams"`    // open streams send nothing; new requests get a response
	CutStreamsAfterChunks int      `json:"cut_streams_after"` // abort a stream after this many chunks; 0: never
	RefuseExports         bool     `json:"refuse_exports"`    // refuse KV exports with 404
	DropImports           bool     `json:"lose_imports"`      // respond to imports without storing them
}

func (faults Faults) isSlowVersion(version string) bool {
	return slices.Contains(faults.SlowVersions, version)
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.cache.eventsToDrop = faults.DropEvents
}

// SetFrozen freezes or unfreezes the engine. A frozen engine does no work and keeps its connections open, like a process
// stopped with SIGSTOP.
func (e *Engine) SetFrozen(frozen bool) { e.freezeGate.setClosed(frozen) }

// AnnounceReclaim tells the engine that its host will be taken away at leaveAt. With refusesRuns it refuses new runs with 410
// from now on.
func (e *Engine) AnnounceReclaim(leaveAt time.Time, refusesRuns bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notice = reclaimNotice{receivedAt: time.Now(), leaveAt: leaveAt, refusesRuns: refusesRuns}
}

// gate blocks goroutines while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil while the gate is open; closed when it opens
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

// wait blocks while the gate is closed. It returns false if stop is closed, or if done is closed before the gate opens.
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
