package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"chestnutrudder.example/rudder/traffic"
)

// Guards against a request without an API key that is ended at its server because the configuration has grown old: the limit
// is one for revoked keys, and the request has none.
func TestStaleConfigurationCancelsOnlyRequestsWithKey(t *testing.T) {
	for key, want := range map[string]int{"": http.StatusOK, "Bearer key": http.StatusBadGateway} {
		h := newHarness(t)
		h.config.Routes = append(h.config.Routes, &traffic.Route{
			Name: "public", Host: "h", PathPrefix: "/public/", Kind: traffic.NonIdempotent, Attempts: 1, Timeout: time.Minute, Public: true, Targets: targets("s"),
		})
		h.config.BuildIndex()
		path := "/public/x"
		if key != "" {
			path = "/once/x"
		}
		h.server.StalenessLimits = StalenessLimits{Send: time.Hour, Wait: time.Nanosecond}
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
			h.server.cancelDisallowed()
			h.server.mu.Lock()
			isCancelled := len(h.server.awaitingResponse) == 0
			h.server.mu.Unlock()
			if isCancelled {
				_, _ = conn.Read(make([]byte, 1)) // until the node has closed the connection
			}
			return succeed(conn, r)
		})
		if response := h.call(context.Background(), http.MethodPost, path, "b", http.Header{"Authorization": {key}}); response.status != want {
			t.Errorf("path %s with key %q: response %+v, want status %d", path, key, response, want)
		}
	}
}
