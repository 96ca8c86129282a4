// Package membership knows the nodes of the system and spreads versioned records between them. Routing, dispatching and
// the control loops ask it which nodes are live.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a node. A higher state replaces a lower one of the same incarnation.
type State int

// The states of a node.
const (
	StateLive State = iota
	StateDraining
	StateDead
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"live", "draining", "dead"}[s] }

// Node is what is known about one node.
type Node struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	CallerAddress string `json:"caller_address"` // IP:port
	PeerAddress   string `json:"peer_address"`   // IP:port
	AdminAddress  string `json:"admin_address"`  // IP:port of metrics, readiness and decisions
	Incarnation   int64  `json:"incarnation"`
	State         State  `json:"state"`
}

// version orders the records of one node: a higher incarnation wins, then a higher state.
func (n Node) version() int64 { return n.Incarnation*4 + int64(n.State) }

// Table holds the nodes that this node knows.
type Table struct {
	mu    sync.RWMutex
	now   func() time.Time
	self  string
	nodes map[string]Node
	// lastHeartbeat holds when a node of the own failure domain last sent or answered a heartbeat.
	lastHeartbeat map[string]time.Time
	// lastDomainHeartbeat holds the same for any node of another failure domain.
	lastDomainHeartbeat map[string]time.Time
	stateSince          map[string]time.Time // when a node got its present state
	suspects            map[string]bool
	lastDetection       time.Time // last look at the silences
}

// NewTable returns a table that holds the node itself.
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

// Merge takes a record of another node if it is newer than the known one and reports whether it did.
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
		// The silence of a node that joins or refutes its death counts from here.
		t.lastHeartbeat[n.Name] = now
	}
	if _, known := t.lastDomainHeartbeat[n.FailureDomain]; !known {
		t.lastDomainHeartbeat[n.FailureDomain] = now
	}
	return true
}

// Live returns the nodes that are neither draining nor dead nor in a silent failure domain, sorted by name.
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

// Rank orders nodes by rendezvous hash for a key, the highest first (Thaler and Ravishankar, 1998).
func Rank(key string, nodes []Node) []Node {
	ranked := append([]Node(nil), nodes...)
	weight := func(n Node) uint64 { return xxhash.Sum64String(key + "\x00" + n.Name) }
	sort.Slice(ranked, func(i, j int) bool { return weight(ranked[i]) > weight(ranked[j]) })
	return ranked
}

// IsAmongTopRanked reports whether this node is one of the first count live nodes by rendezvous hash for a key.
func (t *Table) IsAmongTopRanked(key string, count int) bool {
	ranked := Rank(key, t.Live())
	for _, n := range ranked[:min(count, len(ranked))] {
		if n.Name == t.self {
			return true
		}
	}
	return false
}

// DispatcherFor returns the node that admits work to a backend server: the first by rendezvous hash among the live
// nodes of its failure domain, else among all live nodes.
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
