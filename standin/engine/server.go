package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"chestnutrudder.example/rudder/engine"
)

const heartbeatInterval = 500 * time.Millisecond

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/runs", e.serveRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/runs/{run}/cancel", e.cancelRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/control/stats", e.serveStats).Methods(http.MethodGet)
	return router
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.Refusal{Reason: reason})
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	var order engine.RunOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	entry, status, reason := e.enter(order)
	if entry == nil {
		refuse(w, status, reason)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	e.follow(w, r, entry, order)
}

// enter queues a run or finds the one to resume.
func (e *Engine) enter(order engine.RunOrder) (*run, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Resume {
		held := e.runs[order.Run]
		if held == nil || held.cancelled || held.order.Prompt != order.Prompt {
			return nil, http.StatusNotFound, "run is not held"
		}
		held.readers++
		return held, 0, ""
	}
	if e.leaving {
		return nil, http.StatusGone, "leaving"
	}
	if order.ModelVersion != e.config.ModelVersion {
		return nil, http.StatusConflict, "model version is " + e.config.ModelVersion
	}
	if len(e.queue)+len(e.batch) >= 2*e.config.Slots {
		return nil, http.StatusServiceUnavailable, "queue is full"
	}
	if old := e.runs[order.Run]; old != nil {
		old.cancelled = true
	}
	entry := &run{order: order, readers: 1, tokens: append([]string(nil), order.Generated...), changed: make(chan struct{})}
	e.runs[order.Run] = entry
	e.queue = append(e.queue, entry)
	e.stats.Runs++
	return entry, 0, ""
}

// follow streams the chunks of a run from the offset that the order asks for.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, entry *run, order engine.RunOrder) {
	defer func() {
		e.mu.Lock()
		entry.readers--
		entry.idleFrom = time.Now()
		e.mu.Unlock()
	}()
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	offset := len(order.Generated)
	startedSent := false
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		e.mu.Lock()
		chunk := engine.Chunk{Attempt: order.Attempt, Offset: offset}
		if entry.started && !startedSent {
			chunk.Started = true
			chunk.ComputedTokens = entry.computed
			chunk.CachedTokens = entry.cached
			if order.Resume {
				chunk.ComputedTokens = 0
			}
			startedSent = true
		}
		if offset < len(entry.tokens) {
			chunk.Tokens = append(chunk.Tokens, entry.tokens[offset:]...)
		}
		offset += len(chunk.Tokens)
		if entry.ended {
			chunk.End = true
			chunk.Cancelled = entry.cancelled
			chunk.FinishReason = "length"
		}
		changed := entry.changed
		crash := entry.started && strings.Contains(order.Prompt, crashMarker)
		e.mu.Unlock()
		if crash {
			e.Crash()
		}
		if chunk.Started || chunk.End || len(chunk.Tokens) > 0 {
			if encoder.Encode(chunk) != nil || controller.Flush() != nil || chunk.End {
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
			if encoder.Encode(engine.Chunk{Attempt: order.Attempt, Offset: offset, Heartbeat: true}) != nil || controller.Flush() != nil {
				return
			}
		}
	}
}

func (e *Engine) cancelRun(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry := e.runs[mux.Vars(r)["run"]]; entry != nil {
		entry.cancelled = true
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := engine.Load{
		Running:             len(e.batch),
		Waiting:             len(e.queue),
		Slots:               e.config.Slots,
		ModelVersion:        e.config.ModelVersion,
		Leaving:             e.leaving,
		Epoch:               e.epoch,
		PrefillTokensPerSec: e.config.PrefillTokensPerSec,
		LastFence:           e.fence,
	}
	for _, r := range e.queue {
		load.WaitingPromptTokens += len(engine.PromptTokens(r.order.Prompt))
	}
	e.mu.Unlock()
	load.DecodeStepMillis = float64(e.stepTime()) / float64(time.Millisecond)
	writeJSON(w, load)
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	stats := e.stats
	e.mu.Unlock()
	writeJSON(w, stats)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Running returns the number of runs in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch)
}
