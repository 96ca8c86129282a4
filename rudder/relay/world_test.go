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
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/traffic"
)

// world is a relay with fake backend servers of one service "s".
type world struct {
	t       testing.TB
	server  *Server
	address string
	config  *traffic.Config
	counted *runCounter

	mu   sync.Mutex
	runs map[string]int // requests that a backend server read, by its name
	seen []*http.Request
}

// runCounter counts the runs that the server under test counts.
type runCounter struct{ runs atomic.Int64 }

func (c *runCounter) CountRun(string) { c.runs.Add(1) }

func newWorld(t testing.TB) *world {
	t.Helper()
	w := &world{t: t, runs: map[string]int{}, counted: &runCounter{}}
	w.config = &traffic.Config{
		Version: 1, Services: map[string]*traffic.Service{"s": {Name: "s"}},
		Routes: []*traffic.Route{
			{Name: "once", Host: "h", PathPrefix: "/once/", Kind: traffic.NonIdempotent, Attempts: 1, Timeout: 2 * time.Second, Targets: to("s")},
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: traffic.Idempotent, Attempts: 2, Timeout: 2 * time.Second, Targets: to("s")},
			{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: traffic.Streaming, Attempts: 1, Timeout: 2 * time.Second, Targets: to("s")},
			{Name: "resumable", Host: "h", PathPrefix: "/resumable/", Kind: traffic.Streaming, Resumable: true, Attempts: 2, Timeout: 2 * time.Second, Targets: to("s")},
			{Name: "short", Host: "h", PathPrefix: "/short/", Kind: traffic.NonIdempotent, Attempts: 1, Timeout: 100 * time.Millisecond, Targets: to("s")},
		},
		Organisations: []*traffic.Organisation{{Name: "o", APIKeys: []string{"key"}}},
	}
	w.config.BuildIndex()
	current := traffic.NewCurrentConfig()
	current.Apply(w.config)
	current.ConfirmNewest(1, boottime.Now())
	log := slog.New(slog.DiscardHandler)
	w.server = &Server{
		Dialect: &NativeDialect, Current: current, Backends: backend.NewTable(time.Second, log),
		Quotas: quota.NewLedger(true, quota.Tolerance{}, time.Now), Runs: w.counted, Log: log,
		Retries: limit.RetryRate{Fraction: 0.2, Burst: 100},
	}
	front := httptest.NewServer(w.server)
	t.Cleanup(front.Close)
	w.address = front.Listener.Addr().String()
	return w
}

func to(service string) []traffic.Target { return []traffic.Target{{Service: service, Weight: 1}} }

// backendServer adds a backend server whose connections are answered by the function. It returns false to close the
// connection.
func (w *world) backendServer(name string, answer func(conn net.Conn, r *http.Request) bool) {
	w.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn, name, answer)
		}
	}()
	w.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
}

func (w *world) serve(conn net.Conn, name string, answer func(conn net.Conn, r *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		w.mu.Lock()
		w.runs[name]++
		w.seen = append(w.seen, r)
		w.mu.Unlock()
		if !answer(conn, r) {
			return
		}
	}
}

func (w *world) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0
	for _, n := range w.runs {
		sum += n
	}
	return sum
}

// respond writes a signed response.
func respond(conn net.Conn, r *http.Request, status int, extra, body string) bool {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Rudder-Request"), extra, len(body), body)
	return true
}

func succeed(conn net.Conn, r *http.Request) bool { return respond(conn, r, 200, "", "done") }

func notRun(conn net.Conn, r *http.Request) bool {
	return respond(conn, r, 503, "X-Rudder-Not-Run: 1\r\n", "")
}

// events writes a chunked event stream from event first to last; complete ends it as whole.
func events(conn net.Conn, r *http.Request, first, last int, complete bool) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Rudder-Request"))
	for i := first; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if complete {
		fmt.Fprint(conn, "0\r\n\r\n")
	}
	return complete
}

func numbered(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: t%d\n\n", i, i)
	}
	return b.String()
}

// answerOf is what a caller got.
type answerOf struct {
	status int
	header http.Header
	body   string
	err    error // the response is not complete
}

func (w *world) call(ctx context.Context, method, path, body string, header http.Header) answerOf {
	w.t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+w.address+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = "h"
	request.Header = http.Header{"X-Rudder-Request": {"r1"}, "Authorization": {"Bearer key"}, "X-Rudder-Timeout-Ms": {"1500"}}
	for name, values := range header {
		request.Header[name] = values
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answerOf{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answerOf{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func (w *world) get(path string) answerOf {
	return w.call(context.Background(), http.MethodGet, path, "", nil)
}
