package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chestnutrudder.example/rudder/backend"
)

// lateConn is a connection of a node that stands still: after the given bytes, its next read reports that the read deadline has
// expired, but only once the reset of the server has arrived.
type lateConn struct {
	*net.TCPConn
	remaining int // bytes before the standstill
	hasStood  bool
}

func (c *lateConn) Read(b []byte) (int, error) {
	if c.remaining > 0 {
		n, err := c.TCPConn.Read(b[:min(len(b), c.remaining)])
		c.remaining -= n
		return n, err
	}
	if !c.hasStood {
		c.hasStood = true
		return 0, c.awaitReset()
	}
	return c.TCPConn.Read(b)
}

// awaitReset waits until the kernel has closed the connection, without taking the error of the connection. It returns the error of
// an expired deadline.
func (c *lateConn) awaitReset() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	const stateClosed = 7 // TCP_CLOSE of the kernel's tcp_states.h
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(time.Millisecond) {
		isClosed := false
		err := raw.Control(func(fd uintptr) {
			info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			isClosed = infoErr == nil && info.State == stateClosed
		})
		if err != nil || isClosed {
			break
		}
	}
	return os.ErrDeadlineExceeded
}

// Guards against a response without a length that was reset while this node stood still, and that looked complete: the node found its
// read deadline expired, looked for unread bytes, and that look took the error of the connection, so that the next read returned an
// ordinary end.
func TestResetFoundAfterStandstillBreaksTheResponse(t *testing.T) {
	for name, c := range map[string]struct{ path, body string }{
		"plain":  {"/once/x", "part"},
		"large":  {"/once/x", strings.Repeat("y", 2*maxBufferedBytes)},
		"stream": {"/stream/x", eventText(1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
				fmt.Fprint(conn, framedResponse(r, framedByConnection, c.body))
				time.Sleep(100 * time.Millisecond) // until the node has read it: a reset drops what was not
				_ = conn.(*net.TCPConn).SetLinger(0)
				return false
			})
			request, err := http.NewRequest(http.MethodGet, "http://h"+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("X-Rudder-Request", "r1")
			length := len(framedResponse(request, framedByConnection, c.body))
			p, refusal := h.server.Backends.Place(backend.Request{Service: "s"}, 0)
			if refusal != nil {
				t.Fatal(refusal)
			}
			p.Server.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &lateConn{TCPConn: conn.(*net.TCPConn), remaining: length}, nil
			}
			p.Release(backend.ResultInconclusive)
			if got := h.get(c.path); got.err == nil && got.status == http.StatusOK {
				t.Errorf("200 with %d bytes of a response that was reset, want an error", len(got.body))
			}
		})
	}
}
