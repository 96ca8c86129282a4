package upstream_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"chestnutrudder.example/rudder/upstream"
)

// receive sends a request on a new connection of the pool and returns what Receive returns.
func receive(t *testing.T, pool *upstream.Pool, id string) (*http.Response, error) {
	t.Helper()
	conn, err := pool.Get(context.Background(), id, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Abort)
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	r := request(id)
	if err := conn.Send(r); err != nil {
		t.Fatal(err)
	}
	return conn.Receive(r, "Id")
}

// A refusal without an id that arrives on a reused connection may belong to an earlier request. Taken for the answer to the
// next one, it would tell a caller that a request has not run that may be running.
func TestRefusalWithoutIDOnReusedConnectionIsNotAccepted(t *testing.T) {
	address, _ := serve(t, func(conn net.Conn, number int, r *http.Request) bool {
		if number == 1 {
			writeResponse(conn, r.Header.Get("Id"), "x")
		} else {
			fmt.Fprint(conn, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return true
	})
	pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
	exchange(t, pool, "first")
	if response, err := receive(t, pool, "second"); !errors.Is(err, upstream.ErrMismatchedResponse) {
		t.Fatalf("response %v, error %v, want ErrMismatchedResponse", response, err)
	}
}

// Interim responses (RFC 9110, section 15.2) may precede the final one in any number that a server sensibly sends.
func TestInterimResponsesAreSkipped(t *testing.T) {
	address, _ := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		for range 6 {
			fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		}
		writeResponse(conn, r.Header.Get("Id"), "x")
		return true
	})
	response, err := receive(t, &upstream.Pool{Address: address, DialTimeout: time.Second}, "first")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("response %v, error %v, want status 200", response, err)
	}
}

// A server in trouble may send bytes that are no answer, without end. Receive must fail after a bounded number of them, in
// constant memory.
func TestEndlessBytesAreNotAccepted(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"zeros":             {repeated: "\x00"},
		"line without end":  {start: "HTTP/1.1 200 OK\r\nId: ", repeated: "a"},
		"headers":           {start: "HTTP/1.1 200 OK\r\n", repeated: "X-Name: value\r\n"},
		"interim responses": {repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
		"other responses":   {repeated: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"body of another response": {
			start: "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", repeated: "data: x\n\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			address, _ := serve(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				defer close(closed)
				_, err := conn.Write([]byte(c.start))
				block := bytes.Repeat([]byte(c.repeated), 1+64<<10/len(c.repeated))
				for sent := 0; err == nil && sent < 1<<30; sent += len(block) {
					_, err = conn.Write(block)
				}
				return false
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
			conn, err := pool.Get(context.Background(), "first", time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			r := request("first")
			if err := conn.Send(r); err != nil {
				t.Fatal(err)
			}
			response, err := conn.Receive(r, "Id")
			conn.Abort()
			if err == nil {
				t.Fatalf("response %+v, want an error", response)
			}
			select {
			case <-closed:
			case <-time.After(20 * time.Second):
				t.Fatal("the server can still send after 20 s")
			}
			runtime.ReadMemStats(&after)
			const maxAllocated = 16 << 20
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
				t.Errorf("%d bytes were allocated, want at most %d", allocated, maxAllocated)
			}
		})
	}
}

// Guards against waiting for the end of a late response to an earlier request that has no length: nothing can follow it on its
// connection.
func TestLateResponseWithoutLengthIsNotAwaited(t *testing.T) {
	address, _ := serve(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: earlier\r\n\r\npart")
		_, _ = conn.Read(make([]byte, 1)) // until the client closes the connection
		return false
	})
	pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
	conn, err := pool.Get(context.Background(), "mine", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Abort()
	r := request("mine")
	if err := conn.Send(r); err != nil {
		t.Fatal(err)
	}
	received := make(chan error, 1)
	go func() {
		_, err := conn.Receive(r, "Id")
		received <- err
	}()
	select {
	case err := <-received:
		if !errors.Is(err, upstream.ErrMismatchedResponse) {
			t.Fatalf("receive: %v, want ErrMismatchedResponse", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the end of a response to an earlier request is awaited")
	}
}

// A connection that has carried a request must not carry another one with the same id: the server may send a copy of the
// first response, which would be taken for the second.
func TestConnectionIsNotReusedForTheSameID(t *testing.T) {
	address, connections := serve(t, func(conn net.Conn, number int, r *http.Request) bool {
		writeResponse(conn, r.Header.Get("Id"), fmt.Sprint("response ", number))
		return true
	})
	pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
	exchange(t, pool, "first")
	if body, reused := exchange(t, pool, "second"); !reused || body != "response 2" {
		t.Fatalf("request with another id: %q on a reused connection: %t, want the second response on it", body, reused)
	}
	if body, reused := exchange(t, pool, "first"); reused || body != "response 1" || connections.Load() != 2 {
		t.Fatalf("request with the same id: %q on a reused connection: %t, want the first response on a new one", body, reused)
	}
}
