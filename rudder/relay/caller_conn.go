package relay

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"chestnutrudder.example/rudder/resource"
)

type callerConnKey struct{}

// ConnContext is the ConnContext of an http.Server whose handler is a Server: it lets the Server see whether a caller has
// closed its connection before a request is handled.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// ChargedConn is a caller's connection whose use of resources is charged.
type ChargedConn interface {
	// ResourceCharge returns the charge of the connection; nil if nothing is charged.
	ResourceCharge() *resource.Charge
}

// chargeOf returns the charge of the connection of a request, nil if there is none.
func chargeOf(ctx context.Context) *resource.Charge {
	if conn, ok := ctx.Value(callerConnKey{}).(ChargedConn); ok {
		return conn.ResourceCharge()
	}
	return nil
}

// hasCallerLeft reports whether the caller has closed the connection of a request. net/http notices that too, but only in a
// goroutine that starts with the handler; a request that waited in the socket until its caller left would be sent first.
func hasCallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, _ := ctx.Value(callerConnKey{}).(net.Conn)
	_, hasEnded := peek(conn)
	return hasEnded
}

// HasUnread reports whether bytes, or the end of the connection, have arrived and were not read yet. It does not wait.
func HasUnread(conn net.Conn) bool {
	hasBytes, hasEnded := peek(conn)
	return hasBytes || hasEnded
}

// peek reports without waiting whether unread bytes have arrived on a connection, and whether its end has. Both are false if
// that cannot be told.
func peek(conn net.Conn) (hasBytes, hasEnded bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, false
	}
	// Control, unlike Read, neither waits for a read that is in progress nor fails after a read deadline.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		hasBytes = n > 0
		hasEnded = n == 0 && peekErr == nil || peekErr == unix.ECONNRESET
	})
	if err != nil {
		return false, false
	}
	return hasBytes, hasEnded
}
