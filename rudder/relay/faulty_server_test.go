package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
)

// sendDrips answers with one event of a stream and then with single bytes that complete no event, until the connection ends.
func sendDrips(conn net.Conn, r *http.Request) bool {
	sendEvents(conn, r, 1, 1, false)
	for {
		if _, err := fmt.Fprint(conn, "1\r\n:\r\n"); err != nil {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Pattern: a stalled stream on which a byte arrives now and then. The time limit is one for events: bytes that complete no
// event must not extend it.
func TestDrippingStreamIsResumedElsewhere(t *testing.T) {
	h := newHarness(t)
	for _, route := range h.config.Routes {
		route.MaxEventGap, route.Timeout = 50*time.Millisecond, 30*time.Second
	}
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
			if r.Header.Get(headerLastEventID) == "" {
				return sendDrips(conn, r)
			}
			return sendEvents(conn, r, 2, 3, true)
		})
	}
	got := h.call(context.Background(), http.MethodGet, "/resumable/x", "", http.Header{"X-Rudder-Timeout-Ms": {"20000"}})
	if got.err != nil || got.body != eventText(1, 3) {
		t.Fatalf("stream %q, error %v, want events 1 to 3 and no error", got.body, got.err)
	}
}

// Pattern: a slow but sound stream. As long as its events come within the time limit of events, it must go on.
func TestSlowStreamIsForwardedToItsEnd(t *testing.T) {
	h := newHarness(t)
	for _, route := range h.config.Routes {
		route.MaxEventGap = 500 * time.Millisecond
	}
	handle := func(conn net.Conn, r *http.Request) bool {
		sendEvents(conn, r, 1, 1, false)
		for i := 2; i <= 6; i++ {
			event := fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i)
			fmt.Fprintf(conn, "%x\r\n", len(event))
			for _, part := range []string{event[:5], event[5:]} {
				time.Sleep(100 * time.Millisecond)
				fmt.Fprint(conn, part)
			}
			fmt.Fprint(conn, "\r\n")
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
	h.backendServer("a", handle)
	h.backendServer("b", handle)
	got := h.get("/resumable/x")
	if got.err != nil || got.body != eventText(1, 6) || h.requestCount() != 1 {
		t.Fatalf("stream %q, error %v after %d sends, want events 1 to 6, no error and 1 send", got.body, got.err, h.requestCount())
	}
}

// sendUnframedEvents writes events in a response without a length, which ends with its connection, and then part of an event.
func sendUnframedEvents(conn net.Conn, r *http.Request, last int, rest string) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n%s%s",
		r.Header.Get("X-Rudder-Request"), eventText(1, last), rest)
	return false
}

// A stream without a length that ends within an event broke off. It must not reach the caller as complete.
func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool { return sendUnframedEvents(conn, r, 2, "id: 3\ndat") })
	if got := h.get("/stream/x"); got.err == nil || got.body != eventText(1, 2) {
		t.Fatalf("stream %q, error %v, want events 1 and 2 and an error", got.body, got.err)
	}
	h = newHarness(t)
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool { return sendUnframedEvents(conn, r, 2, "") })
	if got := h.get("/stream/x"); got.err != nil || got.body != eventText(1, 2) {
		t.Fatalf("stream %q, error %v, want events 1 and 2 and no error", got.body, got.err)
	}
}

// waitUntilIdle waits until the server "a" has no request, which frees its place for others.
func (h *harness) waitUntilIdle() {
	h.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		loads := h.server.Backends.OwnLoads()
		if loads["a"].Running == 0 {
			return
		}
		if time.Now().After(deadline) {
			h.t.Fatalf("loads are %+v 10 s after the end of the request, want none running", loads)
		}
	}
}

// A large response that breaks off must reach the caller as incomplete, must count against the server, and must free its
// place there. The request must not be sent again, since a part of the answer is with the caller.
func TestBrokenLargeResponseIsAborted(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		h := newHarness(t)
		handle := func(conn net.Conn, r *http.Request) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nContent-Length: 300000\r\n\r\n%s", r.Header.Get("X-Rudder-Request"), strings.Repeat("a", 200_000))
			return false
		}
		h.backendServer("a", handle)
		got := h.get(path)
		if got.err == nil || h.requestCount() != 1 {
			t.Fatalf("%s: status %d, error %v after %d sends, want an incomplete response after 1 send", path, got.status, got.err, h.requestCount())
		}
		h.waitUntilIdle()
		if loads := h.server.Backends.OwnLoads(); loads["a"].EjectedBy != 1 {
			t.Errorf("%s: server is not ejected after a broken response", path)
		}
	}
}

// A server in trouble may send a body without end. The answer must be cut after a bounded number of bytes, long before the
// caller's deadline, and the connection be closed.
func TestEndlessBodyIsCut(t *testing.T) {
	h := newHarness(t)
	h.server.MaxResponseBytes = 1 << 20
	for _, route := range h.config.Routes {
		route.Timeout = time.Minute
	}
	closed := make(chan struct{})
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		defer close(closed)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\n\r\n", r.Header.Get("X-Rudder-Request"))
		block := make([]byte, 64<<10)
		for {
			if _, err := conn.Write(block); err != nil {
				return false
			}
		}
	})
	got := h.call(context.Background(), http.MethodGet, "/once/x", "", http.Header{"X-Rudder-Timeout-Ms": {"50000"}})
	if got.err == nil || len(got.body) > 2<<20 {
		t.Fatalf("status %d with %d bytes, error %v, want an incomplete response of about 1 MiB", got.status, len(got.body), got.err)
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the server can still send after 10 s")
	}
	h.waitUntilIdle()
}

// An event that never ends must not be collected without bound.
func TestEndlessEventIsCut(t *testing.T) {
	h := newHarness(t)
	closed := make(chan struct{})
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		defer close(closed)
		sendUnframedEvents(conn, r, 1, "data: ")
		block := []byte(strings.Repeat("a", 64<<10))
		for {
			if _, err := conn.Write(block); err != nil {
				return false
			}
		}
	})
	if got := h.get("/stream/x"); got.err == nil || got.body != eventText(1, 1) {
		t.Fatalf("stream of %d bytes, error %v, want event 1 and an error", len(got.body), got.err)
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the server can still send after 10 s")
	}
}

// Events may end with CRLF. A resumed stream must not repeat them.
func TestSkipEventsWithCRLF(t *testing.T) {
	events := strings.ReplaceAll(eventText(1, 4), "\n", "\r\n")
	want := strings.ReplaceAll(eventText(3, 4), "\n", "\r\n")
	if got, err := continuation([]byte(events), "2"); err != nil || string(got) != want {
		t.Errorf("events after id 2 are %q, error %v, want %q", got, err, want)
	}
}

// The end of a request that says nothing about its server must not end the probe that another request makes.
func TestOtherRequestDoesNotEndProbe(t *testing.T) {
	table := backend.NewTable(time.Second, newHarness(t).server.Log)
	table.Put(backend.Entry{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 8})
	place := func() *backend.Placement {
		p, refusal := table.Place(backend.Request{Service: "s"}, 0)
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		return p
	}
	early := place() // before the ejection
	place().Release(backend.ResultConnectionFailure)
	time.Sleep(600 * time.Millisecond) // the ejection of 500 ms ends
	probe := place()
	early.Release(backend.ResultInconclusive)
	if table.OwnLoads()["a"].EjectedBy != 1 {
		t.Error("probe ended with another request")
	}
	probe.Release(backend.ResultInconclusive)
	if table.OwnLoads()["a"].EjectedBy != 0 {
		t.Error("probe did not end with its own request")
	}
}
