package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
)

// framing is how a response tells where its body ends.
type framing string

const (
	framedByLength     framing = "length"
	framedByChunks     framing = "chunks"
	framedByConnection framing = "connection"
)

// framedResponse returns a success response with a body, as bytes on the connection.
func framedResponse(r *http.Request, f framing, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\n", r.Header.Get("X-Rudder-Request"))
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resumable/") {
		fmt.Fprint(&b, "Content-Type: text/event-stream\r\n")
	}
	switch f {
	case framedByLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	case framedByChunks:
		fmt.Fprint(&b, "Transfer-Encoding: chunked\r\n\r\n")
		if len(body) > 0 {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(body), body)
		}
		fmt.Fprint(&b, lastChunk)
	case framedByConnection:
		fmt.Fprintf(&b, "\r\n%s", body)
	}
	return b.String()
}

const lastChunk = "0\r\n\r\n"

// sendFramed writes a success response that ends in order and returns whether the connection stays open.
func sendFramed(conn net.Conn, r *http.Request, f framing, body string) bool {
	fmt.Fprint(conn, framedResponse(r, f, body))
	return f != framedByConnection
}

// Guards against a stream that its server ends in order within an event, and that looks complete to the caller. It must be
// resumed where that is possible and be cut where it is not, whatever marks the end of the response.
func TestStreamThatStopsWithinAnEventIsNotComplete(t *testing.T) {
	const rest = "id: 3\ndat"
	for _, f := range []framing{framedByLength, framedByChunks, framedByConnection} {
		for _, path := range []string{"/stream/x", "/resumable/x"} {
			t.Run(string(f)+path, func(t *testing.T) {
				h := newHarness(t)
				for _, name := range []string{"a", "b"} {
					h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
						if r.Header.Get(headerLastEventID) == "2" {
							return sendFramed(conn, r, f, eventText(3, 4))
						}
						return sendFramed(conn, r, f, eventText(1, 2)+rest)
					})
				}
				got := h.get(path)
				if path == "/stream/x" && (got.err == nil || got.body != eventText(1, 2)) {
					t.Errorf("stream %q, error %v, want events 1 and 2 and an error", got.body, got.err)
				}
				if path == "/resumable/x" && (got.err != nil || got.body != eventText(1, 4)) {
					t.Errorf("stream %q, error %v, want events 1 to 4 and no error", got.body, got.err)
				}
			})
		}
	}
}

// A stream that stops within its first event has begun at no server: it starts again, or is answered with an error.
func TestStreamThatStopsWithinItsFirstEventIsNotForwarded(t *testing.T) {
	for _, f := range []framing{framedByLength, framedByChunks, framedByConnection} {
		h := newHarness(t)
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool { return sendFramed(conn, r, f, "id: 1\ndat") })
		if got := h.get("/stream/x"); got.status != http.StatusBadGateway {
			t.Errorf("%s: response %+v, want 502", f, got)
		}
	}
}

// A stream of an event whose lines end with carriage returns only is whole (WHATWG HTML, section 9.2.5), as is one with
// further line ends after its last event.
func TestStreamThatEndsBetweenEventsIsComplete(t *testing.T) {
	for _, text := range []string{"", eventText(1, 2), eventText(1, 2) + "\n", "id: 1\r\ndata: t1\r\n\r\n", "id: 1\rdata: t1\r\r", "id: 1\r\ndata: t1\r\n\n"} {
		h := newHarness(t)
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool { return sendFramed(conn, r, framedByChunks, text) })
		if got := h.get("/stream/x"); got.err != nil || got.status != http.StatusOK || got.body != text {
			t.Errorf("response %+v, want 200 and the stream %q", got, text)
		}
	}
}

// Goes through the table "Ends of responses" of docs/platform.md: kind, framing and where the bytes end.
func TestEndsOfResponses(t *testing.T) {
	const (
		inOrder = "in order"
		early   = "before the framing says so"
		reset   = "reset"
		// The server responds before it has read the request. The error of the connection reaches the write of the request, or
		// the server goes on accepting it until the response has ended in order.
		resetWrite  = "reset received by the write"
		earlyFinish = "in order before the end of the request"

		complete = true
		broken   = false
	)
	const half = "id: 3\ndat"
	for _, c := range []struct {
		path     string
		framing  framing
		body     string
		end      string
		crashes  bool // the host refuses connections from then on
		expected bool
	}{
		{"/once/x", framedByLength, "body", inOrder, false, complete},
		{"/once/x", framedByLength, "body", inOrder, true, complete},
		{"/once/x", framedByLength, "whole body", early, false, broken},
		{"/once/x", framedByLength, "whole body", reset, false, broken},
		{"/once/x", framedByLength, "", inOrder, false, complete},
		{"/once/x", framedByChunks, "body", inOrder, false, complete},
		{"/once/x", framedByChunks, "body", early, false, broken},
		{"/once/x", framedByChunks, "", inOrder, false, complete},
		{"/once/x", framedByConnection, "body", inOrder, false, complete},
		{"/once/x", framedByConnection, "body", inOrder, true, broken},
		{"/once/x", framedByConnection, "body", reset, false, broken},
		{"/once/x", framedByConnection, "", inOrder, false, complete},
		{"/once/x", framedByLength, "body", resetWrite, false, complete},
		{"/once/x", framedByChunks, "body", resetWrite, false, complete},
		{"/once/x", framedByConnection, "body", resetWrite, false, broken},
		{"/once/x", framedByConnection, "", resetWrite, false, broken},
		{"/once/x", framedByConnection, "body", earlyFinish, false, complete},
		{"/once/x", framedByConnection, "", earlyFinish, false, complete},
		{"/stream/x", framedByLength, eventText(1, 2), resetWrite, false, complete},
		{"/stream/x", framedByChunks, eventText(1, 2), resetWrite, false, complete},
		{"/stream/x", framedByConnection, eventText(1, 2), resetWrite, false, broken},
		{"/stream/x", framedByConnection, eventText(1, 2), earlyFinish, false, complete},
		{"/stream/x", framedByConnection, eventText(1, 2) + half, earlyFinish, false, broken},
		{"/stream/x", framedByConnection, "", earlyFinish, false, broken},
		{"/stream/x", framedByLength, eventText(1, 2), inOrder, false, complete},
		{"/stream/x", framedByLength, eventText(1, 2), inOrder, true, complete},
		{"/stream/x", framedByLength, eventText(1, 2), early, false, broken},
		{"/stream/x", framedByLength, eventText(1, 2) + half, inOrder, false, broken},
		{"/stream/x", framedByLength, "", inOrder, false, complete},
		{"/stream/x", framedByChunks, eventText(1, 2), inOrder, false, complete},
		{"/stream/x", framedByChunks, eventText(1, 2), inOrder, true, complete},
		{"/stream/x", framedByChunks, eventText(1, 2), early, false, broken},
		{"/stream/x", framedByChunks, eventText(1, 2), reset, false, broken},
		{"/stream/x", framedByChunks, eventText(1, 2) + half, inOrder, false, broken},
		{"/stream/x", framedByChunks, "", inOrder, false, complete},
		{"/stream/x", framedByConnection, eventText(1, 2), inOrder, false, complete},
		{"/stream/x", framedByConnection, eventText(1, 2), inOrder, true, broken},
		{"/stream/x", framedByConnection, eventText(1, 2), reset, false, broken},
		{"/stream/x", framedByConnection, eventText(1, 2) + half, inOrder, false, broken},
		{"/stream/x", framedByConnection, "", inOrder, false, broken},
	} {
		h := newHarness(t)
		h.crashableServer("a", func(conn net.Conn, r *http.Request, crash func()) bool {
			if c.crashes {
				crash()
			}
			response := framedResponse(r, c.framing, c.body)
			if c.end != inOrder && c.framing != framedByConnection {
				response = response[:len(response)-len(lastChunk)] // the end of a body with a length, or the last chunk
			}
			fmt.Fprint(conn, response)
			if c.end == reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return c.end == inOrder && c.framing != framedByConnection
		})
		request := ""
		switch c.end {
		case resetWrite:
			request = h.respondEarly("a", c.path, c.framing, c.body, syscall.ECONNRESET)
		case earlyFinish:
			request = h.respondEarly("a", c.path, c.framing, c.body, os.ErrDeadlineExceeded)
		}
		got := h.call(context.Background(), http.MethodPost, c.path, request, nil)
		isComplete := got.err == nil && got.status == http.StatusOK
		if isComplete != c.expected || isComplete && got.body != c.body {
			t.Errorf("%s by %s with body %q, end %s, crash %t: response %+v, want complete: %t", c.path, c.framing, c.body, c.end, c.crashes, got, c.expected)
		}
	}
}
