package upstream_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/upstream"
)

// A question goes over an idle connection from before the given instant, since its answer then also tells that the process has not
// been replaced since, and over a new one if there is none.
func TestAskPrefersAnOlderConnection(t *testing.T) {
	address, connections := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		writeResponse(conn, r.Header.Get("Id"), "answer")
		return true
	})
	pool := &upstream.Pool{Address: address, DialTimeout: time.Second}
	start := boottime.Now()
	exchange(t, pool, "r1")
	ask := func(before boottime.Instant) *upstream.Answer {
		t.Helper()
		answer, err := pool.Ask(context.Background(), request("q"), before)
		if err != nil {
			t.Fatal(err)
		}
		if answer.Status != http.StatusOK || string(answer.Body) != "answer" {
			t.Errorf("answer %+v, want 200 and the body", answer)
		}
		return answer
	}
	if !ask(boottime.Now()).IsFromBefore || connections.Load() != 1 {
		t.Errorf("answer not over the only connection, which is older; %d connections, want 1", connections.Load())
	}
	if ask(start).IsFromBefore || connections.Load() != 2 {
		t.Errorf("answer over a connection that is not older; %d connections, want 2", connections.Load())
	}
}

// Errors of a question tell that the host refuses connections, and end with the context.
func TestAskReturnsErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := &upstream.Pool{Address: listener.Addr().String(), DialTimeout: time.Second}
	listener.Close()
	if _, err := refusing.Ask(context.Background(), request("q"), 0); !errors.Is(err, syscall.ECONNREFUSED) || !errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("error %v, want a refused connection over which nothing was sent", err)
	}
	release := make(chan struct{})
	defer close(release)
	address, _ := serve(t, func(net.Conn, int, *http.Request) bool { <-release; return false })
	silent := &upstream.Pool{Address: address, DialTimeout: time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if answer, err := silent.Ask(ctx, request("q"), 0); err == nil {
		t.Errorf("answer %+v of a silent server, want an error", answer)
	}
	large, _ := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		writeResponse(conn, r.Header.Get("Id"), string(make([]byte, 1<<20)))
		return true
	})
	if _, err := (&upstream.Pool{Address: large, DialTimeout: time.Second}).Ask(context.Background(), request("q"), 0); err == nil {
		t.Error("answer of 1 MiB and no error")
	}
}
