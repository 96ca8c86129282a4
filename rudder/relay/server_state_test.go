package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
)

// relist tells the table once more that the registry lists a server, as it still does when the server has begun to leave.
func (h *harness) relist(name string, startUnixMillis int64) {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: h.addresses[name], Slots: 8, StartUnixMillis: startUnixMillis})
}

// requestCountOf returns the number of requests that one backend server read.
func (h *harness) requestCountOf(name string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.requestCounts[name]
}

// Guards against requests that still reach a server which has announced in a response that it leaves, while the registry lists
// it as ready: whatever the status of the response, and from the head of a stream on, which goes on to its end. A new start of
// the server is free of the announcement.
func TestServerThatAnnouncesItsLeavingGetsNoNewRequests(t *testing.T) {
	streamEnd := make(chan struct{})
	for name, first := range map[string]struct {
		path   string
		handle func(conn net.Conn, r *http.Request) bool
	}{
		"200": {"/once/x", func(conn net.Conn, r *http.Request) bool {
			return respond(conn, r, 200, "X-Rudder-Leaving: 1\r\n", "done")
		}},
		"500": {"/safe/x", func(conn net.Conn, r *http.Request) bool { return respond(conn, r, 500, "X-Rudder-Leaving: 1\r\n", "") }},
		"503": {"/safe/x", func(conn net.Conn, r *http.Request) bool { return respond(conn, r, 503, "X-Rudder-Leaving: 1\r\n", "") }},
		"503 not run": {"/once/x", func(conn net.Conn, r *http.Request) bool {
			return respond(conn, r, 503, "X-Rudder-Leaving: 1\r\nX-Rudder-Not-Run: 1\r\n", "")
		}},
		"head of a stream": {"/stream/x", func(conn net.Conn, r *http.Request) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nX-Rudder-Leaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Rudder-Request"))
			<-streamEnd
			event := eventText(1, 1)
			fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
			return true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			var hasLeft atomic.Bool
			h.backendServer("leaving", func(conn net.Conn, r *http.Request) bool {
				if hasLeft.Swap(true) {
					return succeed(conn, r)
				}
				return first.handle(conn, r)
			})
			done := make(chan callerResponse, 1)
			go func() { done <- h.get(first.path) }()
			isStream := strings.HasPrefix(first.path, "/stream/")
			if !isStream {
				<-done
			} else {
				for deadline := time.Now().Add(10 * time.Second); h.requestCountOf("leaving") == 0 || h.server.Backends.CountRunners("s")[""].Leaving == 0; time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						close(streamEnd)
						t.Fatal("the server is not marked as leaving while its stream goes on")
					}
				}
			}
			h.relist("leaving", 0)
			if got := h.get("/once/x"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("response %+v while all servers leave, want 503 with Retry-After", got)
			}
			h.backendServer("other", succeed)
			for range 20 {
				if got := h.get("/once/x"); got.status != http.StatusOK {
					t.Fatalf("response %+v, want 200 from the other server", got)
				}
			}
			if got := h.requestCountOf("leaving"); got != 1 {
				t.Errorf("the leaving server got %d requests, want only the one that it answered with its announcement", got)
			}
			if isStream {
				close(streamEnd)
				if got := <-done; got.err != nil || got.body != eventText(1, 1) {
					t.Errorf("stream %q, error %v, want its event and no error", got.body, got.err)
				}
			}
			h.server.Backends.Remove("leaving")
			h.relist("leaving", 0)
			if got := h.server.Backends.CountRunners("s")[""]; got.OnDemand != 1 {
				t.Errorf("runners %+v after the entry came back, want only the other server to serve", got)
			}
			h.relist("leaving", 7)
			if got := h.server.Backends.CountRunners("s")[""]; got.OnDemand != 2 {
				t.Errorf("runners %+v after a new start of the server, want 2 to serve", got)
			}
		})
	}
}

// headersThatSayNothing are responses, up to the end of their heads, whose headers must not take their server out of use.
var headersThatSayNothing = map[string]func(r *http.Request) string{
	"other value": respondWith("X-Rudder-Leaving: 0\r\n"),
	"word":        respondWith("X-Rudder-Leaving: true\r\n"),
	"empty value": respondWith("X-Rudder-Leaving:\r\n"),
	"list":        respondWith("X-Rudder-Leaving: 1, 1\r\n"),
	"two headers": respondWith("X-Rudder-Leaving: 1\r\nX-Rudder-Leaving: 0\r\n"),
	"long value":  respondWith("X-Rudder-Leaving: " + strings.Repeat("1", 10_000) + "\r\n"),
	"interim response": func(r *http.Request) string {
		return "HTTP/1.1 103 X\r\nX-Rudder-Leaving: 1\r\n\r\n" + respondWith("")(r)
	},
	"late response": func(r *http.Request) string { return staleResponse("X-Rudder-Leaving: 1\r\n") + respondWith("")(r) },
	"trailer": func(r *http.Request) string {
		return "HTTP/1.1 200 X\r\nX-Rudder-Request: " + r.Header.Get("X-Rudder-Request") + "\r\nX-Rudder-Signature: sig\r\nTrailer: X-Rudder-Leaving\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Rudder-Leaving: 1\r\n\r\n"
	},
	"misdirected request": func(r *http.Request) string {
		return "HTTP/1.1 421 X\r\nX-Rudder-Request: " + r.Header.Get("X-Rudder-Request") + "\r\nX-Rudder-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	},
}

// respondWith returns the text of a success response with additional header lines.
func respondWith(extra string) func(*http.Request) string {
	return func(r *http.Request) string {
		return "HTTP/1.1 200 X\r\nX-Rudder-Request: " + r.Header.Get("X-Rudder-Request") + "\r\nX-Rudder-Signature: sig\r\n" + extra + "Content-Length: 4\r\n\r\ndone"
	}
}

// staleResponse returns the text of a response to another request, with additional header lines.
func staleResponse(extra string) string {
	return "HTTP/1.1 503 X\r\nX-Rudder-Request: another\r\nX-Rudder-Not-Run: 1\r\n" + extra + "Content-Length: 0\r\n\r\n"
}

// sendFirst returns a handler that sends a text in place of the first response and succeeds afterwards.
func sendFirst(text func(*http.Request) string) func(net.Conn, *http.Request) bool {
	var count atomic.Int64
	return func(conn net.Conn, r *http.Request) bool {
		if count.Add(1) == 1 {
			fmt.Fprint(conn, text(r))
			return true
		}
		return succeed(conn, r)
	}
}

// Guards against a server that is taken out of use by a malformed header, by one that is not part of its answer, or by one
// that a caller sent.
func TestMalformedHeadersDoNotTakeServersOutOfUse(t *testing.T) {
	for name, text := range headersThatSayNothing {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.backendServer("a", sendFirst(text))
			h.get("/safe/x")
			h.relist("a", 0)
			if got := h.get("/safe/x"); got.status != http.StatusOK {
				t.Errorf("response %+v after the header, want 200", got)
			}
		})
	}
}

// newAttempt returns an attempt to send a GET request to a backend server that was chosen for it.
func (h *harness) newAttempt(path string) *attempt {
	h.t.Helper()
	placement, refusal := h.server.Backends.Place(backend.Request{Service: "s"}, 0)
	if refusal != nil {
		h.t.Fatal(refusal.Reason)
	}
	c := &call{
		id: "r1", service: "s", method: http.MethodGet, requestTarget: path, hostHeader: "h", header: http.Header{"X-Rudder-Request": {"r1"}},
		route: h.config.Routes[0], arrivedAt: time.Now(), deadline: time.Now().Add(10 * time.Second),
	}
	return &attempt{server: h.server, call: c, placement: placement, forwarder: &forwarder{server: h.server, call: c}}
}

// Guards against a request that is sent to a server which began to leave after it was chosen.
func TestRequestIsNotSentToServerThatBeganToLeave(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	a := h.newAttempt("/once/x")
	a.placement.RecordDeparture("r0", []string{"1"})
	if got := a.run(t.Context()); !got.isWithdrawn || !got.isKnownNotRun || got.isSent || h.requestCount() != 0 {
		t.Errorf("result %+v after %d requests, want a withdrawn attempt and none", got, h.requestCount())
	}
}

// Guards against headers about the state of servers that a caller sets and a server returns, and against responses that reach
// the caller without headers of the server.
func TestCallersCannotSetHeadersAboutServers(t *testing.T) {
	own := http.Header{"X-Rudder-Leaving": {"1"}, "X-Rudder-Limit": {"3"}, "Retry-After": {"7"}}
	extra := "X-Rudder-Leaving: 1\r\nX-Rudder-Limit: 3\r\nX-Other: kept\r\n"
	for name, handle := range map[string]func(conn net.Conn, r *http.Request) bool{
		"short": func(conn net.Conn, r *http.Request) bool { return respond(conn, r, 200, extra, "done") },
		"error": func(conn net.Conn, r *http.Request) bool { return respond(conn, r, 500, extra, "done") },
		"large": func(conn net.Conn, r *http.Request) bool {
			return respond(conn, r, 200, extra, strings.Repeat("a", 100_000))
		},
		"stream": func(conn net.Conn, r *http.Request) bool {
			return respond(conn, r, 200, extra+"Content-Type: text/event-stream\r\n", eventText(1, 2))
		},
	} {
		h := newHarness(t)
		h.backendServer("a", handle)
		got := h.call(t.Context(), http.MethodGet, "/stream/x", "", own)
		if got.err != nil || got.header.Get("X-Other") != "kept" || got.header.Get("X-Rudder-Leaving")+got.header.Get("X-Rudder-Limit") != "13" {
			t.Errorf("%s: headers %v, error %v, want all headers of the server", name, got.header, got.err)
		}
		for header := range own {
			if sent := h.requests[0].Header.Values(header); len(sent) > 0 {
				t.Errorf("%s: the server got %s %q of the caller", name, header, sent)
			}
		}
	}
}
