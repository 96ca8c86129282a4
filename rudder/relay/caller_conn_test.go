package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// halfClosedCall sends a request on a connection of its own, ends the sending side when isSent is closed, and returns all
// bytes that come back.
func halfClosedCall(t *testing.T, address, path string, isSent <-chan struct{}) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Rudder-Request: r1\r\nAuthorization: Bearer key\r\nContent-Length: 1\r\n\r\nb", path)
	<-isSent
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	got, err := io.ReadAll(conn)
	if nerr, ok := err.(net.Error); ok && nerr.Timeout() {
		t.Fatal("connection is still open after 20 s")
	}
	return string(got)
}

// Guards against an empty success: a caller that ends its sending side counts as gone, but it still reads. net/http answers
// a request with an empty 200 if its handler returns without writing.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	t.Run("before the request was handled", func(t *testing.T) {
		h := newHarness(t)
		h.backendServer("a", succeed)
		front := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for !hasCallerLeft(r.Context()) {
				time.Sleep(time.Millisecond)
			}
			h.server.ServeHTTP(w, r)
		}))
		front.Config.ConnContext = ConnContext
		front.Start()
		defer front.Close()
		isSent := make(chan struct{})
		close(isSent)
		if got := halfClosedCall(t, front.Listener.Addr().String(), "/once/x", isSent); got != "" {
			t.Errorf("caller got %q, want nothing: no server has run the request", got)
		}
	})
	for _, path := range []string{"/once/x", "/safe/x", "/resumable/x"} {
		t.Run("at a server, "+path, func(t *testing.T) {
			h := newHarness(t)
			received, done := make(chan struct{}), make(chan struct{})
			defer close(done)
			h.backendServer("a", func(net.Conn, *http.Request) bool { close(received); <-done; return false })
			if got := halfClosedCall(t, h.address, path, received); got != "" {
				t.Errorf("caller got %q, want nothing: no server has answered", got)
			}
		})
	}
}
