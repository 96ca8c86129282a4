package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a cut response that looks complete to a caller with HTTP/1.0: its responses have neither a length nor chunks once
// their head was sent before their end was known.
func TestCallerWithOldProtocolSeesThatResponseWasCut(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x"} {
		h := newHarness(t)
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
			if path == "/stream/x" {
				return sendEvents(conn, r, 1, 2, false)
			}
			response := framedResponse(r, framedByChunks, strings.Repeat("y", 2*maxBufferedBytes))
			fmt.Fprint(conn, strings.TrimSuffix(response, lastChunk))
			return false
		})
		conn, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: h\r\nX-Rudder-Request: r1\r\nAuthorization: Bearer key\r\nX-Rudder-Timeout-Ms: 1500\r\n\r\n", path)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue // the reset has dropped the head
		}
		if body, err := io.ReadAll(response.Body); err == nil && response.StatusCode == http.StatusOK {
			t.Errorf("%s: status %d, %d bytes and an end in order of a response that was cut", path, response.StatusCode, len(body))
		}
	}
}
