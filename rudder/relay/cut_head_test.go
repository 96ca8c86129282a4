package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a response whose server stopped within its head and closed the connection, and which callers got as a whole
// 200 with an empty or short body.
func TestResponseCutWithinItsHeadIsNotForwarded(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nX-Rudder-Request: r1\r\nX-Rudder-Signature: sig\r\n"
	stream := eventText(1, 2)
	for name, response := range map[string]struct{ path, head, body string }{
		"plain, without a length":   {"/safe/x", start + "\r\n", "done"},
		"plain, with a length":      {"/safe/x", start + "Content-Length: 14\r\n\r\n", "done and done."},
		"plain, in chunks":          {"/safe/x", start + "Transfer-Encoding: chunked\r\n\r\n", "4\r\ndone\r\n0\r\n\r\n"},
		"plain, once":               {"/once/x", start + "\r\n", "done"},
		"plain, bare line feeds":    {"/safe/x", strings.ReplaceAll(start, "\r\n", "\n") + "\n", "done"},
		"large, without a length":   {"/safe/x", start + "X-More: " + strings.Repeat("x", 3000) + "\r\n\r\n", "done"},
		"stream, without a length":  {"/resumable/x", start + "Content-Type: text/event-stream\r\n\r\n", stream},
		"stream, in chunks":         {"/stream/x", start + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(stream), stream)},
		"continued line at the end": {"/safe/x", start + "X-More: a\r\n b\r\n\r\n", "done"},
		"interim response before":   {"/safe/x", "HTTP/1.1 103 Early Hints\r\n\r\n" + start + "\r\n", "done"},
		"not modified":              {"/safe/x", "HTTP/1.1 304 Not Modified\r\nX-Rudder-Request: r1\r\nX-Rudder-Signature: sig\r\n\r\n", ""},
		"no content":                {"/safe/x", "HTTP/1.1 204 No Content\r\nX-Rudder-Request: r1\r\nX-Rudder-Signature: sig\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			length := 0
			h := newHarness(t)
			for i := range 2 {
				h.backendServer(fmt.Sprint(i), func(conn net.Conn, _ *http.Request) bool {
					fmt.Fprint(conn, (response.head + response.body)[:length])
					return false
				})
			}
			step := max(len(response.head)/60, 1)
			for length = len(response.head) - 1; length >= 0; length -= step {
				if length < len(response.head)-40 && step == 1 {
					length -= 6 // the end matters most
				}
				length = max(length, 0)
				if got := h.call(context.Background(), http.MethodGet, response.path, "", nil); got.err == nil && got.status < 500 {
					t.Errorf("cut %d bytes before the end of the head: status %d, body %q, want a failure", len(response.head)-length, got.status, got.body)
				}
			}
		})
	}
}
