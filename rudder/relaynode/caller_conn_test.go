package relaynode

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/traffic"
)

// Guards against a request that crosses the close of its connection beside a change of the configuration: callers may leave
// a connection idle for longer as soon as the limit is raised, also one that was opened before.
func TestRaisedIdleTimeoutAppliesToOpenConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var limits atomic.Pointer[traffic.Limits]
	limits.Store(&traffic.Limits{IdleTimeout: 200 * time.Millisecond})
	// The limit is raised while the first request is in progress.
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { limits.Store(&traffic.Limits{IdleTimeout: time.Hour}) })
	server := newCallerServer(listener, handler, func() traffic.Limits { return *limits.Load() }, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	conn := dialCaller(t, listener.Addr().String())
	sendRequest(t, conn, "")
	if isClosedWithin(t, conn, time.Second) {
		t.Fatal("idle connection is closed at the limit that was in force when it was opened")
	}
	_ = conn.SetReadDeadline(time.Time{})
	if status := sendRequest(t, conn, ""); status != http.StatusOK {
		t.Errorf("request on the connection: status %d, want 200", status)
	}
}

// Guards against a request that is dropped because the node is late: it arrived on an idle connection in time, but a read
// whose deadline has expired fails nevertheless.
func TestRequestThatWasReadLateIsNotDropped(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller := dialCaller(t, listener.Addr().String())
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	conn := &callerConn{TCPConn: accepted.(*net.TCPConn), idleTimeout: func() time.Duration { return 0 }}
	trackIdleTime(conn, http.StateIdle)
	if _, err := caller.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 20*time.Second, "the byte has arrived", func() bool { return relay.HasUnread(accepted) })
	_ = conn.SetReadDeadline(time.Now().Add(-time.Second))
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, error %v, want the byte that had arrived", n, err)
	}
	// A request has begun: the idle time no longer counts.
	_ = conn.SetReadDeadline(time.Now().Add(-time.Second))
	conn.idleTimeout = func() time.Duration { return time.Hour }
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read within a request after its time: error %v, want an expired deadline", err)
	}
}
