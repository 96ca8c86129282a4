package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/rollout"
)

// versionCounts is a VersionObserver that keeps what it is told.
type versionCounts struct {
	mu       sync.Mutex
	arrivals int
	sends    []string // service, version and route
	ends     []rollout.Result
}

func (c *versionCounts) CountArrival(string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals++
}

func (c *versionCounts) CountSend(service, version, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends = append(c.sends, fmt.Sprint(service, " ", version, " ", route))
}

func (c *versionCounts) CountEnd(_, _, _ string, r rollout.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, r)
}

// awaitIdle waits until no request is in progress: ends are counted after callers have their responses.
func (h *harness) awaitIdle() {
	for deadline := time.Now().Add(10 * time.Second); h.server.InProgress() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatal("requests are still in progress after 10 s")
		}
	}
}

// Guards against a good version that looks slow because its new servers have no shared parts of prompts cached.
func TestTimeForCachedPartsIsNoSlowness(t *testing.T) {
	h, counts := newHarness(t), &versionCounts{}
	h.server.Versions = counts
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		time.Sleep(300 * time.Millisecond)
		return sendEvents(conn, r, 1, 2, true)
	})
	// At the assumed rate, 120,000 tokens take 2 s to read; the server is taken to have nearly all of them cached.
	h.call(context.Background(), http.MethodPost, "/stream/x", "", http.Header{"X-Rudder-Tokens": {"120000,5"}, "X-Rudder-Prefix": {"shared:119990,own:10"}})
	h.awaitIdle()
	if len(counts.ends) != 1 || counts.ends[0].Ratio > 1 || counts.ends[0].Ratio <= 0 {
		t.Errorf("ends %+v, want one that took less than the time for the whole prompt", counts.ends)
	}
}

// Guards against a bad version whose failures are not counted, and a good one for which refusals, servers that leave and callers
// that leave count as failures.
func TestEndsOfRequestsAreCountedByVersion(t *testing.T) {
	const slow = 200 * time.Millisecond // the predicted time of a plain request is 40 ms at first
	for name, c := range map[string]struct {
		handle     func(h *harness, conn net.Conn, r *http.Request) bool
		path       string
		callerWait time.Duration
		wantEnds   int
		wantFailed bool
		wantSlow   bool
	}{
		"answered":                 {func(_ *harness, conn net.Conn, r *http.Request) bool { return succeed(conn, r) }, "/once/x", 0, 1, false, false},
		"status 500":               {func(_ *harness, conn net.Conn, r *http.Request) bool { return respond(conn, r, 500, "", "") }, "/once/x", 0, 1, true, false},
		"status 404":               {func(_ *harness, conn net.Conn, r *http.Request) bool { return respond(conn, r, 404, "", "") }, "/once/x", 0, 1, false, false},
		"broken":                   {func(*harness, net.Conn, *http.Request) bool { return false }, "/once/x", 0, 1, true, false},
		"broken stream":            {func(_ *harness, conn net.Conn, r *http.Request) bool { return sendEvents(conn, r, 1, 2, false) }, "/stream/x", 0, 1, true, false},
		"whole stream":             {func(_ *harness, conn net.Conn, r *http.Request) bool { return sendEvents(conn, r, 1, 2, true) }, "/stream/x", 0, 1, false, false},
		"refused":                  {func(_ *harness, conn net.Conn, r *http.Request) bool { return refuseNotRun(conn, r) }, "/once/x", 0, 0, false, false},
		"slow":                     {func(_ *harness, conn net.Conn, r *http.Request) bool { time.Sleep(slow); return succeed(conn, r) }, "/once/x", 0, 1, false, true},
		"hangs until the deadline": {func(*harness, net.Conn, *http.Request) bool { time.Sleep(time.Second); return false }, "/once/x", slow, 1, false, true},
		"broken by a server that leaves": {func(h *harness, _ net.Conn, _ *http.Request) bool {
			h.server.Backends.Remove("a")
			return false
		}, "/once/x", 0, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h, counts := newHarness(t), &versionCounts{}
			h.server.Versions = counts
			h.backendServer("a", func(conn net.Conn, r *http.Request) bool { return c.handle(h, conn, r) })
			h.server.Backends.Put(backend.Entry{ID: "a", Service: "s", Address: h.addresses["a"], Slots: 8, SoftwareVersion: "v2"})
			ctx := context.Background()
			if c.callerWait > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, c.callerWait)
				defer cancel()
			}
			h.call(ctx, http.MethodPost, c.path, "", nil)
			h.awaitIdle()
			counts.mu.Lock()
			defer counts.mu.Unlock()
			if counts.arrivals != 1 || len(counts.sends) != 1 || len(counts.ends) != c.wantEnds {
				t.Fatalf("%d arrivals, sends %v, %d ends, want 1, 1 and %d", counts.arrivals, counts.sends, len(counts.ends), c.wantEnds)
			}
			if len(counts.ends) == 0 {
				return
			}
			if end := counts.ends[0]; end.IsFailed != c.wantFailed || c.wantSlow && end.Ratio <= rollout.SlowRatio {
				t.Errorf("end %+v, want failed %t, slow %t", end, c.wantFailed, c.wantSlow)
			}
		})
	}
}
