// Package weights is a stand-in for the weight store: a fetch takes time, and fetches above the rate get 429. The cloud
// stand-in, cmd/standin and tests use it.
package weights

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// Settings say how the store answers.
type Settings struct {
	FetchMillis   int64   `json:"fetch_ms"`         // time of one fetch
	FetchesPerSec float64 `json:"fetches_per_sec"`  // 0: no limit
	Burst         int     `json:"burst"`            // fetches at once
	Down          bool    `json:"down"`             // answer 503
	WeightsBytes  int64   `json:"weights_in_bytes"` // size that the answer states
}

// Counts say how often a key was fetched and how often a fetch was refused.
type Counts struct {
	FetchesByKey   map[string]int `json:"fetches"`
	RefusedFetches int            `json:"refused"`
}

// Store answers GET /v1/weights/{key}.
type Store struct {
	mu       sync.Mutex
	settings Settings
	limiter  *rate.Limiter
	counts   Counts
}

// NewStore returns a store with the settings.
func NewStore(settings Settings) *Store {
	s := &Store{counts: Counts{FetchesByKey: map[string]int{}}}
	s.SetSettings(settings)
	return s
}

// SetSettings replaces the settings.
func (s *Store) SetSettings(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	limit := rate.Inf
	if settings.FetchesPerSec > 0 {
		limit = rate.Limit(settings.FetchesPerSec)
	}
	s.limiter = rate.NewLimiter(limit, max(1, settings.Burst))
}

// RegisterRoutes adds the store's routes and its controls.
func (s *Store) RegisterRoutes(router *mux.Router) {
	router.HandleFunc("/v1/weights/{key}", s.serveWeights).Methods(http.MethodGet)
	router.HandleFunc("/control/weights", s.serveControl).Methods(http.MethodPut, http.MethodGet)
}

// Handler returns the store's routes on their own.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	s.RegisterRoutes(router)
	return router
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	settings := s.settings
	allowed := s.limiter.Allow()
	key := mux.Vars(r)["key"]
	switch {
	case settings.Down:
	case allowed:
		s.counts.FetchesByKey[key]++
	default:
		s.counts.RefusedFetches++
	}
	s.mu.Unlock()
	if settings.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !allowed {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	select {
	case <-time.After(time.Duration(settings.FetchMillis) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	writeJSON(w, map[string]any{"key": key, "bytes": settings.WeightsBytes})
}

func (s *Store) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var settings Settings
		if err := json.NewDecoder(r.Body).Decode(&settings); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.SetSettings(settings)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.counts)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
