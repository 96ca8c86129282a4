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
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	w := newWorld(t)
	w.server.Dialect = new(Dialect)
	*w.server.Dialect = NativeDialect
	w.server.Dialect.Reserved = []string{"X-Only-Ours"}
	w.backendServer("b", succeed)
	answer := w.call(context.Background(), http.MethodPost, "/once/a%2Fb/../c?x=%20y&z", "the body", http.Header{
		"X-Only-Ours": {"1"}, "X-Rudder-Organisation": {"forged"}, "X-Custom": {"kept"}, "Connection": {"X-Rudder-Request, X-Hop"}, "X-Hop": {"1"},
	})
	if answer.status != 200 || answer.body != "done" || answer.header.Get("X-Rudder-Signature") != "sig" {
		t.Fatalf("answer %+v", answer)
	}
	got := w.seen[0]
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
func TestNotRunGoesToAnotherServer(t *testing.T) {
	w := newWorld(t)
	w.backendServer("full", notRun)
	w.backendServer("free", succeed)
	for i := range 8 {
		if answer := w.get("/once/x"); answer.status != 200 {
			t.Fatalf("call %d: %+v", i, answer)
		}
	}
}

// When the connection breaks after a request was sent, it may have run: what must not be repeated is answered by a status
// that promises nothing, and no other server gets it.
func TestLostAnswerIsNotRepeated(t *testing.T) {
	w := newWorld(t)
	closeUnanswered := func(net.Conn, *http.Request) bool { return false }
	w.backendServer("a", closeUnanswered)
	w.backendServer("b", closeUnanswered)
	if answer := w.get("/once/x"); answer.status != http.StatusBadGateway || w.total() != 1 {
		t.Fatalf("answer %+v after %d sends, want 502 after 1", answer, w.total())
	}
}

// A server that answers 503 without saying that it has not run the request must not be quoted: callers take 503 as a
// promise and would charge a deposit twice.
func TestUnprovedRefusalIsNoPromise(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		w := newWorld(t)
		w.backendServer("a", func(conn net.Conn, r *http.Request) bool { return respond(conn, r, status, "", "") })
		if answer := w.get("/once/x"); answer.status != http.StatusBadGateway || answer.header.Get("X-Rudder-Signature") != "" {
			t.Fatalf("status %d of the server became %+v, want 502 without a signature", status, answer)
		}
	}
}

// An idempotent request goes to another server after a failure, but to no more than its route allows.
func TestIdempotentIsRepeatedWithinAttempts(t *testing.T) {
	w := newWorld(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		w.backendServer(name, func(conn net.Conn, r *http.Request) bool { return respond(conn, r, 500, "", "broken") })
	}
	answer := w.get("/safe/x")
	if answer.status != 500 || answer.body != "broken" || w.total() != 2 {
		t.Fatalf("answer %+v after %d sends, want the server's own 500 after 2", answer, w.total())
	}
}

// A success without the signature, or in an encoding that nobody asked for, is not the server's answer.
func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	w := newWorld(t)
	w.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nContent-Length: 2\r\n\r\nxx", r.Header.Get("X-Rudder-Request"))
		return true
	})
	if answer := w.get("/once/x"); answer.status != http.StatusBadGateway {
		t.Fatalf("answer %+v, want 502", answer)
	}
}

// A response that is cut short must not look whole.
func TestTruncatedResponseIsAFailure(t *testing.T) {
	w := newWorld(t)
	w.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nContent-Length: 10\r\n\r\nhalf", r.Header.Get("X-Rudder-Request"))
		return false
	})
	if answer := w.get("/once/x"); answer.status != http.StatusBadGateway {
		t.Fatalf("answer %+v, want 502", answer)
	}
}

// A resumable stream goes on at another server inside the same response; no event is missing or comes twice, even if the
// second server begins before the asked event or the first one breaks off inside an event.
func TestResumableStreamGoesOn(t *testing.T) {
	w := newWorld(t)
	answer := func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get(lastEventID) == "" {
			events(conn, r, 1, 3, false)
			fmt.Fprint(conn, "5\r\nid: 4\r\n")
			return false
		}
		if r.Header.Get(lastEventID) != "3" {
			return respond(conn, r, 500, "", "wrong event id "+r.Header.Get(lastEventID))
		}
		return events(conn, r, 2, 6, true)
	}
	w.backendServer("a", answer)
	w.backendServer("b", answer)
	got := w.get("/resumable/x")
	if got.err != nil || got.body != numbered(1, 6) {
		t.Fatalf("stream %q, error %v, want events 1 to 6", got.body, got.err)
	}
}

// A stream that may not be resumed is cut off so that its caller sees it; the events of two runs are never joined.
func TestBrokenStreamIsCutOff(t *testing.T) {
	w := newWorld(t)
	answer := func(conn net.Conn, r *http.Request) bool { return events(conn, r, 1, 3, false) }
	w.backendServer("a", answer)
	w.backendServer("b", answer)
	got := w.get("/stream/x")
	if got.err == nil || got.body != numbered(1, 3) || w.total() != 1 {
		t.Fatalf("stream %q, error %v after %d sends, want events 1 to 3, an error and 1 send", got.body, got.err, w.total())
	}
}

// Events go out as they arrive: the first one must reach the caller while the server still works on the second.
func TestEventsArePassedOnAtOnce(t *testing.T) {
	w := newWorld(t)
	firstRead := make(chan struct{})
	w.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		events(conn, r, 1, 1, false)
		<-firstRead
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	})
	request, _ := http.NewRequest(http.MethodGet, "http://"+w.address+"/stream/x", nil)
	request.Host = "h"
	request.Header = http.Header{"X-Rudder-Request": {"r1"}, "Authorization": {"Bearer key"}}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	buffer := make([]byte, 100)
	n, err := response.Body.Read(buffer)
	if err != nil || string(buffer[:n]) != numbered(1, 1) {
		t.Fatalf("read %q, %v", buffer[:n], err)
	}
	close(firstRead)
}

// When the caller leaves, the backend server's connection closes, so that it stops to work.
func TestCallerThatLeavesCancelsUpstream(t *testing.T) {
	w := newWorld(t)
	reached, closed := make(chan struct{}), make(chan struct{})
	w.backendServer("a", func(conn net.Conn, _ *http.Request) bool {
		close(reached)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-reached; cancel() }()
	w.call(ctx, http.MethodGet, "/once/x", "", nil)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection to the backend server stays open")
	}
}

// At the route's timeout the caller gets its final answer, which promises nothing once the request was sent.
func TestTimeoutIsAnswered(t *testing.T) {
	w := newWorld(t)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	w.backendServer("a", func(net.Conn, *http.Request) bool { <-done; return false })
	if answer := w.get("/short/x"); answer.status != http.StatusGatewayTimeout {
		t.Fatalf("answer %+v, want 504", answer)
	}
}

// Usage counts the requests that servers began. When those counted too that a server held in its queue until the time was
// over, reports of an overloaded service were a tenth too high.
func TestRunsOfSilentServersAreNotCounted(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		answer  func(done <-chan struct{}) bool
		counted int64
	}{
		"silent until the time is over": {path: "/short/x", answer: func(done <-chan struct{}) bool { <-done; return false }},
		"closed after the request":      {path: "/once/x", answer: func(<-chan struct{}) bool { return false }, counted: 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			done := make(chan struct{})
			t.Cleanup(func() { close(done) })
			w.backendServer("a", func(net.Conn, *http.Request) bool { return c.answer(done) })
			w.get(c.path)
			if n := w.counted.runs.Load(); n != c.counted {
				t.Fatalf("%d runs are counted, want %d", n, c.counted)
			}
		})
	}
}

// Without a fresh proof of the configuration no request runs, and the answer is 503, not 401: the key may be valid.
func TestStaleConfigurationRefuses(t *testing.T) {
	w := newWorld(t)
	w.backendServer("a", succeed)
	w.server.Freshness = Freshness{Send: time.Nanosecond, Wait: time.Nanosecond}
	if answer := w.get("/once/x"); answer.status != http.StatusServiceUnavailable || w.total() != 0 {
		t.Fatalf("answer %+v after %d sends, want 503 after none", answer, w.total())
	}
}

// A request that waits at its server when its key is taken away is cancelled there.
func TestKeyTakenAwayCancelsWaitingRequest(t *testing.T) {
	w := newWorld(t)
	reached, closed := make(chan struct{}), make(chan struct{})
	w.backendServer("a", func(conn net.Conn, _ *http.Request) bool {
		close(reached)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.server.Watch(ctx)
	go func() {
		<-reached
		next := *w.config
		next.Version, next.Organisations = 2, []*traffic.Organisation{{Name: "o", APIKeys: []string{"another"}}}
		next.BuildIndex()
		w.server.Current.Apply(&next)
		w.server.Current.ConfirmNewest(2, boottime.Now())
	}()
	answer := w.get("/once/x")
	<-closed
	if answer.status != http.StatusBadGateway {
		t.Fatalf("answer %+v, want 502: the request may have run", answer)
	}
}

// Unknown routes and keys get final answers of their own.
func TestRefusals(t *testing.T) {
	w := newWorld(t)
	w.backendServer("a", succeed)
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
		answer := w.call(context.Background(), http.MethodGet, c.path, "", http.Header{"Authorization": {c.key}})
		if answer.status != c.want {
			t.Errorf("%s with %q: status %d, want %d", c.path, c.key, answer.status, c.want)
		}
	}
}

// A stopping node says that it has not run what it refuses, and closes its connections.
func TestStoppingNodeRefuses(t *testing.T) {
	w := newWorld(t)
	w.backendServer("a", succeed)
	w.server.Drain()
	if answer := w.get("/once/x"); answer.status != 200 {
		t.Fatalf("draining: %+v, want the request served", answer)
	}
	w.server.Refuse()
	answer := w.get("/once/x")
	if answer.status != 503 || answer.header.Get(retryAfter) == "" || w.total() != 1 {
		t.Fatalf("refusing: %+v after %d sends", answer, w.total())
	}
}

// The last part of a prompt belongs to the request alone and must not decide where it meets others.
func TestSharedParts(t *testing.T) {
	parts := sharedParts("5c:800, 91:410,e4:250")
	if len(parts) != 2 || parts[0].ID != "5c" || parts[1].Tokens != 410 {
		t.Fatalf("parts %+v", parts)
	}
	for _, bad := range []string{"", "5c:x,91:3", "5c:-1,9:1"} {
		if parts := sharedParts(bad); len(parts) != 0 {
			t.Errorf("%q: parts %+v, want none", bad, parts)
		}
	}
}

// Bytes of a stream that come in pieces make the same events.
func TestEventReaderKeepsBytes(t *testing.T) {
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
		if got.String()+string(r.rest()) != text || r.lastID != "22" {
			t.Fatalf("pieces of %d: %q and %q, last id %q", size, got.String(), r.rest(), r.lastID)
		}
	}
}

// A request that may have run and may not go on, because its key is gone by then, must not be answered as if it had not
// run.
func TestRefusalAfterARunIsNoPromise(t *testing.T) {
	w := newWorld(t)
	for _, name := range []string{"a", "b"} {
		w.backendServer(name, func(net.Conn, *http.Request) bool {
			next := *w.config
			next.Version, next.Organisations = 2, []*traffic.Organisation{{Name: "o", APIKeys: []string{"another"}}}
			next.BuildIndex()
			w.server.Current.Apply(&next)
			return false
		})
	}
	if answer := w.get("/safe/x"); answer.status != http.StatusBadGateway || w.total() != 1 {
		t.Fatalf("answer %+v after %d sends, want 502 after 1", answer, w.total())
	}
}
