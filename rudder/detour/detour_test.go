package detour

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/upstream"
)

// newPeer starts a peer whose handler is next.
func newPeer(t *testing.T, next http.HandlerFunc) Peer {
	t.Helper()
	server := httptest.NewServer(Handler(next))
	t.Cleanup(server.Close)
	return Peer{Node: "peer", Address: server.Listener.Addr().String()}
}

func newClient(peers ...Peer) *Client {
	return &Client{Node: "self", FailureDomain: "fd", Peers: func(string) []Peer { return peers }}
}

func newRequest(body string) *http.Request {
	r := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/p?q"}, Host: "h", Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if body != "" {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	return r
}

// exchange passes a request on and returns the body of the response.
func exchange(t *testing.T, c *Client, body string, state State) (*Response, string) {
	t.Helper()
	p := c.Choose("s", nil)
	if p == nil {
		t.Fatal("no peer was chosen")
	}
	defer p.End()
	response, err := p.Send(context.Background(), newRequest(body), state, 0)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	response.Close(true)
	return response, string(data)
}

func TestStateReachesThePeer(t *testing.T) {
	want := State{AgeMillis: 1500, PossibleRuns: 2, IsCounted: true, HasQuota: true, IsRunCounted: true}
	c := newClient(newPeer(t, func(w http.ResponseWriter, r *http.Request) {
		got := StateOf(r.Context())
		expected := want
		expected.Node = "self"
		if got == nil || *got != expected || got.Age() != 1500*time.Millisecond {
			t.Errorf("peer got the state %+v, want %+v", got, expected)
		}
		for name := range r.Header {
			if strings.HasPrefix(name, "Rudder-Detour") {
				t.Errorf("handler sees the header %s", name)
			}
		}
		MarkError(w.Header(), NotHere)
		w.WriteHeader(503)
	}))
	response, _ := exchange(t, c, "body", want)
	if response.Error != NotHere || response.StatusCode != 503 {
		t.Errorf("got status %d and the error %q, want 503 and %q", response.StatusCode, response.Error, NotHere)
	}
	for name := range response.Header {
		if strings.HasPrefix(name, "Rudder-Detour") {
			t.Errorf("response has the header %s", name)
		}
	}
}

func TestConnectionsToPeersAreReused(t *testing.T) {
	remotes := map[string]bool{}
	c := newClient(newPeer(t, func(w http.ResponseWriter, r *http.Request) {
		remotes[r.RemoteAddr] = true
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, len(body))
	}))
	for range 5 {
		if _, got := exchange(t, c, "12345", State{}); got != "5" {
			t.Errorf("peer read %s bytes, want 5", got)
		}
	}
	if len(remotes) != 1 {
		t.Errorf("%d connections, want 1", len(remotes))
	}
	long := strings.Repeat("x", 3*asyncBodyBytes)
	if _, got := exchange(t, c, long, State{}); got != fmt.Sprint(len(long)) {
		t.Errorf("peer read %s bytes, want %d", got, len(long))
	}
}

func TestPeerThatCannotBeReachedIsAvoided(t *testing.T) {
	gone := httptest.NewServer(nil)
	gone.Close()
	c := newClient(Peer{Node: "gone", Address: gone.Listener.Addr().String()})
	p := c.Choose("s", nil)
	_, err := p.Send(context.Background(), newRequest(""), State{}, 0)
	p.End()
	if !errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("got the error %v, want one that says that nothing was sent", err)
	}
	if c.Choose("s", nil) != nil || c.HasPeer("s", nil) {
		t.Error("the peer is chosen again at once")
	}
}

func TestSilentPeerTimesOut(t *testing.T) {
	c := newClient(newPeer(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	p := c.Choose("s", nil)
	defer p.End()
	beganAt := time.Now()
	_, err := p.Send(context.Background(), newRequest(""), State{}, 200*time.Millisecond)
	if err == nil || errors.Is(err, upstream.ErrNotSent) || time.Since(beganAt) > time.Second {
		t.Errorf("got the error %v after %v, want that of a request that may have run, after 200 ms", err, time.Since(beganAt))
	}
}

func TestEndOfContextReachesThePeer(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	c := newClient(newPeer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(ended)
	}))
	p := c.Choose("s", nil)
	defer p.End()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	if _, err := p.Send(ctx, newRequest(""), State{}, 0); err == nil {
		t.Error("got a response, want an error")
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the peer works on")
	}
	if !c.HasPeer("s", nil) {
		t.Error("the peer is avoided although this node gave up")
	}
}

func TestRequestsThatNoPeerSentAreRefused(t *testing.T) {
	peer := newPeer(t, func(http.ResponseWriter, *http.Request) { t.Error("the request was handled") })
	for _, header := range []http.Header{nil, {headerID: {"a"}}, {headerID: {"a"}, headerState: {"x"}}} {
		request, _ := http.NewRequest(http.MethodGet, "http://"+peer.Address+"/", nil)
		request.Header = header
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != 400 {
			t.Errorf("got status %d with the headers %v, want 400", response.StatusCode, header)
		}
	}
}

// Peers of the failure domain go first unless they have far more load, and load spreads over all.
func TestChoiceOfPeers(t *testing.T) {
	tests := map[string]struct {
		local, remote []int // loads
		wantLocal     bool
	}{
		"equal load":          {[]int{10, 10}, []int{10, 10}, true},
		"somewhat more load":  {[]int{15}, []int{10}, true},
		"far more load":       {[]int{100}, []int{10}, false},
		"no local peer":       {nil, []int{10}, false},
		"no remote peer":      {[]int{1000}, nil, true},
		"idle peers anywhere": {[]int{0}, []int{0}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var peers []Peer
			for i, load := range test.local {
				peers = append(peers, Peer{Node: fmt.Sprint("l", i), Address: fmt.Sprint("l", i), FailureDomain: "fd", Load: load})
			}
			for i, load := range test.remote {
				peers = append(peers, Peer{Node: fmt.Sprint("r", i), Address: fmt.Sprint("r", i), FailureDomain: "other", Load: load})
			}
			p := newClient(peers...).Choose("s", nil)
			if isLocal := p.FailureDomain == "fd"; isLocal != test.wantLocal {
				t.Errorf("chose %s, want a local one: %v", p.Node, test.wantLocal)
			}
		})
	}
	var peers []Peer
	for i := range 4 {
		peers = append(peers, Peer{Node: fmt.Sprint(i), Address: fmt.Sprint(i), FailureDomain: fmt.Sprint("fd", i)})
	}
	c := newClient(peers...)
	chosen := map[string]int{}
	for range 400 {
		chosen[c.Choose("s", nil).Node]++ // none ends
	}
	for node, n := range chosen {
		if n < 80 || n > 120 {
			t.Errorf("peer %s got %d of 400 requests, want about 100", node, n)
		}
	}
	if p := c.Choose("s", map[string]bool{"0": true, "1": true, "2": true}); p.Node != "3" {
		t.Errorf("chose the excluded peer %s", p.Node)
	}
}
