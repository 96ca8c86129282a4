package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// When the cut is over, the node uses its own servers again.
func TestNodeServesItselfWhenThePathIsBack(t *testing.T) {
	p := newPassingPair(t)
	go p.cut.server.Paths.Run(t.Context())
	p.cutOff(t)
	p.peer.backendServer("a", succeed)
	if r := p.cut.get("/once/x"); r.status != 200 || p.peer.requestCount() != 1 {
		t.Fatalf("got status %d and %d requests at the peer's server, want 200 and 1", r.status, p.peer.requestCount())
	}
	for i := range 4 {
		p.cut.server.Backends.Remove(fmt.Sprint("unreachable", i))
	}
	p.cut.backendServer("b", succeed)
	p.isCut.Store(false)
	for end := time.Now().Add(4 * time.Second); p.cut.server.Paths.IsLost("s"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("path is not back")
		}
	}
	if r := p.cut.get("/once/x"); r.status != 200 || p.cut.requestCount() != 1 || p.peer.requestCount() != 1 {
		t.Errorf("got status %d, %d requests at the own server and %d at that of the peer, want 200, 1 and 1", r.status, p.cut.requestCount(), p.peer.requestCount())
	}
}

// A node that is cut off cannot tell a crash from the cut, and records none while a peer has a path.
func TestCutIsNoCrash(t *testing.T) {
	for _, hasPeer := range []bool{true, false} {
		t.Run(fmt.Sprint("peer with a path: ", hasPeer), func(t *testing.T) {
			p := newPassingPair(t)
			if !hasPeer {
				p.peers = nil
			}
			for i := range 4 {
				p.cut.server.Backends.Remove(fmt.Sprint("unreachable", i))
			}
			p.cut.crashableServer("a", func(conn net.Conn, _ *http.Request, crash func()) bool {
				p.isCut.Store(true)
				crash()
				_ = conn.(*net.TCPConn).SetLinger(0)
				return false
			})
			p.cut.get("/once/x")
			time.Sleep(500 * time.Millisecond) // for the probes
			want := 1
			if hasPeer {
				want = 0
			}
			if got := p.cut.server.Crashes.CrashCount(); got != want {
				t.Errorf("%d crashes were recorded, want %d", got, want)
			}
		})
	}
}
