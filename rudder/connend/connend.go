// Package connend tells the ordinary end of a connection from an end whose error another call has received. The kernel reports the
// error of a connection, such as a reset, once: if a write or a look at unread bytes gets it, the next read returns an ordinary
// end, and a response without a length that the reset has cut would look complete.
package connend

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Conn is a connection on which a request may still be written while its response is read. It keeps the first error that any of its
// calls has received. At the end of the connection, Read ends a write that is under way, and returns that error in place of
// io.EOF. All calls on the socket have to go through Conn. One goroutine may write while another one reads.
type Conn struct {
	net.Conn

	writeMu sync.Mutex // held during each write

	mu       sync.Mutex
	firstErr error
}

// New returns the connection with the Read, Write and Peek of Conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write writes to the connection and keeps the error for Read.
func (c *Conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	c.keep(err)
	return n, err
}

// Read reads from the connection. It returns io.EOF only if no call has failed, apart from a write that Read has ended: the peer
// may respond early, and may end its response in order while the request is still being written.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		c.keep(err)
		return n, err
	}
	c.endWrite()
	if firstErr := c.Err(); firstErr != nil {
		return n, errors.Wrap(firstErr, "connection ended after an error")
	}
	return n, io.EOF
}

// Peek returns without waiting what has arrived on the connection and was not read yet. It keeps the error that the kernel reports
// to it for Read.
func (c *Conn) Peek() Unread {
	unread, err := Peek(c.Conn)
	c.keep(err)
	return unread
}

// Err returns the first error of the connection, nil if there was none. The expiry of a deadline is no error of the connection.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstErr
}

func (c *Conn) keep(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstErr == nil {
		c.firstErr = err
	}
}

// endWrite ends a write that is under way and waits for its result. A write that has received the error of the connection returns
// that error, not the expiry of the deadline.
func (c *Conn) endWrite() {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails on a closed connection only, which writes to no one
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
}

// Unread is what has arrived on a connection and was not read yet.
type Unread int

const (
	UnreadUnknown Unread = iota // the connection was closed here or is no socket
	UnreadNothing
	UnreadBytes
	UnreadEnd // the end of the connection, in order or by an error
)

// Peek returns without waiting what has arrived on a connection and was not read yet. The error is that of the connection if the
// kernel has reported it to this call, as it then does to no later one.
func Peek(conn net.Conn) (Unread, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return UnreadUnknown, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return UnreadUnknown, nil
	}
	var b [1]byte
	var n int
	var peekErr error
	// Control, unlike Read, neither waits for a read that is in progress nor fails after a read deadline.
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return UnreadUnknown, nil
	case n > 0:
		return UnreadBytes, nil
	case peekErr == nil:
		return UnreadEnd, nil
	case peekErr == unix.EAGAIN || peekErr == unix.EINTR:
		return UnreadNothing, nil
	}
	return UnreadEnd, os.NewSyscallError("recvfrom", peekErr)
}
