package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
)

// copyingServer refuses its first request as not run and runs all later ones. On the connection of the refusal it sends a
// copy of the refusal before the response to the next request.
type copyingServer struct {
	refusal func(id string) string // text of the refusal of a request

	mu      sync.Mutex
	refused net.Conn
	copied  string         // the refusal that was sent
	runs    map[string]int // by request id
}

func (s *copyingServer) handle(conn net.Conn, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("X-Rudder-Request")
	if s.refused == nil {
		s.refused, s.copied, s.runs = conn, s.refusal(id), map[string]int{}
		fmt.Fprint(conn, s.copied)
		return true
	}
	s.runs[id]++
	if conn == s.refused {
		fmt.Fprint(conn, s.copied)
	}
	return succeed(conn, r)
}

// A faulty server may send an earlier refusal once more where the response to the next request is due. A caller must not be
// told that this request has not run. (After a 421 the server gets no further request.)
func TestCopyOfEarlierRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	const notRun = "X-Rudder-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	withID := func(status int) func(string) string {
		return func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Rudder-Request: %s\r\n%s", status, id, notRun)
		}
	}
	withoutID := func(string) string { return "HTTP/1.1 503 X\r\n" + notRun }
	for name, c := range map[string]struct {
		refusal  func(string) string
		secondID string
		status   int // of the second request
	}{
		"503":                 {withID(503), "second", 200},
		"429":                 {withID(429), "second", 200},
		"408":                 {withID(408), "second", 200},
		"503 for the same id": {withID(503), "first", 200},
		"503 without an id":   {withoutID, "second", 502},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			s := &copyingServer{refusal: c.refusal}
			h.backendServer("a", s.handle)
			call := func(id string) callerResponse {
				return h.call(context.Background(), http.MethodPost, "/once/x", "body", http.Header{"X-Rudder-Request": {id}})
			}
			if got := call("first"); got.status != 503 {
				t.Fatalf("first request: status %d, error %v, want 503", got.status, got.err)
			}
			h.waitUntilIdle()
			got := call(c.secondID)
			s.mu.Lock()
			defer s.mu.Unlock()
			if got.status != c.status || s.runs[c.secondID] != 1 {
				t.Errorf("second request: status %d, error %v after %d runs, want %d after 1", got.status, got.err, s.runs[c.secondID], c.status)
			}
		})
	}
}
