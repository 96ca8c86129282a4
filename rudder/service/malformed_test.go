package service

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// serveConn serves connections with handle, which gets the head of the request, and returns the base URL.
func serveConn(t *testing.T, handle func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				handle(conn.(*net.TCPConn))
			}
			conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a response that no sound service sends and that counts as an answer or as a statement that the call has not
// run. The server that passes the answer on panics for a status below 100.
func TestMalformedResponseOfServiceIsNoAnswer(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":               "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\ndone",
		"status 099":               "HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\ndone",
		"status 1000":              "HTTP/1.1 1000 X\r\nContent-Length: 4\r\n\r\ndone",
		"status 2xx":               "HTTP/1.1 2xx X\r\nContent-Length: 4\r\n\r\ndone",
		"status -20":               "HTTP/1.1 -20 X\r\nContent-Length: 4\r\n\r\ndone",
		"status 999":               "HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\ndone",
		"status 101":               "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\ndone",
		"status 103 without end":   strings.Repeat("HTTP/1.1 103 X\r\nX: "+strings.Repeat("x", 1000)+"\r\n\r\n", 1000),
		"status 204 with a length": "HTTP/1.1 204 X\r\nContent-Length: 4\r\n\r\ndone",
		"status 204 with chunks":   "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"version 0.9":              "HTTP/0.9 200 X\r\nContent-Length: 4\r\n\r\ndone",
		"version 2.0":              "HTTP/2.0 200 X\r\nContent-Length: 4\r\n\r\ndone",
		"version 2.0, not run":     "HTTP/2.0 503 X\r\nX-Rudder-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"two heads, not run":       "HTTP/1.1 503 X\r\nX-Rudder-Not-Run: 1\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone",
		"two heads":                "HTTP/1.1 200 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone",
	} {
		url := serveConn(t, func(conn *net.TCPConn) { fmt.Fprint(conn, response) })
		got := NewClient(url).Call(context.Background(), &peerpb.CallRequest{Method: http.MethodGet, Path: "x", Call: "c1"})
		if got.Outcome != peerpb.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("%s: outcome %s, status %d, body %q, want unknown", name, got.Outcome, got.Status, got.Body)
		}
	}
}

// Guards against an answer without a length that looks complete although the service reset its connection while the call was
// still being written: the write receives the reset, and the reader an ordinary end.
func TestResetWhileTheCallIsWrittenIsNotComplete(t *testing.T) {
	const rounds = 30
	url := serveConn(t, func(conn *net.TCPConn) {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(30 * time.Millisecond) // until the buffers of the connection are full
		_ = conn.SetLinger(0)
	})
	call := &peerpb.CallRequest{Method: http.MethodPost, Path: "x", Call: "c1", Body: make([]byte, 16<<20)}
	for range rounds {
		if got := NewClient(url).Call(context.Background(), call); got.Outcome != peerpb.Outcome_OUTCOME_UNKNOWN {
			t.Fatalf("outcome %s with body %q, want unknown", got.Outcome, got.Body)
		}
	}
}
