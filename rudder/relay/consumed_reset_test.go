package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
)

// earlyResponseConn is a connection to a server that responds before it has read the request. Its first write is accepted, the
// second one waits; the response then ends in order. The second write returns writeErr when its deadline expires or the
// connection is closed, as one does that has received the error of the connection before the reader could.
type earlyResponseConn struct {
	response  *strings.Reader
	writeErr  error
	writes    int
	isBlocked chan struct{} // closed when the second write waits
	isEnded   chan struct{} // closed when that write ends
	end       sync.Once
}

func newEarlyResponseConn(response string, writeErr error) *earlyResponseConn {
	return &earlyResponseConn{response: strings.NewReader(response), writeErr: writeErr, isBlocked: make(chan struct{}), isEnded: make(chan struct{})}
}

func (c *earlyResponseConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return len(b), nil
	}
	if c.writes == 2 {
		close(c.isBlocked)
	}
	<-c.isEnded
	return 0, c.writeErr
}

func (c *earlyResponseConn) Read(b []byte) (int, error) {
	if n, err := c.response.Read(b); err == nil {
		return n, nil
	}
	<-c.isBlocked
	return 0, io.EOF
}

func (c *earlyResponseConn) Close() error {
	c.end.Do(func() { close(c.isEnded) })
	return nil
}

func (c *earlyResponseConn) SetWriteDeadline(time.Time) error { return c.Close() }
func (c *earlyResponseConn) SetReadDeadline(time.Time) error  { return nil }
func (c *earlyResponseConn) SetDeadline(time.Time) error      { return c.Close() }
func (c *earlyResponseConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *earlyResponseConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// respondEarly makes the server respond to a request to the path on an earlyResponseConn. It returns a request body that is
// long enough for that.
func (h *harness) respondEarly(name, path string, f framing, body string, writeErr error) string {
	h.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://h"+path, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	request.Header.Set("X-Rudder-Request", "r1")
	conn := newEarlyResponseConn(framedResponse(request, f, body), writeErr)
	p, refusal := h.server.Backends.Place(backend.Request{Service: "s"}, 0)
	if refusal != nil || p.ID != name {
		h.t.Fatalf("placement %+v, refusal %+v, want server %s", p, refusal, name)
	}
	isDialled := false
	p.Server.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if isDialled { // by a question after the response
			return new(net.Dialer).DialContext(ctx, network, address)
		}
		isDialled = true
		return conn, nil
	}
	p.Release(backend.ResultInconclusive)
	return strings.Repeat("x", 4*asyncBodyBytes)
}

// Guards against a response without a length that looks complete although the server reset its connection while the request was
// still being written: the write receives the reset, and the reader an ordinary end. A response that ends in order while the
// server still accepts the request is complete, as is one whose framing says so.
func TestResetReceivedByTheWriteBreaksTheResponse(t *testing.T) {
	large := strings.Repeat("y", 2*maxBufferedBytes)
	for _, writeErr := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, os.ErrDeadlineExceeded} {
		for name, c := range map[string]struct {
			path    string
			framing framing
			body    string
		}{
			"plain":           {"/once/x", framedByConnection, "part"},
			"plain, empty":    {"/once/x", framedByConnection, ""},
			"large":           {"/once/x", framedByConnection, large},
			"stream":          {"/stream/x", framedByConnection, eventText(1, 2)},
			"plain by length": {"/once/x", framedByLength, "whole"},
			"large by length": {"/once/x", framedByLength, large},
			"large by chunks": {"/once/x", framedByChunks, large},
			"stream, chunks":  {"/stream/x", framedByChunks, eventText(1, 2)},
		} {
			t.Run(fmt.Sprintf("%s, write: %v", name, writeErr), func(t *testing.T) {
				h := newHarness(t)
				h.backendServer("a", succeed)
				request := h.respondEarly("a", c.path, c.framing, c.body, writeErr)
				got := h.call(context.Background(), http.MethodPost, c.path, request, nil)
				want := c.framing != framedByConnection || writeErr == os.ErrDeadlineExceeded
				isComplete := got.err == nil && got.status == http.StatusOK
				if isComplete != want || isComplete && got.body != c.body {
					t.Errorf("status %d, %d bytes, error %v, want complete: %t", got.status, len(got.body), got.err, want)
				}
			})
		}
	}
}

// The same with connections of the kernel, where either side may receive the reset. Each round has a chance to fail only.
func TestResetDuringUploadIsNotComplete(t *testing.T) {
	const rounds = 10
	body := strings.Repeat("x", 16<<20)
	for _, c := range []struct{ path, part string }{
		{"/once/x", "part"},
		{"/once/x", strings.Repeat("y", 2*maxBufferedBytes)},
		{"/stream/x", eventText(1, 2)},
	} {
		for range rounds {
			h := newHarness(t)
			h.resettingServer("a", c.part)
			got := h.call(context.Background(), http.MethodPost, c.path, body, nil)
			if got.err == nil && got.status == http.StatusOK {
				t.Fatalf("%s: 200 with %d bytes of a response that was reset", c.path, len(got.body))
			}
		}
	}
}

// resettingServer adds a backend server that answers a request without a length when it has read its head, and resets the
// connection when the request can no longer be written.
func (h *harness) resettingServer(name, part string) {
	h.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				sendFramed(conn, r, framedByConnection, part)
				time.Sleep(30 * time.Millisecond) // until the buffers of the connection are full
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		}
	}()
	h.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
}
