package relaynode

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/relay"
)

// lateReadTimeout bounds the reading of bytes that had arrived before an idle connection was to be closed.
const lateReadTimeout = time.Second

// callerConn is a connection of a caller. It stays open while it is idle for as long as the limits allow that are in force
// at the time; net/http knows those that were in force when the connection was opened.
type callerConn struct {
	*net.TCPConn
	idleTimeout func() time.Duration // in force
	idleSince   atomic.Int64         // boottime.Instant; 0 while a request is in progress
}

// trackIdleTime is the ConnState of an http.Server with callerConns.
func trackIdleTime(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.idleSince.Store(int64(boottime.Now()))
		return
	}
	c.idleSince.Store(0)
}

// Read reads from the connection. When the read deadline of net/http expires on an idle connection, it goes on if a request
// has arrived meanwhile or the limit in force allows more time.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			c.idleSince.Store(0)
			return n, err
		}
		idleSince := boottime.Instant(c.idleSince.Load())
		if idleSince == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		wait := c.idleTimeout() - boottime.Since(idleSince)
		if relay.HasUnread(c.TCPConn) {
			wait = lateReadTimeout
		}
		if wait <= 0 {
			return n, err
		}
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return n, err
		}
	}
}
