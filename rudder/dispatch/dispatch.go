// Package dispatch admits work to backend servers. Each backend server has one dispatcher node at a time, which alone
// knows its queue and its limit. Entry nodes reach it through package peer.
package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/service"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	refreshInterval   = 250 * time.Millisecond
	// detachedGrace is how long a run goes on and a finished answer is kept while nobody reads it.
	detachedGrace = 30 * time.Second
)

// Backend is one backend server as its dispatcher sees it.
type Backend struct {
	Host    cloud.Host
	Engine  *engine.Client
	Service *service.Client

	mu         sync.Mutex
	load       engine.Load
	loadAt     time.Time
	inProgress int
}

func newBackend(h cloud.Host) *Backend {
	b := &Backend{Host: h}
	if h.Backend == object.BackendService {
		b.Service = service.NewClient(h.Address)
	} else {
		b.Engine = engine.NewClient(h.Address)
	}
	return b
}

func (b *Backend) state() (load engine.Load, at time.Time, inProgress int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load, b.loadAt, b.inProgress
}

func (b *Backend) change(by int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inProgress += by
}

// Dispatcher holds the backend servers and the runs of this node.
type Dispatcher struct {
	Members *membership.Table
	Fleet   *fleet.Table
	Log     *slog.Logger
	// Decisions logs and keeps placement decisions; nil drops them.
	Decisions *decision.Recorder

	mu        sync.Mutex
	backends  map[string]*Backend
	runs      map[string]*Run
	refreshed bool // the fleet was known at the last refresh
}

// New returns a dispatcher without backend servers.
func New(members *membership.Table, hosts *fleet.Table, log *slog.Logger) *Dispatcher {
	return &Dispatcher{Members: members, Fleet: hosts, Log: log, backends: map[string]*Backend{}, runs: map[string]*Run{}}
}

var _ peer.Dispatcher = (*Dispatcher)(nil)

// Loop follows the fleet, polls loads and drops old runs until ctx ends.
func (d *Dispatcher) Loop(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		d.refresh(ctx)
		d.dropIdleRuns()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh takes over and gives up backend servers as membership and fleet change.
func (d *Dispatcher) refresh(ctx context.Context) {
	live := d.Members.Live()
	self := d.Members.Self().Name
	owned := map[string]cloud.Host{}
	for _, h := range d.Fleet.Serving() {
		if n, found := membership.DispatcherFor(h.Name, h.FailureDomain, live); found && n.Name == self {
			owned[h.Name] = h
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshed = d.Fleet.Known()
	for name := range d.backends {
		if _, still := owned[name]; !still {
			delete(d.backends, name)
		}
	}
	for name, h := range owned {
		b, found := d.backends[name]
		if !found {
			b = newBackend(h)
			d.backends[name] = b
			d.Decisions.Record("dispatch", name, "first by rendezvous hash", self, nil)
		}
		if b.Engine != nil {
			go d.observe(ctx, b)
		}
	}
}

func (b *Backend) poll(ctx context.Context) error {
	load, err := b.Engine.Load(ctx)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = load
	b.loadAt = time.Now()
	return nil
}

// Ready reports whether the load of every backend server of this node has been read.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backends {
		if _, at, _ := b.state(); b.Engine != nil && at.IsZero() {
			return false
		}
	}
	return d.refreshed
}

func (d *Dispatcher) dropIdleRuns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.runs {
		if since, idle := r.idleSince(); idle && r.finished() && time.Since(since) > detachedGrace {
			delete(d.runs, id)
		}
	}
}

// Run implements peer.Dispatcher.
func (d *Dispatcher) Run(ctx context.Context, request *peerpb.RunRequest, send func(*peerpb.RunEvent) error) error {
	b := d.choose(request)
	if b == nil {
		return send(peer.RefusedEvent(&peerpb.Refused{Reason: "no backend server with a free slot", RetryAfterMs: 1000}))
	}
	attempt := fmt.Sprintf("%s.%d", request.Run, request.Attempt)
	r := newRun(request.Run, request.Organisation, attempt, len(request.Generated))
	d.mu.Lock()
	d.runs[request.Run] = r
	d.mu.Unlock()
	d.Decisions.Record("dispatch", request.Run, "least loaded", b.Host.Name, nil, "attempt", request.Attempt)
	go d.execute(r, b, request)
	return r.follow(ctx, len(request.Generated), send)
}

// choose returns the least loaded backend server with a free slot, nil if there is none.
func (d *Dispatcher) choose(request *peerpb.RunRequest) *Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *Backend
	bestFree := 0
	for _, b := range d.backends {
		if b.Host.Deployment != request.Deployment || b.Engine == nil || d.isClosed(b.Host.Name) {
			continue
		}
		load, _, inProgress := b.state()
		if free := load.Slots - inProgress; free > bestFree {
			best, bestFree = b, free
		}
	}
	if best != nil {
		best.change(1)
	}
	return best
}

// execute reads the engine's stream into the run. It does not depend on the entry node's connection, so that the run
// goes on when the entry node dies.
func (d *Dispatcher) execute(r *Run, b *Backend, request *peerpb.RunRequest) {
	defer b.change(-1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.cancelIfAbandoned(ctx, r, b)
	stream, err := b.Engine.Run(ctx, engine.RunOrder{
		Run:          request.Run,
		Attempt:      r.attempt,
		ModelVersion: request.ModelVersion,
		Prompt:       request.Prompt,
		Generated:    request.Generated,
		MaxTokens:    int(request.MaxTokens),
	})
	if err != nil {
		d.noteRefusal(b, err)
		r.finish(startFailure(err, b.Host.Name))
		return
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err != nil {
			r.finish(peer.BrokenEvent(&peerpb.Broken{Reason: err.Error(), Host: b.Host.Name}))
			return
		}
		if chunk.Attempt != r.attempt {
			continue
		}
		if done := d.take(r, b, chunk); done {
			return
		}
	}
}

// startFailure turns an error at the start of a run into the event for the entry node.
func startFailure(err error, host string) *peerpb.RunEvent {
	if errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrRefused) {
		return peer.RefusedEvent(&peerpb.Refused{Reason: err.Error(), RetryAfterMs: 200})
	}
	return peer.BrokenEvent(&peerpb.Broken{Reason: err.Error(), Host: host})
}

// take adds a chunk to the run and reports whether the run is over.
func (d *Dispatcher) take(r *Run, b *Backend, chunk engine.Chunk) bool {
	if chunk.Started {
		r.accept(&peerpb.Accepted{
			Host:          b.Host.Name,
			FailureDomain: b.Host.FailureDomain,
			CachedTokens:  int64(chunk.CachedTokens),
		})
	}
	if len(chunk.Tokens) > 0 && !r.add(chunk.Offset, chunk.Tokens) {
		r.finish(peer.BrokenEvent(&peerpb.Broken{Reason: "engine skipped tokens", Host: b.Host.Name}))
		return true
	}
	if chunk.End {
		r.finish(peer.EndEvent(&peerpb.End{Attempt: r.attempt, Offset: int64(r.length()), FinishReason: chunk.FinishReason}))
		return true
	}
	return false
}

// cancelIfAbandoned stops a run that nobody reads for longer than detachedGrace.
func (d *Dispatcher) cancelIfAbandoned(ctx context.Context, r *Run, b *Backend) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if since, idle := r.idleSince(); idle && time.Since(since) > detachedGrace {
			_ = b.Engine.Cancel(ctx, r.ID)
			return
		}
	}
}

// Attach implements peer.Dispatcher.
func (d *Dispatcher) Attach(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error {
	d.mu.Lock()
	r := d.runs[request.Run]
	d.mu.Unlock()
	if r == nil || r.Organisation != request.Organisation {
		return connect.NewError(connect.CodeNotFound, errors.Errorf("run %q is not here", request.Run))
	}
	return r.follow(ctx, int(request.Offset), send)
}

// Cancel implements peer.Dispatcher.
func (d *Dispatcher) Cancel(ctx context.Context, request *peerpb.CancelRequest) {
	d.mu.Lock()
	r := d.runs[request.Run]
	var host string
	if r != nil && r.accepted != nil {
		host = r.accepted.Host
	}
	b := d.backends[host]
	d.mu.Unlock()
	if r == nil || r.Organisation != request.Organisation || b == nil {
		return
	}
	_ = b.Engine.Cancel(ctx, request.Run)
}

// Call implements peer.Dispatcher.
func (d *Dispatcher) Call(ctx context.Context, request *peerpb.CallRequest) *peerpb.CallResponse {
	d.mu.Lock()
	var chosen *Backend
	for _, b := range d.backends {
		if b.Service == nil || b.Host.Deployment != request.Deployment {
			continue
		}
		if chosen == nil || b.inProgress < chosen.inProgress {
			chosen = b
		}
	}
	d.mu.Unlock()
	if chosen == nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: "no service runner", RetryAfterMs: 1000}
	}
	chosen.change(1)
	defer chosen.change(-1)
	d.Decisions.Record("dispatch", request.Call, "least loaded", chosen.Host.Name, nil)
	return chosen.Service.Call(ctx, request)
}
