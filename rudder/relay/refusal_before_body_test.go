package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/resource"
)

// sendPart sends the head of a POST request that announces a body of length bytes, and a part of the body, and returns the
// response and the rest of what the node sends.
func sendPart(t *testing.T, address, path, fields string, length int, part string) (response *http.Response, rest string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Rudder-Request: 1\r\n%sContent-Length: %d\r\n\r\n%s", path, fields, length, part)
	reader := bufio.NewReader(conn)
	if response, err = http.ReadResponse(reader, nil); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	remaining, err := io.ReadAll(reader) // a reset is an end too
	if os.IsTimeout(err) {
		t.Error("the connection stays open after the response")
	}
	return response, string(remaining)
}

// Guards against a node that keeps the body of a request that it refuses whatever the body is: callers that stop within the body
// exhausted the memory. The refusal must come before the body, promise that nothing ran, and end the connection, so that the body
// is not taken for the next request.
func TestRefusalBeforeBody(t *testing.T) {
	const key = "Authorization: Bearer key\r\n"
	hidden := "GET /once/hidden HTTP/1.1\r\nHost: h\r\nX-Rudder-Request: 2\r\n" + key + "\r\n"
	for _, c := range []struct {
		name, path, fields string
		prepare            func(h *harness)
		status             int
	}{
		{"no route", "/nowhere", key, nil, http.StatusNotFound},
		{"no key", "/once/x", "", nil, http.StatusUnauthorized},
		{"unknown key", "/once/x", "Authorization: Bearer other\r\n", nil, http.StatusUnauthorized},
		{"over the limit", "/once/x", key, func(h *harness) { h.config.Limits.MaxBodyBytes = 1 << 20 }, http.StatusRequestEntityTooLarge},
		{"stopping", "/once/x", key, func(h *harness) { h.server.RefuseRequestsFrom(boottime.Now()) }, http.StatusServiceUnavailable},
		{"waiting for permission", "/nowhere", key + "Expect: 100-continue\r\n", nil, http.StatusNotFound},
		{"short body", "/nowhere", key, nil, http.StatusNotFound},
		{"waiting for permission with a short body", "/nowhere", key + "Expect: 100-continue\r\n", nil, http.StatusNotFound},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.backendServer("a", succeed)
			if c.prepare != nil {
				c.prepare(h)
			}
			length, part := 4<<20, hidden
			if strings.HasSuffix(c.name, "short body") {
				length, part = 1000, ""
			}
			response, rest := sendPart(t, h.address, c.path, c.fields, length, part)
			if response.StatusCode != c.status || !response.Close || rest != "" {
				t.Errorf("status %d, closes %t, further output %.60q; want %d, a closed connection and nothing more", response.StatusCode, response.Close, rest, c.status)
			}
			if n := h.requestCount(); n != 0 {
				t.Errorf("backend servers got %d requests, want none", n)
			}
		})
	}
}

// chargedTestConn is a connection with a charge.
type chargedTestConn struct {
	net.Conn
	charge *resource.Charge
}

func (c chargedTestConn) ResourceCharge() *resource.Charge { return c.charge }

// Guards against a node that exceeds its memory for bodies, and against a refusal for lack of memory that does not say so: it
// must promise that the request has not run and name a time.
func TestBodyWithoutMemory(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	account := resource.NewAccount(512<<10, slog.New(slog.DiscardHandler))
	port := account.NewPort("front", 10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := &http.Server{Handler: h.server, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		charge, err := port.Open(func() {})
		if err != nil {
			t.Error(err)
		}
		return ConnContext(ctx, chargedTestConn{conn, charge})
	}}
	go func() { _ = front.Serve(listener) }()
	t.Cleanup(func() { front.Close() })
	address := listener.Addr().String()
	const key = "Authorization: Bearer key\r\nConnection: close\r\n"
	response, _ := sendPart(t, address, "/once/x", key, 1<<20, strings.Repeat("x", 1<<20))
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || h.requestCount() != 0 {
		t.Errorf("body larger than the memory: status %d, header %v, %d requests sent; want 503 with Retry-After and none", response.StatusCode, response.Header, h.requestCount())
	}
	if response, _ = sendPart(t, address, "/once/x", key, 72<<10, strings.Repeat("x", 72<<10)); response.StatusCode != http.StatusOK {
		t.Errorf("body within the memory: status %d, want 200", response.StatusCode)
	}
	if used := account.Usage().Bytes; used != 2*resource.ConnectionBytes {
		t.Errorf("%d bytes are charged after the requests, want %d for the connections", used, 2*resource.ConnectionBytes)
	}
}

// Guards against a body that is cut or changed while its buffer grows.
func TestReadCharged(t *testing.T) {
	for _, size := range []int{1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 100_000, 2 << 20} {
		body := strings.Repeat("0123456789", size/10+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			got, err := readCharged(strings.NewReader(body), length, nil)
			if err != nil || string(got) != body {
				t.Errorf("body of %d bytes, announced as %d: read %d bytes, error %v", size, length, len(got), err)
			}
			if length >= 0 && cap(got) > size+1 {
				t.Errorf("body of %d bytes: buffer of %d", size, cap(got))
			}
		}
	}
}
