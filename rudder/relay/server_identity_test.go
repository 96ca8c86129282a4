package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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

// refuseAs refuses a request for another instance as the server with the given id, "" for one that does not name its id, and a request
// without an id as one that makes no reports.
func refuseAs(conn net.Conn, r *http.Request, id string) {
	if r.Header.Get("X-Rudder-Instance") == id {
		fmt.Fprint(conn, "HTTP/1.1 400 Bad Request\r\nX-Rudder-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
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
		"new process with the same id, which reports to itself only": {func(conn net.Conn, r *http.Request) {
			if r.Header.Get("X-Rudder-Instance") == "a" {
				reportStart(conn, serverStart+2000)
			} else {
				refuseAs(conn, r, "a")
			}
		}, cut},
		"server that has no room": {func(conn net.Conn, r *http.Request) { refuseNotRun(conn, r) }, cut},
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
	placed := func(startUnixMillis int64) *backend.Placement {
		table := backend.NewTable(time.Second, slog.New(slog.DiscardHandler))
		table.Put(backend.Entry{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1, StartUnixMillis: startUnixMillis})
		p, refusal := table.Place(backend.Request{Service: "s"}, 0)
		if refusal != nil {
			t.Fatal(refusal)
		}
		return p
	}
	for _, c := range []struct {
		answer       *upstream.Answer
		knownStart   int64
		onNew, onOld serverIdentity // on a new connection, and on one from before the request
	}{
		{report(serverStart), serverStart, identitySame, identitySame},
		{report(serverStart + 1), serverStart, identityOther, identitySame}, // the registry has not told of the start yet
		{report(serverStart), 0, identityUnknown, identitySame},
		{refusal("a"), serverStart, identitySame, identitySame},
		{refusal("b"), serverStart, identityOther, identitySame},
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
			if got := NativeDialect.identify(c.answer, placed(c.knownStart)); got.identity != want {
				t.Errorf("answer %+v, known start %d: identity %+v, want %s", c.answer, c.knownStart, got, want)
			}
		}
	}
}

// Responses of one server that end together share a question, which begins after all of them have ended.
func TestIdentityChecksAreSharedButNeverOlderThanTheCall(t *testing.T) {
	var checks identityChecks
	key := identityKey{1, "127.0.0.1:1"}
	begun, goOn := make(chan boottime.Instant), make(chan serverIdentity)
	check := func(sentAt boottime.Instant) identityFinding {
		begun <- sentAt
		return identityFinding{identity: <-goOn}
	}
	get := func(sentAt boottime.Instant) <-chan serverIdentity {
		result := make(chan serverIdentity, 1)
		go func() { result <- checks.get(context.Background(), key, sentAt, check).identity }()
		return result
	}
	first := get(7)
	<-begun
	waitingFor := func(sentAt boottime.Instant) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
			checks.mu.Lock()
			waiting := checks.byServer[key].waiting
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

// Guards against sound responses that are thrown away because a busy server refuses the first question, and against endless answers to
// it: the question is asked again, but not without bounds.
func TestQuestionIsAskedAgainWhileServerIsBusy(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError} {
		h := newHarness(t)
		var questions atomic.Int64
		h.report = func(conn net.Conn, r *http.Request) {
			if questions.Add(1) <= 2 {
				fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
				return
			}
			refuseAs(conn, r, "a")
		}
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool { sendUnframed(conn, r, "whole"); return false })
		if got := h.get("/once/x"); got.status != http.StatusOK || questions.Load() > 5 {
			t.Errorf("question answered with %d at first: status %d after %d questions, want 200 after a few", status, got.status, questions.Load())
		}
	}
}

// Guards against a head without end in the answer to a question, which the node would collect in memory.
func TestEndlessAnswerToQuestionIsBounded(t *testing.T) {
	for name, start := range map[string]string{"status line": "HTTP/1.1 200 O", "header": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		h := newHarness(t)
		var questions, sent atomic.Int64
		var tasks sync.WaitGroup
		h.report = func(conn net.Conn, _ *http.Request) {
			questions.Add(1)
			tasks.Add(1)
			defer tasks.Done()
			fmt.Fprint(conn, start)
			for block, total := make([]byte, 64<<10), 0; total < 64<<20; {
				n, err := conn.Write(block)
				total += n
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}
		h.backendServer("a", func(conn net.Conn, r *http.Request) bool { sendUnframed(conn, r, "part"); return false })
		got := h.get("/once/x")
		tasks.Wait()
		if got.status == http.StatusOK || questions.Load() > 2 || sent.Load() > 32<<20 {
			t.Errorf("%s: status %d, %d questions, %d bytes sent, want an error after one answer that was not read to its end", name, got.status, questions.Load(), sent.Load())
		}
	}
}

// A response whose framing marks its end costs no question, one without a length costs one.
func TestOnlyResponsesWithoutLengthCostAQuestion(t *testing.T) {
	for f, want := range map[framing]int64{framedByLength: 0, framedByChunks: 0, framedByConnection: 1} {
		for _, path := range []string{"/once/x", "/stream/x"} {
			h := newHarness(t)
			var questions atomic.Int64
			h.report = func(conn net.Conn, _ *http.Request) { questions.Add(1); reportStart(conn, serverStart) }
			h.backendServer("a", func(conn net.Conn, r *http.Request) bool { return sendFramed(conn, r, f, eventText(1, 2)) })
			h.server.Backends.Put(backend.Entry{ID: "a", Service: "s", Address: h.addresses["a"], Slots: 8, StartUnixMillis: serverStart})
			if got := h.get(path); got.err != nil || got.status != http.StatusOK || questions.Load() != want {
				t.Errorf("%s by %s: status %d, error %v, %d questions, want 200 and %d", path, f, got.status, got.err, questions.Load(), want)
			}
		}
	}
}

// Guards against a stream that was cut although its caller had all events: the end at the first server could not be judged, and the
// continuation at another one, which has nothing left to send, has no length either.
func TestContinuationWithoutEventsIsComplete(t *testing.T) {
	h := newHarness(t)
	var questions atomic.Int64
	h.report = func(conn net.Conn, r *http.Request) {
		if questions.Add(1) <= 2 { // both that are asked about the first server
			fmt.Fprint(conn, "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
			return
		}
		reportStart(conn, serverStart)
	}
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
			if r.Header.Get(headerLastEventID) == "2" {
				return sendFramed(conn, r, framedByConnection, "")
			}
			return sendFramed(conn, r, framedByConnection, eventText(1, 2))
		})
		h.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: h.addresses[name], Slots: 8, StartUnixMillis: serverStart})
	}
	if got := h.get("/resumable/x"); got.err != nil || got.body != eventText(1, 2) {
		t.Errorf("stream %q, error %v, want events 1 and 2 and no error", got.body, got.err)
	}
}

// Guards against a crash that is not recorded because the next process of the server is up when the node looks.
func TestCrashOfServerThatIsBackIsRecorded(t *testing.T) {
	h := newHarness(t)
	h.report = func(conn net.Conn, _ *http.Request) { reportStart(conn, serverStart+2000) }
	h.backendServer("a", func(conn net.Conn, r *http.Request) bool { sendUnframed(conn, r, "part"); return false })
	h.server.Backends.Put(backend.Entry{ID: "a", Service: "s", Address: h.addresses["a"], Slots: 8, StartUnixMillis: serverStart})
	h.get("/once/x")
	for deadline := time.Now().Add(20 * time.Second); !h.server.Crashes.HasCrashes(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no crash is recorded after 20 s")
		}
	}
}

// Goes through the evidence about the end of a response.
func TestJudgeEnd(t *testing.T) {
	for _, c := range []struct {
		evidence endEvidence
		want     error
	}{
		{endEvidence{}, nil},
		{endEvidence{isWithinEvent: true}, errEndedWithinEvent},
		{endEvidence{connErr: syscall.ECONNRESET, lacksEvents: true, server: identityOther}, nil}, // the framing marks the end
		{endEvidence{endsWithConnection: true, server: identitySame}, nil},
		{endEvidence{endsWithConnection: true, server: identitySame, isWithinEvent: true}, errEndedWithinEvent},
		{endEvidence{endsWithConnection: true, server: identitySame, lacksEvents: true}, errEndedBeforeFirstEvent},
		{endEvidence{endsWithConnection: true, server: identitySame, connErr: syscall.ETIMEDOUT}, syscall.ETIMEDOUT},
		{endEvidence{endsWithConnection: true, server: identityOther}, errEndedWithServer},
		{endEvidence{endsWithConnection: true, server: identityUnknown}, errEndUnknown},
		{endEvidence{endsWithConnection: true, server: identityUnasked}, errEndUnknown},
	} {
		if got := judgeEnd(c.evidence); !errors.Is(got, c.want) {
			t.Errorf("%+v: error %v, want %v", c.evidence, got, c.want)
		}
	}
}
