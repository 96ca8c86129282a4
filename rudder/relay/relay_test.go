package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/traffic"
)

// A request must reach the backend server as its caller sent it, except for hop-by-hop headers, the API key and headers that
// only this system may set.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	h := newHarness(t)
	h.server.Dialect = new(Dialect)
	*h.server.Dialect = NativeDialect
	h.server.Dialect.Reserved = []string{"X-Only-Ours"}
	h.backendServer("b", succeed)
	response := h.call(context.Background(), http.MethodPost, "/once/a%2Fb/../c?x=%20y&z", "the body", http.Header{
		"X-Only-Ours": {"1"}, "X-Rudder-Organisation": {"forged"}, "X-Custom": {"kept"}, "Connection": {"X-Rudder-Request, X-Hop"}, "X-Hop": {"1"},
	})
	if response.status != 200 || response.body != "done" || response.header.Get("X-Rudder-Signature") != "sig" {
		t.Fatalf("response %+v, want 200 with the body \"done\" and a signature", response)
	}
	got := h.requests[0]
	if got.Method != http.MethodPost || got.RequestURI != "/once/a%2Fb/../c?x=%20y&z" || got.Host != "h" {
		t.Fatalf("request line or host was changed: %s %s, host %s", got.Method, got.RequestURI, got.Host)
	}
	body := make([]byte, 8)
	if n, _ := got.Body.Read(body); string(body[:n]) != "the body" {
		t.Fatalf("backend server received body %q", body[:n])
	}
	for name, want := range map[string]string{
		"X-Custom": "kept", "X-Rudder-Request": "r1", "X-Rudder-Organisation": "o", "X-Rudder-Instance": "b",
		"X-Only-Ours": "", "Authorization": "", "X-Hop": "",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("header %s: %q, want %q", name, got.Header.Get(name), want)
		}
	}
}

// After a refusal that states that the request has not run, the request must be sent to another server, even if it is not
// idempotent.
func TestNotRunRequestIsSentToAnotherServer(t *testing.T) {
	h := newHarness(t)
	h.backendServer("full", refuseNotRun)
	h.backendServer("free", succeed)
	for i := range 8 {
		if response := h.get("/once/x"); response.status != 200 {
			t.Fatalf("call %d: response %+v, want 200", i, response)
		}
	}
}

// If the connection breaks after a request was sent, the request may have run. A non-idempotent request must not be sent to
// another server, and the status must not imply that it has not run.
func TestNonIdempotentRequestIsNotResentAfterLostResponse(t *testing.T) {
	h := newHarness(t)
	closeUnanswered := func(net.Conn, *http.Request) bool { return false }
	h.backendServer("a", closeUnanswered)
	h.backendServer("b", closeUnanswered)
	if response := h.get("/once/x"); response.status != http.StatusBadGateway || h.requestCount() != 1 {
		t.Fatalf("response %+v after %d sends, want 502 after 1", response, h.requestCount())
	}
}

// Callers conclude from 408, 429 and 503 that a request has not run, and may repeat it: a deposit would be charged twice. The
// relay must not forward such a status unless the server states that it has not run the request.
func TestRefusalWithoutNotRunHeaderIsAnsweredWith502(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		h := newHarness(t)
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool { return respond(conn, r, status, "", "") })
		if response := h.get("/once/x"); response.status != http.StatusBadGateway || response.header.Get("X-Rudder-Signature") != "" {
			t.Fatalf("status %d of the server: response %+v, want 502 without a signature", status, response)
		}
	}
}

// After a failure an idempotent request must be sent to another server, but to no more servers than its route allows.
func TestIdempotentRequestIsRetriedUpToMaxAttempts(t *testing.T) {
	h := newHarness(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		h.backendServer(name, func(conn net.Conn, r *http.Request) bool { return respond(conn, r, 500, "", "broken") })
	}
	response := h.get("/safe/x")
	if response.status != 500 || response.body != "broken" || h.requestCount() != 2 {
		t.Fatalf("response %+v after %d sends, want the server's own 500 after 2", response, h.requestCount())
	}
}

// A success response without the signature header, or with a content encoding that was not requested, is not the backend
// server's own and must not be forwarded.
func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nContent-Length: 2\r\n\r\nxx", r.Header.Get("X-Rudder-Request"))
		return true
	})
	if response := h.get("/once/x"); response.status != http.StatusBadGateway {
		t.Fatalf("response %+v, want 502", response)
	}
}

// A truncated response of a backend server must not be forwarded as if it were complete.
func TestTruncatedResponseIsAnsweredWith502(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nContent-Length: 10\r\n\r\nhalf", r.Header.Get("X-Rudder-Request"))
		return false
	})
	if response := h.get("/once/x"); response.status != http.StatusBadGateway {
		t.Fatalf("response %+v, want 502", response)
	}
}

// A resumable stream that breaks must be continued from another server in the same response. No event may be missing or
// repeated, even if the first server breaks off within an event or the second one starts before the requested event.
func TestResumableStreamContinuesOnAnotherServer(t *testing.T) {
	h := newHarness(t)
	handle := func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get(headerLastEventID) == "" {
			sendEvents(conn, r, 1, 3, false)
			fmt.Fprint(conn, "5\r\nid: 4\r\n")
			return false
		}
		if r.Header.Get(headerLastEventID) != "3" {
			return respond(conn, r, 500, "", "wrong event id "+r.Header.Get(headerLastEventID))
		}
		return sendEvents(conn, r, 2, 6, true)
	}
	h.backendServer("a", handle)
	h.backendServer("b", handle)
	got := h.get("/resumable/x")
	if got.err != nil || got.body != eventText(1, 6) {
		t.Fatalf("stream %q, error %v, want events 1 to 6 and no error", got.body, got.err)
	}
}

// A broken stream that may not be resumed must be aborted, so that its caller detects the failure. Events of two runs must
// not be joined.
func TestBrokenNonResumableStreamIsAborted(t *testing.T) {
	h := newHarness(t)
	handle := func(conn net.Conn, r *http.Request) bool { return sendEvents(conn, r, 1, 3, false) }
	h.backendServer("a", handle)
	h.backendServer("b", handle)
	got := h.get("/stream/x")
	if got.err == nil || got.body != eventText(1, 3) || h.requestCount() != 1 {
		t.Fatalf("stream %q, error %v after %d sends, want events 1 to 3, an error and 1 send", got.body, got.err, h.requestCount())
	}
}

// Events must be forwarded as they arrive: the first event must reach the caller before the server continues the stream.
func TestEventsAreForwardedImmediately(t *testing.T) {
	h := newHarness(t)
	firstRead := make(chan struct{})
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		sendEvents(conn, r, 1, 1, false)
		<-firstRead
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	})
	request, _ := http.NewRequest(http.MethodGet, "http://"+h.address+"/stream/x", nil)
	request.Host = "h"
	request.Header = http.Header{"X-Rudder-Request": {"r1"}, "Authorization": {"Bearer key"}}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	buffer := make([]byte, 100)
	n, err := response.Body.Read(buffer)
	if err != nil || string(buffer[:n]) != eventText(1, 1) {
		t.Fatalf("read %q, error %v, want event 1", buffer[:n], err)
	}
	close(firstRead)
}

// When the caller disconnects, the connection to the backend server must be closed, so that the server stops working on the
// request.
func TestCallerDisconnectClosesBackendConnection(t *testing.T) {
	h := newHarness(t)
	received, closed := make(chan struct{}), make(chan struct{})
	h.backendServer("a", func(conn net.Conn, _ *http.Request) bool {
		close(received)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-received; cancel() }()
	h.call(ctx, http.MethodGet, "/once/x", "", nil)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection to the backend server is still open after 10 s")
	}
}

// After an orderly close, a request that was held up on its way reaches the server and runs although the node has given it
// up (check DRAIN, duwende-route-grown trouble-1, seed 2: 3.5 s after the server's leaving was acknowledged). A reset
// discards it.
func TestGivenUpRequestIsReset(t *testing.T) {
	for name, giveUp := range map[string]func(h *harness, received <-chan struct{}){
		"timeout of the route": func(h *harness, _ <-chan struct{}) { h.get("/short/x") },
		"caller disconnects": func(h *harness, received <-chan struct{}) {
			ctx, cancel := context.WithCancel(context.Background())
			go func() { <-received; cancel() }()
			h.call(ctx, http.MethodGet, "/once/x", "", nil)
		},
		"no first byte in time": func(h *harness, _ <-chan struct{}) { h.get("/safe/x") },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			received, ended := make(chan struct{}, 2), make(chan error, 2)
			for _, server := range []string{"a", "b"} { // a silent server is given up for another one
				h.backendServer(server, func(conn net.Conn, _ *http.Request) bool {
					received <- struct{}{}
					_, err := conn.Read(make([]byte, 1))
					ended <- err
					return false
				})
			}
			giveUp(h, received)
			select {
			case err := <-ended:
				if !errors.Is(err, syscall.ECONNRESET) {
					t.Fatalf("connection of the given-up request ended with %v, want a reset", err)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("connection of the given-up request is still open after 10 s")
			}
		})
	}
}

// Pattern: a busy node reads requests late, after their callers have given up (check GONE, scale-1 of duwende-route-large).
// Such a request must not be sent to a backend server.
func TestRequestOfDepartedCallerIsNotSent(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const requests = 100
	for range requests {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Rudder-Request: r1\r\nAuthorization: Bearer key\r\nContent-Length: 1\r\n\r\nb")
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
	var handled atomic.Int64
	front := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer handled.Add(1)
		h.server.ServeHTTP(w, r)
	})}
	go front.Serve(listener)
	t.Cleanup(func() { front.Close() })
	for deadline := time.Now().Add(20 * time.Second); handled.Load() < requests; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests were handled within 20 s, want %d", handled.Load(), requests)
		}
	}
	if sent := h.requestCount(); sent != 0 {
		t.Fatalf("%d requests of departed callers reached the backend server, want none", sent)
	}
}

// At the route's timeout the caller must get a response. Once the request was sent, the status must not imply that it has
// not run.
func TestRouteTimeoutIsAnsweredWith504(t *testing.T) {
	h := newHarness(t)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	h.backendServer("a", func(net.Conn, *http.Request) bool { <-done; return false })
	if response := h.get("/short/x"); response.status != http.StatusGatewayTimeout {
		t.Fatalf("response %+v, want 504", response)
	}
}

// Usage reports count the requests that servers started to run. Counting requests that stayed in a server's queue until the
// timeout made the reports of an overloaded service a tenth too high.
func TestTimedOutRequestIsNotCountedAsRun(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		handle   func(done <-chan struct{}) bool
		wantRuns int64
	}{
		"silent until the time is over": {path: "/short/x", handle: func(done <-chan struct{}) bool { <-done; return false }},
		"closed after the request":      {path: "/once/x", handle: func(<-chan struct{}) bool { return false }, wantRuns: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			done := make(chan struct{})
			t.Cleanup(func() { close(done) })
			h.backendServer("a", func(net.Conn, *http.Request) bool { return c.handle(done) })
			h.get(c.path)
			if n := h.runCounter.runs.Load(); n != c.wantRuns {
				t.Fatalf("%d runs are counted, want %d", n, c.wantRuns)
			}
		})
	}
}

// With a stale configuration no request may run. The status must be 503, not 401, since the API key may be valid.
func TestRequestIsRefusedWithStaleConfiguration(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	h.server.StalenessLimits = StalenessLimits{Send: time.Nanosecond, Wait: time.Nanosecond}
	if response := h.get("/once/x"); response.status != http.StatusServiceUnavailable || h.requestCount() != 0 {
		t.Fatalf("response %+v after %d sends, want 503 after none", response, h.requestCount())
	}
}

// A request that waits for its backend server's response must be cancelled when its API key is revoked.
func TestRevokedKeyCancelsWaitingRequest(t *testing.T) {
	h := newHarness(t)
	received, closed := make(chan struct{}), make(chan struct{})
	h.backendServer("a", func(conn net.Conn, _ *http.Request) bool {
		close(received)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.server.WatchWaitingRequests(ctx)
	go func() {
		<-received
		next := *h.config
		next.Version, next.Organisations = 2, []*traffic.Organisation{{Name: "o", APIKeys: []string{"another"}}}
		next.BuildIndex()
		h.server.Current.Apply(&next)
		h.server.Current.ConfirmNewest(2, boottime.Now())
	}()
	response := h.get("/once/x")
	<-closed
	if response.status != http.StatusBadGateway {
		t.Fatalf("response %+v, want 502: the request may have run", response)
	}
}

// Requests with an unknown route get 404, and those with an unknown or missing API key 401.
func TestUnknownRoutesAndKeysAreRefused(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	cases := []struct {
		path, key string
		want      int
	}{
		{"/nowhere/x", "Bearer key", 404},
		{"/once/x", "Bearer wrong", 401},
		{"/once/x", "", 401},
		{"/once", "Bearer key", 404},
	}
	for _, c := range cases {
		response := h.call(context.Background(), http.MethodGet, c.path, "", http.Header{"Authorization": {c.key}})
		if response.status != c.want {
			t.Errorf("path %s with Authorization %q: status %d, want %d", c.path, c.key, response.status, c.want)
		}
	}
}

// A draining node must still serve requests. After RefuseRequestsFrom it must refuse them with 503 and Retry-After and send none
// to a backend server.
func TestStoppingNodeRefusesRequests(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	h.server.Drain()
	if response := h.get("/once/x"); response.status != 200 {
		t.Fatalf("draining: response %+v, want 200", response)
	}
	h.server.RefuseRequestsFrom(boottime.Now())
	response := h.get("/once/x")
	if response.status != 503 || response.header.Get(headerRetryAfter) == "" || h.requestCount() != 1 {
		t.Fatalf("refusing: response %+v after %d sends, want 503 with Retry-After and no further send", response, h.requestCount())
	}
}

// The last part of a prompt is specific to the request and must not influence which backend server is selected. Malformed
// values are ignored.
func TestParseSharedParts(t *testing.T) {
	parts := parseSharedParts("5c:800, 91:410,e4:250")
	if len(parts) != 2 || parts[0].ID != "5c" || parts[1].Tokens != 410 {
		t.Fatalf("parts %+v, want the first two", parts)
	}
	for _, bad := range []string{"", "5c:x,91:3", "5c:-1,9:1"} {
		if parts := parseSharedParts(bad); len(parts) != 0 {
			t.Errorf("%q: parts %+v, want none", bad, parts)
		}
	}
}

// Events must be recognised and their bytes preserved for every size of the reads in which a stream arrives.
func TestEventReaderPreservesBytes(t *testing.T) {
	text := "id: 1\r\ndata: a\r\n\r\n: comment\n\nid:22\ndata: b\ndata: c\n\ntail"
	for size := 1; size < len(text); size++ {
		r := &eventReader{source: strings.NewReader(text)}
		var got strings.Builder
		chunk := make([]byte, size)
		for {
			events, err := r.next(chunk)
			got.Write(events)
			if err != nil {
				break
			}
		}
		if got.String()+string(r.remainder()) != text || r.lastID != "22" {
			t.Fatalf("reads of %d bytes: events %q, remainder %q, last id %q", size, got.String(), r.remainder(), r.lastID)
		}
	}
}

// Guards against a buffer for each read of a stream: with hundreds of fast streams the garbage exceeded the memory of a host.
func TestEventReaderReusesItsBuffers(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", 3000) + "\n\n"
	r := &eventReader{source: strings.NewReader(strings.Repeat(event, 2000))}
	chunk := make([]byte, streamChunkBytes)
	allocations := testing.AllocsPerRun(500, func() {
		if _, err := r.next(chunk); err != nil {
			t.Fatal(err)
		}
	})
	if allocations > 1 { // the id of the last event
		t.Errorf("%v allocations for each read, want at most 1", allocations)
	}
}

// If the API key of a request is revoked after the request may have run, the status must not imply that it has not run.
func TestRevokedKeyAfterLostResponseIsAnsweredWith502(t *testing.T) {
	h := newHarness(t)
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, func(net.Conn, *http.Request) bool {
			next := *h.config
			next.Version, next.Organisations = 2, []*traffic.Organisation{{Name: "o", APIKeys: []string{"another"}}}
			next.BuildIndex()
			h.server.Current.Apply(&next)
			return false
		})
	}
	if response := h.get("/safe/x"); response.status != http.StatusBadGateway || h.requestCount() != 1 {
		t.Fatalf("response %+v after %d sends, want 502 after 1", response, h.requestCount())
	}
}
