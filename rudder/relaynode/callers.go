package relaynode

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/resource"
	"chestnutrudder.example/rudder/traffic"
)

// Limits of callers' connections that apply while no configuration is known, or where it does not set them.
const (
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultMaxHeaderBytes = 64 << 10
)

// acceptRetryDelay is the pause after a connection could not be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// callerServer serves callers under the connection limits of the configuration. A connection keeps the limits of headers
// that were in force when it was opened: net/http reads them when a server starts, so that there is one http.Server for each
// set of limits. Its idle time follows the limit in force, see callerConn.
type callerServer struct {
	listener net.Listener
	handler  http.Handler
	limits   func() traffic.Limits // limits in force
	log      *slog.Logger
	port     *resource.Port // counts the connections; nil if there is no limit. Set it before Serve.

	mu      sync.Mutex
	servers map[connectionLimits]*limitedServer
	closing bool
}

// connectionLimits are the limits that net/http enforces on a connection.
type connectionLimits struct {
	maxHeaderBytes             int
	headerTimeout, idleTimeout time.Duration
}

// limitedServer is the HTTP server for one set of limits. It gets its connections from the callerServer.
type limitedServer struct {
	*http.Server
	listener *channelListener
}

func newCallerServer(listener net.Listener, handler http.Handler, limits func() traffic.Limits, log *slog.Logger) *callerServer {
	return &callerServer{listener: listener, handler: handler, limits: limits, log: log, servers: map[connectionLimits]*limitedServer{}}
}

// Serve accepts connections until the listener is closed. It returns nil if Shutdown or Close closed it.
func (s *callerServer) Serve() error {
	for {
		conn, err := s.listener.Accept()
		switch {
		case err != nil && s.isClosing():
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrapf(err, "serve %s", s.listener.Addr())
		case err != nil:
			// The usual cause is too many open files; it passes as connections end.
			s.log.Warn("Accepting a connection of a caller failed; trying again.", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if conn, err = newCallerConn(tcp, s.port, s.idleTimeout); err != nil {
				_ = tcp.Close() // the account logs and counts it
				continue
			}
		}
		s.serverFor(connectionLimitsOf(s.limits())).listener.deliver(conn)
	}
}

// idleTimeout returns the longest idle time of a connection under the limits in force.
func (s *callerServer) idleTimeout() time.Duration { return connectionLimitsOf(s.limits()).idleTimeout }

// isClosing reports whether Shutdown or Close has been called.
func (s *callerServer) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// connectionLimitsOf returns the limits of the configuration, with defaults for those that it does not set.
func connectionLimitsOf(l traffic.Limits) connectionLimits {
	c := connectionLimits{maxHeaderBytes: defaultMaxHeaderBytes, headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout}
	if l.MaxHeaderBytes > 0 {
		c.maxHeaderBytes = l.MaxHeaderBytes
	}
	if l.HeaderTimeout > 0 {
		c.headerTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		c.idleTimeout = l.IdleTimeout
	}
	return c
}

// serverFor returns the server for new connections under the given limits, and starts it if it does not run yet.
func (s *callerServer) serverFor(l connectionLimits) *limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server, found := s.servers[l]; found {
		return server
	}
	server := &limitedServer{
		Server: &http.Server{
			Handler: s.handler, ConnContext: relay.ConnContext, ConnState: trackIdleTime, ReadHeaderTimeout: l.headerTimeout, IdleTimeout: l.idleTimeout, MaxHeaderBytes: l.maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		},
		listener: newChannelListener(s.listener.Addr()),
	}
	s.servers[l] = server
	s.log.Info("Limits of callers' connections are in force.", "max_header_bytes", l.maxHeaderBytes,
		"header_timeout_seconds", l.headerTimeout.Seconds(), "idle_timeout_seconds", l.idleTimeout.Seconds())
	go func() {
		if err := server.Server.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("HTTP server for callers failed.", "error", err)
		}
	}()
	return server
}

// beginClosing returns all servers and marks the callerServer as closing, so that Serve returns without an error.
func (s *callerServer) beginClosing() []*limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	var list []*limitedServer
	for _, server := range s.servers {
		list = append(list, server)
	}
	return list
}

// Shutdown closes the listener and waits until all connections are idle and closed. It returns the error of ctx if ctx
// ends first.
func (s *callerServer) Shutdown(ctx context.Context) error {
	servers := s.beginClosing()
	_ = s.listener.Close() // the process ends anyway
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the listener and all connections.
func (s *callerServer) Close() {
	servers := s.beginClosing()
	_ = s.listener.Close() // the process ends, whatever a connection that is still open reports
	for _, server := range servers {
		_ = server.Close()
	}
}

// channelListener is a net.Listener for connections that were accepted elsewhere and are passed to deliver.
type channelListener struct {
	address   net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newChannelListener(address net.Addr) *channelListener {
	return &channelListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to Accept. If the listener is closed, it closes the connection.
func (l *channelListener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *channelListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *channelListener) Addr() net.Addr { return l.address }
