package relay

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// allowedInWindow is the number of requests that a server may get in 4 s while it names a limit, or in the given time if that
// is longer.
func allowedInWindow(perSecond float64, elapsed time.Duration) int64 {
	return int64(1.5*perSecond*max(elapsed, 4*time.Second).Seconds()) + 5
}

// Guards against a server that gets more requests than the limit that it names in its answers, and against one that stays
// limited when it names none any more.
func TestLimitOfServerIsKept(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/resumable/x"} {
		h := newHarness(t)
		var limited, others atomic.Int64
		var namesLimit atomic.Bool
		namesLimit.Store(true)
		h.backendServer("limited", func(conn net.Conn, r *http.Request) bool {
			limited.Add(1)
			extra := ""
			if namesLimit.Load() {
				extra = "X-Rudder-Limit: " + strconv.FormatFloat(2.5, 'f', 1, 64) + "\r\n"
			}
			return respond(conn, r, 200, extra, "done")
		})
		for _, name := range []string{"a", "b"} {
			h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
				others.Add(1)
				return succeed(conn, r)
			})
		}
		begin := time.Now()
		for range 300 {
			if response := h.get(path); response.status != http.StatusOK {
				t.Fatalf("%s: response %+v, want 200", path, response)
			}
		}
		if got, allowed := limited.Load(), allowedInWindow(2.5, time.Since(begin)); got > allowed {
			t.Errorf("%s: a server with a limit of 2.5 a second got %d requests in %s, allowed %d", path, got, time.Since(begin), allowed)
		}
		namesLimit.Store(false)
		for deadline := time.Now().Add(20 * time.Second); limited.Load() < 40; {
			if h.get(path); time.Now().After(deadline) {
				t.Fatalf("%s: a server that names no limit any more got %d of %d requests", path, limited.Load(), limited.Load()+others.Load())
			}
		}
	}
}
