// Package service is a stand-in for a plain service such as an order service. It records each call that took effect, so
// that a test can count effects. Only cmd/standin and tests use it.
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

// Service answers calls after a fixed time.
type Service struct {
	Ledger *Ledger
	Delay  time.Duration
}

// Handler answers every method and path.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/").HandlerFunc(s.serve)
	return router
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	number := s.Ledger.Add(Effect{Method: r.Method, Path: r.URL.Path, Body: string(body), Call: r.Header.Get("X-Rudder-Call")})
	time.Sleep(s.Delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"effect": number, "path": r.URL.Path, "body": string(body)})
}
