package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
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

// Guards against an answer that looks complete although its server was reclaimed: a server that leaves, as its entry or its
// responses say, ends the connections of the answers that it has not finished like one that crashes.
func TestUnframedAnswerOfReclaimedServerIsNotComplete(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		for _, isListed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s listed %t", path, isListed), func(t *testing.T) {
				h := newHarness(t)
				h.crashingBackendServer("a", func(conn net.Conn, r *http.Request) bool {
					if isListed {
						h.server.Backends.Put(backend.Entry{ID: "a", Service: "s", Address: h.addresses["a"], Slots: 8, Draining: true})
					} else {
						h.server.Backends.Remove("a")
					}
					if path == "/once/x" {
						sendUnframed(conn, r, "par")
					} else {
						sendUnframedEvents(conn, r, 2, "")
					}
					return true
				})
				if got := h.get(path); got.err == nil && got.status == http.StatusOK {
					t.Errorf("response %+v, want an error", got)
				}
			})
		}
	}
}

// A server that leaves, but still runs when its answer ends, has finished it.
func TestUnframedAnswerOfLeavingServerIsForwarded(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		h.server.Backends.Put(backend.Entry{ID: "a", Service: "s", Address: h.addresses["a"], Slots: 8, Draining: true})
		sendUnframed(conn, r, "whole")
		return false
	})
	if got := h.get("/once/x"); got.err != nil || got.body != "whole" {
		t.Errorf("response %+v, want the whole body", got)
	}
}

// Guards against a probe from before the end of an answer, which another request has begun, that tells of a server which lived
// then.
func TestEndOfAnswerIsProbedAnew(t *testing.T) {
	h := newHarness(t)
	p, refusal := h.server.Backends.Place(backend.Request{Service: "s"}, 0)
	if refusal == nil {
		t.Fatalf("placement %+v without a server", p)
	}
	h.crashingBackendServer("a", func(conn net.Conn, r *http.Request) bool {
		sendUnframed(conn, r, "par")
		return true
	})
	p, refusal = h.server.Backends.Place(backend.Request{Service: "s"}, 0)
	if refusal != nil {
		t.Fatal(refusal)
	}
	// A check that began while the server lived is in progress.
	begun, end := make(chan struct{}), make(chan struct{})
	go h.server.identities.get(context.Background(), identityKey{p.Incarnation, p.Address}, 0, func(boottime.Instant) identityFinding {
		close(begun)
		<-end
		return identityFinding{identity: identitySame}
	})
	<-begun
	p.Release(backend.ResultCompleted)
	time.AfterFunc(100*time.Millisecond, func() { close(end) })
	if got := h.get("/once/x"); got.status != http.StatusBadGateway {
		t.Errorf("response %+v, want 502", got)
	}
}

// Guards against a killed process whose listening socket outlives its connections for a moment, so that a probe right after the end
// of an answer is still accepted by the kernel.
func TestUnframedAnswerOfProcessThatIsBeingKilledIsNotComplete(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		h := newHarness(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		h.server.Backends.Put(backend.Entry{ID: "a", Service: "s", Address: listener.Addr().String(), Slots: 8})
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				t.Error(err)
				return
			}
			if path == "/once/x" {
				sendUnframed(conn, r, "par")
			} else {
				sendUnframedEvents(conn, r, 2, "")
			}
			conn.Close()
			time.Sleep(10 * time.Millisecond)
			listener.Close()
		}()
		if got := h.get(path); got.err == nil && got.status == http.StatusOK {
			t.Errorf("%s: response %+v, want an error", path, got)
		}
	}
}
