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
	// hashMismatchLimit is how many consecutive exchanges with a node end with unequal hashes before a full exchange
	// follows, if records change during the exchanges. Without such changes one mismatch is enough.
	hashMismatchLimit = 3
	// fullExchangeBackoff is the time without full exchanges with a node after one that left the hashes unequal. Hashes
	// differ for some seconds while nodes delete an expired record one after the other.
	fullExchangeBackoff = 10 * time.Second
)

// Exchanger sends and answers heartbeats and replicates records and load digests with them. Exported fields are set before
// the first call of a method.
type Exchanger struct {
	Table   *Table
	Records *Records
	Store   objectapi.Store
	Dial    func(address string) peerpbconnect.PeerServiceClient
	Seeds   []string // IP:port
	Cluster string   // name of the cluster; nodes of other clusters are ignored
	Log     *slog.Logger
	// LocalDigests returns the load digests of this node's dispatcher. It may be nil.
	LocalDigests func() []*peerpb.LoadDigest
	// HandleDigests is called with digests that another node sent: those of a neighbour itself, or one aggregate for each
	// deployment of another failure domain, which names no node. It must not block and may be nil.
	HandleDigests func([]*peerpb.LoadDigest)
	// CountHeartbeatBytes is called with the total size in bytes of each answered heartbeat and its response. It may be nil.
	CountHeartbeatBytes func(bytes int)

	initOnce       sync.Once
	mu             sync.Mutex
	hasLeft        bool
	peers          map[string]*peerState
	heartbeatLoops map[string]*heartbeatLoop
	digests        map[string]receivedDigests
	nodesChanged   chan struct{} // signals a change in Table to Run, which updates the heartbeat loops
	reregister     chan struct{} // signals that this node's object must be written again
}

// peerState is the state of the exchanges with another node.
type peerState struct {
	sentSequence     int64     // sequence number up to which the peer has this node's records
	hashMismatches   int       // consecutive exchanges that ended with unequal hashes
	nextFullExchange time.Time // no full exchange is made before
}

// initialise prepares the exchanger on the first call: it watches the node records and stores this node's own one.
func (e *Exchanger) initialise() {
	e.initOnce.Do(func() {
		e.peers = map[string]*peerState{}
		e.heartbeatLoops = map[string]*heartbeatLoop{}
		e.digests = map[string]receivedDigests{}
		e.nodesChanged = make(chan struct{}, 1)
		e.reregister = make(chan struct{}, 1)
		e.Records.Watch(RecordNode, e.handleNodeRecord)
		// The object may be among what a restored object API has lost.
		e.Records.WatchEpoch(func(int64) { signal(e.reregister) })
		e.Records.setOnLocalPut(e.pushAll)
		e.putNode(e.Table.Self())
	})
}

func (e *Exchanger) putNode(n Node) {
	if err := e.Records.Put(RecordNode+n.Name, n.version(), n); err != nil {
		e.Log.Error("Failed to store a node record.", "about", n.Name, "error", err)
	}
}

// handleNodeRecord applies a new node record to Table. A record of this node itself that is newer than its own, such as one
// that declares it dead, is refuted with a higher incarnation.
func (e *Exchanger) handleNodeRecord(record *peerpb.Record) {
	var n Node
	if err := json.Unmarshal(record.Value, &n); err != nil {
		e.Log.Warn("Failed to decode a node record; ignoring it.", "key", record.Key, "error", err)
		return
	}
	self := e.Table.Self()
	if n.Name != self.Name {
		if e.Table.Merge(n) {
			e.Log.Info("Node state changed.", "about", n.Name, "state", n.State, "failure_domain", n.FailureDomain, "incarnation", n.Incarnation)
			signal(e.nodesChanged)
		}
		return
	}
	e.mu.Lock()
	hasLeft := e.hasLeft
	e.mu.Unlock()
	if n.version() > self.version() && !hasLeft {
		e.Log.Warn("Other nodes declared this node dead; refuting it.", "incarnation", n.Incarnation+1)
		self.Incarnation = n.Incarnation + 1
		e.Table.setSelf(self)
		e.putNode(self)
		signal(e.reregister)
	}
}

// SetState changes the state of this node and sends it to other nodes at once.
func (e *Exchanger) SetState(state State) {
	e.initialise()
	e.mu.Lock()
	e.hasLeft = state == StateDead
	e.mu.Unlock()
	self := e.Table.Self()
	if state < self.State {
		self.Incarnation++
	}
	self.State = state
	e.Table.setSelf(self)
	e.putNode(self)
}

// newRequest builds a heartbeat for a node and returns it with the sequence number up to which it contains this node's
// records. It contains all records if full is set or the node's name is unknown, else those that the node may lack.
func (e *Exchanger) newRequest(to Node, full bool) (*peerpb.ExchangeRequest, int64) {
	after := int64(0)
	if to.Name != "" && !full {
		after = e.peer(to.Name).sentSequence
	}
	exclude := to.Name
	if full {
		exclude = ""
	}
	self := e.Table.Self()
	records, sequence, hash := e.Records.changesAfter(after, exclude)
	return &peerpb.ExchangeRequest{
		From: self.Name, Incarnation: self.Incarnation, Cluster: e.Cluster, Records: records, RecordsHash: hash, Full: full,
		Digests: e.digestsFor(to.FailureDomain),
	}, sequence
}

// HandleExchange processes the heartbeat of another node and returns the response, which has neither records nor digests if
// the node is of another cluster.
func (e *Exchanger) HandleExchange(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	e.initialise()
	self := e.Table.Self()
	response := &peerpb.ExchangeResponse{From: self.Name, Incarnation: self.Incarnation, Cluster: e.Cluster}
	if request.Cluster != e.Cluster {
		return response
	}
	e.mergeRecords(request.From, request.Records)
	sender, _ := e.Table.Find(request.From)
	e.storeDigests(sender, request.Digests)
	after, exclude := e.peer(request.From).sentSequence, request.From
	if request.Full {
		after, exclude = 0, ""
	}
	var sequence int64
	response.Records, sequence, response.RecordsHash = e.Records.changesAfter(after, exclude)
	if request.Full && response.RecordsHash == request.RecordsHash {
		response.Records = nil
	}
	response.Digests = e.digestsFor(sender.FailureDomain)
	// If this response is lost, the hashes of the next exchange differ, and a full exchange transfers the records.
	e.advanceSentSequence(request.From, sequence)
	if e.CountHeartbeatBytes != nil {
		e.CountHeartbeatBytes(proto.Size(request) + proto.Size(response))
	}
	return response
}

// handleResponse processes the response to a heartbeat and reports whether a full exchange must follow at once. sequence is
// the value that newRequest returned.
func (e *Exchanger) handleResponse(sequence int64, full bool, response *peerpb.ExchangeResponse) bool {
	if response.Cluster != e.Cluster {
		e.Log.Warn("Ignored the response of a node of another cluster.", "from", response.From, "cluster", response.Cluster)
		return false
	}
	mergedCount := e.mergeRecords(response.From, response.Records)
	sender, _ := e.Table.Find(response.From)
	e.storeDigests(sender, response.Digests)
	e.advanceSentSequence(response.From, sequence)
	currentSequence, hash := e.Records.sequenceAndHash()
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[response.From]
	now := e.Table.now()
	if hash == response.RecordsHash {
		p.hashMismatches = 0
		return false
	}
	if full {
		p.hashMismatches = 0
		p.nextFullExchange = now.Add(fullExchangeBackoff)
		return false
	}
	p.hashMismatches++
	// During the exchange no records changed other than by the response, so a mismatch means that a record is missing.
	isQuiescent := currentSequence == sequence+int64(mergedCount)
	return (isQuiescent || p.hashMismatches >= hashMismatchLimit) && !now.Before(p.nextFullExchange)
}

// mergeRecords merges the records that a node sent, stores the time of its heartbeat, and returns how many records were new.
// New records from another failure domain are forwarded to the neighbours at once.
func (e *Exchanger) mergeRecords(from string, records []*peerpb.Record) int {
	// A heartbeat proves that its sender exists, so the sender's record is accepted again if it was deleted.
	e.Records.removeTombstone(RecordNode + from)
	mergedCount := 0
	for _, r := range records {
		if e.Records.mergeFrom(r, from) {
			mergedCount++
		}
	}
	e.Table.recordHeartbeat(from)
	sender, found := e.Table.Find(from)
	if mergedCount > 0 && found && sender.FailureDomain != e.Table.Self().FailureDomain {
		e.push(false)
	}
	return mergedCount
}

// peer returns a copy of the state of the exchanges with a node, which it creates if needed.
func (e *Exchanger) peer(name string) peerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *e.peerLocked(name)
}

// peerLocked returns the state of the exchanges with a node, which it creates if needed. A node of another failure domain is
// assumed to have all records at the first contact; if it has not, unequal hashes show it. The caller holds the lock.
func (e *Exchanger) peerLocked(name string) *peerState {
	p, found := e.peers[name]
	if !found {
		p = &peerState{}
		if n, known := e.Table.Find(name); known && n.FailureDomain != e.Table.Self().FailureDomain {
			p.sentSequence, _ = e.Records.sequenceAndHash()
		}
		e.peers[name] = p
	}
	return p
}

// advanceSentSequence stores that a node has this node's records up to a sequence number; it never goes back.
func (e *Exchanger) advanceSentSequence(name string, sequence int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peerLocked(name)
	p.sentSequence = max(p.sentSequence, sequence)
}

// exchange sends a heartbeat and, if the records differ afterwards, a second one with all records. It returns the name of
// the node that answered.
func (e *Exchanger) exchange(ctx context.Context, to Node) (string, error) {
	for _, full := range []bool{false, true} {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatInterval)
		request, sequence := e.newRequest(to, full)
		response, err := e.Dial(to.PeerAddress).Exchange(callCtx, connect.NewRequest(request))
		cancel()
		if err != nil {
			return "", err
		}
		if !e.handleResponse(sequence, full, response.Msg) {
			return response.Msg.From, nil
		}
		to.Name = response.Msg.From
	}
	return to.Name, nil
}

// tick detects failed nodes, declares them dead or deletes them, and deletes expired records. Run calls it at least every
// tickInterval.
func (e *Exchanger) tick() {
	result := e.Table.detectFailures()
	for _, name := range result.suspects {
		e.Log.Warn("Node is suspected of failure: no heartbeat for 3 s.", "about", name)
	}
	for _, n := range result.dead {
		e.Log.Warn("Node is declared dead: no heartbeat for 6 s.", "about", n.Name)
		n.State = StateDead
		e.putNode(n)
	}
	for _, n := range result.removed {
		e.Log.Info("Deleted a node that was dead or unreachable for an hour.", "about", n.Name)
		e.Records.remove(RecordNode + n.Name)
		e.mu.Lock()
		delete(e.peers, n.Name)
		delete(e.digests, n.Name)
		e.mu.Unlock()
	}
	e.Records.expire()
}
