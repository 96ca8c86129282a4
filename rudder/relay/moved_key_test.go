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

// Guards against a final refusal of a request that every configuration allows: its key was taken away while it waited, by a version that
// opens its route to all, and it was answered 401 (soak with changing access, seed 57004).
func TestRequestWhoseRouteIsOpenedIsNotRefusedForGood(t *testing.T) {
	for name, c := range map[string]struct {
		change     func(*traffic.Config)
		wantStatus int
	}{
		"no list of organisations": {func(c *traffic.Config) { c.Organisations, c.Callers = nil, traffic.Everybody }, http.StatusServiceUnavailable},
		"the route is public": {func(c *traffic.Config) {
			c.Organisations = nil
			for i, r := range c.Routes {
				public := *r
				public.Public = true
				c.Routes[i] = &public
			}
		}, http.StatusServiceUnavailable},
		"nobody has a key": {func(c *traffic.Config) { c.Organisations = nil }, http.StatusUnauthorized},
	} {
		h := newHarness(t)
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
			h.applyConfig(c.change)
			return refuseNotRun(conn, r)
		})
		got := h.get("/safe/x")
		if got.status != c.wantStatus || (got.header.Get(headerRetryAfter) != "") != (c.wantStatus == http.StatusServiceUnavailable) {
			t.Errorf("%s: status %d, Retry-After %q, want %d, with Retry-After if it is 503", name, got.status, got.header.Get(headerRetryAfter), c.wantStatus)
		}
	}
}
