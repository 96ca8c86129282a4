package service

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// serveOnce answers one call with a response without a length, which ends with its connection. If crashes is set, the service
// accepts no connections afterwards. It returns the base URL.
func serveOnce(t *testing.T, crashes bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
		if crashes {
			listener.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against an answer without a length that looks complete although the service crashed while it sent it: the end of the
// connection does not tell.
func TestUnframedAnswerOfCrashedServiceIsNotComplete(t *testing.T) {
	call := &peerpb.CallRequest{Method: http.MethodGet, Path: "x", Call: "c1"}
	if response := NewClient(serveOnce(t, true)).Call(context.Background(), call); response.Outcome != peerpb.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("crashed service: outcome %s with body %q, want unknown", response.Outcome, response.Body)
	}
	if response := NewClient(serveOnce(t, false)).Call(context.Background(), call); response.Outcome != peerpb.Outcome_OUTCOME_DONE || string(response.Body) != "part" {
		t.Errorf("live service: outcome %s with body %q, want done", response.Outcome, response.Body)
	}
}

// Guards against an answer without a length that looks complete although its service ended, because its kernel, or something else at its
// address, still accepts connections, and ends them at once.
func TestUnframedAnswerOfServiceThatHoldsNoConnectionIsNotComplete(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go func() {
			for isFirst := true; ; isFirst = false {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if isFirst {
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
				} else if isReset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
			}
		}()
		call := &peerpb.CallRequest{Method: http.MethodGet, Path: "x", Call: "c1"}
		if response := NewClient("http://"+listener.Addr().String()).Call(context.Background(), call); response.Outcome != peerpb.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("reset %t: outcome %s with body %q, want unknown", isReset, response.Outcome, response.Body)
		}
	}
}

// A redirect of a service was followed by a second request, which could run elsewhere. If that one could not be sent or was
// refused, the call counted as not run although the service had answered it.
func TestRedirectOfServiceIsItsAnswer(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	var calls atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(other.Close)
	for _, target := range []string{"http://" + closed.Addr().String() + "/x", other.URL + "/x"} {
		for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, target, status) }))
			t.Cleanup(server.Close)
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				response := NewClient(server.URL).Call(context.Background(), &peerpb.CallRequest{Method: method, Path: "x", Call: "c1", Body: []byte("body")})
				if response.Outcome != peerpb.Outcome_OUTCOME_DONE || int(response.Status) != status {
					t.Errorf("%s with status %d to %s: outcome %s, status %d, want done with the service's status", method, status, target, response.Outcome, response.Status)
				}
			}
		}
	}
	if calls.Load() != 0 {
		t.Errorf("%d calls reached another service, want none", calls.Load())
	}
}
