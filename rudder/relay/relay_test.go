package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/traffic"
)

// A request reaches the backend server as its caller sent it, without what concerns the connection, the key, and what
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
		t.Fatalf("answer %+v", response)
	}
	got := h.requests[0]
	if got.Method != http.MethodPost || got.RequestURI != "/once/a%2Fb/../c?x=%20y&z" || got.Host != "h" {
		t.Fatalf("request line changed: %s %s, host %s", got.Method, got.RequestURI, got.Host)
	}
	body := make([]byte, 8)
	if n, _ := got.Body.Read(body); string(body[:n]) != "the body" {
		t.Fatalf("body %q", body[:n])
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

// A refusal that says that the request has not run lets it go to another server, also where it must not run twice.
func TestNotRunRequestIsSentToAnotherServer(t *testing.T) {
	h := newHarness(t)
	h.backendServer("full", refuseNotRun)
	h.backendServer("free", succeed)
	for i := range 8 {
		if response := h.get("/once/x"); response.status != 200 {
			t.Fatalf("call %d: %+v", i, response)
		}
	}
}

// When the connection breaks after a request was sent, it may have run: what must not be repeated is answered by a status
// that promises nothing, and no other server gets it.
func TestNonIdempotentRequestIsNotResentAfterLostResponse(t *testing.T) {
	h := newHarness(t)
	closeUnanswered := func(net.Conn, *http.Request) bool { return false }
	h.backendServer("a", closeUnanswered)
	h.backendServer("b", closeUnanswered)
	if response := h.get("/once/x"); response.status != http.StatusBadGateway || h.requestCount() != 1 {
		t.Fatalf("answer %+v after %d sends, want 502 after 1", response, h.requestCount())
	}
}

// A server that answers 503 without saying that it has not run the request must not be quoted: callers take 503 as a
// promise and would charge a deposit twice.
func TestRefusalWithoutNotRunHeaderIsAnsweredWith502(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		h := newHarness(t)
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool { return respond(conn, r, status, "", "") })
		if response := h.get("/once/x"); response.status != http.StatusBadGateway || response.header.Get("X-Rudder-Signature") != "" {
			t.Fatalf("status %d of the server became %+v, want 502 without a signature", status, response)
		}
	}
}

// An idempotent request goes to another server after a failure, but to no more than its route allows.
func TestIdempotentRequestIsRetriedUpToMaxAttempts(t *testing.T) {
	h := newHarness(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		h.backendServer(name, func(conn net.Conn, r *http.Request) bool { return respond(conn, r, 500, "", "broken") })
	}
	response := h.get("/safe/x")
	if response.status != 500 || response.body != "broken" || h.requestCount() != 2 {
		t.Fatalf("answer %+v after %d sends, want the server's own 500 after 2", response, h.requestCount())
	}
}

// A success without the signature, or in an encoding that nobody asked for, is not the server's answer.
func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nContent-Length: 2\r\n\r\nxx", r.Header.Get("X-Rudder-Request"))
		return true
	})
	if response := h.get("/once/x"); response.status != http.StatusBadGateway {
		t.Fatalf("answer %+v, want 502", response)
	}
}

// A response that is cut short must not look whole.
func TestTruncatedResponseIsAnsweredWith502(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nContent-Length: 10\r\n\r\nhalf", r.Header.Get("X-Rudder-Request"))
		return false
	})
	if response := h.get("/once/x"); response.status != http.StatusBadGateway {
		t.Fatalf("answer %+v, want 502", response)
	}
}

// A resumable stream goes on at another server inside the same response; no event is missing or comes twice, even if the
// second server begins before the asked event or the first one breaks off inside an event.
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
		t.Fatalf("stream %q, error %v, want events 1 to 6", got.body, got.err)
	}
}

// A stream that may not be resumed is cut off so that its caller sees it; the events of two runs are never joined.
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

// Events go out as they arrive: the first one must reach the caller while the server still works on the second.
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
		t.Fatalf("read %q, %v", buffer[:n], err)
	}
	close(firstRead)
}

// When the caller leaves, the backend server's connection closes, so that it stops to work.
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
		t.Fatal("the connection to the backend server stays open")
	}
}

// At the route's timeout the caller gets its final answer, which promises nothing once the request was sent.
func TestRouteTimeoutIsAnsweredWith504(t *testing.T) {
	h := newHarness(t)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	h.backendServer("a", func(net.Conn, *http.Request) bool { <-done; return false })
	if response := h.get("/short/x"); response.status != http.StatusGatewayTimeout {
		t.Fatalf("answer %+v, want 504", response)
	}
}

// Usage counts the requests that servers began. When those counted too that a server held in its queue until the time was
// over, reports of an overloaded service were a tenth too high.
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

// Without a fresh proof of the configuration no request runs, and the answer is 503, not 401: the key may be valid.
func TestRequestIsRefusedWithStaleConfiguration(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	h.server.StalenessLimits = StalenessLimits{Send: time.Nanosecond, Wait: time.Nanosecond}
	if response := h.get("/once/x"); response.status != http.StatusServiceUnavailable || h.requestCount() != 0 {
		t.Fatalf("answer %+v after %d sends, want 503 after none", response, h.requestCount())
	}
}

// A request that waits at its server when its key is taken away is cancelled there.
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
		next.Version, next.Organisations = 2, []*traffic.Organisation{{Name: "o", Keys: []string{"another"}}}
		next.Index()
		h.server.Current.Apply(&next)
		h.server.Current.Prove(2, boottime.Now())
	}()
	response := h.get("/once/x")
	<-closed
	if response.status != http.StatusBadGateway {
		t.Fatalf("answer %+v, want 502: the request may have run", response)
	}
}

// Unknown routes and keys get final answers of their own.
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
			t.Errorf("%s with %q: status %d, want %d", c.path, c.key, response.status, c.want)
		}
	}
}

// A stopping node says that it has not run what it refuses, and closes its connections.
func TestStoppingNodeRefusesRequests(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	h.server.Drain()
	if response := h.get("/once/x"); response.status != 200 {
		t.Fatalf("draining: %+v, want the request served", response)
	}
	h.server.RefuseRequests()
	response := h.get("/once/x")
	if response.status != 503 || response.header.Get(headerRetryAfter) == "" || h.requestCount() != 1 {
		t.Fatalf("refusing: %+v after %d sends", response, h.requestCount())
	}
}

// The last part of a prompt belongs to the request alone and must not decide where it meets others.
func TestParseSharedParts(t *testing.T) {
	parts := parseSharedParts("5c:800, 91:410,e4:250")
	if len(parts) != 2 || parts[0].ID != "5c" || parts[1].Tokens != 410 {
		t.Fatalf("parts %+v", parts)
	}
	for _, bad := range []string{"", "5c:x,91:3", "5c:-1,9:1"} {
		if parts := parseSharedParts(bad); len(parts) != 0 {
			t.Errorf("%q: parts %+v, want none", bad, parts)
		}
	}
}

// Bytes of a stream that come in pieces make the same events.
func TestEventReaderPreservesBytes(t *testing.T) {
	text := "id: 1\r\ndata: a\r\n\r\n: comment\n\nid:22\ndata: b\ndata: c\n\ntail"
	for size := 1; size < len(text); size++ {
		r := &eventReader{source: strings.NewReader(text)}
		var got strings.Builder
		chunk := make([]byte, size)
		for {
			whole, err := r.next(chunk)
			got.Write(whole)
			if err != nil {
				break
			}
		}
		if got.String()+string(r.remainder()) != text || r.lastID != "22" {
			t.Fatalf("pieces of %d: %q and %q, last id %q", size, got.String(), r.remainder(), r.lastID)
		}
	}
}

// A request that may have run and may not go on, because its key is gone by then, must not be answered as if it had not
// run.
func TestRevokedKeyAfterLostResponseIsAnsweredWith502(t *testing.T) {
	h := newHarness(t)
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, func(net.Conn, *http.Request) bool {
			next := *h.config
			next.Version, next.Organisations = 2, []*traffic.Organisation{{Name: "o", Keys: []string{"another"}}}
			next.Index()
			h.server.Current.Apply(&next)
			return false
		})
	}
	if response := h.get("/safe/x"); response.status != http.StatusBadGateway || h.requestCount() != 1 {
		t.Fatalf("answer %+v after %d sends, want 502 after 1", response, h.requestCount())
	}
}
