package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/detour"
	"chestnutrudder.example/rudder/traffic"
)

// passingPair is a node that is cut off from the servers of the service "s" and a peer that has a path, each with a harness. The servers
// of the peer are those that run requests; the cut node has one that refuses connections.
type passingPair struct {
	cut, peer *harness
	port      *httptest.Server // at which the peer takes requests
	peers     []detour.Peer
	isCut     atomic.Bool
}

// refusedAddress returns an address at which nothing listens.
func refusedAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newDetourPort opens the port at which a node takes requests of its peers.
func newDetourPort(t testing.TB, h *harness) *httptest.Server {
	t.Helper()
	port := httptest.NewUnstartedServer(detour.Handler(h.server))
	port.Config.ConnContext = ConnContext
	port.Start()
	t.Cleanup(port.Close)
	return port
}

func newPassingPair(t testing.TB) *passingPair {
	t.Helper()
	p := &passingPair{cut: newHarness(t), peer: newHarness(t)}
	p.port = newDetourPort(t, p.peer)
	p.peers = []detour.Peer{{Node: "peer", Address: p.port.Listener.Addr().String(), FailureDomain: "fd"}}
	p.cut.server.Paths = &backend.Paths{Table: p.cut.server.Backends, Log: p.cut.server.Log, Dial: func(context.Context, string) error {
		if p.isCut.Load() {
			return syscall.ECONNREFUSED
		}
		return nil
	}}
	p.cut.server.Detours = &detour.Client{Node: "cut", FailureDomain: "fd", Peers: func(string) []detour.Peer { return p.peers }}
	for i := range 4 {
		p.cut.server.Backends.Put(backend.Entry{ID: fmt.Sprint("unreachable", i), Service: "s", Address: refusedAddress(t), Slots: 8})
	}
	return p
}

// cutOff makes the node lose its path.
func (p *passingPair) cutOff(t testing.TB) {
	t.Helper()
	p.isCut.Store(true)
	for end := time.Now().Add(2 * time.Second); !p.cut.server.Paths.IsLost("s"); time.Sleep(time.Millisecond) {
		p.cut.server.Paths.SuspectConnect("s", syscall.ECONNREFUSED) // again, once older evidence of a path does not count any more
		if time.Now().After(end) {
			t.Error("path is not lost")
			return
		}
	}
}

func TestCutNodePassesRequestsOn(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peer.backendServer("a", succeed)
	body := strings.Repeat("b", 100<<10)
	r := p.cut.call(context.Background(), http.MethodPost, "/once/x?q=%2F", body, http.Header{"X-Own": {"1", "2"}, "Connection": {"x-hop"}, "X-Hop": {"1"}, "X-Rudder-Tokens": {"10,20"}})
	if r.err != nil || r.status != 200 || r.body != "done" || r.header.Get("X-Rudder-Signature") != "sig" {
		t.Fatalf("got status %d, body %q, error %v, want the server's response", r.status, r.body, r.err)
	}
	for name := range r.header {
		if strings.HasPrefix(name, "Rudder-Detour") {
			t.Errorf("response has the header %s of the nodes", name)
		}
	}
	if len(p.peer.requests) != 1 {
		t.Fatalf("the servers got %d requests, want 1", len(p.peer.requests))
	}
	got := p.peer.requests[0]
	gotBody, _ := io.ReadAll(got.Body)
	if got.Method != http.MethodPost || got.RequestURI != "/once/x?q=%2F" || got.Host != "h" || string(gotBody) != body {
		t.Errorf("server got %s %s, host %s, %d bytes, want the request of the caller", got.Method, got.RequestURI, got.Host, len(gotBody))
	}
	if id := got.Header.Get("X-Rudder-Request"); id != "r1" {
		t.Errorf("server got the request id %q, want r1", id)
	}
	if own := got.Header.Values("X-Own"); len(own) != 2 || got.Header.Get("X-Rudder-Tokens") != "10,20" || got.Header.Get("X-Hop") != "" {
		t.Errorf("server got the headers %v, want those of the caller without that of one connection", got.Header)
	}
	if organisation := got.Header.Get("X-Rudder-Organisation"); organisation != "o" || got.Header.Get("Authorization") != "" {
		t.Errorf("server got the organisation %q and the headers %v, want the one of the key and no key", organisation, got.Header)
	}
	for name := range got.Header {
		if strings.HasPrefix(name, "Rudder-Detour") {
			t.Errorf("server got the header %s of the nodes", name)
		}
	}
	if a, b := p.cut.runCounter.runs.Load(), p.peer.runCounter.runs.Load(); a != 0 || b != 1 {
		t.Errorf("the cut node counted %d runs and the peer %d, want 0 and 1", a, b)
	}
}

func TestPassedOnTimeLeftIsThatOfTheCaller(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peer.backendServer("a", succeed)
	p.cut.call(context.Background(), http.MethodGet, "/once/x", "", http.Header{"X-Rudder-Timeout-Ms": {"800"}})
	if len(p.peer.requests) != 1 {
		t.Fatalf("the servers got %d requests, want 1", len(p.peer.requests))
	}
	var left int
	if _, err := fmt.Sscan(p.peer.requests[0].Header.Get("X-Rudder-Timeout-Ms"), &left); err != nil || left > 800 || left < 500 {
		t.Errorf("server got %d ms, want at most the 800 of the caller and not far less", left)
	}
}

func TestRequestAfterFailedConnectionsIsPassedOn(t *testing.T) {
	p := newPassingPair(t) // the probes find a path: only some servers are out of reach
	p.peer.backendServer("a", succeed)
	for _, path := range []string{"/once/x", "/safe/x"} {
		if r := p.cut.get(path); r.status != 200 || r.body != "done" {
			t.Errorf("%s: got status %d, body %q, want the server's response", path, r.status, r.body)
		}
	}
}

func TestOnlyServerRefusesAndPeerServes(t *testing.T) {
	p := newPassingPair(t)
	for i := 1; i < 4; i++ {
		p.cut.server.Backends.Remove(fmt.Sprint("unreachable", i))
	}
	p.peer.backendServer("a", succeed)
	if r := p.cut.get("/once/x"); r.status != 200 {
		t.Errorf("got status %d, want 200", r.status)
	}
}

// A peer never passes a request on, and one without a path says so at once, so that another one gets the request.
func TestPeerWithoutPathDoesNotPassOn(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	second := newPassingPair(t)
	second.cutOff(t)
	second.peer.backendServer("b", succeed)
	cutPort := newDetourPort(t, second.cut)
	p.peers = []detour.Peer{{Node: "second", Address: cutPort.Listener.Addr().String()}}
	if r := p.cut.get("/once/x"); r.status != 503 || second.peer.requestCount() != 0 {
		t.Errorf("got status %d and %d requests at servers, want 503 and none", r.status, second.peer.requestCount())
	}
	p.peer.backendServer("a", succeed)
	p.peers = append(p.peers, detour.Peer{Node: "peer", Address: p.port.Listener.Addr().String(), Load: 1000})
	for range 20 {
		if r := p.cut.get("/once/x"); r.status != 200 {
			t.Fatalf("got status %d, want 200 of the second peer", r.status)
		}
	}
}

func TestPeerThatRefusesConnectionsIsLeftOut(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peer.backendServer("a", succeed)
	for i := range 2 {
		p.peers = append(p.peers, detour.Peer{Node: fmt.Sprint("gone", i), Address: refusedAddress(t), FailureDomain: "fd"})
	}
	for range 10 {
		if r := p.cut.get("/once/x"); r.status != 200 {
			t.Fatalf("got status %d, want 200", r.status)
		}
	}
}

func TestStoppingPeerRefusesAndNothingRuns(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peer.backendServer("a", succeed)
	p.peer.server.RefuseRequestsFrom(boottime.Now())
	if r := p.cut.get("/once/x"); r.status != 503 || r.header.Get("Retry-After") == "" || p.peer.requestCount() != 0 {
		t.Errorf("got status %d, Retry-After %q, %d requests at servers, want 503 with it and none", r.status, r.header.Get("Retry-After"), p.peer.requestCount())
	}
}

// Guards against responses that are cut because a peer took the request in the time in which a stopping node still serves its own callers:
// they have no other address yet, but the node that passes a request on has other peers.
func TestStoppingPeerLeavesPassedOnRequestsToOthers(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peer.backendServer("a", succeed)
	p.peer.server.Drain()
	if r := p.cut.get("/once/x"); r.status != 503 || p.peer.requestCount() != 0 {
		t.Errorf("got status %d, %d requests at servers, want 503 and none, as there is no other peer", r.status, p.peer.requestCount())
	}
	if r := p.peer.get("/once/x"); r.status != 200 {
		t.Errorf("a caller of the stopping node got status %d, want 200", r.status)
	}
	other := newHarness(t)
	other.backendServer("b", succeed)
	p.peers = append(p.peers, detour.Peer{Node: "other", Address: newDetourPort(t, other).Listener.Addr().String(), FailureDomain: "fd"})
	for range 10 {
		if r := p.cut.get("/once/x"); r.status != 200 {
			t.Fatalf("got status %d, want 200 from the other peer", r.status)
		}
	}
	if runs := p.peer.requestCount(); runs != 1 {
		t.Errorf("%d requests at servers of the stopping peer, want only that of its own caller", runs)
	}
}

func TestFullPeerRefusalReachesTheCaller(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peer.backendServer("a", refuseNotRun)
	if r := p.cut.get("/once/x"); r.status != 503 {
		t.Errorf("got status %d, want 503", r.status)
	}
	if runs := p.peer.runCounter.runs.Load(); runs != 0 {
		t.Errorf("%d runs were counted, want 0", runs)
	}
}

func TestNoPeerLeavesTheNodeToItself(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peers = nil
	if r := p.cut.get("/once/x"); r.status != 503 {
		t.Errorf("got status %d, want 503", r.status)
	}
	p.cut.backendServer("a", succeed) // reachable although the probes fail, as servers with older connections are
	served := 0
	for range 20 {
		if r := p.cut.get("/once/x"); r.status == 200 {
			served++
		}
	}
	if served == 0 {
		t.Error("no request was served, want the reachable server to be used")
	}
}

// badPeer is a peer that reads a request and then does what handle does with the connection.
func badPeer(t testing.TB, p *passingPair, name string, requests *atomic.Int64, handle func(conn net.Conn, r *http.Request)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := readRequest(conn)
				if err != nil {
					return
				}
				requests.Add(1)
				handle(conn, r)
			}()
		}
	}()
	p.peers = append(p.peers, detour.Peer{Node: name, Address: listener.Addr().String(), FailureDomain: "fd"})
}

func TestRequestThatMayRunOnceIsNotSentAgainAfterPeerFailed(t *testing.T) {
	for name, handle := range map[string]func(net.Conn, *http.Request){
		"closed": func(net.Conn, *http.Request) {},
		"reset":  func(conn net.Conn, _ *http.Request) { _ = conn.(*net.TCPConn).SetLinger(0) },
		"cut": func(conn net.Conn, r *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRudder-Detour-Id: %s\r\nX-Rudder-Signature: s\r\nContent-Length: 10\r\n\r\nhalf", r.Header.Get("Rudder-Detour-Id"))
		},
		"unframed": func(conn net.Conn, r *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRudder-Detour-Id: %s\r\nX-Rudder-Signature: s\r\n\r\nhalf", r.Header.Get("Rudder-Detour-Id"))
		},
		"of another request": func(conn net.Conn, _ *http.Request) {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nRudder-Detour-Id: other\r\nX-Rudder-Signature: s\r\nContent-Length: 4\r\n\r\nfull")
		},
		"status that denies a run": func(conn net.Conn, r *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRudder-Detour-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Rudder-Detour-Id"))
		},
		"unknown": func(conn net.Conn, r *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 502 X\r\nRudder-Detour-Id: %s\r\nRudder-Detour-Error: unknown\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Rudder-Detour-Id"))
		},
		"garbage": func(conn net.Conn, _ *http.Request) { fmt.Fprint(conn, "garbage\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPassingPair(t)
			p.cutOff(t)
			p.peers = nil
			var requests atomic.Int64
			badPeer(t, p, "bad1", &requests, handle)
			badPeer(t, p, "bad2", &requests, handle)
			r := p.cut.get("/once/x")
			if r.status != 502 || requests.Load() != 1 {
				t.Errorf("got status %d after %d peers got the request, want 502 after 1", r.status, requests.Load())
			}
		})
	}
}

func TestSilentPeerLeavesOutcomeUnknown(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peers = nil
	var requests atomic.Int64
	silent := func(conn net.Conn, _ *http.Request) { _, _ = conn.Read(make([]byte, 1)) }
	badPeer(t, p, "silent1", &requests, silent)
	badPeer(t, p, "silent2", &requests, silent)
	beganAt := time.Now()
	r := p.cut.call(context.Background(), http.MethodGet, "/once/x", "", http.Header{"X-Rudder-Timeout-Ms": {"400"}})
	if r.status != 504 || requests.Load() != 1 || time.Since(beganAt) > time.Second {
		t.Errorf("got status %d after %d peers and %v, want 504 after 1 at the deadline", r.status, requests.Load(), time.Since(beganAt))
	}
}

func TestRepeatableRequestGoesToAnotherPeer(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	var requests atomic.Int64
	p.peer.backendServer("a", succeed)
	good := p.peers[0]
	good.FailureDomain, good.Load = "other", 1000
	p.peers = nil
	badPeer(t, p, "bad", &requests, func(net.Conn, *http.Request) {})
	p.peers = append(p.peers, good)
	before := p.cut.server.retriesLeft("s")
	if r := p.cut.get("/safe/x"); r.status != 200 || requests.Load() != 1 {
		t.Errorf("got status %d after %d requests at the bad peer, want 200 after 1", r.status, requests.Load())
	}
	if spent := before - p.cut.server.retriesLeft("s"); spent < 0.5 || spent > 1.5 {
		t.Errorf("%.1f retries were taken from the budget of the cut node, want 1", spent)
	}
	if left, most := p.peer.server.retriesLeft("s"), p.peer.server.RetryRate.Burst; left > most {
		t.Errorf("the peer has %.1f retries, want at most %.1f", left, most)
	}
}

// Statuses that say nothing of a run, and heads without bodies, pass as the server sent them.
func TestServerStatusesPass(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peer.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "204") {
			fmt.Fprintf(conn, "HTTP/1.1 204 X\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\n\r\n", r.Header.Get("X-Rudder-Request"))
			return true
		}
		return respond(conn, r, 500, "", "failed")
	})
	if r := p.cut.get("/once/x"); r.status != 500 || r.body != "failed" || r.header.Get("X-Rudder-Signature") != "sig" {
		t.Errorf("got status %d, body %q, want the server's failure", r.status, r.body)
	}
	if r := p.cut.get("/once/204"); r.status != 204 || r.err != nil {
		t.Errorf("got status %d, error %v, want 204", r.status, r.err)
	}
}

// A repeatable request that waits at a silent server goes to a peer when the path is lost.
func TestWaitingRequestGoesToPeerWhenPathIsLost(t *testing.T) {
	p := newPassingPair(t)
	for i := range 4 {
		p.cut.server.Backends.Remove(fmt.Sprint("unreachable", i))
	}
	p.cut.config.Routes[1].LatencyObjective = 10 * time.Second // so that only the loss ends the wait
	done := make(chan struct{})
	defer close(done)
	p.cut.stuckServer("stuck", done)
	p.peer.backendServer("a", succeed)
	p.cut.server.Paths.OnChange = func(c backend.PathChange) {
		if c.IsLost {
			p.cut.server.LeaveSilentServers(c.Service)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.cut.server.Paths.Run(ctx)
	p.isCut.Store(true)
	beganAt := time.Now()
	if r := p.cut.get("/safe/x"); r.status != 200 || time.Since(beganAt) > 1400*time.Millisecond {
		t.Errorf("got status %d after %v, want 200 of the peer", r.status, time.Since(beganAt))
	}
}

// The quota is taken at the node that sends the request to a server, once.
func TestQuotaIsTakenOnce(t *testing.T) {
	p := newPassingPair(t)
	for _, h := range []*harness{p.cut, p.peer} {
		h.config.Organisations[0].RatePerSecond, h.config.Organisations[0].Burst = 0.001, 3
	}
	p.peer.backendServer("a", succeed)
	if r := p.cut.get("/once/x"); r.status != 200 { // first tries servers of its own
		t.Fatalf("got status %d, want 200", r.status)
	}
	p.cutOff(t)
	statuses := map[int]int{}
	for range 6 {
		statuses[p.cut.get("/once/x").status]++
	}
	if statuses[200] != 2 || statuses[429] != 4 {
		t.Errorf("got the statuses %v, want 2 times 200 and 4 times 429", statuses)
	}
	o := p.cut.config.Organisations[0]
	if shortage := p.cut.server.Quotas.Take(o, 3); shortage != nil {
		t.Errorf("the cut node has %.1f left, want 3", shortage.Level)
	}
}

// Callers cannot make a node take their requests for those of a peer.
func TestDetourHeadersOfCallersMeanNothing(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	h.config.Routes[0].Targets = []traffic.Target{{Service: "s", Weight: 1}}
	h.call(context.Background(), http.MethodGet, "/once/x", "", http.Header{"Rudder-Detour-Id": {"x"}, "Rudder-Detour-State": {`{"counted":true,"quota":true,"run_counted":true}`}})
	if runs := h.runCounter.runs.Load(); runs != 1 {
		t.Errorf("%d runs were counted, want 1", runs)
	}
}

func readRequest(conn net.Conn) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(conn))
}

// Guards against a server whose response looks like the refusal of a peer: a request that has run would be answered as one that has not,
// or run again. The headers between nodes are those of nodes only, on the way of the request too.
func TestHeadersBetweenNodesAreNotTakenFromOthers(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	p.peer.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		for name := range r.Header {
			if strings.HasPrefix(name, "Rudder-Detour") {
				t.Errorf("server got the header %s", name)
			}
		}
		return respond(conn, r, 200, "Rudder-Detour-Error: not_run\r\nRudder-Detour-Id: x\r\n", "done")
	})
	forged := http.Header{"Rudder-Detour-Error": {"unknown"}, "Rudder-Detour-Id": {"x"}, "Rudder-Detour-State": {`{"quota":true}`}}
	for _, h := range []*harness{p.cut, p.peer} {
		got := h.call(context.Background(), http.MethodGet, "/once/x", "", forged)
		if got.err != nil || got.status != 200 || got.body != "done" || got.header.Get("Rudder-Detour-Error") != "" {
			t.Errorf("got status %d, headers %v, error %v, want the server's response", got.status, got.header, got.err)
		}
	}
	if runs := p.peer.requestCount(); runs != 2 {
		t.Errorf("%d runs of two requests, want 2", runs)
	}
}
