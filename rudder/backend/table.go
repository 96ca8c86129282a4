// Package backend knows the backend servers of relayed traffic: what the outside registry says of them, how busy and how
// reliable this node and its peers find them, and which one a request should go to.
package backend

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/upstream"
)

// Entry is what a backend server says of itself in the registry.
type Entry struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Service       string
	Address       string // IP:port
	FailureDomain string
	Slots         int
	Draining      bool
	Reclaimable   bool
	BornMillis    int64 // Unix time of its start, 0 if unknown
}

// Server is one incarnation of a backend server as this node sees it. Its fields are guarded by the table's lock.
type Server struct {
	Entry
	Pool *upstream.Pool

	gone    bool      // the registry does not list it any more
	leaving time.Time // when it was first seen draining or gone; zero while it serves

	own       load // requests of this node
	peers     load // requests of the peers, as they told last
	failingAt int  // peers that leave the server out
	hash      uint64
	health    health
	speed     speed
}

// load is what runs or waits at a backend server.
type load struct {
	running int                    // requests that are sent and not complete
	pending [UrgencyLevels]float64 // prompt tokens of requests without a first event, by urgency
}

// UrgencyLevels is the number of levels of urgency; 0 goes first.
const UrgencyLevels = 10

// ahead returns the prompt tokens that a runner reads before those of a new request.
func (l *load) ahead(urgency int) float64 {
	sum := 0.0
	for _, tokens := range l.pending[:min(max(urgency, 0), UrgencyLevels-1)+1] {
		sum += tokens
	}
	return sum
}

// Table holds the backend servers by id.
type Table struct {
	DialTimeout time.Duration
	Log         *slog.Logger
	// IdleLimit returns how many connections to one server of a service may be kept without a request; nil means any.
	IdleLimit func(service string) int

	mu      sync.Mutex
	servers map[string]*Server
	remote  map[string]remoteLoad // by peer
	prefix  prefixes
	engine  map[string]*engineModel // by service
	demands map[string]*demand      // by service
	knownAt time.Time               // when a listing was first read since the start
}

// remoteLoad is what a peer has at each backend server.
type remoteLoad struct {
	at    time.Time
	loads map[string]PeerLoad
}

// PeerLoad is the load of one node at one backend server, as nodes tell each other.
type PeerLoad struct {
	_       struct{} `cbor:",toarray"`
	Running int
	Pending []int // prompt tokens by urgency, without trailing zeros
	Failing bool
}

// remoteLoadTimeout is how long the last word of a peer counts; after it the peer is taken to have ended its requests.
const remoteLoadTimeout = 2 * time.Second

// NewTable returns an empty table.
func NewTable(dialTimeout time.Duration, log *slog.Logger) *Table {
	return &Table{
		DialTimeout: dialTimeout, Log: log,
		servers: map[string]*Server{}, remote: map[string]remoteLoad{},
		prefix: newPrefixes(), engine: map[string]*engineModel{}, demands: map[string]*demand{},
	}
}

// Replace takes a whole listing of the registry. Servers that it does not name are gone.
func (t *Table) Replace(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		t.put(e)
	}
	for id, s := range t.servers {
		if !listed[id] {
			t.remove(id, s)
		}
	}
	if t.knownAt.IsZero() {
		t.knownAt = time.Now()
	}
}

// Put takes one entry.
func (t *Table) Put(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(e)
}

// Remove notes that the registry no longer lists a server. Its requests in progress go on.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, found := t.servers[id]; found {
		t.remove(id, s)
	}
}

// Known reports whether the table has been filled since the start.
func (t *Table) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.knownAt.IsZero()
}

// KnownFor returns how long ago the table was first filled, 0 if it was not.
func (t *Table) KnownFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.knownAt.IsZero() {
		return 0
	}
	return time.Since(t.knownAt)
}

func (t *Table) put(e Entry) {
	s, found := t.servers[e.ID]
	if found && (s.BornMillis != e.BornMillis || s.Address != e.Address) {
		if e.BornMillis < s.BornMillis {
			t.Log.Warn("Registry entry is older than the known start of the server.", "server", e.ID, "born", e.BornMillis, "known_born", s.BornMillis)
			return
		}
		t.Log.Info("Backend server started anew.", "server", e.ID, "born", e.BornMillis, "address", e.Address)
		s.Pool.CloseIdle(0)
		found = false
	}
	if !found {
		s = &Server{Pool: &upstream.Pool{Address: e.Address, DialTimeout: t.DialTimeout}}
		s.hash = xxhash.Sum64String(e.ID)
		t.servers[e.ID] = s
		for _, r := range t.remote {
			if l, told := r.loads[e.ID]; told {
				s.addPeer(l, 1)
			}
		}
		t.Log.Info("Backend server is known.", "server", e.ID, "service", e.Service, "address", e.Address, "failure_domain", e.FailureDomain, "draining", e.Draining, "reclaimable", e.Reclaimable)
	}
	if e.Draining && !s.Draining && found {
		t.Log.Info("Backend server is leaving.", "server", e.ID, "reclaimable", e.Reclaimable, "running", s.own.running)
	}
	s.Entry, s.gone = e, false
	if e.Draining && s.leaving.IsZero() {
		s.leaving = time.Now()
	}
	if !e.Draining {
		s.leaving = time.Time{}
	}
}

func (t *Table) remove(id string, s *Server) {
	if !s.gone {
		t.Log.Info("Backend server is gone from the registry.", "server", id, "running", s.own.running)
		s.gone = true
		s.leaving = time.Now()
	}
	s.Pool.CloseIdle(0)
	if s.own.running == 0 {
		delete(t.servers, id)
	}
}

// serves reports whether new requests may go to the server.
func (s *Server) serves() bool { return !s.gone && !s.Draining }

// SetRemote takes the loads of a peer.
func (t *Table) SetRemote(peer string, loads map[string]PeerLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addRemote(t.remote[peer].loads, -1)
	t.remote[peer] = remoteLoad{at: time.Now(), loads: loads}
	t.addRemote(loads, 1)
}

// addRemote adds the loads of a peer to its servers, or takes them away again. The caller holds the lock.
func (t *Table) addRemote(loads map[string]PeerLoad, sign int) {
	for id, l := range loads {
		if s, found := t.servers[id]; found {
			s.addPeer(l, sign)
		}
	}
}

func (s *Server) addPeer(l PeerLoad, sign int) {
	s.peers.running += sign * l.Running
	for level, tokens := range l.Pending {
		if level < UrgencyLevels {
			s.peers.pending[level] += float64(sign * tokens)
		}
	}
	if l.Failing {
		s.failingAt += sign
	}
}

// forgetRemote drops the loads of peers that have fallen silent. The caller holds the lock.
func (t *Table) forgetRemote(now time.Time) {
	for peer, r := range t.remote {
		if now.Sub(r.at) > remoteLoadTimeout {
			t.addRemote(r.loads, -1)
			delete(t.remote, peer)
		}
	}
}

// Own returns the loads of this node for its peers, without idle servers.
func (t *Table) Own() map[string]PeerLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	loads := map[string]PeerLoad{}
	for id, s := range t.servers {
		failing := s.health.ejected(now)
		if s.own.running > 0 || failing {
			loads[id] = PeerLoad{Running: s.own.running, Pending: trimmed(s.own.pending), Failing: failing}
		}
	}
	return loads
}

func trimmed(pending [UrgencyLevels]float64) []int {
	var list []int
	for level, tokens := range pending {
		if tokens >= 1 {
			list = append(list, make([]int, level-len(list))...)
			list = append(list, int(tokens))
		}
	}
	return list
}

// total returns the load of all nodes at a server.
func (s *Server) total() load {
	sum := s.own
	sum.running += s.peers.running
	for level := range sum.pending {
		sum.pending[level] += s.peers.pending[level]
	}
	return sum
}

// Census is the number of runners of a service in one failure domain.
type Census struct {
	OnDemand, Reclaimable int // that serve
	Leaving               int
}

// Count returns the census of a service by failure domain.
func (t *Table) Count(service string) map[string]Census {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]Census{}
	for _, s := range t.servers {
		if s.Service != service {
			continue
		}
		c := counts[s.FailureDomain]
		switch {
		case !s.serves():
			c.Leaving++
		case s.Reclaimable:
			c.Reclaimable++
		default:
			c.OnDemand++
		}
		counts[s.FailureDomain] = c
	}
	return counts
}

// Maintain closes connections that have been idle for the given time.
func (t *Table) Maintain(idle time.Duration) {
	t.mu.Lock()
	var pools []*upstream.Pool
	for _, s := range t.servers {
		if t.IdleLimit != nil {
			s.Pool.SetMaxIdleConns(t.IdleLimit(s.Service))
		}
		pools = append(pools, s.Pool)
	}
	t.prefix.forget(time.Now())
	t.forgetRemote(time.Now())
	t.mu.Unlock()
	for _, p := range pools {
		p.CloseIdle(idle)
	}
}
