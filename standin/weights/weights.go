// Package weights is a stand-in for the weight store: a fetch takes a configured time, and fetches above the rate limit get
// 429. The cloud stand-in and cmd/standin run it.
package weights

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// Settings are the timing, the rate limit and the faults of a store.
type Settings struct {
	FetchMillis   int64   `json:"fetch_ms"`         // duration of one fetch
	FetchesPerSec float64 `json:"fetches_per_sec"`  // rate limit; 0: none
	Burst         int     `json:"burst"`            // fetches allowed at once, at least 1
	Down          bool    `json:"down"`             // respond 503 to every fetch
	WeightsBytes  int64   `json:"weights_in_bytes"` // size in each response; no data is sent
}

// Counts counts the fetches of a store. Fetches while the store is down are not counted.
type Counts struct {
	FetchesByKey   map[string]int `json:"fetches"` // allowed fetches
	RefusedFetches int            `json:"refused"` // above the rate limit
}

// Store serves GET /v1/weights/{key}. It is safe for concurrent use.
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

// SetSettings replaces the settings and starts a new rate limit. The counts stay.
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

// RegisterRoutes adds the routes of the store, and /control/weights to change its settings and read its counts.
func (s *Store) RegisterRoutes(router *mux.Router) {
	router.HandleFunc("/v1/weights/{key}", s.serveWeights).Methods(http.MethodGet)
	router.HandleFunc("/control/weights", s.serveControl).Methods(http.MethodPut, http.MethodGet)
}

// Handler returns a handler that has only the routes of the store.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	s.RegisterRoutes(router)
	return router
}

// serveWeights responds to a fetch after the fetch time, or refuses it.
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

// serveControl replaces the settings on PUT and responds with the counts.
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
