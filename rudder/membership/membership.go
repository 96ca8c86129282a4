// Package membership maintains the list of a cluster's nodes, detects failed nodes by their heartbeats, and replicates
// versioned records to all nodes. Routing, dispatching and the control loops use it to find the live nodes.
//
// Neighbours are nodes of the same failure domain; each exchanges heartbeats with each other one and declares it dead when
// it stops responding. With every other failure domain a node exchanges heartbeats through one of its nodes at a time. A
// heartbeat and its response carry the records that have changed and load digests.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a node. Within one incarnation a higher state replaces a lower one.
type State int

// The states of a node.
const (
	StateLive State = iota
	StateDraining
	StateDead
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"live", "draining", "dead"}[s] }

// Node is the membership record of one node.
type Node struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	CallerAddress string `json:"caller_address"` // IP:port
	PeerAddress   string `json:"peer_address"`   // IP:port
	AdminAddress  string `json:"admin_address"`  // IP:port of metrics, readiness and decisions
	Incarnation   int64  `json:"incarnation"`    // rises at each start of the node, and when the node refutes its death
	State         State  `json:"state"`
}

// version orders the records of one node: a higher incarnation wins, then a higher state.
func (n Node) version() int64 { return n.Incarnation*4 + int64(n.State) }

// Table holds the nodes known to this node. It is safe for concurrent use.
type Table struct {
	mu    sync.RWMutex
	now   func() time.Time
	self  string
	nodes map[string]Node
	// lastHeartbeat holds, by node, when that node last sent or answered a heartbeat.
	lastHeartbeat map[string]time.Time
	// lastDomainHeartbeat holds, by failure domain, when any of its nodes last sent or answered a heartbeat.
	lastDomainHeartbeat map[string]time.Time
	stateSince          map[string]time.Time // when each node entered its current state
	suspects            map[string]bool      // neighbours suspected of failure
	lastDetection       time.Time            // when detectFailures last ran
}

// NewTable returns a table that holds only this node.
func NewTable(self Node) *Table {
	return &Table{
		now:                 time.Now,
		self:                self.Name,
		nodes:               map[string]Node{self.Name: self},
		lastHeartbeat:       map[string]time.Time{},
		lastDomainHeartbeat: map[string]time.Time{},
		stateSince:          map[string]time.Time{},
		suspects:            map[string]bool{},
	}
}

// Self returns the record of this node.
func (t *Table) Self() Node {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.nodes[t.self]
}

// setSelf replaces the record of this node.
func (t *Table) setSelf(n Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes[t.self] = n
}

// Merge stores the record of another node if it is newer than the known one and reports whether it did.
func (t *Table) Merge(n Node) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, found := t.nodes[n.Name]
	if n.Name == t.self || (found && n.version() <= current.version()) {
		return false
	}
	now := t.now()
	t.nodes[n.Name] = n
	if !found || current.State != n.State {
		t.stateSince[n.Name] = now
	}
	if !found || n.Incarnation > current.Incarnation {
		// The heartbeat timeouts of a node that joins or refutes its death start now.
		t.lastHeartbeat[n.Name] = now
	}
	if _, known := t.lastDomainHeartbeat[n.FailureDomain]; !known {
		t.lastDomainHeartbeat[n.FailureDomain] = now
	}
	return true
}

// Live returns the nodes that are neither draining nor dead nor in an unreachable failure domain, sorted by name.
func (t *Table) Live() []Node {
	return t.filter(func(n Node) bool { return n.State == StateLive && !t.isUnreachable(n.FailureDomain) })
}

// All returns every known node, sorted by name.
func (t *Table) All() []Node { return t.filter(func(Node) bool { return true }) }

// Find returns a node by name.
func (t *Table) Find(name string) (Node, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, found := t.nodes[name]
	return n, found
}

func (t *Table) filter(keep func(Node) bool) []Node {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var nodes []Node
	for _, n := range t.nodes {
		if keep(n) {
			nodes = append(nodes, n)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}

// Rank returns the nodes ordered by rendezvous hash for a key, the highest first (Thaler and Ravishankar, 1998).
func Rank(key string, nodes []Node) []Node {
	ranked := append([]Node(nil), nodes...)
	weight := func(n Node) uint64 { return xxhash.Sum64String(key + "\x00" + n.Name) }
	sort.Slice(ranked, func(i, j int) bool { return weight(ranked[i]) > weight(ranked[j]) })
	return ranked
}

// IsAmongTopRanked reports whether this node is one of the count live nodes that Rank puts first for a key.
func (t *Table) IsAmongTopRanked(key string, count int) bool {
	ranked := Rank(key, t.Live())
	for _, n := range ranked[:min(count, len(ranked))] {
		if n.Name == t.self {
			return true
		}
	}
	return false
}

// DispatcherFor returns the node that admits requests to the backend server on a host: the first by rendezvous hash among
// the live nodes of the host's failure domain or, if there are none, among all live nodes. It returns false if no node is
// live.
func DispatcherFor(host, failureDomain string, live []Node) (Node, bool) {
	var local []Node
	for _, n := range live {
		if n.FailureDomain == failureDomain {
			local = append(local, n)
		}
	}
	if len(local) == 0 {
		local = live
	}
	if len(local) == 0 {
		return Node{}, false
	}
	return Rank(host, local)[0], true
}
