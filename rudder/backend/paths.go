package backend

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// probedServers bounds the connection attempts of one round, and firstProbes is how many of them begin at once: a service that is
	// reachable accepts one of these, and the others are not made.
	probedServers = 8
	firstProbes   = 2
	// probeTimeout bounds one connection attempt, and furtherProbesAfter is when the others of a round begin.
	probeTimeout       = 350 * time.Millisecond
	furtherProbesAfter = 100 * time.Millisecond
	// evidenceAge is how long a connection or a byte from a server shows that there is a path, so that the failure of another server
	// is no suspicion.
	evidenceAge = 250 * time.Millisecond
	// silenceBeforeProbe is the time without a byte from any server of a service, while requests are in progress there, that is a
	// suspicion. Servers may be silent for longer with long prompts, so that after a round that found a path the next one for
	// silence waits for silenceProbeInterval.
	silenceBeforeProbe   = 600 * time.Millisecond
	silenceProbeInterval = 1500 * time.Millisecond
	// roundInterval is the pause after a round that found a path.
	roundInterval = 500 * time.Millisecond
	// lostProbeInterval is the pause between two rounds for a service without a path; up to half of it is added at random.
	lostProbeInterval = 250 * time.Millisecond
	lostProbes        = 2
	// A path that was lost is back when backAccepts of the last backResults connection attempts were accepted.
	backResults       = 6
	backAccepts       = 4
	pathCheckInterval = 100 * time.Millisecond
)

// Paths knows for each service whether this node has a path to its servers. A network that is cut between the node and the servers
// shows as connection attempts that fail, as connections that break, or as silence; a server that has crashed, is at its limit of
// connections or is slow shows in the same way, but others of the service still accept connections. So each of these is a suspicion
// only, and connection attempts to several servers decide: a path is lost if at most a quarter of them accept. A nil *Paths has all paths. Set the exported fields before use.
type Paths struct {
	Table *Table
	Log   *slog.Logger
	// OnChange is called, in any goroutine, after a path was lost or regained; nil means nothing is called.
	OnChange func(PathChange)
	// Dial connects to a server and closes the connection; nil means a TCP connection. Tests replace it.
	Dial func(ctx context.Context, address string) error
	// Ask asks a server something that it answers at once, over a new connection. While no server of a service sends anything, a
	// connection counts only with an answer: something between the node and the servers may accept and drop what follows. Nil
	// means that connections count.
	Ask func(ctx context.Context, address string) error

	services      sync.Map // *servicePath by service name
	confirmations singleflight.Group
}

// PathChange is the loss of the path to the servers of a service, or its return.
type PathChange struct {
	Service  string
	IsLost   bool
	IsSilent bool // no answer came rather than a refusal, so that older connections can be expected to be silent too
}

// servicePath is what a node knows of the path to the servers of one service. Times are boottime.Instants.
type servicePath struct {
	isLost      atomic.Bool
	isProbing   atomic.Bool
	inProgress  atomic.Int64 // requests that wait for bytes from a server
	busySince   atomic.Int64 // when inProgress last rose from 0
	connectedAt atomic.Int64 // when a connection attempt last succeeded
	byteAt      atomic.Int64 // when a server last sent a byte
	foundAt     atomic.Int64 // when a round of probes last found a path
	lostAt      atomic.Int64
	nextProbeAt atomic.Int64 // while the path is lost
	probes      atomic.Int64 // connection attempts since the path was lost
	results     []bool       // of the latest of these, true if accepted; used by the goroutine that has set isProbing
	needsAnswer bool         // a connection counts only with an answer; used like results
}

func (p *Paths) path(service string) *servicePath {
	if known, found := p.services.Load(service); found {
		return known.(*servicePath)
	}
	added, _ := p.services.LoadOrStore(service, &servicePath{})
	return added.(*servicePath)
}

// IsLost reports whether this node has no path to the servers of a service, or to so few that they could not take its requests.
func (p *Paths) IsLost(service string) bool { return p != nil && p.path(service).isLost.Load() }

// Lost returns the services without a path, sorted.
func (p *Paths) Lost() []string {
	if p == nil {
		return nil
	}
	var lost []string
	p.services.Range(func(name, path any) bool {
		if path.(*servicePath).isLost.Load() {
			lost = append(lost, name.(string))
		}
		return true
	})
	slices.Sort(lost)
	return lost
}

// BeginWait records that a request was sent to a server of the service. The caller calls the result once when nothing is expected of
// the server any more.
func (p *Paths) BeginWait(service string) (end func()) {
	if p == nil {
		return func() {}
	}
	path := p.path(service)
	if path.inProgress.Add(1) == 1 {
		path.busySince.Store(int64(boottime.Now()))
	}
	return func() { path.inProgress.Add(-1) }
}

// RecordConnection records that a server of the service accepted a connection.
func (p *Paths) RecordConnection(service string) {
	if p != nil {
		p.path(service).connectedAt.Store(int64(boottime.Now()))
	}
}

// RecordBytes records that a server of the service has sent something.
func (p *Paths) RecordBytes(service string) {
	if p != nil {
		p.path(service).byteAt.Store(int64(boottime.Now()))
	}
}

// Confirm reports whether a server of the service has accepted a connection of this node after the given time. It makes connection
// attempts if none has.
func (p *Paths) Confirm(service string, since boottime.Instant) bool {
	if p == nil {
		return true
	}
	path := p.path(service)
	if path.isLost.Load() {
		return false
	}
	if boottime.Instant(path.connectedAt.Load()) > since {
		return true
	}
	found, _, _ := p.confirmations.Do(service, func() (any, error) {
		round := p.probe(service, probedServers, false)
		return round.hasPath() || round.attempts == 0, nil
	})
	return found.(bool)
}

// SuspectConnect records that a connection attempt to a server of the service failed. Bytes on older connections do not show that new
// ones are possible.
func (p *Paths) SuspectConnect(service string, err error) {
	if p == nil {
		return
	}
	path := p.path(service)
	p.suspect(service, path, path.connectedAt.Load(), "connection attempt failed", err.Error())
}

// SuspectBreak records that a connection to a server of the service broke before a response.
func (p *Paths) SuspectBreak(service string, err error) {
	if p == nil {
		return
	}
	path := p.path(service)
	p.suspect(service, path, int64(p.contactAt(path)), "connection broke", err.Error())
}

// contactAt returns when a server of the service last showed that there is a path. A connection alone shows that only where servers
// cannot be asked.
func (p *Paths) contactAt(path *servicePath) boottime.Instant {
	if p.Ask != nil {
		return boottime.Instant(path.byteAt.Load())
	}
	return boottime.Instant(max(path.byteAt.Load(), path.connectedAt.Load()))
}

// suspect begins a round of probes unless there is fresh evidence of a path.
func (p *Paths) suspect(service string, path *servicePath, evidenceAt int64, suspicion, detail string) {
	now := boottime.Now()
	isFresh := evidenceAt != 0 && now.Sub(boottime.Instant(evidenceAt)) < evidenceAge
	hasFound := path.foundAt.Load() != 0 && now.Sub(boottime.Instant(path.foundAt.Load())) < roundInterval
	if isFresh || hasFound || path.isLost.Load() || !path.isProbing.CompareAndSwap(false, true) {
		return
	}
	go p.verify(service, path, suspicion, detail)
}

// verify finds out whether a path is lost. The caller has set isProbing.
func (p *Paths) verify(service string, path *servicePath, suspicion, detail string) {
	defer path.isProbing.Store(false)
	path.needsAnswer = p.Ask != nil && boottime.Since(boottime.Instant(path.byteAt.Load())) >= silenceBeforeProbe
	round := p.probe(service, probedServers, path.needsAnswer)
	switch {
	case round.attempts == 0:
		return
	case round.hasPath():
		path.foundAt.Store(int64(boottime.Now()))
		p.Log.Info("Backend servers of a service were suspected to be unreachable, and enough accept connections.", "service", service,
			"suspicion", suspicion, "detail", detail, "probes", round.attempts, "accepted", round.accepted, "probe_ms", round.took.Milliseconds())
		return
	}
	now := boottime.Now()
	path.lostAt.Store(int64(now))
	path.probes.Store(int64(round.attempts))
	path.nextProbeAt.Store(int64(now.Add(nextLostProbe())))
	path.results = path.results[:0]
	path.isLost.Store(true)
	p.Log.Warn("Path to the backend servers of a service is lost.", "service", service, "suspicion", suspicion, "detail", detail,
		"needs_answer", path.needsAnswer, "probes", round.attempts, "accepted", round.accepted, "refused_or_reset", round.failed, "timed_out", round.timedOut, "probe_ms", round.took.Milliseconds())
	p.changed(PathChange{Service: service, IsLost: true, IsSilent: round.timedOut > round.failed})
}

func nextLostProbe() time.Duration { return lostProbeInterval + rand.N(lostProbeInterval/2) }

func (p *Paths) changed(c PathChange) {
	if p.OnChange != nil {
		p.OnChange(c)
	}
}

// Run looks for silent services and finds out when lost paths are back, until ctx ends.
func (p *Paths) Run(ctx context.Context) {
	for sleep.For(ctx, pathCheckInterval) {
		p.services.Range(func(name, path any) bool {
			p.check(name.(string), path.(*servicePath), boottime.Now())
			return true
		})
	}
}

// check begins the probe of a service that is due, if one is.
func (p *Paths) check(service string, path *servicePath, now boottime.Instant) {
	if path.isLost.Load() {
		if now >= boottime.Instant(path.nextProbeAt.Load()) && path.isProbing.CompareAndSwap(false, true) {
			go p.probeLost(service, path)
		}
		return
	}
	if path.inProgress.Load() == 0 {
		return
	}
	evidenceAt := max(p.contactAt(path), boottime.Instant(path.busySince.Load()))
	foundAt := path.foundAt.Load()
	if silence := now.Sub(evidenceAt); silence >= silenceBeforeProbe && (foundAt == 0 || now.Sub(boottime.Instant(foundAt)) >= silenceProbeInterval) &&
		path.isProbing.CompareAndSwap(false, true) {
		go p.verify(service, path, "no server sends anything", silence.String())
	}
}

// probeLost finds out whether a lost path is back. The caller has set isProbing.
func (p *Paths) probeLost(service string, path *servicePath) {
	defer path.isProbing.Store(false)
	round := p.connect(service, lostProbes, lostProbes, path.needsAnswer, func(*probeRound) bool { return false })
	now := boottime.Now()
	attempts := path.probes.Add(int64(round.attempts))
	path.nextProbeAt.Store(int64(now.Add(nextLostProbe())))
	path.results = append(path.results, slices.Repeat([]bool{true}, round.accepted)...)
	path.results = append(path.results, make([]bool, round.attempts-round.accepted)...)
	path.results = path.results[max(len(path.results)-backResults, 0):]
	accepted := 0
	for _, isAccepted := range path.results {
		if isAccepted {
			accepted++
		}
	}
	if accepted < backAccepts && round.attempts > 0 {
		return
	}
	path.foundAt.Store(int64(now))
	path.isLost.Store(false)
	p.Log.Info("Path to the backend servers of a service is back.", "service", service, "lost_ms", now.Sub(boottime.Instant(path.lostAt.Load())).Milliseconds(),
		"probes", attempts, "accepted", accepted)
	p.changed(PathChange{Service: service})
}

// probeRound is the result of connection attempts to several servers.
type probeRound struct {
	targets          int // servers that may be tried; 0 if the service has none
	attempts         int
	accepted         int
	failed, timedOut int
	took             time.Duration
}

// hasPath reports whether more than a quarter of the servers can be expected to accept connections. With fewer, requests that other
// nodes could spread over all servers would crowd at these.
func (r *probeRound) hasPath() bool {
	return r.accepted > r.targets/4 || r.accepted == firstProbes && r.attempts == firstProbes
}

// isDecided reports whether the attempts in progress cannot change hasPath.
func (r *probeRound) isDecided() bool {
	return r.hasPath() || r.accepted+r.targets-r.failed-r.timedOut <= r.targets/4
}

// probe connects to some servers of a service until it is known whether there is a path.
func (p *Paths) probe(service string, limit int, needsAnswer bool) probeRound {
	return p.connect(service, limit, firstProbes, needsAnswer, (*probeRound).isDecided)
}

// connect connects to up to limit servers of a service, first of them at once, until isDecided or all have accepted or failed.
func (p *Paths) connect(service string, limit, first int, needsAnswer bool, isDecided func(*probeRound) bool) probeRound {
	addresses := p.Table.probeTargets(service, limit)
	beganAt := boottime.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dial := p.Dial
	switch {
	case needsAnswer:
		dial = p.Ask
	case dial == nil:
		dial = dialAndClose
	}
	results := make(chan error, len(addresses))
	round := probeRound{targets: len(addresses)}
	begin := func(n int) {
		for ; n > 0 && round.attempts < len(addresses); n-- {
			address := addresses[round.attempts]
			round.attempts++
			go func() {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				results <- dial(ctx, address)
			}()
		}
	}
	begin(first)
	further := time.NewTimer(furtherProbesAfter)
	defer further.Stop()
	for round.accepted+round.failed+round.timedOut < round.attempts && !isDecided(&round) {
		select {
		case err := <-results:
			round.add(err)
			if err != nil || round.accepted+round.failed+round.timedOut == round.attempts && !isDecided(&round) {
				begin(len(addresses))
			}
		case <-further.C:
			begin(len(addresses))
		}
	}
	round.took = boottime.Since(beganAt)
	return round
}

// add adds the result of one attempt.
func (r *probeRound) add(err error) {
	var netError net.Error
	switch {
	case err == nil:
		r.accepted++
	case errors.As(err, &netError) && netError.Timeout():
		r.timedOut++
	default:
		r.failed++
	}
}

// dialAndClose is the default of Paths.Dial.
func dialAndClose(ctx context.Context, address string) error {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// probeTargets returns the addresses of up to limit servers of a service that serve, drawn at random and spread over the failure
// domains.
func (t *Table) probeTargets(service string, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	byDomain := map[string][]string{}
	var domains []string
	for _, s := range t.servers {
		if s.Service != service || !s.isServing() {
			continue
		}
		if byDomain[s.FailureDomain] == nil {
			domains = append(domains, s.FailureDomain)
		}
		byDomain[s.FailureDomain] = append(byDomain[s.FailureDomain], s.Address)
	}
	t.random.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	for _, list := range byDomain {
		t.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	var addresses []string
	for i := 0; len(addresses) < limit; i++ {
		hasMore := false
		for _, domain := range domains {
			if list := byDomain[domain]; i < len(list) && len(addresses) < limit {
				addresses = append(addresses, list[i])
				hasMore = true
			}
		}
		if !hasMore {
			break
		}
	}
	return addresses
}

func (t *Table) isPathLost(service string) bool { return t.IsPathLost != nil && t.IsPathLost(service) }
