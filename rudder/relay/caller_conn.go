package relay

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type callerConnKey struct{}

// ConnContext is the ConnContext of an http.Server whose handler is a Server: it lets the Server see whether a caller has
// closed its connection before a request is handled.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// hasCallerLeft reports whether the caller has closed the connection of a request. net/http notices that too, but only in a
// goroutine that starts with the handler; a request that waited in the socket until its caller left would be sent first.
func hasCallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	hasLeft := false
	// Control, unlike Read, does not wait for the read of net/http that is in progress.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		hasLeft = n == 0 && peekErr == nil || peekErr == unix.ECONNRESET
	})
	return err == nil && hasLeft
}
