package relaynode

import (
	"net"
	"net/http"
	"time"

	"chestnutrudder.example/rudder/resource"
)

const (
	// otherPortBodyTimeout bounds what net/http reads of a body after the response, at the ports that are not for callers. There
	// is no ReadTimeout, which would also end the context of a request that takes long, as a profile does.
	otherPortBodyTimeout = time.Second
	// otherPortMaxHeaderBytes bounds the head of such a request.
	otherPortMaxHeaderBytes = 16 << 10
)

// chargedListener is a listener whose connections are charged to a port. It closes those for which there is no room.
type chargedListener struct {
	net.Listener
	port *resource.Port
}

// Accept implements net.Listener.
func (l *chargedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		tcp, ok := conn.(*net.TCPConn)
		if err != nil || !ok {
			return conn, err
		}
		charged, err := newCallerConn(tcp, l.port, func() time.Duration { return defaultIdleTimeout })
		if err == nil {
			return charged, nil
		}
		_ = tcp.Close() // the account logs and counts it
	}
}

// newOtherPortServer returns the server for a port that is not for callers, which misbehaving callers may reach nevertheless. A
// request with a body is answered without reading it, and its connection is closed.
func newOtherPortServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				w.Header().Set("Connection", "close")
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(otherPortBodyTimeout))
			}
			handler.ServeHTTP(w, r)
		}),
		ConnState: trackIdleTime, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: otherPortMaxHeaderBytes,
	}
}
