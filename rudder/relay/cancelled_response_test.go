package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
)

// hookHandler is a log handler that calls a function with each message.
type hookHandler struct {
	slog.Handler
	call func(message string)
}

func (h hookHandler) Handle(_ context.Context, r slog.Record) error {
	h.call(r.Message)
	return nil
}

// Guards against a response that is cut within its body because the request was cancelled between the arrival of the head and the
// decision to forward it: the caller must get an answer.
func TestRequestCancelledWhenItsResponseArrivesIsAnswered(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t)
			revoked := *h.config
			revoked.Version, revoked.Organisations = 2, nil
			revoked.BuildIndex()
			var once sync.Once
			// The announcement of the server that it leaves is logged after its head was read.
			log := slog.New(hookHandler{slog.NewTextHandler(io.Discard, nil), func(message string) {
				if strings.Contains(message, "announced that it leaves") {
					once.Do(func() {
						h.server.Current.Apply(&revoked)
						h.server.Current.ConfirmNewest(2, boottime.Now())
						h.server.cancelDisallowed()
					})
				}
			}})
			h.server.Backends = backend.NewTable(time.Second, log)
			for _, name := range []string{"a", "b"} {
				h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
					contentType, body := "text/plain", strings.Repeat("x", 100)
					if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resumable/") {
						contentType, body = "text/event-stream", eventText(1, 2)
					}
					// One write, so that the node reads a part of the body with the head. The rest of the body does not follow.
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nX-Rudder-Leaving: 1\r\nContent-Type: %s\r\nContent-Length: 1000\r\n\r\n%s",
						r.Header.Get("X-Rudder-Request"), contentType, body)
					_, _ = conn.Read(make([]byte, 1)) // until the node resets the connection
					return false
				})
			}
			if got := h.get(path); got.status != http.StatusBadGateway || got.err != nil || h.requestCount() != 1 {
				t.Errorf("status %d, body %q, error %v after %d sends, want a complete 502 after 1", got.status, got.body, got.err, h.requestCount())
			}
		})
	}
}
