package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a caller that waits until its deadline for the rest of a response that is not forwarded: only the reuse of the
// connection depends on it.
func TestBodyThatIsNotForwardedIsNotAwaited(t *testing.T) {
	for name, head := range map[string]string{
		"unsigned success":                "200 X\r\n",
		"success with a content encoding": "200 X\r\nX-Rudder-Signature: sig\r\nContent-Encoding: br\r\n",
		"503 that denies nothing":         "503 X\r\nX-Rudder-Signature: sig\r\n",
		"429 that denies nothing":         "429 X\r\nX-Rudder-Signature: sig\r\n",
	} {
		for _, end := range []string{"Content-Length: 10\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "\r\n"} {
			for _, path := range []string{"/once/x", "/stream/x"} {
				t.Run(fmt.Sprintf("%s/%q%s", name, end, path), func(t *testing.T) {
					t.Parallel()
					h := newHarness(t)
					for _, route := range h.config.Routes {
						route.Timeout = time.Minute
					}
					done := make(chan struct{})
					h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
						fmt.Fprintf(conn, "HTTP/1.1 %sX-Rudder-Request: %s\r\n%s", head, r.Header.Get("X-Rudder-Request"), end)
						<-done
						return false
					})
					got := h.call(context.Background(), http.MethodGet, path, "", http.Header{"X-Rudder-Timeout-Ms": {"20000"}})
					close(done)
					if got.status != http.StatusBadGateway {
						t.Errorf("status %d, error %v, want 502 before the deadline", got.status, got.err)
					}
				})
			}
		}
	}
}
