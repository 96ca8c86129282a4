package relay

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
)

// pausingServer is a backend server that refuses requests for a time and asks for a pause until its end.
type pausingServer struct {
	refusal string // header lines of the refusal beside Retry-After
	length  time.Duration

	mu       sync.Mutex
	begin    time.Time   // of the pause: the first refusal
	arrivals []time.Time // of all requests
}

func (s *pausingServer) handle(conn net.Conn, r *http.Request) bool {
	s.mu.Lock()
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	if s.begin.IsZero() {
		s.begin = now
	}
	left := s.begin.Add(s.length).Sub(now)
	s.mu.Unlock()
	if left > 0 {
		return respond(conn, r, 503, s.refusal+"Retry-After: "+strconv.FormatFloat(left.Seconds(), 'f', 3, 64)+"\r\n", "")
	}
	if strings.HasPrefix(r.URL.Path, "/resumable/") {
		return sendEvents(conn, r, 1, 2, true)
	}
	return succeed(conn, r)
}

// arrivalsIn returns the number of requests from one time after the begin of the pause to another.
func (s *pausingServer) arrivalsIn(from, until time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.arrivals {
		if since := at.Sub(s.begin); since >= from && since < until {
			count++
		}
	}
	return count
}

// Guards against a server that goes on getting requests, first attempts and repeats of many callers, after it has asked for a
// pause. The callers must be served by the other server meanwhile, and the server must get requests again later, without
// having counted as failing.
func TestServerThatAsksForPauseGetsNoRequests(t *testing.T) {
	for name, test := range map[string]struct{ path, refusal string }{
		"idempotent":               {"/safe/x", "X-Rudder-Not-Run: 1\r\n"},
		"idempotent, may have run": {"/safe/x", ""},
		"non-idempotent":           {"/once/x", "X-Rudder-Not-Run: 1\r\n"},
		"resumable stream":         {"/resumable/x", "X-Rudder-Not-Run: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for _, route := range h.config.Routes {
				route.LatencyObjective = time.Second // so that no server counts as dead because the test is slow
			}
			pausing := &pausingServer{refusal: test.refusal, length: 1500 * time.Millisecond}
			h.backendServer("pausing", pausing.handle)
			h.backendServer("other", func(conn net.Conn, r *http.Request) bool {
				if strings.HasPrefix(r.URL.Path, "/resumable/") {
					return sendEvents(conn, r, 1, 2, true)
				}
				return succeed(conn, r)
			})
			var hasReturned, hasBeenEjected atomic.Bool
			var callers sync.WaitGroup
			deadline := time.Now().Add(20 * time.Second)
			for range 6 {
				callers.Go(func() {
					for !hasReturned.Load() && time.Now().Before(deadline) {
						if got := h.get(test.path); got.status != http.StatusOK {
							t.Errorf("response %+v, want 200 from the other server", got)
							return
						}
						if h.server.Backends.OwnLoads()["pausing"].EjectedBy > 0 {
							hasBeenEjected.Store(true)
						}
						hasReturned.Store(pausing.arrivalsIn(pausing.length, time.Hour) > 3)
					}
				})
			}
			callers.Wait()
			if got := pausing.arrivalsIn(500*time.Millisecond, pausing.length); got > 2 {
				t.Errorf("the server got %d requests later than 0.5 s after it asked for a pause, allowed 2", got)
			}
			if !hasReturned.Load() {
				t.Error("the server got no requests within 20 s although its pause is over")
			}
			if hasBeenEjected.Load() {
				t.Error("the server was ejected because of its pause")
			}
		})
	}
}

// Guards against requests that wait for a pause longer than their objective or are refused with a time to come back at which the
// pause still goes on, and against those that are refused although they could wait.
func TestRequestsWaitForPauseWithinTheirObjective(t *testing.T) {
	for name, test := range map[string]struct {
		pause     time.Duration
		objective time.Duration
		status    int
	}{
		"short pause":  {300 * time.Millisecond, 10 * time.Second, http.StatusOK},
		"long pause":   {30 * time.Second, 10 * time.Second, http.StatusServiceUnavailable},
		"no objective": {30 * time.Second, 0, http.StatusServiceUnavailable},
	} {
		h := newHarness(t)
		for _, route := range h.config.Routes {
			route.LatencyObjective, route.Timeout = test.objective, 20*time.Second
		}
		pausing := &pausingServer{refusal: "X-Rudder-Not-Run: 1\r\n", length: test.pause}
		h.backendServer("a", pausing.handle)
		got := h.call(t.Context(), http.MethodGet, "/once/x", "", http.Header{"X-Rudder-Timeout-Ms": {"15000"}})
		if got.status != test.status {
			t.Errorf("%s: response %+v, want status %d", name, got, test.status)
		}
		if got := pausing.arrivalsIn(time.Nanosecond, test.pause); got > 0 {
			t.Errorf("%s: the server got %d more requests during the pause, want none", name, got)
		}
		retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if test.status != http.StatusOK && (err != nil || retryAfter < 10 || retryAfter > 45) {
			t.Errorf("%s: Retry-After %q, want the end of a pause of %s", name, got.header.Get("Retry-After"), test.pause)
		}
	}
}

// Guards against a request that is sent to a server which asked for a pause after it was chosen. The request may go there later.
func TestRequestIsNotSentToServerThatAskedForPause(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	a := h.newAttempt("/once/x")
	a.placement.RecordPause("r0", []string{"5"})
	got := a.run(t.Context())
	if !got.isWithdrawn || !got.isKnownNotRun || got.isSent || h.requestCount() != 0 {
		t.Errorf("result %+v after %d requests, want a withdrawn attempt and none", got, h.requestCount())
	}
	if a.forwarder.recordResult(a, got); a.forwarder.excludedServers["a"] {
		t.Error("the server is excluded for the request")
	}
}

// refuseWith returns the text of a refusal with additional header lines.
func refuseWith(extra string) func(*http.Request) string {
	return func(r *http.Request) string {
		return "HTTP/1.1 503 X\r\nX-Rudder-Request: " + r.Header.Get("X-Rudder-Request") + "\r\nX-Rudder-Not-Run: 1\r\n" + extra + "Content-Length: 0\r\n\r\n"
	}
}

// headersThatAskForNoPause are responses, up to the end of their heads, whose headers must not stop requests to their server.
var headersThatAskForNoPause = map[string]func(r *http.Request) string{
	"none":             refuseWith(""),
	"empty":            refuseWith("Retry-After:\r\n"),
	"zero":             refuseWith("Retry-After: 0\r\n"),
	"negative":         refuseWith("Retry-After: -60\r\n"),
	"not a number":     refuseWith("Retry-After: NaN\r\n"),
	"infinite":         refuseWith("Retry-After: Inf\r\n"),
	"word":             refuseWith("Retry-After: later\r\n"),
	"date":             refuseWith("Retry-After: Fri, 31 Dec 2100 23:59:59 GMT\r\n"),
	"list":             refuseWith("Retry-After: 60, 60\r\n"),
	"two headers":      refuseWith("Retry-After: 60\r\nRetry-After: 60\r\n"),
	"long value":       refuseWith("Retry-After: " + strings.Repeat("9", 5000) + "\r\n"),
	"success":          respondWith("Retry-After: 60\r\n"),
	"interim response": func(r *http.Request) string { return "HTTP/1.1 103 X\r\nRetry-After: 60\r\n\r\n" + respondWith("")(r) },
	"late response":    func(r *http.Request) string { return staleResponse("Retry-After: 60\r\n") + respondWith("")(r) },
	"server error": func(r *http.Request) string {
		return strings.Replace(refuseWith("Retry-After: 60\r\n")(r), "503", "500", 1)
	},
	"too many requests": func(r *http.Request) string {
		return strings.Replace(refuseWith("Retry-After: 60\r\n")(r), "503", "429", 1)
	},
	"trailer": func(r *http.Request) string {
		return "HTTP/1.1 503 X\r\nX-Rudder-Request: " + r.Header.Get("X-Rudder-Request") + "\r\nX-Rudder-Not-Run: 1\r\nTrailer: Retry-After\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nRetry-After: 60\r\n\r\n"
	},
}

// Guards against a server that gets no requests because of a malformed Retry-After, or of one that is not part of a refusal of
// its own.
func TestMalformedPausesDoNotStopRequests(t *testing.T) {
	for name, text := range headersThatAskForNoPause {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.backendServer("a", sendFirst(text))
			h.get("/safe/x")
			if got := h.get("/safe/x"); got.status != http.StatusOK {
				t.Errorf("response %+v after the header, want 200", got)
			}
		})
	}
}

// Guards against a stream that is aborted, or resumed during a pause, when the only server left to resume it has asked for a
// pause that ends soon.
func TestBrokenStreamIsResumedAfterPause(t *testing.T) {
	h := newHarness(t)
	for _, route := range h.config.Routes {
		route.LatencyObjective, route.Timeout = 10*time.Second, 20*time.Second
	}
	var pauseEnd time.Time
	var isEarly atomic.Bool
	h.backendServer("pausing", func(conn net.Conn, r *http.Request) bool {
		isEarly.Store(time.Now().Before(pauseEnd))
		return sendEvents(conn, r, 2, 3, true)
	})
	paused := h.newAttempt("/resumable/x").placement
	pauseEnd = time.Now().Add(300 * time.Millisecond)
	paused.RecordPause("r0", []string{"0.3"})
	paused.Release(backend.ResultRejected)
	h.backendServer("breaking", func(conn net.Conn, r *http.Request) bool { return sendEvents(conn, r, 1, 1, false) })
	got := h.call(t.Context(), http.MethodGet, "/resumable/x", "", http.Header{"X-Rudder-Timeout-Ms": {"15000"}})
	if got.err != nil || got.body != eventText(1, 3) || isEarly.Load() {
		t.Errorf("stream %q, error %v, resumed early: %t, want events 1 to 3 after the pause", got.body, got.err, isEarly.Load())
	}
}
