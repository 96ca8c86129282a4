package objectapi

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the faults to inject into the object API. The zero value injects none.
type Faults struct {
	Down          bool     `json:"down"`          // respond to every call with 503 and end waiting watches
	Silent        bool     `json:"silent"`        // accept calls but never respond
	DelayMillis   int64    `json:"delay_ms"`      // delay before each call
	JitterMillis  int64    `json:"jitter_ms"`     // mean of an additional, exponentially distributed delay
	DropResponses int      `json:"lose_answers"`  // number of writes that take effect but whose response is dropped
	FailShare     float64  `json:"fail_share"`    // share of calls, from 0 to 1, that get 503 without taking effect
	FailPrefixes  []string `json:"fail_prefixes"` // calls for keys with these prefixes get 503 without taking effect
}

// Limits are the rate limits of the object API. Calls above them get 429 without taking effect. Each get, list and watch
// counts as one read, no matter how long a watch waits.
type Limits struct {
	ReadsPerSec  float64 `json:"reads_per_sec"` // 0: no limit
	WritesPerSec float64 `json:"writes_per_sec"`
}

type limiters struct {
	reads, writes *rate.Limiter
}

// callCounts counts all calls, including failed ones.
type callCounts struct {
	ByKind   map[string]int64 // also "limited", the calls above the rate limit
	ByPrefix map[string]int64 // key "kind prefix", where prefix is the part of the object key before the first slash
}

// callKindAndKey returns the kind of a call and the object key, or for list and watch the key prefix, that it refers to.
func callKindAndKey(r *http.Request) (kind, key string) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/watch"):
		return "watch", r.URL.Query().Get("prefix")
	case strings.HasSuffix(r.URL.Path, "/list"):
		return "list", r.URL.Query().Get("prefix")
	default:
		return strings.ToLower(r.Method), strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	}
}

// callDecision determines how the server handles one call.
type callDecision struct {
	delay  time.Duration
	silent bool
	status int // status of a failed call; 0: the call is executed
}

// decideCall counts a call and determines its handling from the faults and the rate limits.
func (s *Server) decideCall(kind, key string) callDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.ByKind[kind]++
	prefix, _, _ := strings.Cut(key, "/")
	s.calls.ByPrefix[kind+" "+prefix]++
	limiter := s.limits.reads
	if kind == "put" || kind == "delete" {
		limiter = s.limits.writes
	}
	d := callDecision{delay: time.Duration(s.faults.DelayMillis) * time.Millisecond, silent: s.faults.Silent}
	if s.faults.JitterMillis > 0 {
		d.delay += time.Duration(s.random.ExpFloat64() * float64(s.faults.JitterMillis) * float64(time.Millisecond))
	}
	switch {
	case limiter != nil && !limiter.Allow():
		s.calls.ByKind["limited"]++
		d.status = http.StatusTooManyRequests
	case s.faults.Down, s.random.Float64() < s.faults.FailShare:
		d.status = http.StatusServiceUnavailable
	}
	for _, p := range s.faults.FailPrefixes {
		if strings.HasPrefix(key, p) {
			d.status = http.StatusServiceUnavailable
		}
	}
	return d
}

func (s *Server) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d := s.decideCall(callKindAndKey(r))
		time.Sleep(d.delay)
		if d.silent {
			<-r.Context().Done()
			return
		}
		if d.status != 0 {
			w.WriteHeader(d.status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// consumeResponseDrop reports whether to drop the response to a write, and if so decrements Faults.DropResponses. The
// caller must hold s.mu.
func (s *Server) consumeResponseDrop() bool {
	if s.faults.DropResponses <= 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

func dropConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// handleSetFaults replaces the faults and wakes the waiting watches, so that they end if the server is now down.
func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

func (s *Server) handleSetLimits(w http.ResponseWriter, r *http.Request) {
	var limits Limits
	if err := json.NewDecoder(r.Body).Decode(&limits); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.limits = limiters{reads: newLimiter(limits.ReadsPerSec), writes: newLimiter(limits.WritesPerSec)}
	s.mu.Unlock()
}

// newLimiter returns a limiter that allows bursts of a tenth of a second's calls, or nil, which means no limit.
func newLimiter(ratePerSec float64) *rate.Limiter {
	if ratePerSec <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(ratePerSec), max(1, int(ratePerSec/10)))
}

func (s *Server) handleCallCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := maps.Clone(s.calls.ByKind)
	s.mu.Unlock()
	writeJSON(w, calls)
}

func (s *Server) handleCallCountsByPrefix(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := maps.Clone(s.calls.ByPrefix)
	s.mu.Unlock()
	writeJSON(w, calls)
}
