package relay

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// lateCopy is a response to an earlier request.
const lateCopy = "HTTP/1.1 200 OK\r\nX-Rudder-Signature: sig0\r\nX-Rudder-Request: r0\r\nContent-Length: 5\r\n\r\nother"

// Guards against the answer of another request at the end of a plain one without a length: a server that answers twice writes the late
// copy where only the end of the connection ends the body.
func TestLateCopyWithinBodyWithoutLengthIsNotForwarded(t *testing.T) {
	for name, body := range map[string]string{
		"after the body":      "whole",
		"in place of a line":  "first line\n",
		"in a large response": strings.Repeat("y", 2*maxBufferedBytes),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
				sendUnframed(conn, r, body+lateCopy)
				return false
			})
			if got := h.get("/once/x"); got.err == nil && got.status == http.StatusOK {
				t.Errorf("200 with %d bytes, the end %q, want an error", len(got.body), got.body[max(len(got.body)-200, 0):])
			}
		})
	}
}

// A text that speaks of heads is no head, however its bytes arrive.
func TestHeadSearcher(t *testing.T) {
	for text, want := range map[string]bool{
		"whole" + lateCopy: true,
		"\n" + lateCopy:    true,
		"a HTTP/1.0 404 b\nx: y\nX-RUDDER-request: 1\n":         true,
		strings.Repeat("y", 10*maxSearchedLineBytes) + lateCopy: true,
		"": false, "plain": false,
		"see HTTP/1.1 200 OK":                                     false,
		"HTTP/1.1 200 OK\r\n\r\nX-Rudder-Request: r0\r\n":         false, // an empty line ends the head
		"X-Rudder-Request: r0\r\nHTTP/1.1 200 OK\r\nother: y\r\n": false,
		"HTTP/1.1 200 OK\r\nsays X-Rudder-Request: r0\r\n":        false,
	} {
		for chunk, split := range map[string]bool{"whole": false, "byte by byte": true} {
			s := &headSearcher{requestIDHeader: "X-Rudder-Request"}
			found := false
			if split {
				for i := range len(text) {
					found = found || s.search([]byte(text[i:i+1]))
				}
			} else {
				found = s.search([]byte(text))
			}
			if found != want {
				t.Errorf("%.60q, %s: head found %t, want %t", text, chunk, found, want)
			}
			if len(s.line) > maxSearchedLineBytes+1 {
				t.Errorf("%.60q: %d bytes are kept", text, len(s.line))
			}
		}
	}
}
