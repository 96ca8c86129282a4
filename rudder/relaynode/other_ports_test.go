package relaynode

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"chestnutrudder.example/rudder/resource"
)

// startOtherPort serves a handler at a port that is not for callers, with at most maxConnections connections.
func startOtherPort(t *testing.T, handler http.HandlerFunc, maxConnections int) (address string, account *resource.Account) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	account = resource.NewAccount(16<<20, slog.New(slog.DiscardHandler))
	server := newOtherPortServer(handler)
	go func() {
		_ = server.Serve(&chargedListener{Listener: listener, port: account.NewPort("ready", maxConnections)})
	}()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), account
}

// Guards against a caller that keeps a connection of the ready port with a body that it does not send, and against a body that is
// taken for a request.
func TestOtherPortClosesConnectionOfRequestWithBody(t *testing.T) {
	address, _ := startOtherPort(t, func(http.ResponseWriter, *http.Request) {}, 10)
	for _, fields := range []string{"Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 1000\r\nExpect: 100-continue\r\n"} {
		conn := dialCaller(t, address)
		if status := sendRequest(t, conn, fields); status != http.StatusOK {
			t.Errorf("request with %q: status %d, want 200", fields, status)
		}
		if !isClosedWithin(t, conn, 20*time.Second) {
			t.Errorf("connection of a request with %q stays open", fields)
		}
	}
}

// Guards against a read timeout that ends the context of a request that takes long, as a profile does.
func TestOtherPortServesLongRequests(t *testing.T) {
	const duration = otherPortBodyTimeout + defaultHeaderTimeout + time.Second
	address, _ := startOtherPort(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		case <-time.After(duration):
		}
	}, 10)
	if status := sendRequest(t, dialCaller(t, address), ""); status != http.StatusOK {
		t.Errorf("request of %s: status %d, want 200", duration, status)
	}
}

// Guards against a node that accepts any number of connections, and that refuses those who ask while others do nothing. Each
// connection that has ended must be off the account.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const limit = 4
	address, account := startOtherPort(t, func(http.ResponseWriter, *http.Request) {}, limit)
	for i := range 5 * limit {
		conn := dialCaller(t, address)
		if i%2 == 0 {
			_, _ = fmt.Fprint(conn, "GET / HT")
			continue
		}
		// A connection that does nothing gives way only after a moment; until then newcomers may be refused.
		waitFor(t, 20*time.Second, "a request is served", func() bool {
			response, err := http.Get("http://" + address)
			if err != nil {
				return false
			}
			_, _ = io.Copy(io.Discard, response.Body)
			return response.Body.Close() == nil && response.StatusCode == http.StatusOK
		})
		if n := account.Usage().Connections; n > limit {
			t.Fatalf("%d connections are charged, want at most %d", n, limit)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	waitFor(t, 20*time.Second, "all connections have ended", func() bool { return account.Usage().Connections == 0 })
}
