package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestCallersEndReachesTheServer(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	arrived, ended := make(chan struct{}, 1), make(chan struct{})
	p.peer.backendServer("a", func(conn net.Conn, _ *http.Request) bool {
		arrived <- struct{}{}
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	p.cut.call(ctx, http.MethodGet, "/once/x", "", nil)
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the server's connection is open a second after the caller has left")
	}
}

func TestEventsPassOneByOne(t *testing.T) {
	p := newPassingPair(t)
	p.cutOff(t)
	goOn := make(chan struct{})
	p.peer.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		sendEvents(conn, r, 1, 1, false)
		<-goOn
		event := "id: 2\ndata: t2\n\n"
		fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
		return true
	})
	request, _ := http.NewRequest(http.MethodGet, "http://"+p.cut.address+"/stream/x", nil)
	request.Host = "h"
	request.Header = http.Header{"X-Rudder-Request": {"r1"}, "Authorization": {"Bearer key"}, "X-Rudder-Timeout-Ms": {"1500"}}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	first := make([]byte, len(eventText(1, 1)))
	if _, err := io.ReadFull(response.Body, first); err != nil || string(first) != eventText(1, 1) {
		t.Fatalf("got %q, error %v before the second event was sent, want the first one", first, err)
	}
	close(goOn)
	if rest, err := io.ReadAll(response.Body); err != nil || string(rest) != eventText(2, 2) {
		t.Errorf("got %q, error %v, want the second event", rest, err)
	}
}

func TestCutStreamOfPeerIsCutTowardsTheCaller(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resumable/x"} {
		p := newPassingPair(t)
		p.cutOff(t)
		p.peer.backendServer("a", func(conn net.Conn, r *http.Request) bool { return sendEvents(conn, r, 1, 3, false) })
		r := p.cut.get(path)
		if r.err == nil || r.body != eventText(1, 3) {
			t.Errorf("%s: got body %q, error %v, want three events and an error", path, r.body, r.err)
		}
	}
}

func TestLargeResponseOfPeer(t *testing.T) {
	large := strings.Repeat("x", 3*maxBufferedBytes)
	for name, c := range map[string]struct {
		sent  int
		isCut bool
	}{"whole": {len(large), false}, "cut": {2 * maxBufferedBytes, true}} {
		t.Run(name, func(t *testing.T) {
			p := newPassingPair(t)
			p.cutOff(t)
			p.peer.backendServer("a", func(conn net.Conn, r *http.Request) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Rudder-Request"), len(large), large[:c.sent])
				return !c.isCut
			})
			r := p.cut.get("/once/x")
			if (r.err != nil) != c.isCut || !c.isCut && r.body != large {
				t.Errorf("got %d bytes, error %v, want an error: %v", len(r.body), r.err, c.isCut)
			}
		})
	}
}

// A resumable stream that broke because the path was lost goes on at a peer.
func TestStreamGoesOnAtPeer(t *testing.T) {
	p := newPassingPair(t)
	for i := range 4 {
		p.cut.server.Backends.Remove(fmt.Sprint("unreachable", i))
	}
	p.cut.backendServer("a", func(conn net.Conn, r *http.Request) bool {
		sendEvents(conn, r, 1, 3, false)
		p.cutOff(t)
		time.Sleep(150 * time.Millisecond) // the origin of the stream spreads meanwhile
		p.peer.server.Origins.ApplyReports(p.cut.server.Origins.TakeReports())
		return false
	})
	p.peer.backendServer("b", func(conn net.Conn, r *http.Request) bool {
		if id := r.Header.Get("Last-Event-Id"); id != "3" {
			t.Errorf("server got the last event %q, want 3", id)
		}
		return sendEvents(conn, r, 4, 6, true)
	})
	r := p.cut.get("/resumable/x")
	if r.err != nil || r.body != eventText(1, 6) {
		t.Errorf("got body %q, error %v, want six events", r.body, r.err)
	}
}
