package peer

import (
	"net"
	"time"
)

const (
	// controlPingAfter is more than the time between two heartbeats to a neighbour, so that only a silent connection is
	// pinged.
	controlPingAfter = 2 * time.Second
	// controlIdleTimeout closes connections to nodes of other failure domains after their turn: at the design size a node would
	// otherwise keep and ping connections to all 369 others.
	controlIdleTimeout = 5 * time.Second
)

// NewControlDialer returns a dialer for heartbeats with connections of its own, so that they do not wait behind tokens.
// count is called with the number of bytes of each read and write.
func NewControlDialer(countBytes func(bytes int)) *Dialer {
	return &Dialer{
		wrapConn:    func(c net.Conn) net.Conn { return &countingConn{Conn: c, countBytes: countBytes} },
		pingAfter:   controlPingAfter,
		idleTimeout: controlIdleTimeout,
		clients:     map[string]pooledClient{},
	}
}

type countingConn struct {
	net.Conn
	countBytes func(bytes int)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.countBytes(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.countBytes(n)
	return n, err
}
