package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a server that fails with long bodies and is treated as sound: the failure reached the caller of a request that
// could run elsewhere. The size of the body must make no difference.
func TestFailureIsRepeatedElsewhereWhateverItsLengthIs(t *testing.T) {
	for _, f := range failures(http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout) {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resumable/x"} {
			isRepeatable := path == "/safe/x" || path == "/resumable/x"
			for _, allFail := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%v/all fail %t", path, f, allFail), func(t *testing.T) {
					t.Parallel()
					h := newHarness(t)
					runs := h.failingServers(f, allFail)
					got := h.get(path)
					wantRuns := int64(1)
					if isRepeatable {
						wantRuns = 2
					}
					if runs.Load() != wantRuns {
						t.Errorf("%d runs, want %d", runs.Load(), wantRuns)
					}
					switch {
					case isRepeatable && !allFail:
						if got.status != http.StatusOK || got.err != nil {
							t.Errorf("status %d, error %v, want the response of the second server", got.status, got.err)
						}
					case !f.isBroken:
						if got.status != f.status || got.body != f.body || got.err != nil {
							t.Errorf("status %d with %d bytes, error %v, want the server's own failure", got.status, len(got.body), got.err)
						}
					case got.err == nil && got.status != http.StatusBadGateway && !(f.framing == framedByConnection && got.status == f.status):
						t.Errorf("status %d after a broken failure, want 502 or an incomplete response", got.status)
					}
				})
			}
		}
	}
}

// Guards against a long failure that is given up for another attempt which the retry budget then denies.
func TestLongFailureIsForwardedWithoutRetryBudget(t *testing.T) {
	h := newHarness(t)
	h.server.SetNodeCount(1 << 20)
	body := strings.Repeat("x", 2*maxBufferedBytes)
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, func(conn net.Conn, r *http.Request) bool { return respond(conn, r, 500, "", body) })
	}
	if got := h.get("/safe/x"); got.status != 500 || got.body != body || h.requestCount() != 1 {
		t.Errorf("status %d with %d bytes after %d sends, want the server's own failure after 1", got.status, len(got.body), h.requestCount())
	}
}

// Guards against a server that fails with long bodies and goes on getting requests, since its failures count as completed.
func TestServerThatFailsWithLongBodiesIsEjected(t *testing.T) {
	for _, size := range []int{100, 3 * maxBufferedBytes} {
		h := newHarness(t)
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
			return respond(conn, r, 500, "", strings.Repeat("x", size))
		})
		for i := 0; h.server.Backends.OwnLoads()["a"].EjectedBy == 0; i++ {
			if i == 20 {
				t.Fatalf("bodies of %d bytes: the server is not ejected after %d failures", size, i)
			}
			h.call(context.Background(), http.MethodGet, "/once/x", "", http.Header{"X-Rudder-Request": {fmt.Sprint("r", i)}})
			h.waitUntilIdle()
		}
	}
}
