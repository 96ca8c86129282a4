// Package backend chooses the backend server for each relayed request. Its table holds the servers that the external registry
// lists, with their load and failures as observed by this node and its peers. A generation request has a prompt that a model
// runner prefills before it generates tokens; every other request is a plain request.
package backend

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/admission"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/pace"
	"chestnutrudder.example/rudder/upstream"
)

// Entry is the registration of a backend server in the external registry.
type Entry struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Service         string
	Address         string // IP:port
	FailureDomain   string
	Slots           int
	Draining        bool
	Reclaimable     bool
	StartUnixMillis int64 // start time of the server's process, 0 if unknown
	// SoftwareVersion is that of the server's process, empty if the registry does not tell. Digests hold it apart from the other
	// fields, since nodes of earlier versions decode an entry as a list of them.
	SoftwareVersion string `cbor:"-"`
}

// Server is one incarnation of a backend server, with this node's observations. The table's lock guards its fields.
type Server struct {
	Entry
	Pool *upstream.Pool

	leaving          leaveReasons
	announcedAt      boottime.Instant // of leaveAnnounced
	unlistedAt       boottime.Instant // of leaveUnlisted
	hasSentMalformed bool             // see logMalformed

	ownLoad       load // requests of this node
	peerLoad      load // requests of the peers, as they last reported
	ejectingPeers int  // number of peers that have ejected the server
	ownResults    decayingResults
	peerResults   resultCounts // of the peers, as they last reported
	idHash        uint64
	health        health
	slowdown      slowdown
	pace          pace.Estimator
	backpressure
}

// load is the load of a backend server.
type load struct {
	running       int                    // requests placed and not yet released
	pendingTokens [UrgencyLevels]float64 // prompt tokens of requests without a first byte, by urgency
}

// UrgencyLevels is the number of urgency levels. Level 0 is the most urgent and is served first.
const UrgencyLevels = admission.Levels

// tokensAhead returns the prompt tokens that a runner prefills before those of a new request of the given urgency.
func (l *load) tokensAhead(urgency int) float64 {
	sum := 0.0
	for _, tokens := range l.pendingTokens[:min(max(urgency, 0), UrgencyLevels-1)+1] {
		sum += tokens
	}
	return sum
}

// Table holds the backend servers by ID. It is safe for concurrent use.
type Table struct {
	DialTimeout time.Duration
	Log         *slog.Logger
	// MaxIdleConns returns how many idle connections to one server of a service may be kept; nil means no limit.
	MaxIdleConns func(service string) int
	// IsPathLost reports whether this node has no path to the servers of a service. Its failures at them then say nothing to peers. Nil
	// means that it has one.
	IsPathLost func(service string) bool
	// ChoosesByPace makes the table learn the paces of servers, share them with peers and use them in the choice. Learning alone costs a
	// host with 86 peers half a percent of a core.
	ChoosesByPace bool

	mu        sync.Mutex
	servers   map[string]*Server
	peerLoads map[string]peerReport // by peer
	prefixes  prefixIndex
	models    map[string]*latencyModel // by service
	demands   map[string]*demand       // by service
	selfName  string                   // of this node
	nodes     []Node                   // among which the limits of servers are divided
	random    *rand.Rand               // of all random choices
	// hasUrgentLimit is true if a response to this node has changed a limit since the last report.
	hasUrgentLimit bool
	limitTurn      int // counts the reports of limits
	// hasUrgentDeparture is true if a response to this node has announced one since the last report.
	hasUrgentDeparture bool
	removals           map[string]removal        // of forgotten servers by ID
	versionShares      map[string]*VersionShares // by service; see SetVersionShares
	ownByVersion       requestsByVersion
	awaitsShares       bool      // see SetAwaitsVersionShares
	firstListedAt      time.Time // when Replace first received a listing
	now                func() boottime.Instant
	paceExchange       paceExchange
}

// removal is the removal from the registry of a server that the table has forgotten since.
type removal struct {
	startUnixMillis int64
	at              boottime.Instant
}

// removalRetention is how long a removal is remembered. The registry may be restored from a copy that is some seconds old and
// lists the server again.
const removalRetention = time.Minute

// peerReport is the last report of a peer: its load and its recent results at each backend server.
type peerReport struct {
	receivedAt time.Time
	loads      map[string]PeerLoad
	results    map[string]ResultReport
}

// PeerLoad is the load of one node, or of several together, at one backend server, as nodes report it to each other.
type PeerLoad struct {
	_             struct{} `cbor:",toarray"`
	Running       int
	PendingTokens []int // prompt tokens by urgency, without trailing zeros
	EjectedBy     int   // number of nodes that have ejected the server or probe it
}

// Add returns the sum of two loads.
func (l PeerLoad) Add(other PeerLoad) PeerLoad {
	pending := make([]int, max(len(l.PendingTokens), len(other.PendingTokens)))
	copy(pending, l.PendingTokens)
	for level, tokens := range other.PendingTokens {
		pending[level] += tokens
	}
	return PeerLoad{Running: l.Running + other.Running, PendingTokens: pending, EjectedBy: l.EjectedBy + other.EjectedBy}
}

// peerLoadTimeout is how long the last report of a peer counts. After that, its requests are assumed to have ended.
const peerLoadTimeout = 2 * time.Second

// NewTable returns an empty table.
func NewTable(dialTimeout time.Duration, log *slog.Logger) *Table {
	return &Table{
		DialTimeout: dialTimeout, Log: log,
		servers: map[string]*Server{}, peerLoads: map[string]peerReport{}, removals: map[string]removal{},
		versionShares: map[string]*VersionShares{}, ownByVersion: requestsByVersion{},
		prefixes: newPrefixIndex(), models: map[string]*latencyModel{}, demands: map[string]*demand{}, now: boottime.Now,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Replace sets the table to a complete listing of the registry. Servers that are not in it are removed as by Remove.
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

// ReplaceAfterRestore sets the table to a listing of a registry that was restored from an older copy. What is known of the
// same incarnation of a server and is newer stays: a draining server goes on draining, and one that was removed is not added
// again. It returns the entries of the latter, and the IDs of the servers that the listing lacks, which stay in the table.
func (t *Table) ReplaceAfterRestore(entries []Entry) (unlisted []string, departed []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		s, found := t.servers[e.ID]
		isKnown := found && s.StartUnixMillis == e.StartUnixMillis
		r, isRemoved := t.removals[e.ID]
		if isKnown && s.leaving.has(leaveUnlisted) || !found && isRemoved && e.StartUnixMillis <= r.startUnixMillis {
			departed = append(departed, e)
			continue
		}
		e.Draining = e.Draining || isKnown && s.leaving.has(leaveDraining)
		t.put(e)
	}
	for id, s := range t.servers {
		if !listed[id] && !s.leaving.has(leaveUnlisted) {
			unlisted = append(unlisted, id)
		}
	}
	return unlisted, departed
}

// Put adds or updates one entry. An entry whose start time is older than the known one of the same server is ignored.
func (t *Table) Put(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(e)
}

// Remove marks a server as no longer listed. It gets no new requests; those in progress continue.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, found := t.servers[id]; found {
		t.remove(id, s)
	}
}

// HasListing reports whether Replace has received a listing since the process started.
func (t *Table) HasListing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.firstListedAt.IsZero()
}

// TimeSinceFirstListing returns the time since Replace first received a listing, 0 if it has not.
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
	var sameProcess *Server // at another address
	if found && (s.StartUnixMillis != e.StartUnixMillis || s.Address != e.Address) {
		if e.StartUnixMillis < s.StartUnixMillis && (!s.leaving.has(leaveUnlisted) || s.ownLoad.running > 0) {
			t.Log.Warn("Ignored a registry entry that is older than the known start of the server.", "server", e.ID, "born", e.StartUnixMillis, "known_born", s.StartUnixMillis)
			return
		}
		t.Log.Info("Backend server restarted.", "server", e.ID, "born", e.StartUnixMillis, "address", e.Address)
		s.Pool.CloseIdle(0)
		if e.StartUnixMillis == s.StartUnixMillis && e.StartUnixMillis != 0 {
			sameProcess = s
		}
		found = false
	}
	if !found {
		s = t.add(e)
		if sameProcess != nil {
			s.inheritFrom(sameProcess)
		}
	}
	if found && s.leaving.has(leaveUnlisted) {
		t.Log.Info("Backend server is in the registry again.", "server", e.ID, "draining", e.Draining, "announced_leaving", s.leaving.has(leaveAnnounced))
	}
	if found && e.Draining && s.isServing() {
		t.Log.Info("Backend server is draining and gets no new requests.", "server", e.ID, "reclaimable", e.Reclaimable, "running", s.ownLoad.running)
	}
	s.Entry = e
	s.leaving.set(leaveDraining, e.Draining)
	s.leaving.set(leaveUnlisted|leaveMisdirected, false)
}

// add adds a server that was not known before.
func (t *Table) add(e Entry) *Server {
	s := &Server{Pool: &upstream.Pool{Address: e.Address, DialTimeout: t.DialTimeout}, idHash: xxhash.Sum64String(e.ID)}
	t.servers[e.ID] = s
	delete(t.removals, e.ID)
	for _, r := range t.peerLoads {
		if l, isReported := r.loads[e.ID]; isReported {
			s.addPeerLoad(l, 1)
		}
		if results, isReported := r.results[e.ID]; isReported {
			s.peerResults = s.peerResults.add(results.counts(), 1)
		}
	}
	t.Log.Info("Added a backend server from the registry.", "server", e.ID, "service", e.Service, "address", e.Address, "failure_domain", e.FailureDomain, "draining", e.Draining, "reclaimable", e.Reclaimable)
	return s
}

func (t *Table) remove(id string, s *Server) {
	if !s.leaving.has(leaveUnlisted) {
		t.Log.Info("Backend server is no longer in the registry and gets no new requests.", "server", id, "running", s.ownLoad.running)
		s.leaving.set(leaveUnlisted, true)
		s.unlistedAt = t.now()
	}
	s.Pool.CloseIdle(0)
	t.dropIfForgettable(s)
}

// forget deletes a server that the registry does not list any more. The caller holds the lock.
func (t *Table) forget(s *Server) {
	delete(t.servers, s.ID)
	t.removals[s.ID] = removal{startUnixMillis: s.StartUnixMillis, at: s.unlistedAt}
}

// incarnation identifies the server's process, on all nodes alike.
func (s *Server) incarnation() uint64 { return mix(s.idHash ^ uint64(s.StartUnixMillis)) }

// SetPeerLoads replaces the loads that a peer last reported, by server ID.
func (t *Table) SetPeerLoads(peer string, loads map[string]PeerLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.peerLoads[peer]
	t.addPeerLoads(r.loads, -1)
	r.loads, r.receivedAt = loads, time.Now()
	t.peerLoads[peer] = r
	t.addPeerLoads(loads, 1)
}

// DropPeerLoads removes the loads and results that a peer last reported.
func (t *Table) DropPeerLoads(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, found := t.peerLoads[peer]; found {
		t.dropPeerReport(peer, r)
	}
}

// dropPeerReport removes what a peer last reported. The caller holds the lock.
func (t *Table) dropPeerReport(peer string, r peerReport) {
	t.addPeerLoads(r.loads, -1)
	t.addPeerResults(r.results, -1)
	delete(t.peerLoads, peer)
}

// addPeerLoads adds the loads of a peer to the servers (sign 1) or subtracts them (sign -1). The caller holds the lock.
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
	s.ejectingPeers += sign * l.EjectedBy
}

// dropExpiredPeerLoads removes the loads of peers whose last report is older than peerLoadTimeout. The caller holds the lock.
func (t *Table) dropExpiredPeerLoads(now time.Time) {
	for peer, r := range t.peerLoads {
		if now.Sub(r.receivedAt) > peerLoadTimeout {
			t.dropPeerReport(peer, r)
		}
	}
}

// OwnLoads returns this node's loads by server ID for its peers. Servers without load that are not ejected are left out.
func (t *Table) OwnLoads() map[string]PeerLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	loads := map[string]PeerLoad{}
	for id, s := range t.servers {
		isEjected := s.health.isEjected(now) && !t.isPathLost(s.Service)
		if s.ownLoad.running > 0 || isEjected {
			l := PeerLoad{Running: s.ownLoad.running, PendingTokens: trimTrailingZeros(s.ownLoad.pendingTokens)}
			if isEjected {
				l.EjectedBy = 1
			}
			loads[id] = l
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

// totalLoad returns the load that this node and its peers have at the server.
func (s *Server) totalLoad() load {
	total := s.ownLoad
	total.running += s.peerLoad.running
	for level := range total.pendingTokens {
		total.pendingTokens[level] += s.peerLoad.pendingTokens[level]
	}
	return total
}

// RunnerCounts holds the numbers of runners of a service in one failure domain.
type RunnerCounts struct {
	OnDemand, Reclaimable int // serving runners
	Leaving               int // runners that get no new requests
}

// CountRunners counts the runners of a service by failure domain.
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

// Maintain applies MaxIdleConns, closes connections that have been idle for the given time, and drops expired prefixes and
// peer loads and servers that are gone.
func (t *Table) Maintain(idle time.Duration) {
	t.mu.Lock()
	var pools []*upstream.Pool
	for _, s := range t.servers {
		if t.MaxIdleConns != nil {
			s.Pool.SetMaxIdleConns(t.MaxIdleConns(s.Service))
		}
		pools = append(pools, s.Pool)
	}
	t.prefixes.evictExpired(time.Now())
	t.dropExpiredPeerLoads(time.Now())
	maps.DeleteFunc(t.removals, func(_ string, r removal) bool { return t.now().Sub(r.at) > removalRetention })
	t.updatePauses()
	t.forgetUnlisted()
	t.maintainPaces(time.Now())
	t.mu.Unlock()
	for _, p := range pools {
		p.CloseIdle(idle)
	}
}
