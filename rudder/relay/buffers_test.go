package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a node that runs out of memory because faulty servers send lines without end in many streams at once. The
// streams that need too much are broken off; a sound one beside them is not.
func TestManyEndlessLinesAreBounded(t *testing.T) {
	const servers, streams, lineBytes, maxHeapGrowth = 16, 96, 900 << 10, 48 << 20
	h := newHarness(t)
	for _, route := range h.config.Routes {
		route.Timeout = time.Minute
	}
	done := make(chan struct{})
	var written, callers sync.WaitGroup
	written.Add(streams)
	line := []byte("data: " + strings.Repeat("x", lineBytes))
	for i := range servers {
		h.backendServer(fmt.Sprint("s", i), func(conn net.Conn, r *http.Request) bool {
			if r.URL.Path == "/stream/sound" {
				return sendEvents(conn, r, 1, 3, true)
			}
			sendUnframedEvents(conn, r, 0, "")
			_, _ = conn.Write(line) // fails if the node has closed the connection
			written.Done()
			<-done
			return false
		})
	}
	heap := func() int64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	for i := range streams {
		callers.Go(func() {
			h.call(context.Background(), http.MethodGet, fmt.Sprint("/stream/x", i), "", http.Header{"X-Rudder-Timeout-Ms": {"50000"}, "X-Rudder-Request": {fmt.Sprint("r", i)}})
		})
	}
	written.Wait()
	// Streams that were broken off end, and what is in the sockets is read, a moment later.
	growth := heap() - before
	for deadline := time.Now().Add(10 * time.Second); growth > maxHeapGrowth && time.Now().Before(deadline); growth = heap() - before {
		time.Sleep(100 * time.Millisecond)
	}
	got := h.get("/stream/sound")
	close(done)
	callers.Wait()
	if growth > maxHeapGrowth {
		t.Errorf("%d streams keep %d MiB, want at most %d", streams, growth>>20, maxHeapGrowth>>20)
	}
	if got.err != nil || got.body != eventText(1, 3) {
		t.Errorf("sound stream: %+v, want three events", got)
	}
}

// Guards against a request that is lost with the body of a refusal: the server has not run it and never ends that body, so that
// it waits there until its deadline instead of going to another server.
func TestEndlessBodyOfRefusalIsNotAwaited(t *testing.T) {
	h := newHarness(t)
	var hasRefused atomic.Bool
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
			if hasRefused.Swap(true) {
				return succeed(conn, r)
			}
			fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nX-Rudder-Request: %s\r\nX-Rudder-Not-Run: 1\r\n\r\n", r.Header.Get("X-Rudder-Request"))
			for {
				if _, err := fmt.Fprint(conn, "x"); err != nil {
					return false
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	if got := h.get("/once/x"); got.status != http.StatusOK || h.requestCount() != 2 {
		t.Errorf("response %+v after %d sends, want that of the other server after 2", got, h.requestCount())
	}
}
