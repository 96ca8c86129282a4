package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/upstream"
)

// serve starts a server and returns its address and the count of accepted connections. handle gets the requests of a
// connection, numbered from 1; if it returns false, the connection is closed.
func serve(t *testing.T, handle func(conn net.Conn, number int, r *http.Request) bool) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var connections atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for number := 1; ; number++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !handle(conn, number, r) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), &connections
}

func request(id string) *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/a/b?c"}, Host: "h", Header: http.Header{"Id": {id}}}
}

func writeResponse(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// exchange sends a request and returns the body of its response and whether the connection was reused.
func exchange(t *testing.T, pool *upstream.Pool, id string) (string, bool) {
	t.Helper()
	conn, err := pool.Get(context.Background(), id, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	r := request(id)
	if err := conn.Send(r); err != nil {
		t.Fatal(err)
	}
	response, err := conn.Receive(r, "Id")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	reused := conn.Reused
	conn.Release(response)
	return string(body), reused
}

// A server may send two responses to one request. The second one must not be taken for the response to the next request.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	mismatchedSent := make(chan struct{})
	address, _ := serve(t, func(conn net.Conn, number int, r *http.Request) bool {
		if number == 2 {
			writeResponse(conn, "first", "late copy")
			close(mismatchedSent)
		}
		writeResponse(conn, r.Header.Get("Id"), "answer to "+r.Header.Get("Id"))
		return true
	})
	pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
	exchange(t, pool, "first")
	body, reused := exchange(t, pool, "second")
	<-mismatchedSent
	if body != "answer to second" || !reused {
		t.Fatalf("body %q on a reused connection: %v, want the response to the second request on a reused connection", body, reused)
	}
}

// A connection on which bytes arrived while no request was waiting must not be used for another request.
func TestConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	extraSent := make(chan struct{}, 2)
	address, connections := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		writeResponse(conn, r.Header.Get("Id"), "x")
		writeResponse(conn, r.Header.Get("Id"), "y")
		extraSent <- struct{}{}
		return true
	})
	pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
	exchange(t, pool, "first")
	<-extraSent
	if _, reused := exchange(t, pool, "second"); reused || connections.Load() != 2 {
		t.Fatalf("%d connections were accepted, want 2", connections.Load())
	}
}

// A request that was sent on a pooled connection and got no response may have run, so it must not be repeated. net/http
// would repeat a GET by itself.
func TestRequestIsNotRepeatedOnBrokenConnection(t *testing.T) {
	var requests atomic.Int64
	address, _ := serve(t, func(conn net.Conn, number int, r *http.Request) bool {
		requests.Add(1)
		if number == 2 {
			return false
		}
		writeResponse(conn, r.Header.Get("Id"), "x")
		return true
	})
	pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
	exchange(t, pool, "first")
	conn, err := pool.Get(context.Background(), "second", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	r := request("second")
	if err := conn.Send(r); err != nil {
		t.Fatal(err)
	}
	if _, err = conn.Receive(r, "Id"); err == nil || errors.Is(err, upstream.ErrNotSent) {
		t.Fatalf("error %v, want one that does not wrap ErrNotSent", err)
	}
	if requests.Load() != 2 {
		t.Fatalf("%d requests arrived, want 2", requests.Load())
	}
}

// After a connection error the relay reports a request as not run only if the error is ErrNotSent. A failed connection
// attempt must return it.
func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
	if _, err := pool.Get(context.Background(), "first", time.Minute); !errors.Is(err, upstream.ErrNotSent) {
		t.Fatalf("error %v, want ErrNotSent", err)
	}
}

// A server limits its connections over all nodes. A pool must not hold more idle connections than the node's part.
func TestIdleConnectionsAreBounded(t *testing.T) {
	address, _ := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		writeResponse(conn, r.Header.Get("Id"), "x")
		return true
	})
	pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
	pool.SetMaxIdleConns(1)
	var conns []*upstream.Conn
	var responses []*http.Response
	for i := range 3 {
		conn, err := pool.Get(context.Background(), fmt.Sprint(i), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		r := request(fmt.Sprint(i))
		if err := conn.Send(r); err != nil {
			t.Fatal(err)
		}
		response, err := conn.Receive(r, "Id")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Fatal(err)
		}
		conns, responses = append(conns, conn), append(responses, response)
	}
	for i, conn := range conns {
		conn.Release(responses[i])
	}
	first, err := pool.Get(context.Background(), "next", time.Minute)
	if err != nil || !first.Reused {
		t.Fatalf("the idle connection was not reused: %v", err)
	}
	second, err := pool.Get(context.Background(), "next", time.Minute)
	if err != nil || second.Reused {
		t.Fatalf("a second idle connection was in the pool: %v", err)
	}
}
