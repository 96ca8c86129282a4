package relaynode

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/telemetry"
	"chestnutrudder.example/rudder/traffic"
)

// blockingPacketConn is a socket whose writes wait for their end.
type blockingPacketConn struct {
	net.PacketConn
	begun, release chan struct{}
}

func (c *blockingPacketConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	c.begun <- struct{}{}
	<-c.release
	return len(b), nil
}

// newStoppingNode returns a node with a configuration without routes and one peer: it answers requests with 404, and with 503 once it
// refuses them.
func newStoppingNode(t *testing.T, stopTimeout time.Duration) *node {
	t.Helper()
	logger := telemetry.NewLogger(io.Discard, slog.LevelInfo, "n")
	n := &node{
		settings: Settings{Node: "n", StopTimeout: stopTimeout}, logger: logger, log: logger.Part("node"), currentConfig: traffic.NewCurrentConfig(),
	}
	n.relay = &relay.Server{Dialect: &relay.Dialect{RequestID: "X-Id"}, Current: n.currentConfig, Log: logger.Part("relay")}
	n.platform.Store = objectapitest.NewMemoryStore()
	n.mesh = mesh.New("127.0.0.1:1", []string{"127.0.0.1:2"}, func() mesh.Digest { return mesh.Digest{} }, nil, logger.Part("mesh"))
	config := &traffic.Config{Version: 1}
	config.BuildIndex()
	n.currentConfig.Apply(config)
	return n
}

// statusOfRequest returns the status with which the node answers a request.
func (n *node) statusOfRequest() int {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header.Set("X-Id", "1")
	w := httptest.NewRecorder()
	n.relay.ServeHTTP(w, r)
	return w.Code
}

// Guards against streams that a stopping node accepts too late to finish: it told its peers first, in bursts with pauses, and only
// then began to count the time in which it accepts requests (review case 15).
func TestStoppingNodeCountsFromTheSignalNotFromItsNews(t *testing.T) {
	n := newStoppingNode(t, 2*maxSignalDelay) // it accepts no request after the signal
	if status := n.statusOfRequest(); status != http.StatusNotFound {
		t.Fatalf("status %d before the stop, want 404", status)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := newCallerServer(listener, n.relay, func() traffic.Limits { return traffic.Limits{} }, n.log)
	conn := &blockingPacketConn{begun: make(chan struct{}, 1), release: make(chan struct{})}
	stopped := make(chan struct{})
	go func() { defer close(stopped); n.stop(callers, conn) }()
	<-conn.begun
	if status := n.statusOfRequest(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d while the node tells its peers that it stops, want 503", status)
	}
	close(conn.release)
	<-stopped
}

// Guards against a stop that begins late: the node was reading its settings again when the signal came.
func TestStopBeginsWhileSettingsAreRead(t *testing.T) {
	n := newStoppingNode(t, 2*maxSignalDelay)
	reload, reading, release := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	n.platform.ReloadRequests = reload
	n.platform.LoadSettings = func() (Settings, error) {
		close(reading)
		<-release
		return Settings{}, errors.New("no settings")
	}
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{})
	go func() { defer close(returned); n.waitForStop(ctx, nil) }()
	reload <- struct{}{}
	<-reading
	cancel()
	waitFor(t, 10*time.Second, "the node is stopping", n.isDraining.Load)
	if status := n.statusOfRequest(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d after the signal to stop, want 503", status)
	}
	close(release)
	<-returned
}
