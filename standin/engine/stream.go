package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"chestnutrudder.example/rudder/engine"
)

// stream sends the chunks of a run to one reader.
type stream struct {
	engine  *Engine
	run     *run
	order   engine.RunRequest
	offset  int
	started bool // the chunk with Started has been sent
	sent    int
	last    engine.Chunk // last chunk with tokens
	encoder *json.Encoder
	flush   func() error
}

// follow sends chunks and heartbeats until the run ends, the engine crashes or the reader goes away.
func (s *stream) follow(w http.ResponseWriter, r *http.Request) {
	e := s.engine
	defer func() {
		e.mu.Lock()
		s.run.readers--
		s.run.idleFrom = time.Now()
		e.mu.Unlock()
	}()
	s.encoder = json.NewEncoder(w)
	s.flush = http.NewResponseController(w).Flush
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	if s.flush() != nil {
		return
	}
	for {
		chunk, changed, faults := s.next()
		if chunk.Started || chunk.End || len(chunk.Tokens) > 0 {
			if !s.pass(r, faults) || !s.send(chunk, faults) || chunk.End {
				return
			}
		}
		select {
		case <-e.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-changed:
		case <-heartbeat.C:
			if !s.pass(r, faults) || !s.write(engine.Chunk{AttemptID: s.order.AttemptID, Offset: s.offset, Heartbeat: true}) {
				return
			}
		}
	}
}

// next returns what the reader lacks and a channel that is closed at the next change.
func (s *stream) next() (engine.Chunk, <-chan struct{}, Faults) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk := engine.Chunk{AttemptID: s.order.AttemptID, Offset: s.offset}
	if s.run.started && !s.started {
		s.started = true
		chunk.Started = true
		if !s.order.Resume {
			chunk.ComputedTokens = s.run.computed
			chunk.CachedTokens = s.run.cached
		}
	}
	if s.offset < len(s.run.tokens) {
		chunk.Tokens = append(chunk.Tokens, s.run.tokens[s.offset:]...)
		s.offset = len(s.run.tokens)
	}
	if s.run.ended {
		chunk.End = true
		chunk.Cancelled = s.run.cancelled
		switch {
		case chunk.Cancelled:
			chunk.FinishReason = "cancelled"
		case s.run.length < s.order.MaxTokens:
			chunk.FinishReason = "stop"
		default:
			chunk.FinishReason = "length"
		}
	}
	return chunk, s.run.changed, e.faults
}

// pass waits out freezes, silent streams and delays; false means that the stream is over.
func (s *stream) pass(r *http.Request, faults Faults) bool {
	if !s.engine.gate.wait(s.engine.crashed, r.Context().Done()) {
		panic(http.ErrAbortHandler)
	}
	if faults.SilentStreams {
		select {
		case <-s.engine.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return false
		}
	}
	if faults.StreamDelay > 0 {
		time.Sleep(time.Duration(faults.StreamDelay) * time.Millisecond)
	}
	return true
}

// send sends a chunk and, as the faults say, an earlier one again or one of an old attempt.
func (s *stream) send(chunk engine.Chunk, faults Faults) bool {
	s.sent++
	if faults.CutStreamsAfter > 0 && s.sent > faults.CutStreamsAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.RepeatEvery > 0 && s.sent%faults.RepeatEvery == 0 && len(s.last.Tokens) > 0 && !s.write(s.last) {
		return false
	}
	if faults.StaleEvery > 0 && s.sent%faults.StaleEvery == 0 && !s.write(s.stale(chunk.Offset)) {
		return false
	}
	if len(chunk.Tokens) > 0 {
		s.last = engine.Chunk{AttemptID: chunk.AttemptID, Offset: chunk.Offset, Tokens: chunk.Tokens}
	}
	return s.write(chunk)
}

// stale returns a chunk of an old attempt whose token belongs to no answer, so that the oracle sees it if it is taken.
func (s *stream) stale(offset int) engine.Chunk {
	return engine.Chunk{AttemptID: s.order.RunID + ".old", Offset: offset, Tokens: []string{token(^s.run.prompt, offset)}}
}

func (s *stream) write(chunk engine.Chunk) bool {
	return s.encoder.Encode(chunk) == nil && s.flush() == nil
}
