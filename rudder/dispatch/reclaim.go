package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/reclaim"
)

const (
	// assumedNotice is the time left that is assumed for a host that refuses runs because it is leaving.
	assumedNotice = 5 * time.Second
	// reclaimMargin is kept free before a host goes away: the target then fetches the last export, and runs that were
	// expected to finish and did not are moved.
	reclaimMargin = 500 * time.Millisecond
	// initialExportRate is assumed until an export has been measured, in tokens per second.
	initialExportRate = 2000
	// exportOverhead is the time for one exchange with the engine and for the start on the target.
	exportOverhead = 50 * time.Millisecond
	// defaultDecodeStepMillis is the decode step that is assumed for an engine that has not reported one. It is long, so
	// that no run is left on such an engine.
	defaultDecodeStepMillis = 100
	// exportRateDecay is the weight of the earlier exports in the mean rate.
	exportRateDecay = 0.8
	// importTimeout limits the import of a KV cache; recomputing the prompt takes about as long.
	importTimeout = 2 * time.Second
)

// exportRate is the moving average of the rate of KV cache exports on this node.
type exportRate struct {
	mu              sync.Mutex
	tokensPerSecond float64
}

func (r *exportRate) get() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokensPerSecond == 0 {
		return initialExportRate
	}
	return r.tokensPerSecond
}

func (r *exportRate) observe(tokens int, elapsed time.Duration) {
	if tokens <= 0 || elapsed <= 0 {
		return
	}
	measured := float64(tokens) / elapsed.Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokensPerSecond == 0 {
		r.tokensPerSecond = measured
	}
	r.tokensPerSecond = exportRateDecay*r.tokensPerSecond + (1-exportRateDecay)*measured
}

// pollBackend polls a backend server and reports to the fleet table whether it answers and whether its host is leaving.
func (d *Dispatcher) pollBackend(ctx context.Context, b *Backend) {
	err := d.poll(ctx, b)
	d.mu.Lock()
	b.isPolling = false
	load := b.load
	d.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			d.Fleet.ReportPollResult(b.Host.Name, false)
			d.markLeavingIfRefused(b, err)
		}
		return
	}
	d.Fleet.ReportPollResult(b.Host.Name, true)
	if load.Leaving {
		d.Fleet.MarkLeaving(b.Host.Name, time.Now().Add(time.Duration(load.LeavingInMillis)*time.Millisecond))
	}
}

// markLeavingIfRefused marks the host of a backend server as leaving if the error is a refusal for that reason.
func (d *Dispatcher) markLeavingIfRefused(b *Backend, err error) {
	if errors.Is(err, engine.ErrHostLeaving) {
		d.Fleet.MarkLeaving(b.Host.Name, time.Now().Add(assumedNotice))
	}
}

// isUnavailable reports whether a host gets no new work, because it is leaving or does not answer.
func (d *Dispatcher) isUnavailable(host string) bool {
	_, leaving := d.Fleet.LeavingAt(host)
	return leaving || d.Fleet.IsUnresponsive(host)
}

// reclaimLeavingHosts starts the reclaim of leaving hosts for those runs that have not been planned yet. Runs that are
// placed just before the notice are found by the next call.
func (d *Dispatcher) reclaimLeavingHosts() {
	tasksByBackend := map[*Backend][]*task{}
	d.mu.Lock()
	for _, r := range d.runs {
		t := r.task
		if t == nil || t.isReclaimPlanned || t.backend == nil || r.isFinished() {
			continue
		}
		if _, leaving := d.Fleet.LeavingAt(t.backend.Host.Name); leaving {
			t.isReclaimPlanned = true
			tasksByBackend[t.backend] = append(tasksByBackend[t.backend], t)
		}
	}
	d.mu.Unlock()
	for b, tasks := range tasksByBackend {
		leavingAt, _ := d.Fleet.LeavingAt(b.Host.Name)
		go d.reclaimHost(b, tasks, leavingAt)
	}
}

// reclaimHost plans what happens to the runs of a host that goes away, and moves them.
func (d *Dispatcher) reclaimHost(b *Backend, tasks []*task, leavingAt time.Time) {
	decisions := reclaim.Plan(d.runsToPlan(b, tasks), reclaim.Limits{
		TimeLeft:              time.Until(leavingAt),
		Margin:                reclaimMargin,
		ExportTokensPerSecond: d.exportRate.get(),
		ExportOverhead:        exportOverhead,
	})
	byID := map[string]*task{}
	for _, t := range tasks {
		byID[t.run.ID] = t
	}
	var runsToMove []string
	for _, decision := range decisions {
		d.Decisions.Record("reclaim", decision.ID, "host "+b.Host.Name+" is leaving", decision.Action.String(), nil,
			"tokens", decision.Tokens, "remaining_ms", decision.Remaining.Milliseconds(),
			"left_ms", time.Until(leavingAt).Milliseconds())
		if decision.Action != reclaim.Finish {
			runsToMove = append(runsToMove, decision.ID)
		}
	}
	targets := d.assignTargets(b, runsToMove)
	for _, decision := range decisions {
		switch t := byID[decision.ID]; decision.Action {
		case reclaim.Resume:
			d.moveRun(b, t, targets[decision.ID], engine.KVExport{})
		case reclaim.Finish:
			go d.moveUnfinished(b, t, leavingAt)
		}
	}
	for _, decision := range decisions {
		if decision.Action == reclaim.Export {
			t := byID[decision.ID]
			d.moveRun(b, t, targets[decision.ID], d.exportKV(b, t, leavingAt))
		}
	}
}

// runsToPlan returns tasks as runs for reclaim.Plan. A run that has not started has no tokens to lose.
func (d *Dispatcher) runsToPlan(b *Backend, tasks []*task) []reclaim.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Before the first report with a batch, the step model has no data, and the step reported by an idle engine is too
	// short.
	millis := max(b.decodeSteps.predictMillis(max(1, len(b.tasks)+b.foreignRuns)), b.load.DecodeStepMillis)
	if millis <= 0 {
		millis = defaultDecodeStepMillis
	}
	step := time.Duration(millis * float64(time.Millisecond))
	runs := make([]reclaim.Run, 0, len(tasks))
	for _, t := range tasks {
		length := t.answerLength()
		run := reclaim.Run{ID: t.run.ID, Remaining: time.Duration(int(t.request.MaxTokens)-length) * step}
		if t.hasStarted {
			run.Tokens = t.tokenCount - len(t.request.Generated) + length
		}
		runs = append(runs, run)
	}
	return runs
}

// assignTargets assigns target hosts to runs that leave a host. Free slots are known only for the hosts of this node.
func (d *Dispatcher) assignTargets(from *Backend, runs []string) map[string]reclaim.Target {
	var candidates []reclaim.Target
	now := time.Now()
	for _, h := range d.Fleet.ServingHosts() {
		if h.Deployment != from.Host.Deployment || h.Name == from.Host.Name || d.isUnavailable(h.Name) {
			continue
		}
		target := reclaim.Target{Host: h.Name, FailureDomain: h.FailureDomain, FreeSlots: -1}
		d.mu.Lock()
		if b := d.backends[h.Name]; b != nil {
			target.FreeSlots = b.freeSlots(0, now)
		}
		d.mu.Unlock()
		candidates = append(candidates, target)
	}
	return reclaim.AssignTargets(runs, candidates, d.Fleet.DomainsInWave())
}

// exportKV exports the KV cache of a run. It returns the zero KVExport if the run has finished or the export failed; an
// unfinished run is then resumed by prefix.
func (d *Dispatcher) exportKV(b *Backend, t *task, leavingAt time.Time) engine.KVExport {
	ctx, cancel := context.WithDeadline(context.Background(), leavingAt.Add(-reclaimMargin/2))
	defer cancel()
	if t.run.isFinished() {
		return engine.KVExport{}
	}
	started := time.Now()
	export, err := b.Engine.ExportKV(ctx, t.run.ID)
	if err != nil {
		d.Log.Warn("KV cache export failed; the run is resumed by prefix.", "run", t.run.ID, "host", b.Host.Name, "error", err)
		return engine.KVExport{}
	}
	d.exportRate.observe(export.Tokens, time.Since(started))
	return export
}

// moveRun ends a run on this node with an event that says where it continues, and frees its slot. Without a target, the run
// stays until it breaks.
func (d *Dispatcher) moveRun(b *Backend, t *task, target reclaim.Target, export engine.KVExport) {
	r := t.run
	newDispatcher, found := membership.DispatcherFor(target.Host, target.FailureDomain, d.Members.Live())
	if target.Host == "" || !found || r.isFinished() {
		return
	}
	moved := &peerpb.Moved{Node: newDispatcher.Name}
	if export.Handle != "" {
		moved.Host, moved.KvHandle, moved.KvSource = target.Host, export.Handle, b.Host.Address
	}
	r.finish(peer.MovedEvent(moved))
	r.stop()
	d.Decisions.Record("reclaim", r.ID, "moved from host "+b.Host.Name, target.Host, nil,
		"dispatcher", newDispatcher.Name, "exported_tokens", export.Tokens)
	cancelOnEngine(context.Background(), b, r.ID)
}

// moveUnfinished moves a run that was expected to end before its host goes away and did not. It blocks until reclaimMargin
// before that time.
func (d *Dispatcher) moveUnfinished(b *Backend, t *task, leavingAt time.Time) {
	time.Sleep(time.Until(leavingAt.Add(-reclaimMargin)))
	if !t.run.isFinished() {
		d.moveRun(b, t, d.assignTargets(b, []string{t.run.ID})[t.run.ID], engine.KVExport{})
	}
}

// backendForImport returns the runner that was chosen as the target of a move. It returns nil if the runner is not assigned
// to this node or has no free slot; the run is then queued, and its KV cache goes to the runner on which it is placed. The
// caller holds d.mu.
func (d *Dispatcher) backendForImport(t *task, betweenTokensMillis int) *Backend {
	if t.request.KvHandle == "" || t.needsIsolation || d.isUnavailable(t.request.ResumeHost) {
		return nil
	}
	b := d.backends[t.request.ResumeHost]
	if b == nil || b.Host.Deployment != t.request.Deployment || b.freeSlots(betweenTokensMillis, time.Now()) == 0 {
		return nil
	}
	return b
}

// importKV imports the KV cache of a moved run into the engine and returns the handle for the run request, empty if the run
// has to be resumed by prefix.
func (d *Dispatcher) importKV(ctx context.Context, b *Backend, request *peerpb.RunRequest) string {
	if request.KvHandle == "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	err := b.Engine.ImportKV(ctx, engine.KVImportRequest{Handle: request.KvHandle, Source: request.KvSource})
	if err != nil {
		d.Log.Warn("KV cache import failed; the engine recomputes the tokens.",
			"run", request.Run, "host", b.Host.Name, "error", err)
		return ""
	}
	return request.KvHandle
}
