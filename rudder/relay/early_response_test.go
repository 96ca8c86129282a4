package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
)

// slowServer adds a backend server that answers each request as soon as it has read its head, and then reads the body
// slowly. The channel receives the number of bytes that it could read.
func (h *harness) slowServer(name string, answer func(conn net.Conn, r *http.Request) bool) <-chan int {
	h.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { listener.Close() })
	bodyBytes := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		answer(conn, r)
		total, block := 0, make([]byte, 64<<10)
		for err == nil {
			var n int
			n, err = r.Body.Read(block)
			total += n
			time.Sleep(10 * time.Millisecond)
		}
		bodyBytes <- total
	}()
	h.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
	return bodyBytes
}

// A server that refused or answered a request before it had read a long body, and read on slowly, made the relay hold the
// answer until the body was sent.
func TestResponseBeforeTheEndOfTheBodyEndsTheSending(t *testing.T) {
	body := strings.Repeat("x", 64<<20)
	for name, c := range map[string]struct {
		answer func(net.Conn, *http.Request) bool
		status int
	}{"answer": {succeed, 200}, "refusal": {refuseNotRun, 503}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for _, route := range h.config.Routes {
				route.Timeout = 30 * time.Second
			}
			bodyBytes := h.slowServer("a", c.answer)
			got := h.call(context.Background(), http.MethodPost, "/once/x", body, http.Header{"X-Rudder-Timeout-Ms": {"30000"}})
			if got.status != c.status {
				t.Errorf("status %d, error %v, want %d", got.status, got.err, c.status)
			}
			if n := <-bodyBytes; n >= len(body) {
				t.Errorf("%d bytes of the body were sent after the response, want the sending to end", n)
			}
		})
	}
}
