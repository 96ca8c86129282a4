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

// Priorities of runs on the engine.
const (
	priorityLong = iota
	priorityShort
	priorityResumed
)

const (
	// A process that has just died may still accept connections for a moment, so that one probe is not enough.
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 50 * time.Millisecond
)

// formatAttemptID returns the name under which the engine knows an attempt of a run.
func formatAttemptID(request *peerpb.RunRequest) string {
	return fmt.Sprintf("%s.%d", request.Run, request.Attempt)
}

// engineRequest returns the run request that is sent to the engine for a task.
func (t *task) engineRequest() engine.RunRequest {
	priority := priorityShort
	switch {
	case t.item.Resumed:
		priority = priorityResumed
	case t.item.Class == limit.ClassLong:
		priority = priorityLong
	}
	return engine.RunRequest{
		RunID:        t.request.Run,
		AttemptID:    t.run.attemptID,
		ModelVersion: t.modelVersion,
		Prompt:       t.request.Prompt,
		Generated:    t.request.Generated,
		MaxTokens:    int(t.request.MaxTokens),
		Priority:     priority,
		Resume:       t.canResume,
	}
}

// execute runs a placed task to its end. It does not depend on the connection of the entry node, so that the run continues
// when the entry node dies.
func (d *Dispatcher) execute(t *task) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t.run.setCancel(cancel)
	go d.stopWhenAbandoned(ctx, t.run)
	lastEvent := d.readRun(ctx, t)
	d.mu.Lock()
	s := d.schedulers[t.request.Deployment]
	requeue := lastEvent == nil
	if s != nil {
		s.release(t)
		if requeue {
			t.canResume, t.backend, t.isVerified, t.hasStarted = false, nil, false, false
			s.enqueue(t, time.Now())
		}
	}
	placed := d.placeWaiting(t.request.Deployment)
	d.mu.Unlock()
	d.startPlaced(placed)
	if !requeue {
		t.run.finish(lastEvent)
	}
}

// readRun sends the run request to the engine, reads the stream into the run and returns the last event of the run. It
// returns nil if the engine does not hold a run that it should resume; the task is then queued again.
func (d *Dispatcher) readRun(ctx context.Context, t *task) *peerpb.RunEvent {
	b := t.backend
	request := t.engineRequest()
	request.KVHandle = d.importKV(ctx, b, t.request)
	stream, err := b.Engine.Run(ctx, request)
	if errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrRefused) {
		if t.canResume && !errors.Is(err, engine.ErrProcessDown) {
			return nil
		}
		d.markLeavingIfRefused(b, err)
		return d.notStartedEvent(t, err)
	}
	lastResumeOffset := -1
	for {
		if err == nil {
			var lastEvent *peerpb.RunEvent
			lastEvent, err = d.readStream(t, stream)
			stream.Close()
			if lastEvent != nil {
				return lastEvent
			}
		}
		offset := t.run.answerLength()
		if t.run.isStopped() {
			return stoppedEvent(b.Host.Name)
		}
		if offset == lastResumeOffset {
			return d.brokenEvent(ctx, t, err)
		}
		// The run may continue in the engine: request the rest over a new connection, once for each offset at which a stream
		// breaks.
		lastResumeOffset = offset
		d.Log.Info("Engine stream broke; resuming the run over a new connection.",
			"run", t.request.Run, "host", b.Host.Name, "offset", offset, "error", err)
		stream, err = b.Engine.Run(ctx, t.engineResumeRequest())
	}
}

// engineResumeRequest returns the run request for the tokens that are still missing.
func (t *task) engineResumeRequest() engine.RunRequest {
	request := t.engineRequest()
	request.Resume = true
	request.Generated = t.run.answerTokens(t.request.Generated)
	return request
}

// readStream applies chunks until the run ends or the stream breaks. It ignores chunks of other attempts.
func (d *Dispatcher) readStream(t *task, stream *engine.Stream) (*peerpb.RunEvent, error) {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return nil, err
		}
		if chunk.AttemptID != t.run.attemptID {
			continue
		}
		if lastEvent := d.applyChunk(t, chunk); lastEvent != nil {
			return lastEvent, nil
		}
	}
}

// applyChunk adds a chunk to the run and returns the last event of the run if the chunk ends it.
func (d *Dispatcher) applyChunk(t *task, chunk engine.Chunk) *peerpb.RunEvent {
	host := t.backend.Host
	if chunk.Started && t.run.setAccepted(newAccepted(t, chunk)) {
		d.recordStart(t, chunk)
	}
	if len(chunk.Tokens) > 0 {
		if !t.run.appendTokens(chunk.Offset, chunk.Tokens) {
			return peer.BrokenEvent(&peerpb.Broken{Reason: "engine skipped tokens", Host: host.Name})
		}
		d.recordProgress(t)
	}
	switch {
	case !chunk.End:
		return nil
	case chunk.Cancelled:
		return peer.BrokenEvent(&peerpb.Broken{Reason: "engine cancelled the run", Host: host.Name})
	case chunk.Offset+len(chunk.Tokens) != t.run.answerLength():
		return peer.BrokenEvent(&peerpb.Broken{Reason: "engine ended the run with tokens missing", Host: host.Name})
	}
	d.recordEnd(t)
	return peer.EndEvent(&peerpb.End{Attempt: t.run.attemptID, Offset: int64(t.run.answerLength()), FinishReason: chunk.FinishReason})
}

// newAccepted returns the Accepted message for a started run. Of the tokens that the engine computed, those that earlier
// attempts had computed count as recomputed.
func newAccepted(t *task, chunk engine.Chunk) *peerpb.Accepted {
	return &peerpb.Accepted{
		Host:             t.backend.Host.Name,
		FailureDomain:    t.backend.Host.FailureDomain,
		CachedTokens:     int64(chunk.CachedTokens),
		ComputedTokens:   int64(chunk.ComputedTokens),
		RecomputedTokens: min(int64(chunk.ComputedTokens), t.request.ComputedTokens),
		Revision:         t.request.Revision,
		ModelVersion:     t.modelVersion,
	}
}

// recordStart notes that the engine has prefilled the prompt of a run and which part of it was cached.
func (d *Dispatcher) recordStart(t *task, chunk engine.Chunk) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.hasStarted = true
	t.backend.breaker.recordSuccess()
	if !t.canResume {
		t.backend.prefixCache.applyRunStart(t.blocks, chunk.CachedTokens, time.Now())
	}
}

// recordProgress marks a run as verified after verifiedAfterTokens tokens, which ends its isolation.
func (d *Dispatcher) recordProgress(t *task) {
	if t.run.answerLength()-len(t.request.Generated) < verifiedAfterTokens {
		return
	}
	d.mu.Lock()
	if t.isVerified {
		d.mu.Unlock()
		return
	}
	placed := d.markVerified(t)
	d.mu.Unlock()
	d.startPlaced(placed)
}

// markVerified notes that a run has not crashed its runner and places the requests that waited for that. The caller holds
// d.mu.
func (d *Dispatcher) markVerified(t *task) []*task {
	if s := d.schedulers[t.request.Deployment]; s != nil {
		s.markVerified(t)
	}
	if t.needsIsolation && d.Quarantine != nil {
		d.Quarantine.ClearSuspicion(t.quarantineKey)
	}
	return d.placeWaiting(t.request.Deployment)
}

// recordEnd updates the prefix cache estimate and the answer lengths after a run has ended normally.
func (d *Dispatcher) recordEnd(t *task) {
	tokens := append(engine.PromptTokens(t.request.Prompt), t.run.answerTokens(t.request.Generated)...)
	blocks := engine.PrefixBlocks(tokens)
	d.mu.Lock()
	t.backend.prefixCache.markCached(blocks, time.Now())
	if s := d.schedulers[t.request.Deployment]; s != nil {
		s.answerLengths.observe(t.item.Class, t.run.answerLength(), int(t.request.MaxTokens))
	}
	placed := d.markVerified(t)
	d.mu.Unlock()
	if d.Quarantine != nil && len(t.parts) > 0 {
		d.Quarantine.Parts.RecordAnswer(t.request.Deployment, t.parts)
	}
	d.startPlaced(placed)
}

// notStartedEvent returns the last event of a run that the engine did not accept.
func (d *Dispatcher) notStartedEvent(t *task, err error) *peerpb.RunEvent {
	d.mu.Lock()
	if errors.Is(err, engine.ErrNotSent) {
		t.backend.breaker.recordFailure(time.Now(), true)
	} else {
		t.backend.breaker.recordInconclusiveEnd()
	}
	d.mu.Unlock()
	if t.run.isStopped() {
		return stoppedEvent(t.backend.Host.Name)
	}
	return peer.RefusedEvent(&peerpb.Refused{Reason: err.Error(), RetryAfterMs: minRetryAfter.Milliseconds()})
}

// brokenEvent returns the last event of a run whose stream broke and could not be resumed.
func (d *Dispatcher) brokenEvent(ctx context.Context, t *task, err error) *peerpb.RunEvent {
	b := t.backend
	event := &peerpb.Broken{Reason: err.Error(), Host: b.Host.Name}
	if d.isEngineDown(ctx, t, err) {
		verdict := d.recordCrash(b)
		event.Crashed = verdict != quarantine.Excused
		event.Alone = verdict == quarantine.Culprit
		return peer.BrokenEvent(event)
	}
	d.mu.Lock()
	b.breaker.recordFailure(time.Now(), false)
	d.mu.Unlock()
	// The engine may still hold the run, which must not occupy a slot there.
	go cancelOnEngine(context.WithoutCancel(ctx), b, t.request.Run)
	return peer.BrokenEvent(event)
}

// isEngineDown probes whether the engine process is dead. A process that does not answer within probeTimeout may be frozen
// or unreachable and does not count as dead.
func (d *Dispatcher) isEngineDown(ctx context.Context, t *task, err error) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for !errors.Is(err, engine.ErrProcessDown) {
		if _, err = t.backend.Engine.LoadReport(ctx); err == nil {
			d.mu.Lock()
			isDown := t.backend.isDown
			d.mu.Unlock()
			if isDown {
				return true
			}
		}
		if !sleep.For(ctx, probeInterval) {
			return errors.Is(err, engine.ErrProcessDown)
		}
	}
	return true
}
