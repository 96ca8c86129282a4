package peer

import (
	"net"
	"time"
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
	return &Dialer{
		wrap:      func(c net.Conn) net.Conn { return &countedConn{Conn: c, count: count} },
		pingAfter: controlPingAfter,
		idle:      controlIdle,
		links:     map[string]link{},
	}
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
