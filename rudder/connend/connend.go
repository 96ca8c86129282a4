// Package connend tells the ordinary end of a connection from an end whose error a write has received. The kernel reports the
// error of a connection, such as a reset, once: if a write gets it, the next read returns an ordinary end, and a response
// without a length that the reset has cut would look complete.
package connend

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection on which a request may still be written while its response is read. At the end of the connection, Read
// ends a write that is under way, and returns the error of a failed write in place of io.EOF. One goroutine may write while
// another one reads.
type Conn struct {
	net.Conn

	mu       sync.Mutex // held during each write
	writeErr error      // the first error of a write
}

// New returns the connection with the Read and Write of Conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write writes to the connection and keeps the error for Read.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if no write has failed, apart from one that Read has ended: the peer
// may respond early, and may end its response in order while the request is still being written.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	if writeErr := c.endWrites(); writeErr != nil {
		return n, errors.Wrap(writeErr, "connection ended after a failed write")
	}
	return n, io.EOF
}

// endWrites ends a write that is under way and returns the error of a failed one. A write that has received the error of the
// connection returns that error, not the expiry of the deadline.
func (c *Conn) endWrites() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails on a closed connection only, which writes to no one
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}
