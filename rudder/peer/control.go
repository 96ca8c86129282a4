package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
)

const (
	// controlPingAfter is more than the time between two heartbeats to a neighbour, so that only a silent connection is
	// pinged.
	controlPingAfter = 2 * time.Second
	// controlIdle closes connections to nodes of other failure domains after their turn: at the design size a node would
	// otherwise keep and ping connections to all 369 others.
	controlIdle = 5 * time.Second
)

// NewControlDialer returns a dialer for heartbeats with connections of its own, so that they do not wait behind tokens.
// count is called with the number of bytes of each read and write.
func NewControlDialer(count func(bytes int)) *Dialer {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: connection, count: count}, nil
		},
		HTTP2:           &http.HTTP2Config{SendPingTimeout: controlPingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout: controlIdle,
	}
	return &Dialer{http: &http.Client{Transport: transport}, clients: map[string]peerpbconnect.PeerServiceClient{}}
}

type countedConn struct {
	net.Conn
	count func(bytes int)
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}
