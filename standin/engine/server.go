package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"chestnutrudder.example/rudder/engine"
)

const heartbeatInterval = 500 * time.Millisecond

// Handler returns the engine's HTTP interface. A frozen engine answers nothing and keeps connections open.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !e.gate.wait(e.crashed, r.Context().Done()) {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		})
	})
	router.HandleFunc("/v1/runs", e.serveRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/runs/{run}/cancel", e.cancelRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/runs/{run}/export", e.exportRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/exports/{handle}", e.serveExport).Methods(http.MethodGet)
	router.HandleFunc("/v1/imports", e.importExport).Methods(http.MethodPost)
	router.HandleFunc("/v1/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", e.takeOrder).Methods(http.MethodPost)
	router.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/control/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) }).Methods(http.MethodGet)
	return router
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.Refusal{Reason: reason})
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	var order engine.RunRequest
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
	(&stream{engine: e, run: entry, order: order, offset: len(order.Generated)}).follow(w, r)
}

// enter queues a run or finds the one to resume. A refusal means that nothing was run.
func (e *Engine) enter(order engine.RunRequest) (*run, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Resume {
		held := e.runs[order.RunID]
		if held == nil || held.cancelled || held.order.Prompt != order.Prompt {
			return nil, http.StatusNotFound, "run is not held"
		}
		held.readers++
		return held, 0, ""
	}
	if !e.leaving.at.IsZero() {
		if after := time.Since(e.leaving.noticeAt); after > LateAfter {
			e.config.Ledger.addLate(LateOffer{Host: e.config.Host, Run: order.RunID, AfterMillis: after.Milliseconds()})
		}
	}
	if status, reason := e.refusal(order); status != 0 {
		e.stats.Refused++
		return nil, status, reason
	}
	if old := e.runs[order.RunID]; old != nil {
		old.cancelled = true
	}
	entry := newRun(order)
	e.runs[order.RunID] = entry
	e.queue = append(e.queue, entry)
	e.stats.Runs++
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return entry, 0, ""
}

// refusal returns why a new run is not taken, 0 if it is. The caller holds the lock.
func (e *Engine) refusal(order engine.RunRequest) (int, string) {
	switch {
	case e.leaving.refuse:
		return http.StatusGone, "leaving"
	case order.ModelVersion != e.config.ModelVersion:
		return http.StatusConflict, "model version is " + e.config.ModelVersion
	case e.faults.RefuseRuns:
		return http.StatusServiceUnavailable, "refused"
	case len(e.queue) >= e.config.MaxWaiting && len(e.batch) >= e.config.Slots:
		return http.StatusServiceUnavailable, "queue is full"
	}
	return 0, ""
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
	defer e.mu.Unlock()
	if lag := time.Duration(e.faults.LoadLagMillis) * time.Millisecond; e.reportAt.IsZero() || time.Since(e.reportAt) >= lag {
		e.report = e.load()
		e.reportAt = time.Now()
	}
	writeJSON(w, e.report)
}

// load returns the present load. The caller holds the lock.
func (e *Engine) load() engine.LoadReport {
	load := engine.LoadReport{
		Running:             len(e.batch),
		Waiting:             len(e.queue),
		Slots:               e.config.Slots,
		ModelVersion:        e.config.ModelVersion,
		Adapters:            append([]string(nil), e.adapters...),
		Role:                e.role,
		Leaving:             !e.leaving.at.IsZero(),
		Epoch:               e.epoch,
		PrefillTokensPerSec: e.config.PrefillTokensPerSec,
		DecodeStepMillis:    float64(e.decodeTime()) / float64(time.Millisecond),
		LastFence:           e.fence,
		LoadingVersion:      e.loading,
	}
	if load.Leaving {
		load.LeavingInMillis = max(1, time.Until(e.leaving.at).Milliseconds())
	}
	for _, r := range e.queue {
		load.WaitingPromptTokens += len(r.input)
	}
	for _, r := range e.batch {
		load.WaitingPromptTokens += max(0, r.remaining)
	}
	return load
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
