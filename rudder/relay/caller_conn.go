package relay

import (
	"context"
	"net"
	"net/http"

	"chestnutrudder.example/rudder/connend"
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

// resettableConn is a connection that Close resets after SetLinger(0).
type resettableConn interface{ SetLinger(seconds int) error }

// oldCallerConn returns the connection of a request with HTTP/1.0, nil for later versions.
func oldCallerConn(r *http.Request) resettableConn {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	conn, _ := r.Context().Value(callerConnKey{}).(resettableConn)
	return conn
}

// hasCallerLeft reports whether the caller has closed the connection of a request. net/http notices that too, but only in a
// goroutine that starts with the handler; a request that waited in the socket until its caller left would be sent first.
func hasCallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, _ := ctx.Value(callerConnKey{}).(net.Conn)
	unread, _ := connend.Peek(conn)
	return unread == connend.UnreadEnd
}

// HasUnread reports whether bytes, or the end of the connection, have arrived and were not read yet. It does not wait. It may take the
// error of the connection, so that later calls see an ordinary end; see connend.Peek.
func HasUnread(conn net.Conn) bool {
	unread, _ := connend.Peek(conn)
	return unread == connend.UnreadBytes || unread == connend.UnreadEnd
}
