package objectapi

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Faults change how the server answers. The zero value is a server without faults.
type Faults struct {
	Down         bool     `json:"down"`          // answer 503 to everything; waiting watches end
	Silent       bool     `json:"silent"`        // do not answer at all
	DelayMillis  int64    `json:"delay_ms"`      // wait before each call
	JitterMillis int64    `json:"jitter_ms"`     // mean of an exponential wait that is added
	LoseAnswers  int      `json:"lose_answers"`  // number of writes to do whose answer is dropped
	FailShare    float64  `json:"fail_share"`    // share of calls that are answered with 503 and not done
	FailPrefixes []string `json:"fail_prefixes"` // calls for these keys are answered with 503 and not done
}

// Limits are the rates of the platform. Calls above them are answered with 429 and not done. Each call and each waiting
// watch counts as one read.
type Limits struct {
	ReadsPerSec  float64 `json:"reads_per_sec"` // 0: no limit
	WritesPerSec float64 `json:"writes_per_sec"`
}

type limiters struct {
	reads, writes *rate.Limiter
}

// callCounts are the calls so far, also those that failed.
type callCounts struct {
	ByKind   map[string]int64
	ByPrefix map[string]int64 // "kind prefix", where the prefix is the first part of the key
}

// callKindAndKey returns the kind of a call and the key or prefix that it is about.
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

// callDecision says what happens to one call.
type callDecision struct {
	delay  time.Duration
	silent bool
	status int // 0: the call is done
}

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

// consumeResponseDrop reports whether the answer of this write is to be dropped. The caller holds the lock.
func (s *Server) consumeResponseDrop() bool {
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func dropConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// handleSetFaults replaces the faults and wakes waiting watches, so that they end when the server is down.
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

// newLimiter allows bursts of a tenth of a second.
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
