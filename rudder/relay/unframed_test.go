package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// crashingBackendServer adds a backend server that closes the connection in an orderly way after each response. If handle
// returns true, it ends then like a crashed process: it accepts no connections any more.
func (h *harness) crashingBackendServer(name string, handle func(conn net.Conn, r *http.Request) (crashes bool)) {
	h.t.Helper()
	h.crashableServer(name, func(conn net.Conn, r *http.Request, crash func()) bool {
		if handle(conn, r) {
			crash()
		}
		return false
	})
}

// sendUnframed writes a response without a length, which ends with its connection.
func sendUnframed(conn net.Conn, r *http.Request, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\n\r\n%s", r.Header.Get("X-Rudder-Request"), body)
}

// Guards against a stream without a length that looks complete although its server crashed between two events: the end of the
// connection does not tell. It must be resumed elsewhere, or be aborted.
func TestUnframedStreamOfCrashedServerIsNotComplete(t *testing.T) {
	for _, path := range []string{"/resumable/x", "/stream/x"} {
		h := newHarness(t)
		h.crashingBackendServer("a", func(conn net.Conn, r *http.Request) bool { return !sendUnframedEvents(conn, r, 2, "") })
		got := h.get(path)
		if path == "/resumable/x" && got.err == nil {
			t.Errorf("%s without another server: stream %q and no error", path, got.body)
		}
		if path == "/stream/x" && (got.err == nil || got.body != eventText(1, 2)) {
			t.Errorf("%s: stream %q, error %v, want events 1 and 2 and an error", path, got.body, got.err)
		}
	}
	h := newHarness(t)
	for _, name := range []string{"a", "b"} {
		h.crashingBackendServer(name, func(conn net.Conn, r *http.Request) bool {
			isResumed := r.Header.Get(headerLastEventID) == "2"
			if isResumed {
				sendUnframedEvents(conn, r, 4, "")
			} else {
				sendUnframedEvents(conn, r, 2, "")
			}
			return !isResumed
		})
	}
	if got := h.get("/resumable/x"); got.err != nil || got.body != eventText(1, 4) {
		t.Errorf("stream %q, error %v, want events 1 to 4 and no error", got.body, got.err)
	}
}

// Guards against a stream without a length that ends before its first event and looks like a complete empty one.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool { return sendUnframedEvents(conn, r, 0, "") })
	if got := h.get("/stream/x"); got.status != http.StatusBadGateway {
		t.Errorf("response %+v, want 502", got)
	}
}

// A response without a length is complete when its connection ends and the server lives, line ends after the last event
// included. The connection must not be used again.
func TestUnframedResponseIsForwarded(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		if r.URL.Path == "/stream/x" {
			return sendUnframedEvents(conn, r, 3, "\n")
		}
		sendUnframed(conn, r, "plain")
		return false
	})
	for range 3 {
		if got := h.get("/once/x"); got.err != nil || got.status != http.StatusOK || got.body != "plain" {
			t.Errorf("plain response %+v, want 200 and the whole body", got)
		}
		if got := h.get("/stream/x"); got.err != nil || got.status != http.StatusOK || got.body != eventText(1, 3)+"\n" {
			t.Errorf("stream %+v, want 200 and three events", got)
		}
	}
}

// Guards against a plain response without a length that looks complete although its server crashed or reset the connection.
func TestBrokenUnframedResponseIsNotComplete(t *testing.T) {
	for name, isReset := range map[string]bool{"crash": false, "reset": true} {
		h := newHarness(t)
		handle := func(conn net.Conn, r *http.Request) bool {
			sendUnframed(conn, r, "par")
			if isReset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return true
		}
		h.crashingBackendServer("a", handle)
		if got := h.get("/once/x"); got.status != http.StatusBadGateway {
			t.Errorf("%s, request that must not be repeated: response %+v, want 502", name, got)
		}
		h = newHarness(t)
		h.crashingBackendServer("a", handle)
		h.backendServer("b", succeed)
		for range 4 {
			if got := h.get("/safe/x"); got.status != http.StatusOK || got.body != "done" {
				t.Errorf("%s, repeatable request: response %+v, want that of the other server", name, got)
			}
		}
	}
}
