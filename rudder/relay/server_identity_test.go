package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/upstream"
)

// serverStart is the start time of the server in these tests, in Unix milliseconds.
const serverStart = 1_700_000_000_000

// reportStart answers a request for a server's report with the start of its process.
func reportStart(conn net.Conn, startUnixMillis int64) {
	body := fmt.Sprintf(`{"running":0,"start_unix_millis":%d}`, startUnixMillis)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// refuseAs refuses a request for another instance as the server with the given id, "" for one that does not name its id.
func refuseAs(conn net.Conn, r *http.Request, id string) {
	instance := ""
	if id != "" {
		instance = "X-Rudder-Instance-Id: " + id + "\r\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Rudder-Request: %s\r\n%sX-Rudder-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Rudder-Request"), instance)
}

// Guards against a response without a length whose server ended on the way, and that looked complete because something else
// accepted a connection at the server's address: a restarted process, one of another service, a proxy or nobody who speaks.
func TestUnframedResponseOfReplacedServerIsNotComplete(t *testing.T) {
	const whole, cut = true, false
	for name, c := range map[string]struct {
		atAddress func(conn net.Conn, r *http.Request) // answers at the server's address after the end; nil closes the connection
		want      bool
	}{
		"same process, by its start": {func(conn net.Conn, _ *http.Request) { reportStart(conn, serverStart) }, whole},
		"same process, by its id":    {func(conn net.Conn, r *http.Request) { refuseAs(conn, r, "a") }, whole},
		"same server, which only signs": {func(conn net.Conn, r *http.Request) {
			if r.Header.Get("X-Rudder-Instance") == "a" {
				respond(conn, r, 200, "", "no report")
			} else {
				refuseAs(conn, r, "")
			}
		}, whole},
		"new process with another id":                   {func(conn net.Conn, r *http.Request) { refuseAs(conn, r, "b") }, cut},
		"new process with another id that is not named": {func(conn net.Conn, r *http.Request) { refuseAs(conn, r, "") }, cut},
		"new process with the same id":                  {func(conn net.Conn, _ *http.Request) { reportStart(conn, serverStart+2000) }, cut},
		"server that has no room":                       {func(conn net.Conn, r *http.Request) { refuseNotRun(conn, r) }, cut},
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
					if got := r.Header.Get("X-Rudder-Instance"); got != "a" && got != noInstance || got == "a" && r.Header.Get("X-Rudder-Request") != "" {
						t.Errorf("question %v, want one that no server runs", r.Header)
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

// Goes through the answers to the question that expects no instance. Only the connection tells a process that neither reports its start
// nor has a new id from the one before it.
func TestIdentify(t *testing.T) {
	report := func(start int64) *upstream.Answer {
		return &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Body: fmt.Appendf(nil, `{"start_unix_millis":%d}`, start)}
	}
	refusal := func(id string) *upstream.Answer {
		return &upstream.Answer{Status: http.StatusMisdirectedRequest, Header: http.Header{"X-Rudder-Instance-Id": {id}}}
	}
	for _, c := range []struct {
		answer       *upstream.Answer
		knownStart   int64
		onNew, onOld serverIdentity // on a new connection, and on one from before the request
	}{
		{report(serverStart), serverStart, identitySame, identitySame},
		{report(serverStart + 1), serverStart, identityOther, identityOther},
		{report(serverStart), 0, identityUnknown, identitySame},
		{refusal("a"), serverStart, identitySame, identitySame},
		{refusal("b"), serverStart, identityOther, identityOther},
		{refusal(""), serverStart, identityUnknown, identitySame},
		{&upstream.Answer{Status: http.StatusOK, Body: []byte("text")}, serverStart, identityUnknown, identityUnknown},
		{&upstream.Answer{Status: http.StatusOK, Body: []byte(`{"start_unix_millis":"1"}`)}, serverStart, identityUnknown, identityUnknown},
		{&upstream.Answer{Status: http.StatusServiceUnavailable}, serverStart, identityUnknown, identityUnknown},
		{&upstream.Answer{Status: http.StatusBadGateway}, serverStart, identityUnknown, identityUnknown},
	} {
		for _, isFromBefore := range []bool{false, true} {
			want := c.onNew
			if isFromBefore {
				want = c.onOld
			}
			c.answer.IsFromBefore = isFromBefore
			if got := NativeDialect.identify(c.answer, "a", c.knownStart); got != want {
				t.Errorf("answer %+v, known start %d: identity %s, want %s", c.answer, c.knownStart, got, want)
			}
		}
	}
}

// Responses of one server that end together share a question, which begins after all of them have ended.
func TestIdentityChecksAreSharedButNeverOlderThanTheCall(t *testing.T) {
	var checks identityChecks
	begun, goOn := make(chan boottime.Instant), make(chan serverIdentity)
	check := func(sentAt boottime.Instant) serverIdentity { begun <- sentAt; return <-goOn }
	get := func(sentAt boottime.Instant) <-chan serverIdentity {
		result := make(chan serverIdentity, 1)
		go func() { result <- checks.get(context.Background(), 1, sentAt, check) }()
		return result
	}
	first := get(7)
	<-begun
	waitingFor := func(sentAt boottime.Instant) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
			checks.mu.Lock()
			waiting := checks.byServer[1].waiting
			isWaiting := waiting != nil && waiting.sentAt == sentAt
			checks.mu.Unlock()
			if isWaiting {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("no check waits for a request sent at %d", sentAt)
			}
		}
	}
	second := get(5)
	waitingFor(5)
	third := get(3)
	waitingFor(3)
	goOn <- identitySame
	if got := <-first; got != identitySame {
		t.Errorf("first call got %s, want same", got)
	}
	if sentAt := <-begun; sentAt != 3 {
		t.Errorf("shared check for a request sent at %d, want 3", sentAt)
	}
	goOn <- identityOther
	if a, b := <-second, <-third; a != identityOther || b != identityOther {
		t.Errorf("later calls got %s and %s, want other", a, b)
	}
}
