package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// breakingHarness has two servers. The one that gets a request first breaks its stream off after event 2; the other one gets
// the request with the id of that event and answers with resume.
func breakingHarness(t *testing.T, resume func(conn net.Conn, r *http.Request) bool) *harness {
	t.Helper()
	h := newHarness(t)
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
			if r.Header.Get(headerLastEventID) == "" {
				return sendEvents(conn, r, 1, 2, false)
			}
			return resume(conn, r)
		})
	}
	return h
}

// responseText returns a handler that sends a text after a status line and the headers of a signed response.
func responseText(status int, text string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\n%s", status, r.Header.Get("X-Rudder-Request"), text)
		return false
	}
}

// withBody returns the end of a head and a complete body with a length.
func withBody(contentType, body string) string {
	return fmt.Sprintf("Content-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(body), body)
}

// A stream had begun and broke off, and the next server answered with something else than its continuation. That ended up in
// the middle of the caller's stream, which then looked complete. The caller must get the events before the break and then a
// broken connection.
func TestAnswerThatContinuesNoStreamIsNotForwarded(t *testing.T) {
	const problem, jsonType, streamType = `{"error":"boom"}`, "application/json", "text/event-stream"
	large := `{"error":"` + strings.Repeat("boom ", 40_000) + `"}`
	for name, resume := range map[string]func(net.Conn, *http.Request) bool{
		"500":                              responseText(500, withBody(jsonType, problem)),
		"500 with a large body":            responseText(500, withBody(jsonType, large)),
		"500 as an event stream":           responseText(500, withBody(streamType, "event: error\ndata: boom\n\n")),
		"500 in chunks that break off":     responseText(500, "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n"+problem+"\r\n"),
		"500 without a length":             responseText(500, "Content-Type: application/json\r\n\r\n"+problem),
		"503 that has not run":             refuseNotRun,
		"503":                              responseText(503, withBody(jsonType, problem)),
		"429":                              responseText(429, withBody(jsonType, problem)),
		"421":                              responseText(421, withBody(jsonType, problem)),
		"404":                              responseText(404, withBody(jsonType, problem)),
		"400 with a large body":            responseText(400, withBody(jsonType, large)),
		"302":                              responseText(302, "Location: /other\r\n"+withBody("text/html", "<a>other</a>")),
		"204":                              responseText(204, "\r\n"),
		"200 with JSON":                    responseText(200, withBody(jsonType, problem)),
		"200 with large JSON":              responseText(200, withBody(jsonType, large)),
		"200 without a content type":       responseText(200, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(problem), problem)),
		"200 with an encoding":             responseText(200, "Content-Encoding: gzip\r\n"+withBody(streamType, eventText(3, 4))),
		"200 with an error event":          responseText(200, withBody(streamType, "event: error\ndata: boom\n\n")),
		"200 with a comment and an error":  responseText(200, withBody(streamType, ": ok\n\nevent: error\r\ndata: boom\r\n\r\n"+eventText(3, 4))),
		"200 with text in place of events": responseText(200, withBody(streamType, problem)),
		"200 with part of an event":        responseText(200, withBody(streamType, "id: 3\ndata: par")),
		"head that is cut":                 responseText(200, "Content-Type: text/ev"),
		"no response":                      func(net.Conn, *http.Request) bool { return false },
		"response to another request": func(conn net.Conn, _ *http.Request) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Rudder-Request: r9\r\nX-Rudder-Signature: sig\r\n"+withBody(streamType, eventText(3, 4)))
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := breakingHarness(t, resume)
			got := h.get("/resumable/x")
			if got.status != 200 || got.body != eventText(1, 2) || got.err == nil {
				t.Errorf("status %d, stream %.300q, error %v, want events 1 and 2 and a broken connection", got.status, got.body, got.err)
			}
			if h.requestCount() != 2 {
				t.Errorf("%d requests reached the servers, want 2", h.requestCount())
			}
		})
	}
}

// Guards against events that come twice when the next server begins anew or sends comments first.
func TestEventsBeforeTheBreakAreNotRepeated(t *testing.T) {
	for name, text := range map[string]string{
		"continuation":                eventText(3, 5),
		"from the last event on":      eventText(2, 5),
		"anew":                        eventText(1, 5),
		"comment, then continuation":  ": ok\n\n" + eventText(3, 5),
		"comment, then anew":          ":\n\n" + eventText(1, 5),
		"anew with further line ends": eventText(1, 1) + "\n" + eventText(2, 2) + "\n" + eventText(3, 5),
		"retry field, then anew":      "retry: 5\r\n\r\n" + eventText(1, 5),
		"anew with comments between":  ":\n\n" + eventText(1, 1) + ": still here\n\n" + eventText(2, 5),
	} {
		t.Run(name, func(t *testing.T) {
			h := breakingHarness(t, responseText(200, withBody("text/event-stream", text)))
			got := h.get("/resumable/x")
			if body := strings.ReplaceAll(got.body, "\n\n\n", "\n\n"); got.err != nil || body != eventText(1, 5) {
				t.Errorf("stream %q, error %v, want events 1 to 5 and no error", got.body, got.err)
			}
		})
	}
}

// A stream whose events have no ids began anew on the next server after the events that the caller had.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	h := newHarness(t)
	const event = "data: x\n\n"
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, responseText(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n"+event+"\r\n"))
	}
	if got := h.get("/resumable/x"); got.body != event || got.err == nil || h.requestCount() != 1 {
		t.Errorf("stream %q, error %v after %d requests, want one event, a broken connection and one request", got.body, got.err, h.requestCount())
	}
}

// A server whose stream failed wrote the head and the body of an error after the events, in a chunk or in a body without a
// length, or wrote a late copy of an earlier response in the middle of an event. The caller found them in its stream.
func TestHeadWithinStreamIsNotForwarded(t *testing.T) {
	const problem = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n{\"error\":\"boom\"}"
	const copied = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Rudder-Request: earlier\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: old\n\n\r\n0\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	chunked, unframed := "Transfer-Encoding: chunked\r\n\r\n", "\r\n"
	for name, text := range map[string]string{
		"in a chunk of its own":                     chunked + chunk(eventText(1, 2)) + chunk(problem) + chunk("\n\n") + "0\r\n\r\n",
		"in the chunk of the events":                chunked + chunk(eventText(1, 2)+problem) + "0\r\n\r\n",
		"in chunks that split it":                   chunked + chunk(eventText(1, 2)+problem[:5]) + chunk(problem[5:]) + "0\r\n\r\n",
		"in a line of an event":                     chunked + chunk(eventText(1, 2)+"id: 3\n"+problem) + "0\r\n\r\n",
		"in a body without a length":                unframed + eventText(1, 2) + problem,
		"in a body without a length, 1.0":           unframed + eventText(1, 2) + strings.Replace(problem, "1.1", "1.0", 1) + "\n\n",
		"in the text of an event, without a length": unframed + eventText(1, 2) + "id: 3\ndata: t" + copied + "3\n\n",
		"in the text of an event, in its chunk":     chunked + chunk(eventText(1, 2)+"id: 3\ndata: t"+copied+"3\n\n") + "0\r\n\r\n",
		"in place of a chunk":                       chunked + chunk(eventText(1, 2)) + problem,
	} {
		for _, path := range []string{"/stream/x", "/resumable/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				h := newHarness(t)
				for _, name := range []string{"a", "b"} {
					h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
						if r.Header.Get(headerLastEventID) == "2" {
							return sendEvents(conn, r, 3, 5, true)
						}
						return responseText(200, "Content-Type: text/event-stream\r\n"+text)(conn, r)
					})
				}
				got := h.get(path)
				isWhole := got.body == eventText(1, 5) && got.err == nil
				isCut := got.body == eventText(1, 2) && got.err != nil
				if path == "/resumable/x" && !isWhole || path == "/stream/x" && !isCut {
					t.Errorf("stream %q, error %v, want it resumed after event 2 or cut", got.body, got.err)
				}
			})
		}
	}
}

// Guards against the time that a long text with many beginnings of status lines takes: hours if each of them is searched for the
// head that may follow.
func TestLongTextOfStatusLinesIsForwarded(t *testing.T) {
	h := newHarness(t)
	for _, route := range h.config.Routes {
		route.Timeout = time.Minute
	}
	text := "id: 1\ndata: " + strings.Repeat("HTTP/1.1 200 ", 60_000) + "\n\n"
	h.backendServer("a", responseText(200, withBody("text/event-stream", text)))
	got := h.call(context.Background(), http.MethodGet, "/stream/x", "", http.Header{"X-Rudder-Timeout-Ms": {"60000"}})
	if got.body != text || got.err != nil {
		t.Errorf("stream of %d bytes, error %v, want %d bytes", len(got.body), got.err, len(text))
	}
}

// Guards against a sound event that is taken for a head.
func TestEventsThatSpeakOfHeadsAreForwarded(t *testing.T) {
	h := newHarness(t)
	text := "id: 1\ndata: HTTP/1.1 500 Internal Server Error\ndata:HTTP/1.0\n\nid: 2\ndata: x\n\n"
	h.backendServer("a", responseText(200, withBody("text/event-stream", text)))
	if got := h.get("/stream/x"); got.body != text || got.err != nil {
		t.Errorf("stream %q, error %v, want %q", got.body, got.err, text)
	}
}
