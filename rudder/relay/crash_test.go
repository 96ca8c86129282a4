package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
)

// Pattern: a request that crashes each server that runs it is sent again and again by its caller. After three crashes it
// must reach no further server, while other requests are served.
func TestCrashingRequestIsRefused(t *testing.T) {
	w := newWorld(t)
	for i := range 6 {
		name := fmt.Sprint("b", i)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.serve(conn, name, func(net.Conn, *http.Request) bool {
				listener.Close() // the process is gone
				return false
			})
		}()
		t.Cleanup(func() { listener.Close() })
		w.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
	}
	for i := range 3 {
		w.call(context.Background(), http.MethodPost, "/once/x", "poison", nil)
		w.server.probes.Wait()
		if w.crashes() != i+1 {
			t.Fatalf("%d crashes are known after %d", w.crashes(), i+1)
		}
	}
	sent := w.total()
	if answer := w.call(context.Background(), http.MethodPost, "/once/x", "poison", nil); answer.status != http.StatusServiceUnavailable || w.total() != sent {
		t.Fatalf("the fourth send: %+v, %d servers reached", answer, w.total()-sent)
	}
	w.server.Backends.Replace(nil)
	w.backendServer("good", succeed)
	if answer := w.call(context.Background(), http.MethodPost, "/once/x", "harmless", nil); answer.status != 200 {
		t.Fatalf("another request: %+v", answer)
	}
}

func (w *world) crashes() int {
	sum := 0
	for _, n := range w.server.Crashes.Own(time.Now()) {
		sum += n
	}
	return sum
}

// A lost answer of a server that lives is no crash, however often it happens to one request.
func TestLostAnswersAreNoCrash(t *testing.T) {
	w := newWorld(t)
	w.backendServer("a", func(net.Conn, *http.Request) bool { return false })
	w.backendServer("b", func(net.Conn, *http.Request) bool { return false })
	for range 5 {
		w.get("/safe/x")
	}
	w.server.probes.Wait()
	if n := w.crashes(); n != 0 {
		t.Fatalf("%d crashes counted", n)
	}
}

// Crashes seen by several nodes add up, and an answer clears a request.
func TestCrashListAddsPeers(t *testing.T) {
	var l CrashList
	now := time.Now()
	l.Add("f", now)
	l.Learn("n2", map[string]int{"f": 2})
	if n := l.Count("f"); n != 3 {
		t.Fatalf("%d crashes, want 3", n)
	}
	l.Learn("n2", nil)
	l.Clear("f")
	if !l.Empty() {
		t.Fatal("crashes are left")
	}
	l.Add("f", now)
	if l.Own(now.Add(2*crashMemory)) != nil || !l.Empty() {
		t.Fatal("an old crash still counts")
	}
}
