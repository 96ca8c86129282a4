package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"chestnutrudder.example/rudder/engine"
)

// heartbeatInterval is how often a stream sends a heartbeat.
const heartbeatInterval = 500 * time.Millisecond

// Handler returns the engine's HTTP API. A frozen engine responds to nothing and keeps connections open; a crashed engine
// closes them without a response.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !e.freezeGate.wait(e.crashed, r.Context().Done()) {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		})
	})
	router.HandleFunc("/v1/runs", e.serveRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/runs/{run}/cancel", e.cancelRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/runs/{run}/export", e.serveExportKV).Methods(http.MethodPost)
	router.HandleFunc("/v1/exports/{handle}", e.serveExportedKV).Methods(http.MethodGet)
	router.HandleFunc("/v1/imports", e.serveImportKV).Methods(http.MethodPost)
	router.HandleFunc("/v1/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	router.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/control/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) }).Methods(http.MethodGet)
	return router
}

// writeRefusal responds that the engine did not do what was requested.
func writeRefusal(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.Refusal{Reason: reason})
}

// serveRun starts or resumes a run and streams its chunks.
func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	var request engine.RunRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	acceptedRun, status, reason := e.enqueueOrResume(request)
	if acceptedRun == nil {
		writeRefusal(w, status, reason)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	(&stream{engine: e, run: acceptedRun, request: request, nextOffset: len(request.Generated)}).serve(w, r)
}

// enqueueOrResume queues a new run, in place of an earlier one with the same ID, or finds the run to resume. If it returns no
// run, nothing was run, and the status and the reason are for the response.
func (e *Engine) enqueueOrResume(request engine.RunRequest) (*run, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if request.Resume {
		heldRun := e.runs[request.RunID]
		if heldRun == nil || heldRun.isCancelled || heldRun.request.Prompt != request.Prompt {
			return nil, http.StatusNotFound, "run is not held"
		}
		heldRun.readerCount++
		return heldRun, 0, ""
	}
	if !e.notice.leaveAt.IsZero() {
		if sinceNotice := time.Since(e.notice.receivedAt); sinceNotice > LateRunThreshold {
			e.config.Ledger.addLateRun(LateRun{Host: e.config.Host, RunID: request.RunID, AfterNoticeMillis: sinceNotice.Milliseconds()})
		}
	}
	if status, reason := e.refusalFor(request); status != 0 {
		e.stats.RefusedRuns++
		return nil, status, reason
	}
	if earlierRun := e.runs[request.RunID]; earlierRun != nil {
		earlierRun.isCancelled = true
	}
	queuedRun := newRun(request)
	e.runs[request.RunID] = queuedRun
	e.waitingRuns = append(e.waitingRuns, queuedRun)
	e.stats.Runs++
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return queuedRun, 0, ""
}

// refusalFor returns the status and the reason with which a new run is refused; status 0 means that it is accepted. The
// caller holds the lock.
func (e *Engine) refusalFor(request engine.RunRequest) (int, string) {
	switch {
	case e.notice.refusesRuns:
		return http.StatusGone, "leaving"
	case request.ModelVersion != e.config.ModelVersion:
		return http.StatusConflict, "model version is " + e.config.ModelVersion
	case e.faults.RefuseRuns:
		return http.StatusServiceUnavailable, "refused"
	case len(e.waitingRuns) >= e.config.MaxWaiting && len(e.batch) >= e.config.Slots:
		return http.StatusServiceUnavailable, "queue is full"
	}
	return 0, ""
}

// cancelRun cancels a run, which ends at the next step. An unknown run is ignored.
func (e *Engine) cancelRun(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if heldRun := e.runs[mux.Vars(r)["run"]]; heldRun != nil {
		heldRun.isCancelled = true
	}
}

// serveLoad sends a load report that is up to Faults.LoadLagMillis old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if lag := time.Duration(e.faults.LoadLagMillis) * time.Millisecond; e.lastReportAt.IsZero() || time.Since(e.lastReportAt) >= lag {
		e.lastReport = e.currentLoad()
		e.lastReportAt = time.Now()
	}
	writeJSON(w, e.lastReport)
}

// currentLoad returns the present load. The caller holds the lock.
func (e *Engine) currentLoad() engine.LoadReport {
	report := engine.LoadReport{
		Running:             len(e.batch),
		Waiting:             len(e.waitingRuns),
		Slots:               e.config.Slots,
		ModelVersion:        e.config.ModelVersion,
		Adapters:            append([]string(nil), e.adapters...),
		Role:                e.role,
		Leaving:             !e.notice.leaveAt.IsZero(),
		Epoch:               e.epoch,
		PrefillTokensPerSec: e.config.PrefillTokensPerSec,
		DecodeStepMillis:    float64(e.decodeStepDuration()) / float64(time.Millisecond),
		LastFence:           e.highestFence,
		LoadingVersion:      e.loadingVersion,
	}
	if report.Leaving {
		report.LeavingInMillis = max(1, time.Until(e.notice.leaveAt).Milliseconds())
	}
	for _, r := range e.waitingRuns {
		report.WaitingPromptTokens += len(r.inputTokens)
	}
	for _, r := range e.batch {
		report.WaitingPromptTokens += max(0, r.remainingPrefill)
	}
	return report
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
