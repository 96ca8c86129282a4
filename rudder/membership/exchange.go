package membership

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
)

const (
	// differAfter is how many exchanges may end with unequal hashes before a full exchange, while records change on the way.
	differAfter = 3
	// fullPause limits full exchanges with one node when the last one changed nothing. Hashes differ for some seconds
	// while nodes forget an expired record one after the other.
	fullPause = 10 * time.Second
)

// Exchanger sends and answers heartbeats.
type Exchanger struct {
	Table   *Table
	Records *Records
	Store   objectapi.Store
	Dial    func(address string) peerpbconnect.PeerServiceClient
	Seeds   []string // IP:port
	Cluster string   // nodes of clusters with another name are ignored
	Log     *slog.Logger
	// Digests returns the load digests of this node's dispatcher; it may be nil.
	Digests func() []*peerpb.LoadDigest
	// TakeDigests takes the digests of nodes of the own failure domain, and one sum for each deployment of other failure
	// domains, which names no node. It must not block and may be nil.
	TakeDigests func([]*peerpb.LoadDigest)
	// CountAnswered is called with the size in bytes of each heartbeat that was answered; it may be nil.
	CountAnswered func(bytes int)

	started  sync.Once
	mu       sync.Mutex
	left     bool
	peers    map[string]*peerState
	links    map[string]*link
	digests  map[string]heardDigests
	wake     chan struct{} // a change of the nodes, for the loop that starts links
	register chan struct{} // this node's object is to be written again
}

// peerState is what this node knows about its exchanges with another one.
type peerState struct {
	sent     int64 // position up to which the peer has this node's records
	differ   int   // exchanges in a row that ended with unequal hashes
	nextFull time.Time
}

// begin puts this node's record and follows those of others.
func (e *Exchanger) begin() {
	e.started.Do(func() {
		e.peers = map[string]*peerState{}
		e.links = map[string]*link{}
		e.digests = map[string]heardDigests{}
		e.wake = make(chan struct{}, 1)
		e.register = make(chan struct{}, 1)
		e.Records.Watch(RecordNode, e.takeNode)
		e.Records.onPut(e.pushAll)
		e.putNode(e.Table.Self())
	})
}

func (e *Exchanger) putNode(n Node) {
	if err := e.Records.Put(RecordNode+n.Name, n.version(), n); err != nil {
		e.Log.Error("Node record could not be put.", "about", n.Name, "error", err)
	}
}

// takeNode follows a node record. A record that declares this node dead is refuted with a higher incarnation.
func (e *Exchanger) takeNode(record *peerpb.Record) {
	var n Node
	if err := json.Unmarshal(record.Value, &n); err != nil {
		e.Log.Warn("Node record could not be decoded.", "key", record.Key, "error", err)
		return
	}
	self := e.Table.Self()
	if n.Name != self.Name {
		if e.Table.Merge(n) {
			e.Log.Info("Node state changed.", "about", n.Name, "state", n.State, "failure_domain", n.FailureDomain, "incarnation", n.Incarnation)
			signal(e.wake)
		}
		return
	}
	e.mu.Lock()
	left := e.left
	e.mu.Unlock()
	if n.version() > self.version() && !left {
		e.Log.Warn("This node was declared dead by others and refutes it.", "incarnation", n.Incarnation+1)
		self.Incarnation = n.Incarnation + 1
		e.Table.setSelf(self)
		e.putNode(self)
		signal(e.register)
	}
}

// SetState changes the state of this node and pushes it to others at once.
func (e *Exchanger) SetState(state State) {
	e.begin()
	e.mu.Lock()
	e.left = state == StateDead
	e.mu.Unlock()
	self := e.Table.Self()
	if state < self.State {
		self.Incarnation++
	}
	self.State = state
	e.Table.setSelf(self)
	e.putNode(self)
}

// request builds a heartbeat for a node. An empty name, or full, sends everything.
func (e *Exchanger) request(to Node, full bool) (*peerpb.ExchangeRequest, int64) {
	after := int64(0)
	if to.Name != "" && !full {
		after = e.peer(to.Name).sent
	}
	except := to.Name
	if full {
		except = ""
	}
	self := e.Table.Self()
	records, sequence, hash := e.Records.changes(after, except)
	return &peerpb.ExchangeRequest{
		From: self.Name, Incarnation: self.Incarnation, Cluster: e.Cluster, Records: records, RecordsHash: hash, Full: full,
		Digests: e.digestsFor(to.FailureDomain),
	}, sequence
}

// HandleExchange answers the heartbeat of another node.
func (e *Exchanger) HandleExchange(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	e.begin()
	self := e.Table.Self()
	response := &peerpb.ExchangeResponse{From: self.Name, Incarnation: self.Incarnation, Cluster: e.Cluster}
	if request.Cluster != e.Cluster {
		return response
	}
	e.take(request.From, request.Records)
	from, _ := e.Table.Find(request.From)
	e.takeDigests(from, request.Digests)
	after, except := e.peer(request.From).sent, request.From
	if request.Full {
		after, except = 0, ""
	}
	var sequence int64
	response.Records, sequence, response.RecordsHash = e.Records.changes(after, except)
	if request.Full && response.RecordsHash == request.RecordsHash {
		response.Records = nil
	}
	response.Digests = e.digestsFor(from.FailureDomain)
	// If this response is lost, the unequal hashes of the next exchange bring the records.
	e.setSent(request.From, sequence)
	if e.CountAnswered != nil {
		e.CountAnswered(proto.Size(request) + proto.Size(response))
	}
	return response
}

// finish takes the response to a heartbeat and reports whether a full exchange should follow at once.
func (e *Exchanger) finish(sequence int64, full bool, response *peerpb.ExchangeResponse) bool {
	if response.Cluster != e.Cluster {
		e.Log.Warn("Node of another cluster answered.", "from", response.From, "cluster", response.Cluster)
		return false
	}
	taken := e.take(response.From, response.Records)
	from, _ := e.Table.Find(response.From)
	e.takeDigests(from, response.Digests)
	e.setSent(response.From, sequence)
	position, hash := e.Records.position()
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[response.From]
	now := e.Table.now()
	if hash == response.RecordsHash {
		p.differ = 0
		return false
	}
	if full {
		p.differ = 0
		p.nextFull = now.Add(fullPause)
		return false
	}
	p.differ++
	isQuiet := position == sequence+int64(taken)
	return (isQuiet || p.differ >= differAfter) && !now.Before(p.nextFull)
}

// take merges the records that a node sent and returns how many were new. News from another failure domain is passed on
// to the own one at once.
func (e *Exchanger) take(from string, records []*peerpb.Record) int {
	// Its own heartbeat proves that a forgotten node exists.
	e.Records.revive(RecordNode + from)
	taken := 0
	for _, r := range records {
		if e.Records.mergeFrom(r, from) {
			taken++
		}
	}
	e.Table.hear(from)
	sender, found := e.Table.Find(from)
	if taken > 0 && found && sender.FailureDomain != e.Table.Self().FailureDomain {
		e.push(false)
	}
	return taken
}

// peer returns a copy of the state of the exchanges with a node.
func (e *Exchanger) peer(name string) peerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *e.peerLocked(name)
}

// peerLocked returns the state of the exchanges with a node. A node of another failure domain most likely has all records
// at the first contact: unequal hashes show if not. The caller holds the lock.
func (e *Exchanger) peerLocked(name string) *peerState {
	p, found := e.peers[name]
	if !found {
		p = &peerState{}
		if n, known := e.Table.Find(name); known && n.FailureDomain != e.Table.Self().FailureDomain {
			p.sent, _ = e.Records.position()
		}
		e.peers[name] = p
	}
	return p
}

func (e *Exchanger) setSent(name string, sequence int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peerLocked(name)
	p.sent = max(p.sent, sequence)
}

// exchange sends one heartbeat and, if the records differ afterwards, everything. It returns the name of the node that
// answered.
func (e *Exchanger) exchange(ctx context.Context, to Node) (string, error) {
	for _, full := range []bool{false, true} {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatInterval)
		request, sequence := e.request(to, full)
		response, err := e.Dial(to.PeerAddress).Exchange(callCtx, connect.NewRequest(request))
		cancel()
		if err != nil {
			return "", err
		}
		if !e.finish(sequence, full, response.Msg) {
			return response.Msg.From, nil
		}
		to.Name = response.Msg.From
	}
	return to.Name, nil
}

// tick looks at silences and expiry.
func (e *Exchanger) tick() {
	found := e.Table.detect()
	for _, name := range found.suspect {
		e.Log.Warn("Node is suspect: no heartbeat for 3 s.", "about", name)
	}
	for _, n := range found.dead {
		e.Log.Warn("Node is dead: no heartbeat for 6 s.", "about", n.Name)
		n.State = StateDead
		e.putNode(n)
	}
	for _, n := range found.forget {
		e.Log.Info("Node is forgotten.", "about", n.Name)
		e.Records.forget(RecordNode + n.Name)
		e.mu.Lock()
		delete(e.peers, n.Name)
		delete(e.digests, n.Name)
		e.mu.Unlock()
	}
	e.Records.expire()
}
