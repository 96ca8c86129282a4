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
	_               struct{} `cbor:",toarray"`
	ID              string
	Service         string
	Address         string // IP:port
	FailureDomain   string
	Slots           int
	Draining        bool
	Reclaimable     bool
	StartUnixMillis int64 // Unix time of its start, 0 if unknown
}

// Server is one incarnation of a backend server as this node sees it. Its fields are guarded by the table's lock.
type Server struct {
	Entry
	Pool *upstream.Pool

	isUnlisted   bool      // the registry does not list it any more
	leavingSince time.Time // when it was first seen draining or gone; zero while it serves

	ownLoad       load // requests of this node
	peerLoad      load // requests of the peers, as they told last
	ejectingPeers int  // peers that leave the server out
	idHash        uint64
	health        health
	slowdown      slowdown
}

// load is what runs or waits at a backend server.
type load struct {
	running       int                    // requests that are sent and not complete
	pendingTokens [UrgencyLevels]float64 // prompt tokens of requests without a first event, by urgency
}

// UrgencyLevels is the number of levels of urgency; 0 goes first.
const UrgencyLevels = 10

// tokensAhead returns the prompt tokens that a runner reads before those of a new request.
func (l *load) tokensAhead(urgency int) float64 {
	sum := 0.0
	for _, tokens := range l.pendingTokens[:min(max(urgency, 0), UrgencyLevels-1)+1] {
		sum += tokens
	}
	return sum
}

// Table holds the backend servers by id.
type Table struct {
	DialTimeout time.Duration
	Log         *slog.Logger
	// MaxIdleConns returns how many connections to one server of a service may be kept without a request; nil means any.
	MaxIdleConns func(service string) int

	mu            sync.Mutex
	servers       map[string]*Server
	peerLoads     map[string]peerReport // by peer
	prefixes      prefixIndex
	models        map[string]*latencyModel // by service
	demands       map[string]*demand       // by service
	firstListedAt time.Time                // when a listing was first read since the start
}

// peerReport is what a peer has at each backend server.
type peerReport struct {
	receivedAt time.Time
	loads      map[string]PeerLoad
}

// PeerLoad is the load of one node at one backend server, as nodes tell each other.
type PeerLoad struct {
	_             struct{} `cbor:",toarray"`
	Running       int
	PendingTokens []int // prompt tokens by urgency, without trailing zeros
	IsEjected     bool
}

// peerLoadTimeout is how long the last word of a peer counts; after it the peer is taken to have ended its requests.
const peerLoadTimeout = 2 * time.Second

// NewTable returns an empty table.
func NewTable(dialTimeout time.Duration, log *slog.Logger) *Table {
	return &Table{
		DialTimeout: dialTimeout, Log: log,
		servers: map[string]*Server{}, peerLoads: map[string]peerReport{},
		prefixes: newPrefixIndex(), models: map[string]*latencyModel{}, demands: map[string]*demand{},
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
	if t.firstListedAt.IsZero() {
		t.firstListedAt = time.Now()
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

// HasListing reports whether the table has been filled since the start.
func (t *Table) HasListing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.firstListedAt.IsZero()
}

// TimeSinceFirstListing returns how long ago the table was first filled, 0 if it was not.
func (t *Table) TimeSinceFirstListing() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstListedAt.IsZero() {
		return 0
	}
	return time.Since(t.firstListedAt)
}

func (t *Table) put(e Entry) {
	s, found := t.servers[e.ID]
	if found && (s.StartUnixMillis != e.StartUnixMillis || s.Address != e.Address) {
		if e.StartUnixMillis < s.StartUnixMillis {
			t.Log.Warn("Registry entry is older than the known start of the server.", "server", e.ID, "born", e.StartUnixMillis, "known_born", s.StartUnixMillis)
			return
		}
		t.Log.Info("Backend server started anew.", "server", e.ID, "born", e.StartUnixMillis, "address", e.Address)
		s.Pool.CloseIdle(0)
		found = false
	}
	if !found {
		s = &Server{Pool: &upstream.Pool{Address: e.Address, DialTimeout: t.DialTimeout}}
		s.idHash = xxhash.Sum64String(e.ID)
		t.servers[e.ID] = s
		for _, r := range t.peerLoads {
			if l, isReported := r.loads[e.ID]; isReported {
				s.addPeerLoad(l, 1)
			}
		}
		t.Log.Info("Backend server is known.", "server", e.ID, "service", e.Service, "address", e.Address, "failure_domain", e.FailureDomain, "draining", e.Draining, "reclaimable", e.Reclaimable)
	}
	if e.Draining && !s.Draining && found {
		t.Log.Info("Backend server is leaving.", "server", e.ID, "reclaimable", e.Reclaimable, "running", s.ownLoad.running)
	}
	s.Entry, s.isUnlisted = e, false
	if e.Draining && s.leavingSince.IsZero() {
		s.leavingSince = time.Now()
	}
	if !e.Draining {
		s.leavingSince = time.Time{}
	}
}

func (t *Table) remove(id string, s *Server) {
	if !s.isUnlisted {
		t.Log.Info("Backend server is gone from the registry.", "server", id, "running", s.ownLoad.running)
		s.isUnlisted = true
		s.leavingSince = time.Now()
	}
	s.Pool.CloseIdle(0)
	if s.ownLoad.running == 0 {
		delete(t.servers, id)
	}
}

// isServing reports whether new requests may go to the server.
func (s *Server) isServing() bool { return !s.isUnlisted && !s.Draining }

// SetPeerLoads takes the loads of a peer.
func (t *Table) SetPeerLoads(peer string, loads map[string]PeerLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addPeerLoads(t.peerLoads[peer].loads, -1)
	t.peerLoads[peer] = peerReport{receivedAt: time.Now(), loads: loads}
	t.addPeerLoads(loads, 1)
}

// addPeerLoads adds the loads of a peer to its servers, or takes them away again. The caller holds the lock.
func (t *Table) addPeerLoads(loads map[string]PeerLoad, sign int) {
	for id, l := range loads {
		if s, found := t.servers[id]; found {
			s.addPeerLoad(l, sign)
		}
	}
}

func (s *Server) addPeerLoad(l PeerLoad, sign int) {
	s.peerLoad.running += sign * l.Running
	for level, tokens := range l.PendingTokens {
		if level < UrgencyLevels {
			s.peerLoad.pendingTokens[level] += float64(sign * tokens)
		}
	}
	if l.IsEjected {
		s.ejectingPeers += sign
	}
}

// dropExpiredPeerLoads drops the loads of peers that have fallen silent. The caller holds the lock.
func (t *Table) dropExpiredPeerLoads(now time.Time) {
	for peer, r := range t.peerLoads {
		if now.Sub(r.receivedAt) > peerLoadTimeout {
			t.addPeerLoads(r.loads, -1)
			delete(t.peerLoads, peer)
		}
	}
}

// OwnLoads returns the loads of this node for its peers, without idle servers.
func (t *Table) OwnLoads() map[string]PeerLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	loads := map[string]PeerLoad{}
	for id, s := range t.servers {
		isEjected := s.health.isEjected(now)
		if s.ownLoad.running > 0 || isEjected {
			loads[id] = PeerLoad{Running: s.ownLoad.running, PendingTokens: trimTrailingZeros(s.ownLoad.pendingTokens), IsEjected: isEjected}
		}
	}
	return loads
}

func trimTrailingZeros(pending [UrgencyLevels]float64) []int {
	var list []int
	for level, tokens := range pending {
		if tokens >= 1 {
			list = append(list, make([]int, level-len(list))...)
			list = append(list, int(tokens))
		}
	}
	return list
}

// totalLoad returns the load of all nodes at a server.
func (s *Server) totalLoad() load {
	total := s.ownLoad
	total.running += s.peerLoad.running
	for level := range total.pendingTokens {
		total.pendingTokens[level] += s.peerLoad.pendingTokens[level]
	}
	return total
}

// RunnerCounts is the number of runners of a service in one failure domain.
type RunnerCounts struct {
	OnDemand, Reclaimable int // that serve
	Leaving               int
}

// CountRunners returns the runners of a service by failure domain.
func (t *Table) CountRunners(service string) map[string]RunnerCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]RunnerCounts{}
	for _, s := range t.servers {
		if s.Service != service {
			continue
		}
		c := counts[s.FailureDomain]
		switch {
		case !s.isServing():
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
		if t.MaxIdleConns != nil {
			s.Pool.SetMaxIdle(t.MaxIdleConns(s.Service))
		}
		pools = append(pools, s.Pool)
	}
	t.prefixes.evictExpired(time.Now())
	t.dropExpiredPeerLoads(time.Now())
	t.mu.Unlock()
	for _, p := range pools {
		p.CloseIdle(idle)
	}
}
