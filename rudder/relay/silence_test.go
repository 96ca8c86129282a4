package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/traffic"
)

// silentKind is a kind of request and the moment at which its server falls silent.
type silentKind struct {
	path     string
	hasBegun bool // after the first event of the stream, else before the response
}

func (k silentKind) isStream() bool { return strings.HasPrefix(k.path, "/resumable/") }

// wantBody is the body of a complete response.
func (k silentKind) wantBody() string {
	if k.isStream() {
		return eventText(1, 2)
	}
	return "done"
}

// silence is that of sound backend servers, which go on when goOn is closed.
type silence struct {
	started chan struct{} // closed when the first server falls silent
	goOn    chan struct{}
}

// silentServers adds servers that refuse the first requests and fall silent on the others.
func (h *harness) silentServers(count, refusals int, kind silentKind) *silence {
	s := &silence{started: make(chan struct{}), goOn: make(chan struct{})}
	var requests atomic.Int64
	for i := range count {
		h.backendServer(fmt.Sprint("silent", i), func(conn net.Conn, r *http.Request) bool {
			n := int(requests.Add(1))
			if n <= refusals {
				return refuseNotRun(conn, r)
			}
			if kind.hasBegun {
				sendEvents(conn, r, 1, 1, false)
			}
			if n == refusals+1 {
				close(s.started)
			}
			<-s.goOn
			switch {
			case kind.hasBegun:
				event := eventText(2, 2)
				fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
				return true
			case kind.isStream():
				return sendEvents(conn, r, 1, 2, true)
			default:
				return succeed(conn, r)
			}
		})
	}
	return s
}

// longCall sends a request that has time enough for any machine. done is closed when the response is complete.
func (h *harness) longCall(path string) (response *callerResponse, done chan struct{}) {
	response, done = &callerResponse{}, make(chan struct{})
	go func() {
		defer close(done)
		*response = h.call(context.Background(), http.MethodGet, path, "", http.Header{"X-Rudder-Timeout-Ms": {"50000"}, "X-Rudder-Prefix": {"bad:10,own:5"}})
	}()
	return response, done
}

// allowLongCalls sets the limits of all routes so that silence is noticed after some 100 ms and requests have a minute.
func (h *harness) allowLongCalls() {
	for _, route := range h.config.Routes {
		route.Timeout, route.MaxEventGap, route.LatencyObjective = time.Minute, 25*time.Millisecond, 0
	}
}

// waitsOnLine is in the log line of a request that goes on waiting for a silent server.
const waitsOnLine = "Waits on for a silent backend server"

// Guards against an answer that is ended because its server is silent for a moment: the attempt was given up before it was
// known whether the request could go elsewhere, and when it could not, its caller got an error or a cut stream.
func TestSilentServerIsAwaitedWithoutAlternative(t *testing.T) {
	addOther := func(h *harness) { h.backendServer("other", refuseNotRun) }
	for name, c := range map[string]struct {
		hasNoRetries bool
		refusals     int // before a server falls silent
		whileSilent  func(h *harness)
	}{
		"no other server":           {whileSilent: func(*harness) {}},
		"retry budget is exhausted": {hasNoRetries: true, whileSilent: addOther},
		"maximum number of sends":   {refusals: maxSends - 1, whileSilent: addOther},
		"API key is revoked": {
			whileSilent: func(h *harness) {
				next := *h.config
				next.Version, next.Organisations = 2, []*traffic.Organisation{{Name: "o", APIKeys: []string{"another"}}}
				next.BuildIndex()
				h.server.Current.Apply(&next)
				addOther(h)
			},
		},
		"a server crashed on the same prompt": {
			whileSilent: func(h *harness) {
				traits := []culprit.Trait{culprit.PartTrait("bad")}
				for i := range uint64(2) {
					h.server.Crashes.RecordCrash(i, "s", traits, boottime.Now(), boottime.Now())
				}
				addOther(h)
			},
		},
	} {
		for _, kind := range []silentKind{{path: "/safe/x"}, {path: "/resumable/x"}, {path: "/resumable/x", hasBegun: true}} {
			t.Run(fmt.Sprintf("%s, %s, begun %t", name, kind.path, kind.hasBegun), func(t *testing.T) {
				h := newHarness(t)
				h.allowLongCalls()
				log := h.recordLog()
				if c.hasNoRetries {
					h.server.RetryRate = limit.RetryRate{}
				}
				silent := h.silentServers(c.refusals+1, c.refusals, kind)
				response, done := h.longCall(kind.path)
				<-silent.started
				c.whileSilent(h)
				log.waitFor(t, waitsOnLine, done)
				close(silent.goOn)
				<-done
				if response.err != nil || response.status != http.StatusOK || response.body != kind.wantBody() || h.requestCount() != c.refusals+1 {
					t.Errorf("response %+v after %d sends, want 200 with %q after %d", *response, h.requestCount(), kind.wantBody(), c.refusals+1)
				}
			})
		}
	}
}

// retriesLeft returns the level of the retry budget of the harness's service.
func (h *harness) retriesLeft() float64 { return h.server.retriesLeft("s") }

// Guards against a request that stays at a dead server although it can go elsewhere, at once or later, and against a retry
// that is taken from the budget twice, or not given back when it is not used.
func TestSilentServerIsLeftWhenAnotherIsAvailable(t *testing.T) {
	for _, isLater := range []bool{false, true} {
		for _, kind := range []silentKind{{path: "/safe/x"}, {path: "/resumable/x"}, {path: "/resumable/x", hasBegun: true}} {
			t.Run(fmt.Sprintf("later %t, %s, begun %t", isLater, kind.path, kind.hasBegun), func(t *testing.T) {
				h := newHarness(t)
				h.allowLongCalls()
				h.server.RetryRate = limit.RetryRate{Burst: 2}
				log := h.recordLog()
				silent := h.silentServers(1, 0, kind)
				defer close(silent.goOn)
				response, done := h.longCall(kind.path)
				<-silent.started
				if isLater {
					if !log.waitFor(t, waitsOnLine, done) || h.retriesLeft() != 2 {
						t.Errorf("%.0f retries are left while the request waits, want 2", h.retriesLeft())
					}
				}
				h.backendServer("other", func(conn net.Conn, r *http.Request) bool {
					if kind.isStream() {
						return sendEvents(conn, r, 1, 2, true)
					}
					return succeed(conn, r)
				})
				<-done
				if response.err != nil || response.body != kind.wantBody() || h.requestCount() != 2 || h.retriesLeft() != 1 {
					t.Errorf("response %+v after %d sends with %.0f retries left, want %q after 2 sends with 1 left", *response, h.requestCount(), h.retriesLeft(), kind.wantBody())
				}
			})
		}
	}
}

// Guards against a place and a retry that stay reserved: the server that was given up turns out to have crashed, so that the
// request must not be sent again.
func TestUnusedAlternativeIsReleased(t *testing.T) {
	h := newHarness(t)
	h.allowLongCalls()
	h.server.RetryRate = limit.RetryRate{Burst: 2}
	h.server.Crashes.RecordCrash(1, "s", []culprit.Trait{culprit.PartTrait("bad")}, boottime.Now(), boottime.Now())
	silenceStarted, done := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(done) })
	h.crashableServer("crashed", func(_ net.Conn, _ *http.Request, crash func()) bool {
		crash()
		close(silenceStarted)
		<-done
		return false
	})
	response, answered := h.longCall("/safe/x")
	<-silenceStarted
	h.backendServer("other", succeed)
	<-answered
	h.waitForCrashProbes()
	if response.status != http.StatusBadGateway || h.requestCount() != 1 || h.retriesLeft() != 2 || h.server.Backends.OwnLoads()["other"].Running != 0 {
		t.Errorf("response %+v after %d sends, %.0f retries left, loads %+v; want 502 after 1 send, 2 retries left and nothing running",
			*response, h.requestCount(), h.retriesLeft(), h.server.Backends.OwnLoads())
	}
}

// Guards against a server that is given up because this process was late: its response had arrived before the time was over,
// but a read whose deadline has expired fails nevertheless.
func TestResponseThatWasReadLateIsNotSilence(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	place, refusal := h.server.Backends.Place(backend.Request{Service: "s"}, 0)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	h.backendServer("b", succeed)
	conn, err := place.Server.Pool.Get(context.Background(), "r1", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Discard()
	f := &forwarder{server: h.server, call: &call{id: "r1", service: "s", route: h.config.Routes[1], header: http.Header{"X-Rudder-Request": {"r1"}}}}
	a := &attempt{server: h.server, call: f.call, forwarder: f, placement: place, conn: conn}
	request := f.call.newBackendRequest(h.server.Dialect, "a", time.Minute, "")
	if err := conn.Send(request); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(20 * time.Second); !conn.HasUnread(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no response arrived within 20 s")
		}
	}
	conn.OnReadTimeout(a.onSilence)
	a.setReadTimeout(time.Nanosecond)
	time.Sleep(time.Millisecond)
	if response, err := conn.Receive(request, h.server.Dialect.RequestID); err != nil || response.StatusCode != http.StatusOK || f.alternative != nil {
		t.Fatalf("response %v, error %v, alternative %v; want 200 from the server that has answered", response, err, f.alternative)
	}
	if wait := a.onSilence(); wait != 0 || f.alternative == nil {
		t.Errorf("a server that is silent after its response is awaited for %s, want it to be given up", wait)
	}
}

// Guards against a large response that is cut because its body takes longer than a first byte may: its head is with the
// caller, so that another server cannot help.
func TestSilenceWithinLargeResponseIsAwaited(t *testing.T) {
	h := newHarness(t)
	h.allowLongCalls()
	const half = 2 * maxBufferedBytes
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Rudder-Request"), 2*half, strings.Repeat("a", half))
			time.Sleep(time.Second) // longer than a first byte is awaited
			fmt.Fprint(conn, strings.Repeat("b", half))
			return true
		})
	}
	response, done := h.longCall("/safe/x")
	<-done
	if response.err != nil || len(response.body) != 2*half || h.requestCount() != 1 {
		t.Errorf("response with %d bytes, error %v after %d sends, want %d bytes after 1 send", len(response.body), response.err, h.requestCount(), 2*half)
	}
}

// Guards against requests that are lost beside a change of the configuration because many sound servers are silent at once
// and use up the retry budget.
func TestManySilentServersLoseNoRequest(t *testing.T) {
	for _, kind := range []silentKind{{path: "/safe/x"}, {path: "/resumable/x"}, {path: "/resumable/x", hasBegun: true}} {
		t.Run(fmt.Sprintf("%s, begun %t", kind.path, kind.hasBegun), func(t *testing.T) {
			const requests, retries = 24, 2
			h := newHarness(t)
			h.allowLongCalls()
			h.server.RetryRate = limit.RetryRate{Burst: retries}
			log := h.recordLog()
			silent := h.silentServers(4, 0, kind)
			var responses []*callerResponse
			var done []chan struct{}
			for range requests {
				response, isDone := h.longCall(kind.path)
				responses, done = append(responses, response), append(done, isDone)
			}
			log.waitFor(t, waitsOnLine, done[0])
			next := &traffic.Config{Version: 2, Organisations: h.config.Organisations} // all routes and services are gone
			next.BuildIndex()
			h.server.Current.Apply(next)
			h.server.cancelDisallowed()
			close(silent.goOn)
			for i, response := range responses {
				<-done[i]
				if response.err != nil || response.status != http.StatusOK || response.body != kind.wantBody() {
					t.Errorf("request %d: response %+v, want 200 with %q", i, *response, kind.wantBody())
				}
			}
			if sent := h.requestCount(); sent > requests+retries {
				t.Errorf("servers got %d requests, want at most %d", sent, requests+retries)
			}
		})
	}
}
