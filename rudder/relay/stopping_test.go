package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// Guards against a stopping node that passes requests on late in its grace period, whose responses it then cuts: those that
// have waited at the node since before, for a server that asked for a pause or refused them, must be refused as not run.
func TestStoppingNodeDoesNotPassOnWaitingRequests(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t)
			for _, route := range h.config.Routes {
				route.LatencyObjective = 10 * time.Second
				route.Timeout = 20 * time.Second
			}
			h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
				if h.requestCount() > 1 {
					return succeed(conn, r)
				}
				return respond(conn, r, 503, "X-Rudder-Not-Run: 1\r\nRetry-After: 5\r\n", "")
			})
			log := h.recordLog()
			go func() {
				log.waitFor(t, "Request waits for a backend server", nil)
				h.server.RefuseRequestsFrom(boottime.Now())
			}()
			got := h.call(context.Background(), http.MethodGet, path, "", http.Header{"X-Rudder-Timeout-Ms": {"20000"}})
			if !log.contains("Request waits for a backend server") {
				t.Fatal("the request did not wait")
			}
			if got.status != 503 || got.header.Get("Retry-After") == "" || h.requestCount() != 1 {
				t.Errorf("status %d, Retry-After %q after %d requests to the server, want 503 after one", got.status, got.header.Get("Retry-After"), h.requestCount())
			}
		})
	}
}
