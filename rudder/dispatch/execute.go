package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/quarantine"
	"chestnutrudder.example/rudder/sleep"
)

// Priorities on the engine.
const (
	priorityLong = iota
	priorityShort
	priorityResumed
)

const (
	// A process that has just died may accept connections for a moment longer.
	probeTimeout = 300 * time.Millisecond
	probePause   = 50 * time.Millisecond
)

func attemptName(request *peerpb.RunRequest) string {
	return fmt.Sprintf("%s.%d", request.Run, request.Attempt)
}

// order returns the run order of a ticket.
func (t *ticket) order() engine.RunOrder {
	priority := priorityShort
	switch {
	case t.item.Resumed:
		priority = priorityResumed
	case t.item.Class == limit.ClassLong:
		priority = priorityLong
	}
	return engine.RunOrder{
		Run:          t.request.Run,
		Attempt:      t.run.attempt,
		ModelVersion: t.version,
		Prompt:       t.request.Prompt,
		Generated:    t.request.Generated,
		MaxTokens:    int(t.request.MaxTokens),
		Priority:     priority,
		Resume:       t.resume,
	}
}

// execute runs a placed ticket to its end. It does not depend on the entry node's connection, so that the run goes on when
// the entry node dies.
func (d *Dispatcher) execute(t *ticket) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t.run.onStop(cancel)
	go d.dropIfAbandoned(ctx, t.run)
	last := d.read(ctx, t)
	d.mu.Lock()
	s := d.schedulers[t.request.Deployment]
	again := last == nil
	if s != nil {
		s.release(t)
		if again {
			t.resume, t.backend, t.proven, t.started = false, nil, false, false
			s.push(t, time.Now())
		}
	}
	placed := d.pump(t.request.Deployment)
	d.mu.Unlock()
	d.start(placed)
	if !again {
		t.run.finish(last)
	}
}

// read reads the engine's stream into the run and returns the run's last event, nil if the engine does not hold a run that
// it should resume, which then is placed anew.
func (d *Dispatcher) read(ctx context.Context, t *ticket) *peerpb.RunEvent {
	b := t.backend
	order := t.order()
	order.KVHandle = d.importKV(ctx, b, t.request)
	stream, err := b.Engine.Run(ctx, order)
	if errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrRefused) {
		if t.resume && !errors.Is(err, engine.ErrDown) {
			return nil
		}
		d.noteRefusal(b, err)
		return d.notStarted(t, err)
	}
	resumedAt := -1
	for {
		if err == nil {
			var last *peerpb.RunEvent
			last, err = d.readStream(t, stream)
			stream.Close()
			if last != nil {
				return last
			}
		}
		at := t.run.length()
		if t.run.isStopped() {
			return stoppedEvent(b.Host.Name)
		}
		if at == resumedAt {
			return d.broken(ctx, t, err)
		}
		// The run may go on in the engine: ask for the rest over a new connection, once for each place of breakage.
		resumedAt = at
		d.Log.Info("Engine stream is resumed.", "run", t.request.Run, "host", b.Host.Name, "offset", at, "error", err)
		stream, err = b.Engine.Run(ctx, t.resumeOrder())
	}
}

// resumeOrder asks for the tokens that are still missing.
func (t *ticket) resumeOrder() engine.RunOrder {
	order := t.order()
	order.Resume = true
	order.Generated = t.run.answer(t.request.Generated)
	return order
}

// readStream takes chunks until the run ends or the stream breaks.
func (d *Dispatcher) readStream(t *ticket, stream *engine.Stream) (*peerpb.RunEvent, error) {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return nil, err
		}
		if chunk.Attempt != t.run.attempt {
			continue
		}
		if last := d.take(t, chunk); last != nil {
			return last, nil
		}
	}
}

// take adds a chunk to the run and returns the run's last event if the chunk ends it.
func (d *Dispatcher) take(t *ticket, chunk engine.Chunk) *peerpb.RunEvent {
	host := t.backend.Host
	if chunk.Started && t.run.accept(acceptedBy(t, chunk)) {
		d.noteStarted(t, chunk)
	}
	if len(chunk.Tokens) > 0 {
		if !t.run.add(chunk.Offset, chunk.Tokens) {
			return peer.BrokenEvent(&peerpb.Broken{Reason: "engine skipped tokens", Host: host.Name})
		}
		d.noteProgress(t)
	}
	switch {
	case !chunk.End:
		return nil
	case chunk.Cancelled:
		return peer.BrokenEvent(&peerpb.Broken{Reason: "engine cancelled the run", Host: host.Name})
	case chunk.Offset+len(chunk.Tokens) != t.run.length():
		return peer.BrokenEvent(&peerpb.Broken{Reason: "engine ended the run with tokens missing", Host: host.Name})
	}
	d.noteEnd(t)
	return peer.EndEvent(&peerpb.End{Attempt: t.run.attempt, Offset: int64(t.run.length()), FinishReason: chunk.FinishReason})
}

// acceptedBy returns the event for a started run. Of the tokens that the engine computed, those are recomputed that earlier
// attempts had computed.
func acceptedBy(t *ticket, chunk engine.Chunk) *peerpb.Accepted {
	return &peerpb.Accepted{
		Host:             t.backend.Host.Name,
		FailureDomain:    t.backend.Host.FailureDomain,
		CachedTokens:     int64(chunk.CachedTokens),
		ComputedTokens:   int64(chunk.ComputedTokens),
		RecomputedTokens: min(int64(chunk.ComputedTokens), t.request.ComputedTokens),
		Revision:         t.request.Revision,
		ModelVersion:     t.version,
	}
}

func (d *Dispatcher) noteStarted(t *ticket, chunk engine.Chunk) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.started = true
	t.backend.breaker.succeeded()
	if !t.resume {
		t.backend.prefix.started(t.blocks, chunk.CachedTokens, time.Now())
	}
}

// noteProgress ends the isolation of a run that has proven that it does not crash its runner.
func (d *Dispatcher) noteProgress(t *ticket) {
	if t.run.length()-len(t.request.Generated) < provenTokens {
		return
	}
	d.mu.Lock()
	if t.proven {
		d.mu.Unlock()
		return
	}
	placed := d.proven(t)
	d.mu.Unlock()
	d.start(placed)
}

// proven clears a run of suspicion and places what waited for it. The caller holds the lock.
func (d *Dispatcher) proven(t *ticket) []*ticket {
	if s := d.schedulers[t.request.Deployment]; s != nil {
		s.prove(t)
	}
	if t.isolated && d.Quarantine != nil {
		d.Quarantine.ClearSuspicion(t.key)
	}
	return d.pump(t.request.Deployment)
}

func (d *Dispatcher) noteEnd(t *ticket) {
	tokens := append(engine.PromptTokens(t.request.Prompt), t.run.answer(t.request.Generated)...)
	blocks := engine.PrefixBlocks(tokens)
	d.mu.Lock()
	t.backend.prefix.learn(blocks, time.Now())
	if s := d.schedulers[t.request.Deployment]; s != nil {
		s.answers.learn(t.item.Class, t.run.length(), int(t.request.MaxTokens))
	}
	placed := d.proven(t)
	d.mu.Unlock()
	d.start(placed)
}

// notStarted returns the last event of a run that the engine did not take.
func (d *Dispatcher) notStarted(t *ticket, err error) *peerpb.RunEvent {
	d.mu.Lock()
	if errors.Is(err, engine.ErrNotSent) {
		t.backend.breaker.failed(time.Now(), true)
	} else {
		t.backend.breaker.ended()
	}
	d.mu.Unlock()
	if t.run.isStopped() {
		return stoppedEvent(t.backend.Host.Name)
	}
	return peer.RefusedEvent(&peerpb.Refused{Reason: err.Error(), RetryAfterMs: shortestRetry.Milliseconds()})
}

// broken returns the last event of a run whose stream could not be resumed.
func (d *Dispatcher) broken(ctx context.Context, t *ticket, err error) *peerpb.RunEvent {
	b := t.backend
	event := &peerpb.Broken{Reason: err.Error(), Host: b.Host.Name}
	if d.isDown(ctx, t, err) {
		verdict := d.engineDown(b)
		event.Crashed = verdict != quarantine.Excused
		event.Alone = verdict == quarantine.Culprit
		return peer.BrokenEvent(event)
	}
	d.mu.Lock()
	b.breaker.failed(time.Now(), false)
	d.mu.Unlock()
	// The engine may still hold the run; it must not take a slot there.
	go cancelOnEngine(context.WithoutCancel(ctx), b, t.request.Run)
	return peer.BrokenEvent(event)
}

// isDown finds out whether the engine process is dead. One that does not answer in time may be frozen or out of reach.
func (d *Dispatcher) isDown(ctx context.Context, t *ticket, err error) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for !errors.Is(err, engine.ErrDown) {
		if _, err = t.backend.Engine.Load(ctx); err == nil {
			d.mu.Lock()
			down := t.backend.down
			d.mu.Unlock()
			if down {
				return true
			}
		}
		if !sleep.For(ctx, probePause) {
			return errors.Is(err, engine.ErrDown)
		}
	}
	return true
}
