package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"chestnutrudder.example/rudder/engine"
)

// stream sends the chunks of a run to one reader.
type stream struct {
	engine         *Engine
	run            *run
	request        engine.RunRequest
	nextOffset     int          // of the next token to send
	hasSentStarted bool         // the chunk with Started has been sent
	sentChunks     int          // without heartbeats and injected chunks
	lastTokenChunk engine.Chunk // last chunk with tokens, for RepeatEveryChunks
	encoder        *json.Encoder
	flush          func() error
}

// serve sends chunks and heartbeats until the run ends, the engine crashes or the reader disconnects.
func (s *stream) serve(w http.ResponseWriter, r *http.Request) {
	e := s.engine
	defer func() {
		e.mu.Lock()
		s.run.readerCount--
		s.run.idleSince = time.Now()
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
		chunk, changed, faults := s.nextChunk()
		if chunk.Started || chunk.End || len(chunk.Tokens) > 0 {
			if !s.waitBeforeSend(r, faults) || !s.sendWithFaults(chunk, faults) || chunk.End {
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
			if !s.waitBeforeSend(r, faults) || !s.writeChunk(engine.Chunk{AttemptID: s.request.AttemptID, Offset: s.nextOffset, Heartbeat: true}) {
				return
			}
		}
	}
}

// nextChunk returns a chunk with everything that has not been sent, a channel that is closed at the next change of the run,
// and the present faults. The chunk is empty if there is nothing to send.
func (s *stream) nextChunk() (engine.Chunk, <-chan struct{}, Faults) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk := engine.Chunk{AttemptID: s.request.AttemptID, Offset: s.nextOffset}
	if s.run.isPrefilled && !s.hasSentStarted {
		s.hasSentStarted = true
		chunk.Started = true
		if !s.request.Resume {
			chunk.ComputedTokens = s.run.computedTokens
			chunk.CachedTokens = s.run.cachedTokens
		}
	}
	if s.nextOffset < len(s.run.answerTokens) {
		chunk.Tokens = append(chunk.Tokens, s.run.answerTokens[s.nextOffset:]...)
		s.nextOffset = len(s.run.answerTokens)
	}
	if s.run.hasEnded {
		chunk.End = true
		chunk.Cancelled = s.run.isCancelled
		switch {
		case chunk.Cancelled:
			chunk.FinishReason = "cancelled"
		case s.run.answerLength < s.request.MaxTokens:
			chunk.FinishReason = "stop"
		default:
			chunk.FinishReason = "length"
		}
	}
	return chunk, s.run.changed, e.faults
}

// waitBeforeSend waits while the engine is frozen, and as long as the faults SilentStreams and StreamDelayMillis demand. It
// returns false if the reader of a silent stream disconnects, and aborts the handler if the engine crashes or the reader
// disconnects from a frozen engine.
func (s *stream) waitBeforeSend(r *http.Request, faults Faults) bool {
	if !s.engine.freezeGate.wait(s.engine.crashed, r.Context().Done()) {
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
	if faults.StreamDelayMillis > 0 {
		time.Sleep(time.Duration(faults.StreamDelayMillis) * time.Millisecond)
	}
	return true
}

// sendWithFaults sends a chunk. As the faults demand, it aborts the stream instead, or first repeats the last chunk with
// tokens or sends a chunk of an old attempt. It returns false if a write fails.
func (s *stream) sendWithFaults(chunk engine.Chunk, faults Faults) bool {
	s.sentChunks++
	if faults.CutStreamsAfterChunks > 0 && s.sentChunks > faults.CutStreamsAfterChunks {
		panic(http.ErrAbortHandler)
	}
	if faults.RepeatEveryChunks > 0 && s.sentChunks%faults.RepeatEveryChunks == 0 && len(s.lastTokenChunk.Tokens) > 0 && !s.writeChunk(s.lastTokenChunk) {
		return false
	}
	if faults.StaleEveryChunks > 0 && s.sentChunks%faults.StaleEveryChunks == 0 && !s.writeChunk(s.staleChunk(chunk.Offset)) {
		return false
	}
	if len(chunk.Tokens) > 0 {
		s.lastTokenChunk = engine.Chunk{AttemptID: chunk.AttemptID, Offset: chunk.Offset, Tokens: chunk.Tokens}
	}
	return s.writeChunk(chunk)
}

// staleChunk returns a chunk of an old attempt. Its token belongs to another answer, so that the oracle detects a system that
// accepts it.
func (s *stream) staleChunk(offset int) engine.Chunk {
	return engine.Chunk{AttemptID: s.request.RunID + ".old", Offset: offset, Tokens: []string{token(^s.run.promptHash, offset)}}
}

func (s *stream) writeChunk(chunk engine.Chunk) bool {
	return s.encoder.Encode(chunk) == nil && s.flush() == nil
}
