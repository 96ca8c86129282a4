package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
)

// A caller keeps resending a request that crashes every backend server that runs it. After three crashes the request must
// not reach another server, while other requests are served.
func TestCrashingRequestIsRefused(t *testing.T) {
	h := newHarness(t)
	for i := range 6 {
		name := fmt.Sprint("b", i)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			h.serve(conn, name, func(net.Conn, *http.Request) bool {
				listener.Close() // a crashed process accepts no connections
				return false
			})
		}()
		t.Cleanup(func() { listener.Close() })
		h.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
	}
	for i := range 3 {
		h.call(context.Background(), http.MethodPost, "/once/x", "poison", nil)
		h.waitForCrashProbes()
		if h.crashCount() != i+1 {
			t.Fatalf("%d crashes are counted after %d", h.crashCount(), i+1)
		}
	}
	sent := h.requestCount()
	if response := h.call(context.Background(), http.MethodPost, "/once/x", "poison", nil); response.status != http.StatusServiceUnavailable || h.requestCount() != sent {
		t.Fatalf("fourth call: response %+v after %d sends, want 503 after 0", response, h.requestCount()-sent)
	}
	h.server.Backends.Replace(nil)
	h.backendServer("good", succeed)
	if response := h.call(context.Background(), http.MethodPost, "/once/x", "harmless", nil); response.status != 200 {
		t.Fatalf("another request: response %+v, want 200", response)
	}
}

// crashingServers adds backend servers that end like a crashed process, after the begin of the response that respond writes,
// when they run a request with the prompt part "bad". They complete other requests. It returns the number of requests with that
// part that servers received, and the number of servers that crashed.
func (h *harness) crashingServers(count int, respond func(conn net.Conn, r *http.Request)) (received, crashed *atomic.Int64) {
	received, crashed = &atomic.Int64{}, &atomic.Int64{}
	for i := range count {
		h.crashableServer(fmt.Sprint("b", i), func(conn net.Conn, r *http.Request, crash func()) bool {
			if !strings.Contains(r.Header.Get("X-Rudder-Prefix"), "bad:") {
				return sendEvents(conn, r, 1, 3, true)
			}
			received.Add(1)
			crash()
			crashed.Add(1)
			respond(conn, r)
			return false
		})
	}
	return received, crashed
}

// sendStreamHead begins a chunked event stream, and sendUnframedStreamHead one without a length.
func sendStreamHead(conn net.Conn, r *http.Request)         { sendEvents(conn, r, 1, 0, false) }
func sendUnframedStreamHead(conn net.Conn, r *http.Request) { sendUnframedEvents(conn, r, 0, "") }

// prompt sends a request with a prompt that has the given shared parts and a last part of its own, and waits until the
// relay knows whether a server crashed.
func (h *harness) prompt(id int, sharedParts string) callerResponse {
	response := h.call(context.Background(), http.MethodPost, fmt.Sprint("/resumable/", id), fmt.Sprint("body ", id), http.Header{
		"X-Rudder-Request": {fmt.Sprint("p", id)}, "X-Rudder-Tokens": {"100,20"}, "X-Rudder-Prefix": {fmt.Sprintf("%s,own%d:10", sharedParts, id)},
	})
	h.waitForCrashProbes()
	return response
}

// Guards against a prompt part that crashes each server which runs a request with it: no two of the requests are alike, so
// that counting the crashes of each request finds nothing, and the requests crash one server after the other.
func TestRequestsWithCrashingPromptPartAreRefused(t *testing.T) {
	for name, respond := range map[string]func(net.Conn, *http.Request){
		"chunked": sendStreamHead, "without a length": sendUnframedStreamHead,
		"without a length, after an event": func(conn net.Conn, r *http.Request) { sendUnframedEvents(conn, r, 1, "") },
	} {
		t.Run(name, func(t *testing.T) { testCrashingPromptPart(t, respond) })
	}
}

func testCrashingPromptPart(t *testing.T, respond func(net.Conn, *http.Request)) {
	h := newHarness(t)
	received, crashed := h.crashingServers(24, respond)
	receivedAtFifthCrash := int64(-1)
	for i := range 30 {
		for j, parts := range []string{"system:40", "system:40,document:20"} {
			if response := h.prompt(1000+2*i+j, parts); response.status != http.StatusOK || response.body != eventText(1, 3) {
				t.Fatalf("after %d crashes, request without the part: response %+v, want 200 and 3 events", crashed.Load(), response)
			}
		}
		h.prompt(i, "system:40,bad:30")
		if crashed.Load() >= 5 && receivedAtFifthCrash < 0 {
			receivedAtFifthCrash = received.Load()
		}
	}
	if receivedAtFifthCrash >= 0 && received.Load()-receivedAtFifthCrash > 3 {
		t.Fatalf("after five crashes, %d requests with the part reached servers, want at most 3", received.Load()-receivedAtFifthCrash)
	}
	if response := h.prompt(31, "system:40,bad:30"); response.status != http.StatusServiceUnavailable {
		t.Fatalf("request with the part: response %+v, want 503", response)
	}
}

// Pattern: requests with the crashing part that wait at servers when the part is quarantined. They would crash these too:
// they must be cancelled, and their callers must not be told that they have not run.
func TestWaitingRequestsOfQuarantineAreCancelled(t *testing.T) {
	h := newHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.server.WatchWaitingRequests(ctx)
	isReceived, isCancelled := make(chan struct{}), make(chan struct{})
	h.backendServer("slow", func(conn net.Conn, _ *http.Request) bool {
		close(isReceived)
		_, _ = conn.Read(make([]byte, 1)) // until the relay closes the connection
		close(isCancelled)
		return false
	})
	waiting := make(chan callerResponse)
	go func() { waiting <- h.prompt(1, "system:40,bad:30") }()
	<-isReceived
	h.server.Backends.Replace(nil)
	_, crashed := h.crashingServers(8, sendStreamHead)
	for i := 0; crashed.Load() < 6 && i < 8; i++ {
		h.prompt(100+i, "system:40")
		h.prompt(200+i, "system:40,bad:30")
	}
	<-isCancelled
	if response := <-waiting; response.status != http.StatusBadGateway {
		t.Fatalf("waiting request: response %+v, want 502", response)
	}
}

// Pattern: a request that may be repeated, with a part on which two servers have crashed already. It must not be sent to a
// second server after it has crashed one.
func TestSuspectIsNotSentToAnotherServer(t *testing.T) {
	h := newHarness(t)
	received, _ := h.crashingServers(8, sendStreamHead)
	h.prompt(1, "system:40")
	h.prompt(2, "system:40,bad:30")
	if n := received.Load(); n != 2 {
		t.Fatalf("the first request reached %d servers, want 2", n)
	}
	response := h.prompt(3, "system:40,bad:30")
	if n := received.Load(); n != 3 || response.status != http.StatusBadGateway {
		t.Fatalf("the second request: %d sends so far, response %+v, want 3 and 502", n, response)
	}
}

// waitForCrashProbes waits until the relay knows of all failed attempts whether their servers have crashed.
func (h *harness) waitForCrashProbes() {
	for h.server.crashProbes.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// crashCount returns the number of crashes that the server under test has counted for all requests.
func (h *harness) crashCount() int {
	return h.server.Crashes.CrashCount()
}

// A response lost by a server that still accepts connections must not be counted as a crash, however often it happens to a
// request.
func TestLostResponsesAreNotCountedAsCrashes(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", func(net.Conn, *http.Request) bool { return false })
	h.backendServer("b", func(net.Conn, *http.Request) bool { return false })
	for range 5 {
		h.get("/safe/x")
	}
	h.waitForCrashProbes()
	if n := h.crashCount(); n != 0 {
		t.Fatalf("%d crashes are counted, want 0", n)
	}
}

// A host that is cut off must not look as if its servers had crashed: the kernel ends connections on which nothing is
// acknowledged, each at another moment.
func TestKernelTimeoutIsNoEndFromTheServer(t *testing.T) {
	for err, want := range map[error]bool{
		&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}: true,
		os.ErrDeadlineExceeded: true,
		net.ErrClosed:          true,
		&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}: false,
		io.ErrUnexpectedEOF: false,
	} {
		if got := isTimeout(errors.Wrap(err, "read response")); got != want {
			t.Errorf("isTimeout(%v) = %v, want %v", err, got, want)
		}
	}
}

// Guards against a data race: while the probe of a crashed server takes its time, the request goes on, and both need its
// traits.
func TestSlowProbeDoesNotRaceWithRequest(t *testing.T) {
	h := newHarness(t)
	h.crashingServers(1, sendStreamHead)
	p, refusal := h.server.Backends.Place(backend.Request{Service: "s"}, 0)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	p.Release(backend.ResultInconclusive)
	release, started := make(chan struct{}), make(chan struct{})
	go h.server.probes.Do(strconv.FormatUint(p.Incarnation, 36), func() (any, error) {
		close(started)
		<-release
		return serverGone, nil
	})
	<-started
	time.AfterFunc(4*resendProbeWait, func() { close(release) })
	if response := h.prompt(1, "system:40,bad:30"); response.status == http.StatusOK {
		t.Errorf("response %+v, want a failure", response)
	}
}
