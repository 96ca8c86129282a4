package relaynode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/telemetry"
	"chestnutrudder.example/rudder/traffic"
)

// startCallerServer starts a server that sends empty responses, under limits that the test may change.
func startCallerServer(t *testing.T, first traffic.Limits) (address string, limits *atomic.Pointer[traffic.Limits], server *callerServer) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits = &atomic.Pointer[traffic.Limits]{}
	limits.Store(&first)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	server = newCallerServer(listener, handler, func() traffic.Limits { return *limits.Load() }, slog.New(slog.DiscardHandler))
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve returned %v after Close", err)
		}
	})
	return listener.Addr().String(), limits, server
}

func dialCaller(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// sendRequest sends one request and returns the status of the response.
func sendRequest(t *testing.T, conn net.Conn, header string) int {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n", header); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// isClosedWithin reports whether the server closes the connection in the given time.
func isClosedWithin(t *testing.T, conn net.Conn, d time.Duration) bool {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(d))
	_, err := io.Copy(io.Discard, conn)
	return err == nil
}

// Callers reuse connections that are idle for less than the configured timeout. A shorter fixed timeout would close such
// a connection just as a caller uses it.
func TestIdleTimeoutFollowsTheConfiguration(t *testing.T) {
	address, limits, _ := startCallerServer(t, traffic.Limits{IdleTimeout: 200 * time.Millisecond})
	shortLived := dialCaller(t, address)
	sendRequest(t, shortLived, "")
	if !isClosedWithin(t, shortLived, 10*time.Second) {
		t.Error("connection is still open after the idle timeout")
	}
	limits.Store(&traffic.Limits{IdleTimeout: time.Hour})
	longLived := dialCaller(t, address)
	sendRequest(t, longLived, "")
	if isClosedWithin(t, longLived, 600*time.Millisecond) {
		t.Error("connection is closed before the changed idle timeout")
	}
}

// A header that arrives too slowly or is too large must not keep a connection open.
func TestHeaderLimitsFollowTheConfiguration(t *testing.T) {
	address, _, _ := startCallerServer(t, traffic.Limits{HeaderTimeout: 200 * time.Millisecond, MaxHeaderBytes: 10_000})
	slow := dialCaller(t, address)
	if _, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost: "); err != nil {
		t.Fatal(err)
	}
	if !isClosedWithin(t, slow, 10*time.Second) {
		t.Error("connection with an incomplete header is still open after the header timeout")
	}
	if status := sendRequest(t, dialCaller(t, address), "A: "+strings.Repeat("a", 9_000)+"\r\n"); status != http.StatusOK {
		t.Errorf("header within the limit: status %d, want 200", status)
	}
	// net/http allows 4 KiB beyond the limit.
	if status := sendRequest(t, dialCaller(t, address), "A: "+strings.Repeat("a", 20_000)+"\r\n"); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header beyond the limit: status %d, want 431", status)
	}
}

// A stopping node serves its connections until Shutdown, also those that are idle when it begins to stop and those that
// are opened under changed limits: a request may be in transit on them.
func TestConnectionsAreServedUntilShutdown(t *testing.T) {
	address, limits, server := startCallerServer(t, traffic.Limits{})
	idle := dialCaller(t, address)
	sendRequest(t, idle, "")
	limits.Store(&traffic.Limits{IdleTimeout: time.Hour})
	for name, conn := range map[string]net.Conn{"idle": idle, "new": dialCaller(t, address)} {
		if status := sendRequest(t, conn, ""); status != http.StatusOK {
			t.Errorf("request on the %s connection: status %d, want 200", name, status)
		}
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp4", address); err == nil {
		_ = conn.Close()
		t.Error("connection is accepted after the shutdown")
	}
}

// failingListener fails the first calls of Accept with the error of a process that has too many open files.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A node that has too many open files for a moment must continue to serve.
func TestServeContinuesAfterAcceptFailures(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: listener}
	failing.failures.Store(3)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	server := newCallerServer(failing, handler, func() traffic.Limits { return traffic.Limits{} }, slog.New(slog.DiscardHandler))
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	if status := sendRequest(t, dialCaller(t, listener.Addr().String()), ""); status != http.StatusOK {
		t.Errorf("request after failures to accept: status %d, want 200", status)
	}
	server.Close()
	if err := <-served; err != nil {
		t.Errorf("Serve returned %v after Close", err)
	}
}

// A request may be in transit on a connection that is idle when the node is told to stop. In a run with 75 nodes
// (trouble-2), a request was cut off that had just been passed on to a backend server.
func TestStoppingNodeAnswersOnIdleConnections(t *testing.T) {
	logger := telemetry.NewLogger(io.Discard, slog.LevelInfo, "n")
	n := &node{
		settings: Settings{Node: "n", StopTimeout: 2 * time.Second}, logger: logger, log: logger.Part("node"),
		relay: &relay.Server{Dialect: &relay.Dialect{RequestID: "X-Id"}, Current: traffic.NewCurrentConfig(), Log: logger.Part("relay")},
	}
	n.platform.Store = objectapitest.NewMemoryStore()
	n.mesh = mesh.New("127.0.0.1:1", nil, func() mesh.Digest { return mesh.Digest{} }, nil, logger.Part("mesh"))
	meshConn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer meshConn.Close()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := newCallerServer(listener, n.relay, func() traffic.Limits { return traffic.Limits{} }, logger.Part("http"))
	go func() { _ = callers.Serve() }()
	conn := dialCaller(t, listener.Addr().String())
	if status := sendRequest(t, conn, "X-Id: 1\r\n"); status != http.StatusServiceUnavailable {
		t.Fatalf("request without a configuration: status %d, want 503", status)
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); n.stop(callers, meshConn) }()
	waitFor(t, 10*time.Second, "the node is stopping", n.isDraining.Load)
	time.Sleep(100 * time.Millisecond)
	if status := sendRequest(t, conn, "X-Id: 2\r\n"); status != http.StatusServiceUnavailable {
		t.Errorf("request on an idle connection: status %d, want 503", status)
	}
	if !isClosedWithin(t, conn, time.Second) {
		t.Error("connection is still open after its response")
	}
	<-stopped
}
