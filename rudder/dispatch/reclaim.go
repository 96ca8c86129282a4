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
	// refusedNotice is the time left that is assumed for a host that refuses runs because it leaves.
	refusedNotice = 5 * time.Second
	// reclaimMargin is kept free before a host goes away: the target fetches the last export, and a run that was
	// expected to finish and did not is moved.
	reclaimMargin = 500 * time.Millisecond
	// firstExportRate is assumed until an export has been measured, in tokens per second.
	firstExportRate = 2000
	// exportOverhead is one exchange with the engine and the start on the target.
	exportOverhead = 50 * time.Millisecond
	// unknownStepMillis is the decode step of an engine that has not reported one: long, so that no run is left on it.
	unknownStepMillis = 100
	// rateMemory is the weight of the earlier exports in the mean rate.
	rateMemory = 0.8
	// importTimeout bounds the import of a KV cache; computing the prompt again takes about as long.
	importTimeout = 2 * time.Second
)

// exportRate is the mean rate of the exports that this node has seen.
type exportRate struct {
	mu        sync.Mutex
	perSecond float64
}

func (r *exportRate) get() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.perSecond == 0 {
		return firstExportRate
	}
	return r.perSecond
}

func (r *exportRate) learn(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	seen := float64(tokens) / took.Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.perSecond == 0 {
		r.perSecond = seen
	}
	r.perSecond = rateMemory*r.perSecond + (1-rateMemory)*seen
}

// observe polls the load of a backend server and tells the fleet table whether it answers and whether it leaves.
func (d *Dispatcher) observe(ctx context.Context, b *Backend) {
	err := d.poll(ctx, b)
	d.mu.Lock()
	b.polling = false
	load := b.load
	d.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			d.Fleet.ReportPollResult(b.Host.Name, false)
			d.noteRefusal(b, err)
		}
		return
	}
	d.Fleet.ReportPollResult(b.Host.Name, true)
	if load.Leaving {
		d.Fleet.MarkLeaving(b.Host.Name, time.Now().Add(time.Duration(load.LeavingInMillis)*time.Millisecond))
	}
}

// noteRefusal takes the refusal of a leaving backend server as a notice.
func (d *Dispatcher) noteRefusal(b *Backend, err error) {
	if errors.Is(err, engine.ErrLeaving) {
		d.Fleet.MarkLeaving(b.Host.Name, time.Now().Add(refusedNotice))
	}
}

// isClosed reports whether a backend server gets no new work: it leaves or does not answer.
func (d *Dispatcher) isClosed(host string) bool {
	_, leaving := d.Fleet.LeavingAt(host)
	return leaving || d.Fleet.IsUnresponsive(host)
}

// reclaimHosts starts the triage of the runs on leaving hosts that have had none. Runs that were placed just before the
// notice are found at the next look.
func (d *Dispatcher) reclaimHosts() {
	found := map[*Backend][]*ticket{}
	d.mu.Lock()
	for _, r := range d.runs {
		t := r.ticket
		if t == nil || t.triaged || t.backend == nil || r.finished() {
			continue
		}
		if _, leaving := d.Fleet.LeavingAt(t.backend.Host.Name); leaving {
			t.triaged = true
			found[t.backend] = append(found[t.backend], t)
		}
	}
	d.mu.Unlock()
	for b, tickets := range found {
		at, _ := d.Fleet.LeavingAt(b.Host.Name)
		go d.reclaimHost(b, tickets, at)
	}
}

// reclaimHost moves the runs of a host that goes away.
func (d *Dispatcher) reclaimHost(b *Backend, tickets []*ticket, at time.Time) {
	decisions := reclaim.Triage(d.describe(b, tickets), reclaim.Limits{
		Left:                  time.Until(at),
		Margin:                reclaimMargin,
		ExportTokensPerSecond: d.exports.get(),
		ExportOverhead:        exportOverhead,
	})
	byID := map[string]*ticket{}
	for _, t := range tickets {
		byID[t.run.ID] = t
	}
	var moving []string
	for _, decision := range decisions {
		d.Decisions.Record("reclaim", decision.ID, "host "+b.Host.Name+" is leaving", decision.Action.String(), nil,
			"tokens", decision.Tokens, "remaining_ms", decision.Remaining.Milliseconds(), "left_ms", time.Until(at).Milliseconds())
		if decision.Action != reclaim.Finish {
			moving = append(moving, decision.ID)
		}
	}
	targets := d.targets(b, moving)
	for _, decision := range decisions {
		switch t := byID[decision.ID]; decision.Action {
		case reclaim.Resume:
			d.move(b, t, targets[decision.ID], engine.Export{})
		case reclaim.Finish:
			go d.moveUnfinished(b, t, at)
		}
	}
	for _, decision := range decisions {
		if decision.Action == reclaim.Export {
			t := byID[decision.ID]
			d.move(b, t, targets[decision.ID], d.export(b, t, at))
		}
	}
}

// describe returns the runs as the triage sees them. A run that has not started has nothing to lose.
func (d *Dispatcher) describe(b *Backend, tickets []*ticket) []reclaim.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Before the first report with a batch the step model knows nothing, and the report of an idle engine is too short.
	millis := max(b.steps.millis(max(1, len(b.tickets)+b.foreign)), b.load.DecodeStepMillis)
	if millis <= 0 {
		millis = unknownStepMillis
	}
	step := time.Duration(millis * float64(time.Millisecond))
	described := make([]reclaim.Run, 0, len(tickets))
	for _, t := range tickets {
		length := t.length()
		run := reclaim.Run{ID: t.run.ID, Remaining: time.Duration(int(t.request.MaxTokens)-length) * step}
		if t.started {
			run.Tokens = t.tokens - len(t.request.Generated) + length
		}
		described = append(described, run)
	}
	return described
}

// targets chooses hosts for runs that leave a host. Free slots are known for the hosts of this node only.
func (d *Dispatcher) targets(from *Backend, runs []string) map[string]reclaim.Target {
	var candidates []reclaim.Target
	now := time.Now()
	for _, h := range d.Fleet.ServingHosts() {
		if h.Deployment != from.Host.Deployment || h.Name == from.Host.Name || d.isClosed(h.Name) {
			continue
		}
		target := reclaim.Target{Host: h.Name, FailureDomain: h.FailureDomain, Free: -1}
		d.mu.Lock()
		if b := d.backends[h.Name]; b != nil {
			target.Free = b.free(0, now)
		}
		d.mu.Unlock()
		candidates = append(candidates, target)
	}
	return reclaim.Targets(runs, candidates, d.Fleet.DomainsInWave())
}

// export copies the KV cache of a run; the zero Export means that the run is resumed by prefix.
func (d *Dispatcher) export(b *Backend, t *ticket, at time.Time) engine.Export {
	ctx, cancel := context.WithDeadline(context.Background(), at.Add(-reclaimMargin/2))
	defer cancel()
	if t.run.finished() {
		return engine.Export{}
	}
	started := time.Now()
	export, err := b.Engine.Export(ctx, t.run.ID)
	if err != nil {
		d.Log.Warn("KV cache could not be exported.", "run", t.run.ID, "host", b.Host.Name, "error", err)
		return engine.Export{}
	}
	d.exports.learn(export.Tokens, time.Since(started))
	return export
}

// move ends a run here with the place where it continues, and frees its slot. Without a target it stays until it breaks.
func (d *Dispatcher) move(b *Backend, t *ticket, target reclaim.Target, export engine.Export) {
	r := t.run
	next, found := membership.DispatcherFor(target.Host, target.FailureDomain, d.Members.Live())
	if target.Host == "" || !found || r.finished() {
		return
	}
	moved := &peerpb.Moved{Node: next.Name}
	if export.Handle != "" {
		moved.Host, moved.KvHandle, moved.KvSource = target.Host, export.Handle, b.Host.Address
	}
	r.finish(peer.MovedEvent(moved))
	r.stop()
	d.Decisions.Record("reclaim", r.ID, "moved from host "+b.Host.Name, target.Host, nil, "dispatcher", next.Name, "exported_tokens", export.Tokens)
	cancelOnEngine(context.Background(), b, r.ID)
}

// moveUnfinished moves a run that was expected to end before its host goes away and did not.
func (d *Dispatcher) moveUnfinished(b *Backend, t *ticket, at time.Time) {
	time.Sleep(time.Until(at.Add(-reclaimMargin)))
	if !t.run.finished() {
		d.move(b, t, d.targets(b, []string{t.run.ID})[t.run.ID], engine.Export{})
	}
}

// importer returns the runner that a move chose, nil if it is not one of this node's or has no room: then the run goes
// through the queue and its KV cache to the runner that it gets. The caller holds the lock.
func (d *Dispatcher) importer(t *ticket, betweenTokensMillis int) *Backend {
	if t.request.KvHandle == "" || t.isolated || d.isClosed(t.request.ResumeHost) {
		return nil
	}
	b := d.backends[t.request.ResumeHost]
	if b == nil || b.Host.Deployment != t.request.Deployment || b.free(betweenTokensMillis, time.Now()) == 0 {
		return nil
	}
	return b
}

// importKV fetches the KV cache of a moved run and returns the handle for the engine, empty if the run has to be resumed
// by prefix.
func (d *Dispatcher) importKV(ctx context.Context, b *Backend, request *peerpb.RunRequest) string {
	if request.KvHandle == "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	err := b.Engine.Import(ctx, engine.Import{Handle: request.KvHandle, Source: request.KvSource})
	if err != nil {
		d.Log.Warn("KV cache could not be imported.", "run", request.Run, "host", b.Host.Name, "error", err)
		return ""
	}
	return request.KvHandle
}
