package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/streamorigin"
	"chestnutrudder.example/rudder/traffic"
)

// harness runs a relay with fake backend servers of the service "s".
type harness struct {
	t          testing.TB
	server     *Server
	address    string
	config     *traffic.Config
	runCounter *runCounter

	mu            sync.Mutex
	requestCounts map[string]int    // number of requests that each backend server read, by its name
	addresses     map[string]string // of the backend servers, by name
	requests      []*http.Request   // that the backend servers read

	// report answers requests for the reports of backend servers, which count as no requests; nil means that these servers make no
	// reports and refuse to be another instance.
	report func(conn net.Conn, r *http.Request)
}

// runCounter is the RunCounter of the server under test.
type runCounter struct{ runs atomic.Int64 }

func (c *runCounter) CountRun(string) { c.runs.Add(1) }

func newHarness(t testing.TB) *harness {
	t.Helper()
	h := &harness{t: t, requestCounts: map[string]int{}, addresses: map[string]string{}, runCounter: &runCounter{}}
	h.config = &traffic.Config{
		Version: 1, Services: map[string]*traffic.Service{"s": {Name: "s"}},
		Routes: []*traffic.Route{
			{Name: "once", Host: "h", PathPrefix: "/once/", Kind: traffic.NonIdempotent, Attempts: 1, Timeout: 2 * time.Second, Targets: targets("s")},
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: traffic.Idempotent, Attempts: 2, Timeout: 2 * time.Second, Targets: targets("s")},
			{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: traffic.Streaming, Attempts: 1, Timeout: 2 * time.Second, Targets: targets("s")},
			{Name: "resumable", Host: "h", PathPrefix: "/resumable/", Kind: traffic.Streaming, Resumable: true, Attempts: 2, Timeout: 2 * time.Second, Targets: targets("s")},
			{Name: "short", Host: "h", PathPrefix: "/short/", Kind: traffic.NonIdempotent, Attempts: 1, Timeout: 100 * time.Millisecond, Targets: targets("s")},
		},
		Organisations: []*traffic.Organisation{{Name: "o", APIKeys: []string{"key"}}},
	}
	h.config.BuildIndex()
	current := traffic.NewCurrentConfig()
	current.Apply(h.config)
	current.ConfirmNewest(1, boottime.Now())
	log := slog.New(slog.DiscardHandler)
	h.server = &Server{
		Dialect: &NativeDialect, Current: current, Backends: backend.NewTable(time.Second, log),
		Quotas: quota.NewLedger(true, quota.Tolerance{}, time.Now), Runs: h.runCounter, Log: log,
		RetryRate: limit.RetryRate{Fraction: 0.2, Burst: 100}, Crashes: &culprit.List{Log: log}, Origins: streamorigin.New(log),
	}
	front := httptest.NewUnstartedServer(h.server)
	front.Config.ConnContext = ConnContext
	front.Start()
	t.Cleanup(front.Close)
	h.address = front.Listener.Addr().String()
	return h
}

// targets returns the targets of a route to one service.
func targets(service string) []traffic.Target { return []traffic.Target{{Service: service, Weight: 1}} }

// backendServer adds a backend server that handles its requests with handle. If handle returns false, the connection is
// closed.
func (h *harness) backendServer(name string, handle func(conn net.Conn, r *http.Request) bool) {
	h.t.Helper()
	h.crashableServer(name, func(conn net.Conn, r *http.Request, _ func()) bool { return handle(conn, r) })
}

// crashableServer is a backendServer whose handle can call crash: like a crashed process, it accepts no connections from then
// on.
func (h *harness) crashableServer(name string, handle func(conn net.Conn, r *http.Request, crash func()) bool) {
	h.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.mu.Lock()
	h.addresses[name] = listener.Addr().String()
	h.mu.Unlock()
	crash := func() { listener.Close() }
	h.t.Cleanup(crash)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(conn, name, func(conn net.Conn, r *http.Request) bool { return handle(conn, r, crash) })
		}
	}()
	h.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
}

// stuckServer adds a backend server that reads requests and answers none until done is closed.
func (h *harness) stuckServer(name string, done <-chan struct{}) {
	h.t.Helper()
	h.backendServer(name, func(net.Conn, *http.Request) bool { <-done; return false })
}

// serve handles the requests of one connection.
func (h *harness) serve(conn net.Conn, name string, handle func(conn net.Conn, r *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == NativeDialect.ReportPath {
			h.answerReport(conn, r, name)
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		h.mu.Lock()
		h.requestCounts[name]++
		h.requests = append(h.requests, r)
		h.mu.Unlock()
		if !handle(conn, r) {
			return
		}
	}
}

// answerReport answers a request for the report of the backend server with the given name.
func (h *harness) answerReport(conn net.Conn, r *http.Request, name string) {
	if h.report != nil {
		h.report(conn, r)
		return
	}
	refuseAs(conn, r, name)
}

// requestCount returns the number of requests that all backend servers read.
func (h *harness) requestCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for _, n := range h.requestCounts {
		sum += n
	}
	return sum
}

// respond writes a response with the signature header and the header lines in extra.
func respond(conn net.Conn, r *http.Request, status int, extra, body string) bool {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Rudder-Request"), extra, len(body), body)
	return true
}

// succeed writes a response with status 200.
func succeed(conn net.Conn, r *http.Request) bool { return respond(conn, r, 200, "", "done") }

// refuseNotRun writes a refusal that states that the request has not run.
func refuseNotRun(conn net.Conn, r *http.Request) bool {
	return respond(conn, r, 503, "X-Rudder-Not-Run: 1\r\n", "")
}

// sendEvents writes a chunked event stream with the events first to last. The last chunk follows only if isComplete.
func sendEvents(conn net.Conn, r *http.Request, first, last int, isComplete bool) bool {
	return sendEventsWithText(conn, r, first, last, isComplete, func(i int) string { return fmt.Sprint("t", i) })
}

// sendEventsWithText is sendEvents with the given text of each event.
func sendEventsWithText(conn net.Conn, r *http.Request, first, last int, isComplete bool, text func(i int) string) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Rudder-Request"))
	for i := first; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, text(i))
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if isComplete {
		fmt.Fprint(conn, "0\r\n\r\n")
	}
	return isComplete
}

// eventText returns the events first to last as sendEvents writes them.
func eventText(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: t%d\n\n", i, i)
	}
	return b.String()
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // set if there is no response or an incomplete one
}

// call sends a request with an API key and a timeout of 1500 ms to the relay; header adds or replaces headers.
func (h *harness) call(ctx context.Context, method, path, body string, header http.Header) callerResponse {
	h.t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.address+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = "h"
	request.Header = http.Header{"X-Rudder-Request": {"r1"}, "Authorization": {"Bearer key"}, "X-Rudder-Timeout-Ms": {"1500"}}
	for name, values := range header {
		request.Header[name] = values
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// get sends a GET request to the relay.
func (h *harness) get(path string) callerResponse {
	return h.call(context.Background(), http.MethodGet, path, "", nil)
}
