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
	worldNodes = 3
	tokenTime  = 10 * time.Millisecond
)

// world is a set of nodes with real sessions and registries, fake dispatchers, and connections in memory.
type world struct {
	mu      sync.Mutex
	faults  []string // consumed by the events that dispatchers send, in order
	started map[string]int
	nodes   []*worldNode
}

type worldNode struct {
	world   *world
	name    string
	entry   *Server
	peer    http.Handler
	caller  http.Handler
	table   *membership.Table
	down    chan struct{} // closed when the node dies
	runs    map[string]*fakeRun
	stopped bool
}

type fakeRun struct {
	request   *peerpb.RunRequest
	from      time.Time
	cancelled bool
}

func newWorld(ctx context.Context, metrics *telemetry.Metrics, faults []string) *world {
	w := &world{faults: faults, started: map[string]int{}}
	var members []membership.Node
	for i := range worldNodes {
		name := fmt.Sprintf("n%d", i)
		members = append(members, membership.Node{Name: name, FailureDomain: "pasig", PeerAddress: name + ":1", CallerAddress: name + ":2", Incarnation: 1})
	}
	for i, self := range members {
		n := &worldNode{world: w, name: self.Name, table: membership.NewTable(self), down: make(chan struct{}), runs: map[string]*fakeRun{}}
		hosts := fleet.NewTable()
		var list []cloud.Host
		for j, m := range members {
			n.table.Merge(m)
			list = append(list, cloud.Host{Name: fmt.Sprintf("h%d", j), FailureDomain: "pasig", State: cloud.HostLive, Backend: object.BackendModel, Deployment: "briefs"})
		}
		hosts.Update(list)
		current := &revision.Current{}
		current.SetIfNewer(worldSnapshot())
		places := registry.NewTable()
		dial := func(address string) peerpbconnect.PeerServiceClient {
			return peerpbconnect.NewPeerServiceClient(&http.Client{Transport: link{w, n}}, "http://"+address)
		}
		client := &registry.Client{Members: n.table, Dial: dial, Local: places}
		n.entry = &Server{
			Members: n.table, Fleet: hosts, Current: current, Router: route.NewRouter(""), Dial: dial, Registry: client, Metrics: metrics,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		mux := http.NewServeMux()
		mux.Handle(peerpbconnect.NewPeerServiceHandler(&peer.Server{Dispatcher: PeerRuns{n, n.entry}, Registry: places}))
		n.peer, n.caller = mux, n.entry.Handler()
		w.nodes = append(w.nodes, n)
		go w.nodes[i].renew(ctx, client)
	}
	return w
}

func (n *worldNode) renew(ctx context.Context, client *registry.Client) {
	client.Renew(ctx, n.entry.Places)
}

func worldSnapshot() revision.Snapshot {
	s := revision.Snapshot{Number: 1, Objects: []object.Object{{Name: "briefs", Route: &object.RouteSpec{Model: "briefs", Deployment: "briefs"}}}}
	for _, name := range []string{"org0", "org1"} {
		sum := sha256.Sum256([]byte(name))
		s.Objects = append(s.Objects, object.Object{Name: name, Organisation: &object.OrganisationSpec{TokenSHA256: []string{hex.EncodeToString(sum[:])}}})
	}
	return s
}

// kill ends a node: its connections break, and others learn of its death 6 s later.
func (w *world) kill(n *worldNode) {
	w.mu.Lock()
	dead := n.stopped
	n.stopped = true
	w.mu.Unlock()
	if dead {
		return
	}
	close(n.down)
	time.Sleep(6 * time.Second)
	for _, other := range w.nodes {
		other.table.Merge(membership.Node{Name: n.name, FailureDomain: "pasig", Incarnation: 1, State: membership.StateDead})
	}
}

func (w *world) isDead(n *worldNode) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.stopped
}

func (w *world) nextFault() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) == 0 {
		return ""
	}
	fault := w.faults[0]
	w.faults = w.faults[1:]
	return fault
}

// worldToken is the token at an offset of the answer to a prompt.
func worldToken(prompt string, offset int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", prompt, offset))
	return hex.EncodeToString(sum[:4])
}

// Run implements peer.Dispatcher.
func (n *worldNode) Run(ctx context.Context, request *peerpb.RunRequest, send func(*peerpb.RunEvent) error) error {
	switch n.world.nextFault() {
	case "refuse":
		return send(peer.RefusedEvent(&peerpb.Refused{Reason: "refused", RetryAfterMs: 100}))
	case "lose":
		return errors.New("the request was lost on the way")
	}
	r := &fakeRun{request: request, from: time.Now()}
	n.world.mu.Lock()
	n.runs[request.Run] = r
	n.world.started[request.Prompt]++
	n.world.mu.Unlock()
	return n.stream(ctx, r, len(request.Generated), send)
}

// Attach implements peer.Dispatcher.
func (n *worldNode) Attach(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error {
	n.world.mu.Lock()
	r := n.runs[request.Run]
	n.world.mu.Unlock()
	if r == nil || r.request.Organisation != request.Organisation || n.world.nextFault() == "refuse" {
		return connect.NewError(connect.CodeNotFound, errors.New("not here"))
	}
	if request.WantRequest {
		if err := send(&peerpb.RunEvent{Event: &peerpb.RunEvent_Request{Request: r.request}}); err != nil {
			return err
		}
	}
	return n.stream(ctx, r, int(request.Offset), send)
}

// Cancel implements peer.Dispatcher.
func (n *worldNode) Cancel(_ context.Context, request *peerpb.CancelRequest) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if r := n.runs[request.Run]; r != nil && !request.IfUnread && (request.Attempt == 0 || request.Attempt == r.request.Attempt) {
		r.cancelled = true
	}
}

// Call implements peer.Dispatcher.
func (n *worldNode) Call(context.Context, *peerpb.CallRequest) *peerpb.CallResponse { return nil }

// stream sends a run's events from an offset. A fault may apply to each of them.
func (n *worldNode) stream(ctx context.Context, r *fakeRun, offset int, send func(*peerpb.RunEvent) error) error {
	attempt := attemptID(r.request.Run, r.request.Attempt)
	events := []*peerpb.RunEvent{peer.AcceptedEvent(&peerpb.Accepted{Host: "h-of-" + n.name})}
	var held *peerpb.RunEvent
	for ended := false; !ended; {
		made := min(len(r.request.Generated)+int(time.Since(r.from)/tokenTime), int(r.request.MaxTokens))
		var tokens []string
		for i := offset; i < made; i++ {
			tokens = append(tokens, worldToken(r.request.Prompt, i))
		}
		if len(tokens) > 0 {
			events = append(events, peer.TokensEvent(&peerpb.Tokens{Attempt: attempt, Offset: int64(offset), Tokens: tokens}))
			offset = made
		}
		if made == int(r.request.MaxTokens) {
			ended = true
			events = append(events, peer.EndEvent(&peerpb.End{Attempt: attempt, Offset: int64(made), FinishReason: "length"}))
		}
		if n.world.isCancelled(r) {
			return send(peer.BrokenEvent(&peerpb.Broken{Reason: "cancelled"}))
		}
		for _, e := range events {
			var err error
			if held, err = n.sendWithFault(ctx, r, e, held, send); err != nil {
				return err
			}
		}
		events = nil
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tokenTime):
		}
	}
	return nil
}

func (w *world) isCancelled(r *fakeRun) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return r.cancelled
}

// sendWithFault sends an event, perhaps late, doubled, not at all, or after one of another attempt or run. It returns the
// event that it holds back.
func (n *worldNode) sendWithFault(ctx context.Context, r *fakeRun, e, held *peerpb.RunEvent, send func(*peerpb.RunEvent) error) (*peerpb.RunEvent, error) {
	out := []*peerpb.RunEvent{e}
	switch n.world.nextFault() {
	case "double":
		out = append(out, e)
	case "late":
		if held == nil {
			return e, nil
		}
	case "drop":
		out = nil
	case "stray":
		stray := &peerpb.Tokens{Attempt: attemptID(r.request.Run, r.request.Attempt+7), Offset: e.GetTokens().GetOffset(), Tokens: []string{"stray"}}
		out = []*peerpb.RunEvent{peer.TokensEvent(stray), peer.EndEvent(&peerpb.End{Attempt: stray.Attempt, Offset: 1}), e}
	case "lose":
		return nil, errors.New("the connection broke")
	case "silence":
		<-ctx.Done()
		return nil, ctx.Err()
	case "move":
		return nil, moveTo(n.world.nodes[worldNodes-1], send)
	case "break":
		return nil, errors.Wrap(send(peer.BrokenEvent(&peerpb.Broken{Reason: "broken", Host: "h0"})), "send")
	}
	if held != nil {
		out = append(out, held)
	}
	for _, o := range out {
		if err := send(o); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func moveTo(to *worldNode, send func(*peerpb.RunEvent) error) error {
	return send(peer.MovedEvent(&peerpb.Moved{Node: to.name, Host: "h0", KvHandle: "handle"}))
}

// link carries requests of one node, or of callers if the node is nil, to the handlers of others.
type link struct {
	world *world
	from  *worldNode
}

// RoundTrip implements http.RoundTripper. A connection breaks when either end dies.
func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	var to *worldNode
	for _, n := range l.world.nodes {
		if n.name+":1" == r.URL.Host || n.name+":2" == r.URL.Host {
			to = n
		}
	}
	if to == nil || l.world.isDead(to) || (l.from != nil && l.world.isDead(l.from)) {
		return nil, peer.ErrNotSent
	}
	handler := to.peer
	if r.URL.Host == to.name+":2" {
		handler = to.caller
	}
	ctx, cancel := context.WithCancel(r.Context())
	reader, writer := io.Pipe()
	answer := &pipeAnswer{header: http.Header{}, pipe: writer, begun: make(chan struct{})}
	served := r.Clone(ctx)
	served.RemoteAddr = "caller:1"
	go func() {
		defer cancel()
		handler.ServeHTTP(answer, served)
		answer.WriteHeader(http.StatusOK)
		_ = writer.Close()
	}()
	var fromDown chan struct{}
	if l.from != nil {
		fromDown = l.from.down
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-to.down:
		case <-fromDown:
		}
		_ = writer.CloseWithError(io.ErrUnexpectedEOF)
		cancel()
	}()
	select {
	case <-answer.begun:
	case <-ctx.Done():
		return nil, errors.New("the connection broke")
	}
	return &http.Response{
		StatusCode: answer.status, Header: answer.sent, Body: &pipeBody{reader, cancel}, Request: r,
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

type pipeAnswer struct {
	header, sent http.Header
	pipe         *io.PipeWriter
	status       int
	once         sync.Once
	begun        chan struct{}
}

// Header implements http.ResponseWriter.
func (a *pipeAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *pipeAnswer) WriteHeader(status int) {
	a.once.Do(func() {
		a.status, a.sent = status, a.header.Clone()
		close(a.begun)
	})
}

// Write implements http.ResponseWriter.
func (a *pipeAnswer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.pipe.Write(p)
}

// Flush implements http.Flusher.
func (a *pipeAnswer) Flush() {}
