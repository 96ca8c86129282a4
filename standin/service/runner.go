// Package service is a stand-in for an application service such as an order service. It records each call that took effect,
// so that tests can count effects. The cloud stand-in runs it; other packages of standin use only its types.
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
	CallID string `json:"call"` // header X-Rudder-Call
	Host   string `json:"host"` // host of the runner that ran the call
}

// Ledger stores the effects of all runners that share it, as the database behind a service does. It is safe for concurrent
// use.
type Ledger struct {
	mu      sync.Mutex
	effects []Effect
}

// Add records an effect and returns the number of effects recorded so far.
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

// Faults are the faults that a service runner injects. The zero value injects none.
type Faults struct {
	DelayMillis   int64 `json:"delay_ms"`      // added between effect and response
	DropResponses int   `json:"lose_answers"`  // number of next calls that take effect but get no response
	RefuseCalls   bool  `json:"refuse"`        // respond 503 with X-Rudder-Not-Run; calls take no effect
	CrashOnCalls  int   `json:"crash_on_call"` // number of next calls that take effect and crash the runner before it responds
}

// Runner is one service runner. It responds to each call after a fixed delay. The exported fields are set before the first
// call; the methods are safe for concurrent use. All runners of a service share a ledger.
type Runner struct {
	Host          string
	Ledger        *Ledger
	ResponseDelay time.Duration // between effect and response
	// OnCrash is called when a fault crashes the runner, before the connection is closed. It may be nil.
	OnCrash func()

	mu        sync.Mutex
	faults    Faults
	unfrozen  chan struct{} // nil: not frozen; closed when the runner is unfrozen
	isLeaving bool          // refuses new calls
}

// SetFaults replaces all faults.
func (runner *Runner) SetFaults(faults Faults) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.faults = faults
}

// SetFrozen freezes or unfreezes the runner. A frozen runner responds to nothing and keeps its connections open, like a
// process stopped with SIGSTOP.
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

// RefuseNewCalls makes the runner refuse new calls with 503 and X-Rudder-Not-Run from now on. A runner whose host will be
// taken away does so.
func (runner *Runner) RefuseNewCalls() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.isLeaving = true
}

// Handler returns a handler for calls with any method and path.
func (runner *Runner) Handler() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/").HandlerFunc(runner.serve)
	return router
}

// callPlan is what the runner does with one call.
type callPlan struct {
	refuseCall, dropResponse, crashRunner bool
	responseDelay                         time.Duration
}

// planCall returns what to do with the next call, and counts down the faults that are limited to a number of calls. If the
// runner is frozen, it returns a channel that is closed when the runner is unfrozen.
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

// serve records the effect of a call and responds, unless a fault prevents either.
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
