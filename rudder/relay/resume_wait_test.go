package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"chestnutrudder.example/rudder/limit"
)

// waitsToResumeLine is in the log line of a stream that waits until it can be resumed.
const waitsToResumeLine = "Waits to resume a stream"

// Guards against a stream that is cut although it may be resumed: no retry or no server is to be had at the moment, or the
// server that was to go on with it is full.
func TestBegunStreamWaitsUntilItCanBeResumed(t *testing.T) {
	breakOff := func(conn net.Conn, r *http.Request) bool { return sendEvents(conn, r, 1, 1, false) }
	goOn := func(conn net.Conn, r *http.Request) bool { return sendEvents(conn, r, 2, 2, true) }
	// creditRetry lets the budget grow by one retry, as each first attempt does.
	creditRetry := func(h *harness) { h.server.recordFirstSend("s") }
	for name, c := range map[string]struct {
		hasNoRetry   bool // when the stream breaks off
		hasOther     bool
		refuses      bool // the first server that gets the rest of the stream
		whileWaiting func(h *harness)
		wantSends    int
	}{
		"retry budget is exhausted": {hasNoRetry: true, hasOther: true, whileWaiting: creditRetry, wantSends: 2},
		"no other server":           {whileWaiting: func(h *harness) { h.backendServer("other", goOn) }, wantSends: 2},
		"next server is full, and no retry is left": {hasOther: true, refuses: true, whileWaiting: func(h *harness) {
			creditRetry(h)
			h.backendServer("third", goOn)
		}, wantSends: 3},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.allowLongCalls()
			h.server.RetryRate = limit.RetryRate{Fraction: 1, Burst: 1}
			log := h.recordLog()
			var requests atomic.Int64
			handle := func(conn net.Conn, r *http.Request) bool {
				switch n := requests.Add(1); {
				case n == 1:
					if c.hasNoRetry {
						h.server.takeRetry("s")
					}
					return breakOff(conn, r)
				case n == 2 && c.refuses:
					return refuseNotRun(conn, r)
				default:
					return goOn(conn, r)
				}
			}
			h.backendServer("first", handle)
			if c.hasOther {
				h.backendServer("second", handle)
			}
			response, done := h.longCall("/resumable/x")
			log.waitFor(t, waitsToResumeLine, done)
			c.whileWaiting(h)
			<-done
			if response.err != nil || response.body != eventText(1, 2) || h.requestCount() != c.wantSends {
				t.Errorf("response %+v after %d sends, want events 1 and 2 after %d", *response, h.requestCount(), c.wantSends)
			}
			if left := h.retriesLeft(); left != 0 {
				t.Errorf("%.0f retries are left, want none", left)
			}
		})
	}
}
