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
	Call   string `json:"call"`
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
	DelayMillis  int64 `json:"delay_ms"`      // added between effect and answer
	LoseAnswers  int   `json:"lose_answers"`  // calls to run whose answer is dropped
	Refuse       bool  `json:"refuse"`        // answer 503 with X-Rudder-Not-Run before running
	CrashOnCalls int   `json:"crash_on_call"` // calls to run that crash the runner before it answers
}

// Service answers calls after a fixed time. All runners of a service share the ledger.
type Service struct {
	Host   string
	Ledger *Ledger
	Delay  time.Duration
	// Crash is called when a fault crashes the runner; it may be nil.
	Crash func()

	mu      sync.Mutex
	faults  Faults
	thawed  chan struct{} // nil: not frozen
	leaving bool
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Freeze makes the runner answer nothing and keep connections open, or lets it go on.
func (s *Service) Freeze(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if frozen && s.thawed == nil {
		s.thawed = make(chan struct{})
	}
	if !frozen && s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// Leave makes the runner refuse new calls with 503 and X-Rudder-Not-Run.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Handler answers every method and path.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/").HandlerFunc(s.serve)
	return router
}

// decision is what happens to one call.
type decision struct {
	refuse, lose, crash bool
	delay               time.Duration
}

func (s *Service) decide() (decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		return decision{}, s.thawed
	}
	d := decision{refuse: s.faults.Refuse || s.leaving, delay: s.Delay + time.Duration(s.faults.DelayMillis)*time.Millisecond}
	if d.refuse {
		return d, nil
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		d.lose = true
	}
	if s.faults.CrashOnCalls > 0 {
		s.faults.CrashOnCalls--
		d.crash = true
	}
	return d, nil
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	d, frozen := s.decide()
	for frozen != nil {
		select {
		case <-frozen:
		case <-r.Context().Done():
			return
		}
		d, frozen = s.decide()
	}
	if d.refuse {
		w.Header().Set("X-Rudder-Not-Run", "1")
		http.Error(w, "refused before running", http.StatusServiceUnavailable)
		return
	}
	number := s.Ledger.Add(Effect{Method: r.Method, Path: r.URL.Path, Body: string(body), Call: r.Header.Get("X-Rudder-Call"), Host: s.Host})
	if d.crash && s.Crash != nil {
		s.Crash()
	}
	if d.lose || d.crash {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(d.delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"effect": number, "path": r.URL.Path, "body": string(body)})
}
