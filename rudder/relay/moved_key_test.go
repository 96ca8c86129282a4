package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"chestnutrudder.example/rudder/traffic"
)

// Guards against a request that goes on, at another server, for the organisation that held its key before: the configuration has given
// the key to another one since.
func TestRequestWhoseKeyMovedDoesNotRunForTheFormerOrganisation(t *testing.T) {
	for _, path := range []string{"/safe/x", "/resumable/x"} {
		h := newHarness(t)
		for _, name := range []string{"a", "b"} {
			h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
				if h.requestCount() > 1 {
					t.Errorf("%s: sent again for organisation %q", path, r.Header.Get("X-Rudder-Organisation"))
					return succeed(conn, r)
				}
				h.applyConfig(func(c *traffic.Config) {
					c.Organisations = []*traffic.Organisation{{Name: "o"}, {Name: "other", APIKeys: []string{"key"}}}
				})
				if path == "/resumable/x" {
					return sendEvents(conn, r, 1, 2, false)
				}
				fmt.Fprint(conn, "HTTP/1.1 200")
				return false
			})
		}
		if got := h.get(path); got.err == nil && got.status == http.StatusOK {
			t.Errorf("%s: response %+v, want an error", path, got)
		}
	}
}
