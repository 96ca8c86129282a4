package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// malformedResponses are bytes that a server in trouble may send and that are no answer. ID stands for the header of the
// request id and the signature, OK for a whole answer.
var malformedResponses = map[string]string{
	"status 000":                  "HTTP/1.1 000 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status 000 before an answer": "HTTP/1.1 000 X\r\n\r\nOK",
	"status 099":                  "HTTP/1.1 099 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status 099 before an answer": "HTTP/1.1 099 X\r\n\r\nOK",
	"status +20 before an answer": "HTTP/1.1 +20 X\r\n\r\nOK",
	"status 1000":                 "HTTP/1.1 1000 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status 20":                   "HTTP/1.1 20 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status 2xx":                  "HTTP/1.1 2xx X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status -20":                  "HTTP/1.1 -20 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status 600":                  "HTTP/1.1 600 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status 999":                  "HTTP/1.1 999 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status 999, not run":         "HTTP/1.1 999 X\r\nIDX-Rudder-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"status 101":                  "HTTP/1.1 101 X\r\nIDUpgrade: x\r\nConnection: Upgrade\r\n\r\ndone",
	"status 101 before an answer": "HTTP/1.1 101 X\r\n\r\nOK",
	"status 103 with a body":      "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\ndoneOK",
	"status 103 with no body":     "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\nOK",
	"status 103 without end":      strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 1000) + "OK",
	"status 204 with a length":    "HTTP/1.1 204 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status 204 with chunks":      "HTTP/1.1 204 X\r\nIDTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"status 204 with bytes":       "HTTP/1.1 204 X\r\nID\r\ndone",
	"status 304 with a length":    "HTTP/1.1 304 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"status 304 with chunks":      "HTTP/1.1 304 X\r\nIDTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"version 0.9":                 "HTTP/0.9 200 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"version 2.0":                 "HTTP/2.0 200 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"version 2.0, not run":        "HTTP/2.0 503 X\r\nIDX-Rudder-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"version 3.0":                 "HTTP/3.0 200 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"version 1.0 with chunks":     "HTTP/1.0 200 X\r\nIDtransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"version 1.0, long, chunks":   "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\nX: " + strings.Repeat("x", 8000) + "\r\nID\r\n4\r\ndone\r\n0\r\n\r\n",
	"no version":                  "ICY 200 X\r\nIDContent-Length: 4\r\n\r\ndone",
	"no head":                     "done",
	"no head, not closed":         "done\r\n",
	"no status":                   "HTTP/1.1\r\nIDContent-Length: 4\r\n\r\ndone",
	"two heads, length":           "HTTP/1.1 200 X\r\nIDContent-Length: 4\r\n\r\nOK",
	"two heads, long length":      "HTTP/1.1 200 X\r\nIDContent-Length: 40\r\n\r\nOK",
	"two heads, length 0":         "HTTP/1.1 200 X\r\nIDContent-Length: 0\r\n\r\nOK",
	"two heads, no length":        "HTTP/1.1 200 X\r\nID\r\nOK",
	"two heads, chunks":           "HTTP/1.1 200 X\r\nIDTransfer-Encoding: chunked\r\n\r\nOK",
	"two heads in a chunk":        "HTTP/1.1 200 X\r\nIDTransfer-Encoding: chunked\r\n\r\n10\r\nHTTP/1.1 200 X\r\n\r\n0\r\n\r\n",
	"two heads, the first 204":    "HTTP/1.1 204 X\r\nID\r\nOK",
	"two heads, the first 500":    "HTTP/1.1 500 X\r\nID\r\nOK",
	"two heads, not run":          "HTTP/1.1 503 X\r\nIDX-Rudder-Not-Run: 1\r\n\r\nOK",
	"status line twice":           "HTTP/1.1 200 X\r\nHTTP/1.1 200 X\r\nIDContent-Length: 4\r\n\r\ndone",
}

// sendMalformed writes one of malformedResponses.
func sendMalformed(conn net.Conn, r *http.Request, response string) {
	id := "X-Rudder-Request: " + r.Header.Get("X-Rudder-Request") + "\r\nX-Rudder-Signature: sig\r\n"
	response = strings.ReplaceAll(response, "OK", "HTTP/1.1 200 X\r\nIDContent-Length: 4\r\n\r\ndone")
	fmt.Fprint(conn, strings.ReplaceAll(response, "ID", id))
}

// Guards against a response that no sound server sends and that reaches the caller as an answer, counts as a statement that the
// request has not run, or makes the handler panic: the request may have run.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	for name, response := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/once/x", "/stream/x", "/safe/x"} {
				h := newHarness(t)
				h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
					sendMalformed(conn, r, response)
					return false
				})
				if got := h.get(path); got.status != http.StatusBadGateway {
					t.Errorf("%s: response %+v, want 502", path, got)
				}
			}
		})
	}
}

// A malformed response is a failed send: a request that may be repeated goes to another server.
func TestRepeatableRequestIsSentAgainAfterMalformedResponse(t *testing.T) {
	for name, response := range malformedResponses {
		for _, path := range []string{"/safe/x", "/resumable/x"} {
			h := newHarness(t)
			var requests atomic.Int64
			for _, server := range []string{"a", "b"} {
				h.backendServer(server, func(conn net.Conn, r *http.Request) bool {
					if requests.Add(1) > 1 {
						return succeed(conn, r)
					}
					sendMalformed(conn, r, response)
					return false
				})
			}
			if got := h.get(path); got.status != http.StatusOK || got.body != "done" || requests.Load() != 2 {
				t.Errorf("%s, %s: response %+v after %d sends, want that of the second server", name, path, got, requests.Load())
			}
		}
	}
}

// Responses that look like malformed ones and are answers.
func TestUnusualResponseIsForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		status   int
		body     string
	}{
		"status 204":               {"HTTP/1.1 204 X\r\nID\r\n", 204, ""},
		"status 204 with length 0": {"HTTP/1.1 204 X\r\nIDContent-Length: 0\r\n\r\n", 204, ""},
		"status 304 with a length": {"HTTP/1.1 304 X\r\nIDContent-Length: 4\r\n\r\n", 304, ""},
		"version 1.0":              {"HTTP/1.0 200 X\r\nIDContent-Length: 4\r\n\r\ndone", 200, "done"},
		"version 1.0, no length":   {"HTTP/1.0 200 X\r\nID\r\ndone", 200, "done"},
		"version 1.0, line feeds":  {"HTTP/1.0 200 X\nID\ndone", 200, "done"},
		"version 1.0, long":        {"HTTP/1.0 200 X\r\nIDX: " + strings.Repeat("x", 8000) + "\r\nContent-Length: 4\r\n\r\ndone", 200, "done"},
		"no reason":                {"HTTP/1.1 200 \r\nIDContent-Length: 4\r\n\r\ndone", 200, "done"},
		"part of a status line":    {"HTTP/1.1 200 X\r\nIDContent-Length: 7\r\n\r\nHTTP/1.", 200, "HTTP/1."},
		"text on HTTP":             {"HTTP/1.1 200 X\r\nIDContent-Length: 13\r\n\r\nHTTP/1.1 is x", 200, "HTTP/1.1 is x"},
		"HTTP message":             {"HTTP/1.1 200 X\r\nIDContent-Type: message/http\r\nContent-Length: 14\r\n\r\nHTTP/1.1 200 X", 200, "HTTP/1.1 200 X"},
		"interim responses":        {strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 16) + "OK", 200, "done"},
	} {
		h := newHarness(t)
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool {
			sendMalformed(conn, r, c.response)
			return false
		})
		if got := h.get("/once/x"); got.err != nil || got.status != c.status || got.body != c.body {
			t.Errorf("%s: response %+v, want %d and %q", name, got, c.status, c.body)
		}
	}
}
