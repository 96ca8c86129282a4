package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"chestnutrudder.example/rudder/backend"
)

// serverStart is the start time of the server in these tests, in Unix milliseconds.
const serverStart = 1_700_000_000_000

// reportStart answers a request for a server's report with the start of its process.
func reportStart(conn net.Conn, startUnixMillis int64) {
	body := fmt.Sprintf(`{"running":0,"start_unix_millis":%d}`, startUnixMillis)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against a response without a length whose server ended on the way, and that looked complete because something else
// accepted a connection at the server's address: a restarted process, one of another service, a proxy or nobody who speaks.
func TestUnframedResponseOfReplacedServerIsNotComplete(t *testing.T) {
	refuse := func(conn net.Conn, _ *http.Request) {
		fmt.Fprint(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Rudder-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	const whole, cut = true, false
	for name, c := range map[string]struct {
		atAddress func(conn net.Conn, r *http.Request) // answers at the server's address after the end; nil closes the connection
		want      bool
	}{
		"same process":                 {func(conn net.Conn, _ *http.Request) { reportStart(conn, serverStart) }, whole},
		"same server without a report": {func(conn net.Conn, r *http.Request) { respond(conn, r, 200, "", "no report") }, whole},
		"new process with another id":  {refuse, cut},
		"new process with the same id": {func(conn net.Conn, _ *http.Request) { reportStart(conn, serverStart+2000) }, cut},
		"proxy without a server behind it": {func(conn net.Conn, _ *http.Request) {
			fmt.Fprint(conn, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
		}, cut},
		"another protocol":     {func(conn net.Conn, _ *http.Request) { fmt.Fprint(conn, "220 mail.example\r\n") }, cut},
		"listener that closes": {nil, cut},
	} {
		for path, body := range map[string]string{"/once/x": "part", "/once/large": strings.Repeat("y", 2*maxBufferedBytes), "/stream/x": eventText(1, 2)} {
			t.Run(name+path, func(t *testing.T) {
				h := newHarness(t)
				h.report = func(conn net.Conn, r *http.Request) {
					if got := r.Header.Get("X-Rudder-Instance"); got != "a" {
						t.Errorf("probe names instance %q, want a", got)
					}
					if c.atAddress != nil {
						c.atAddress(conn, r)
					}
				}
				h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
					fmt.Fprint(conn, framedResponse(r, framedByConnection, body))
					return false
				})
				h.server.Backends.Put(backend.Entry{ID: "a", Service: "s", Address: h.addresses["a"], Slots: 8, StartUnixMillis: serverStart})
				got := h.get(path)
				isComplete := got.err == nil && got.status == http.StatusOK
				if isComplete != c.want || isComplete && got.body != body {
					t.Errorf("status %d, %d bytes, error %v, want complete: %t", got.status, len(got.body), got.err, c.want)
				}
			})
		}
	}
}
