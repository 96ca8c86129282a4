package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
	"chestnutrudder.example/rudder/registry"
	"chestnutrudder.example/rudder/revision"
	"chestnutrudder.example/rudder/route"
	"chestnutrudder.example/rudder/telemetry"
)

const (
	testNodes     = 3
	tokenInterval = 10 * time.Millisecond
)

// testCluster is a set of nodes with real sessions and registries, fake dispatchers and connections in memory.
type testCluster struct {
	mu          sync.Mutex
	faults      []string       // one for each run, attach or event of the fake dispatchers, in order; empty for none
	runsStarted map[string]int // number of runs by prompt
	nodes       []*testNode
}

type testNode struct {
	cluster       *testCluster
	name          string
	entry         *Server
	peerHandler   http.Handler
	callerHandler http.Handler
	members       *membership.Table
	deadCh        chan struct{} // closed when the node is killed
	runs          map[string]*fakeRun
	isKilled      bool
}

type fakeRun struct {
	request     *peerpb.RunRequest
	startedAt   time.Time
	isCancelled bool
}

func newTestCluster(ctx context.Context, metrics *telemetry.Metrics, faults []string) *testCluster {
	c := &testCluster{faults: faults, runsStarted: map[string]int{}}
	var members []membership.Node
	for i := range testNodes {
		name := fmt.Sprintf("n%d", i)
		members = append(members, membership.Node{Name: name, FailureDomain: "pasig", PeerAddress: name + ":1", CallerAddress: name + ":2", Incarnation: 1})
	}
	for i, self := range members {
		n := &testNode{cluster: c, name: self.Name, members: membership.NewTable(self), deadCh: make(chan struct{}), runs: map[string]*fakeRun{}}
		hostTable := fleet.NewTable()
		var hosts []cloud.Host
		for j, m := range members {
			n.members.Merge(m)
			hosts = append(hosts, cloud.Host{Name: fmt.Sprintf("h%d", j), FailureDomain: "pasig", State: cloud.HostLive, Backend: object.BackendModel, Deployment: "briefs"})
		}
		hostTable.Update(hosts)
		currentSnapshot := &revision.CurrentSnapshot{}
		currentSnapshot.SetIfNewer(testSnapshot())
		places := registry.NewTable()
		dial := func(address string) peerpbconnect.PeerServiceClient {
			return peerpbconnect.NewPeerServiceClient(&http.Client{Transport: memoryTransport{c, n}}, "http://"+address)
		}
		client := &registry.Client{Members: n.members, Dial: dial, LocalTable: places}
		n.entry = &Server{
			Members: n.members, Fleet: hostTable, CurrentSnapshot: currentSnapshot, Router: route.NewRouter(""), Dial: dial,
			Registry: client, Metrics: metrics, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		mux := http.NewServeMux()
		mux.Handle(peerpbconnect.NewPeerServiceHandler(&peer.Server{Dispatcher: PeerDispatcher{n, n.entry}, Registry: places}))
		n.peerHandler, n.callerHandler = mux, n.entry.Handler()
		c.nodes = append(c.nodes, n)
		go c.nodes[i].renew(ctx, client)
	}
	return c
}

func (n *testNode) renew(ctx context.Context, client *registry.Client) {
	client.Renew(ctx, n.entry.Places)
}

func testSnapshot() revision.Snapshot {
	s := revision.Snapshot{Number: 1, Objects: []object.Object{{Name: "briefs", Route: &object.RouteSpec{Model: "briefs", Deployment: "briefs"}}}}
	for _, name := range []string{"org0", "org1"} {
		sum := sha256.Sum256([]byte(name))
		s.Objects = append(s.Objects, object.Object{Name: name, Organisation: &object.OrganisationSpec{TokenSHA256: []string{hex.EncodeToString(sum[:])}}})
	}
	return s
}

// kill breaks the connections of a node. The other nodes learn 6 s later that it is dead.
func (c *testCluster) kill(n *testNode) {
	c.mu.Lock()
	wasKilled := n.isKilled
	n.isKilled = true
	c.mu.Unlock()
	if wasKilled {
		return
	}
	close(n.deadCh)
	time.Sleep(6 * time.Second)
	for _, other := range c.nodes {
		other.members.Merge(membership.Node{Name: n.name, FailureDomain: "pasig", Incarnation: 1, State: membership.StateDead})
	}
}

func (c *testCluster) isDead(n *testNode) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return n.isKilled
}

func (c *testCluster) nextFault() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.faults) == 0 {
		return ""
	}
	fault := c.faults[0]
	c.faults = c.faults[1:]
	return fault
}

// answerToken returns the token at an offset of the answer to a prompt.
func answerToken(prompt string, offset int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", prompt, offset))
	return hex.EncodeToString(sum[:4])
}

// Run implements peer.Dispatcher.
func (n *testNode) Run(ctx context.Context, request *peerpb.RunRequest, send func(*peerpb.RunEvent) error) error {
	switch n.cluster.nextFault() {
	case "refuse":
		return send(peer.RefusedEvent(&peerpb.Refused{Reason: "refused", RetryAfterMs: 100}))
	case "lose":
		return errors.New("request lost in transit")
	}
	r := &fakeRun{request: request, startedAt: time.Now()}
	n.cluster.mu.Lock()
	n.runs[request.Run] = r
	n.cluster.runsStarted[request.Prompt]++
	n.cluster.mu.Unlock()
	return n.stream(ctx, r, len(request.Generated), send)
}

// Attach implements peer.Dispatcher.
func (n *testNode) Attach(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error {
	n.cluster.mu.Lock()
	r := n.runs[request.Run]
	n.cluster.mu.Unlock()
	if r == nil || r.request.Organisation != request.Organisation || n.cluster.nextFault() == "refuse" {
		return connect.NewError(connect.CodeNotFound, errors.New("run is not on this node"))
	}
	if request.WantRequest {
		if err := send(&peerpb.RunEvent{Event: &peerpb.RunEvent_Request{Request: r.request}}); err != nil {
			return err
		}
	}
	return n.stream(ctx, r, int(request.Offset), send)
}

// Cancel implements peer.Dispatcher.
func (n *testNode) Cancel(_ context.Context, request *peerpb.CancelRequest) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if r := n.runs[request.Run]; r != nil && !request.IfUnread && (request.Attempt == 0 || request.Attempt == r.request.Attempt) {
		r.isCancelled = true
	}
}

// Call implements peer.Dispatcher.
func (n *testNode) Call(context.Context, *peerpb.CallRequest) *peerpb.CallResponse { return nil }

// stream sends the events of a run from an offset on. Each of them may have a fault.
func (n *testNode) stream(ctx context.Context, r *fakeRun, offset int, send func(*peerpb.RunEvent) error) error {
	attempt := attemptID(r.request.Run, r.request.Attempt)
	events := []*peerpb.RunEvent{peer.AcceptedEvent(&peerpb.Accepted{Host: "h-of-" + n.name})}
	var delayedEvent *peerpb.RunEvent
	for ended := false; !ended; {
		producedCount := min(len(r.request.Generated)+int(time.Since(r.startedAt)/tokenInterval), int(r.request.MaxTokens))
		var tokens []string
		for i := offset; i < producedCount; i++ {
			tokens = append(tokens, answerToken(r.request.Prompt, i))
		}
		if len(tokens) > 0 {
			events = append(events, peer.TokensEvent(&peerpb.Tokens{Attempt: attempt, Offset: int64(offset), Tokens: tokens}))
			offset = producedCount
		}
		if producedCount == int(r.request.MaxTokens) {
			ended = true
			events = append(events, peer.EndEvent(&peerpb.End{Attempt: attempt, Offset: int64(producedCount), FinishReason: "length"}))
		}
		if n.cluster.isCancelled(r) {
			return send(peer.BrokenEvent(&peerpb.Broken{Reason: "cancelled"}))
		}
		for _, e := range events {
			var err error
			if delayedEvent, err = n.sendWithFault(ctx, r, e, delayedEvent, send); err != nil {
				return err
			}
		}
		events = nil
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tokenInterval):
		}
	}
	return nil
}

func (c *testCluster) isCancelled(r *fakeRun) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.isCancelled
}

// sendWithFault sends an event with the next fault: twice, after the next event, not at all or after events of another
// attempt; or it breaks or stalls the stream, moves the run, or reports the attempt as broken. It returns the event that is
// delayed.
func (n *testNode) sendWithFault(ctx context.Context, r *fakeRun, e, delayedEvent *peerpb.RunEvent, send func(*peerpb.RunEvent) error) (*peerpb.RunEvent, error) {
	events := []*peerpb.RunEvent{e}
	switch n.cluster.nextFault() {
	case "double":
		events = append(events, e)
	case "late":
		if delayedEvent == nil {
			return e, nil
		}
	case "drop":
		events = nil
	case "stray":
		stray := &peerpb.Tokens{Attempt: attemptID(r.request.Run, r.request.Attempt+7), Offset: e.GetTokens().GetOffset(), Tokens: []string{"stray"}}
		events = []*peerpb.RunEvent{peer.TokensEvent(stray), peer.EndEvent(&peerpb.End{Attempt: stray.Attempt, Offset: 1}), e}
	case "lose":
		return nil, errors.New("the connection broke")
	case "silence":
		<-ctx.Done()
		return nil, ctx.Err()
	case "move":
		return nil, sendMoved(n.cluster.nodes[testNodes-1], send)
	case "break":
		return nil, errors.Wrap(send(peer.BrokenEvent(&peerpb.Broken{Reason: "broken", Host: "h0"})), "send")
	}
	if delayedEvent != nil {
		events = append(events, delayedEvent)
	}
	for _, o := range events {
		if err := send(o); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func sendMoved(to *testNode, send func(*peerpb.RunEvent) error) error {
	return send(peer.MovedEvent(&peerpb.Moved{Node: to.name, Host: "h0", KvHandle: "handle"}))
}

// memoryTransport passes requests of one node, or of callers if the node is nil, to the handlers of the addressed nodes.
type memoryTransport struct {
	cluster *testCluster
	from    *testNode
}

// RoundTrip implements http.RoundTripper. A connection breaks when either end is killed.
func (t memoryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var to *testNode
	for _, n := range t.cluster.nodes {
		if n.name+":1" == r.URL.Host || n.name+":2" == r.URL.Host {
			to = n
		}
	}
	if to == nil || t.cluster.isDead(to) || (t.from != nil && t.cluster.isDead(t.from)) {
		return nil, peer.ErrNotSent
	}
	handler := to.peerHandler
	if r.URL.Host == to.name+":2" {
		handler = to.callerHandler
	}
	ctx, cancel := context.WithCancel(r.Context())
	reader, writer := io.Pipe()
	response := &pipeResponseWriter{header: http.Header{}, pipe: writer, headersSent: make(chan struct{})}
	serverRequest := r.Clone(ctx)
	serverRequest.RemoteAddr = "caller:1"
	go func() {
		defer cancel()
		handler.ServeHTTP(response, serverRequest)
		response.WriteHeader(http.StatusOK)
		_ = writer.Close()
	}()
	var fromDeadCh chan struct{}
	if t.from != nil {
		fromDeadCh = t.from.deadCh
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-to.deadCh:
		case <-fromDeadCh:
		}
		_ = writer.CloseWithError(io.ErrUnexpectedEOF)
		cancel()
	}()
	select {
	case <-response.headersSent:
	case <-ctx.Done():
		return nil, errors.New("the connection broke")
	}
	return &http.Response{
		StatusCode: response.status, Header: response.sentHeader, Body: &pipeBody{reader, cancel}, Request: r,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: -1,
	}, nil
}

type pipeBody struct {
	*io.PipeReader
	cancel func()
}

// Close implements io.Closer.
func (b *pipeBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

type pipeResponseWriter struct {
	header, sentHeader http.Header
	pipe               *io.PipeWriter
	status             int
	once               sync.Once
	headersSent        chan struct{}
}

// Header implements http.ResponseWriter.
func (r *pipeResponseWriter) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *pipeResponseWriter) WriteHeader(status int) {
	r.once.Do(func() {
		r.status, r.sentHeader = status, r.header.Clone()
		close(r.headersSent)
	})
}

// Write implements http.ResponseWriter.
func (r *pipeResponseWriter) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.pipe.Write(p)
}

// Flush implements http.Flusher.
func (r *pipeResponseWriter) Flush() {}
