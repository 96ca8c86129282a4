package peer

import (
	"net"
	"time"
)

const (
	// controlPingAfter is longer than the interval between heartbeats to a neighbour, so that a connection is pinged only
	// when heartbeats stop.
	controlPingAfter = 2 * time.Second
	// controlIdleTimeout closes the connection to a node of another failure domain once heartbeats go to the next node there.
	// Otherwise a node would keep and ping connections to all 369 other nodes of a system of the design size.
	controlIdleTimeout = 5 * time.Second
)

// NewControlDialer returns a dialer for heartbeats. Its connections carry no tokens, so that heartbeats are not delayed by
// them. countBytes is called with the number of bytes of each read and write and must be safe for concurrent use.
func NewControlDialer(countBytes func(bytes int)) *Dialer {
	return &Dialer{
		wrapConn:    func(c net.Conn) net.Conn { return &countingConn{Conn: c, countBytes: countBytes} },
		pingAfter:   controlPingAfter,
		idleTimeout: controlIdleTimeout,
		clients:     map[string]pooledClient{},
	}
}

// countingConn reports the number of bytes of each read and write.
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
