package relaynode

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/resource"
)

// lateReadTimeout bounds the reading of bytes that had arrived before an idle connection was to be closed.
const lateReadTimeout = time.Second

const (
	// callerWriteTimeout and callerWriteBytesPerSecond give the time that a caller has to take what is written at once.
	callerWriteTimeout        = 10 * time.Second
	callerWriteBytesPerSecond = 64 << 10
	// headFieldBytes is the memory of a header field besides its text: net/http keeps the fields in a map of slices, and the
	// relay has a copy for the backend server.
	headFieldBytes = 384
	// headAllowance is what a head takes at least. It is part of resource.ConnectionBytes.
	headAllowance = 8 << 10
)

// callerConn is a connection of a caller. It stays open while it is idle for as long as the limits allow that are in force
// at the time; net/http knows those that were in force when the connection was opened. What its heads take is charged, and
// each write must end in time.
type callerConn struct {
	*net.TCPConn
	idleTimeout      func() time.Duration // in force
	charge           *resource.Charge     // nil if nothing is charged
	idleSince        atomic.Int64         // boottime.Instant; 0 while a request is in progress
	isServing        atomic.Bool          // a head has been read, and its response is not complete
	hasWriteDeadline atomic.Bool          // set by the handler

	headBytes, chargedHeadBytes int64 // of the head that is read; used by one goroutine at a time
}

// newCallerConn returns a connection that was accepted, or an error if there is no room for it.
func newCallerConn(tcp *net.TCPConn, port *resource.Port, idleTimeout func() time.Duration) (*callerConn, error) {
	c := &callerConn{TCPConn: tcp, idleTimeout: idleTimeout}
	if port == nil {
		return c, nil
	}
	var err error
	c.charge, err = port.Open(func() { _ = tcp.Close() })
	return c, err
}

// ResourceCharge implements relay.ChargedConn.
func (c *callerConn) ResourceCharge() *resource.Charge { return c.charge }

// Close implements net.Conn. net/http calls it after the handler has returned.
func (c *callerConn) Close() error {
	err := c.TCPConn.Close()
	c.charge.Close()
	return err
}

// trackIdleTime is the ConnState of an http.Server with callerConns.
func trackIdleTime(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.resetHead()
		c.isServing.Store(false)
		c.charge.AwaitCaller()
		c.idleSince.Store(int64(boottime.Now()))
		return
	case http.StateActive:
		c.isServing.Store(true)
		c.charge.EndAwait()
	}
	c.idleSince.Store(0)
}

// resetHead ends the charge of a head.
func (c *callerConn) resetHead() {
	if c.chargedHeadBytes > 0 {
		c.charge.ForceResize(resource.Head, 0)
	}
	c.headBytes, c.chargedHeadBytes = 0, 0
}

// recordRead records bytes that have arrived, and charges those of a head.
func (c *callerConn) recordRead(b []byte) error {
	if c.charge == nil {
		return nil
	}
	if c.idleSince.Load() != 0 {
		c.charge.AwaitCaller() // a head begins
	}
	c.charge.RecordArrival(len(b))
	if c.isServing.Load() {
		return nil
	}
	c.headBytes += 2*int64(len(b)) + headFieldBytes*int64(bytes.Count(b, []byte{'\n'}))
	if c.headBytes <= headAllowance {
		return nil
	}
	c.chargedHeadBytes = c.headBytes
	return c.charge.Resize(resource.Head, c.headBytes-headAllowance)
}

// Read reads from the connection. When the read deadline of net/http expires on an idle connection, it goes on if a request
// has arrived meanwhile or the limit in force allows more time.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			if chargeErr := c.recordRead(b[:n]); chargeErr != nil {
				_ = c.TCPConn.Close()
				return 0, chargeErr
			}
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

// Write writes to the connection. A caller that does not read fails it after a time.
func (c *callerConn) Write(b []byte) (int, error) {
	if !c.hasWriteDeadline.Load() {
		allowed := callerWriteTimeout + time.Duration(len(b))*time.Second/callerWriteBytesPerSecond
		if err := c.TCPConn.SetWriteDeadline(time.Now().Add(allowed)); err != nil {
			return 0, err
		}
	}
	c.charge.BeginWrite()
	defer c.charge.EndWrite()
	return c.TCPConn.Write(b)
}

// ReadFrom writes what it reads from r, so that each write ends in time.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// SetWriteDeadline sets a deadline in place of that of each write. The zero time removes it.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.hasWriteDeadline.Store(!t.IsZero())
	return c.TCPConn.SetWriteDeadline(t)
}
