// Package service is a stand-in for a plain service such as an order service. It records each call that took effect, so
// that a test can count effects. Only cmd/standin, the cloud stand-in and tests use it.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Effect is one call that took effect.
type Effect struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	CallID string `json:"call"`
	Host   string `json:"host"`
}

// Ledger holds the effects of all service runners, as the database behind a service does.
type Ledger struct {
	mu      sync.Mutex
	effects []Effect
}

// Add records an effect.
func (l *Ledger) Add(e Effect) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects = append(l.effects, e)
	return len(l.effects)
}

// Effects returns a copy of all effects.
func (l *Ledger) Effects() []Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Effect{}, l.effects...)
}

// Faults change how a service runner answers. The zero value is a service without faults.
type Faults struct {
	DelayMillis   int64 `json:"delay_ms"`      // added between effect and answer
	DropResponses int   `json:"lose_answers"`  // calls to run whose answer is dropped
	RefuseCalls   bool  `json:"refuse"`        // answer 503 with X-Rudder-Not-Run before running
	CrashOnCalls  int   `json:"crash_on_call"` // calls to run that crash the runner before it answers
}

// Runner answers calls after a fixed time. All runners of a service share the ledger.
type Runner struct {
	Host          string
	Ledger        *Ledger
	ResponseDelay time.Duration
	// OnCrash is called when a fault crashes the runner; it may be nil.
	OnCrash func()

	mu        sync.Mutex
	faults    Faults
	unfrozen  chan struct{} // nil: not frozen
	isLeaving bool
}

// SetFaults replaces the faults.
func (runner *Runner) SetFaults(faults Faults) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.faults = faults
}

// SetFrozen makes the runner answer nothing and keep connections open, or lets it go on.
func (runner *Runner) SetFrozen(frozen bool) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if frozen && runner.unfrozen == nil {
		runner.unfrozen = make(chan struct{})
	}
	if !frozen && runner.unfrozen != nil {
		close(runner.unfrozen)
		runner.unfrozen = nil
	}
}

// RefuseNewCalls makes the runner refuse new calls with 503 and X-Rudder-Not-Run.
func (runner *Runner) RefuseNewCalls() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.isLeaving = true
}

// Handler answers every method and path.
func (runner *Runner) Handler() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/").HandlerFunc(runner.serve)
	return router
}

// callPlan is what happens to one call.
type callPlan struct {
	refuseCall, dropResponse, crashRunner bool
	responseDelay                         time.Duration
}

func (runner *Runner) planCall() (callPlan, <-chan struct{}) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.unfrozen != nil {
		return callPlan{}, runner.unfrozen
	}
	plan := callPlan{refuseCall: runner.faults.RefuseCalls || runner.isLeaving, responseDelay: runner.ResponseDelay + time.Duration(runner.faults.DelayMillis)*time.Millisecond}
	if plan.refuseCall {
		return plan, nil
	}
	if runner.faults.DropResponses > 0 {
		runner.faults.DropResponses--
		plan.dropResponse = true
	}
	if runner.faults.CrashOnCalls > 0 {
		runner.faults.CrashOnCalls--
		plan.crashRunner = true
	}
	return plan, nil
}

func (runner *Runner) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	plan, unfrozen := runner.planCall()
	for unfrozen != nil {
		select {
		case <-unfrozen:
		case <-r.Context().Done():
			return
		}
		plan, unfrozen = runner.planCall()
	}
	if plan.refuseCall {
		w.Header().Set("X-Rudder-Not-Run", "1")
		http.Error(w, "refused before running", http.StatusServiceUnavailable)
		return
	}
	effectCount := runner.Ledger.Add(Effect{Method: r.Method, Path: r.URL.Path, Body: string(body), CallID: r.Header.Get("X-Rudder-Call"), Host: runner.Host})
	if plan.crashRunner && runner.OnCrash != nil {
		runner.OnCrash()
	}
	if plan.dropResponse || plan.crashRunner {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(plan.responseDelay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"effect": effectCount, "path": r.URL.Path, "body": string(body)})
}
