package relaynode

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"path"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/sleep"
	"chestnutrudder.example/rudder/telemetry"
	"chestnutrudder.example/rudder/traffic"
	"chestnutrudder.example/rudder/usage"
)

const (
	// dialTimeout is how long a connection to a backend server may take; delays between hosts are a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// memoryShare is the part of the memory limit at which garbage is collected however fast the heap grows.
	memoryShare = 0.6
	// gcPercent trades processor time for a small peak of memory; both are paid for.
	gcPercent = 100
	// sendMargin and waitMargin are how much earlier than the revocation bound requests are no longer sent, and are
	// cancelled at a server that has not begun with them.
	sendMargin = 800 * time.Millisecond
	waitMargin = 400 * time.Millisecond
	// retryShare is the part of the shared retry budget that nodes use, since they count apart.
	retryShare = 0.75
	// maintenanceInterval is how often idle connections are looked at.
	maintenanceInterval = time.Second
	// idleConnection is how long a connection to a backend server is kept without a request.
	idleConnection = 10 * time.Second
)

// node is one running node.
type node struct {
	settings Settings
	outside  Outside
	logger   *telemetry.Logger
	log      *slog.Logger

	current  *traffic.CurrentConfig
	backends *backend.Table
	ledger   *quota.Ledger
	counter  *usage.Counter
	relay    *relay.Server
	mesh     *mesh.Mesh
	leases   *lease.Manager
	config   *objectapi.Follower
	registry *registry

	incarnation int64
	draining    atomic.Bool
	holdsLease  atomic.Bool
}

// Run runs a node until ctx ends and then stops it gracefully.
func Run(ctx context.Context, s Settings, outside Outside, metrics *telemetry.Metrics, logs io.Writer) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimitBytes)))
	writer := telemetry.NewLogWriter(logs)
	defer writer.Close()
	if err := metrics.CountDroppedLines(writer.Dropped); err != nil {
		return err
	}
	n := newNode(s, outside, metrics, telemetry.NewLogger(writer, slog.LevelInfo, s.Node))
	parts, stopParts := context.WithCancel(context.Background())
	defer stopParts()
	group, groupCtx := errgroup.WithContext(parts)
	socket, err := net.ListenPacket("udp4", s.MeshAddress)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.MeshAddress)
	}
	for _, loop := range n.loops(socket) {
		group.Go(func() error { loop(groupCtx); return nil })
	}
	callers, closeServers, err := n.listen(group, metrics)
	if err != nil {
		return err
	}
	n.log.Info("Node is running.", "failure_domain", s.FailureDomain, "address", s.CallerAddress, "first_start", s.FirstStart)
	n.await(ctx, groupCtx.Done())
	n.stop(callers, socket)
	stopParts()
	closeServers()
	return group.Wait()
}

func newNode(s Settings, outside Outside, metrics *telemetry.Metrics, logger *telemetry.Logger) *node {
	n := &node{
		settings: s, outside: outside, logger: logger, log: logger.Part("node"),
		current: traffic.NewCurrentConfig(), incarnation: time.Now().UnixMilli(),
	}
	n.backends = backend.NewTable(dialTimeout, logger.Part("backend"))
	n.backends.IdleLimit = n.idleLimit
	n.ledger = quota.NewLedger(s.FirstStart, s.QuotaTolerance, time.Now)
	n.registry = newRegistry(n)
	n.mesh = mesh.New(s.MeshAddress, s.MeshSeeds, n.digest, n.learn, logger.Part("mesh"))
	n.mesh.ComposeUrgent = n.urgentDigests
	n.mesh.Often = func() bool { return n.proves() || n.registry.watches() }
	n.counter = usage.NewCounter(incarnationName(s.Node, n.incarnation), max(s.UsageWindow, time.Second), n.mesh.Time)
	n.relay = &relay.Server{
		Dialect: outside.Dialect, Current: n.current, Backends: n.backends, Quotas: n.ledger, Runs: n.counter,
		FailureDomain: s.FailureDomain, Log: logger.Part("relay"),
		Retries: limit.RetryRate{Fraction: retryShare * s.RetryFraction, Burst: retryShare * s.RetryBurst},
	}
	if s.RevocationBound > 0 {
		n.relay.Freshness = relay.Freshness{Send: s.RevocationBound - sendMargin, Wait: s.RevocationBound - waitMargin}
	}
	n.relay.SetMetrics(metrics)
	n.leases = &lease.Manager{
		Store: outside.Store, Node: s.Node, Log: logger.Part("lease"), ShouldContend: n.contends,
		Timing:       lease.Timing{Duration: s.LeaseDuration, Margin: s.LeaseDuration / 6, MaxCommandDuration: longestDuty},
		PollInterval: leasePoll,
	}
	return n
}

// leasePoll is how often a node that contends for the duties looks at their lease. Nodes contend only while no peer says
// that it holds the lease.
const leasePoll = 500 * time.Millisecond

// longestDuty is the longest time that a duty call is under way after the check of the lease.
const longestDuty = time.Second

// loops returns the tasks that run beside the servers.
func (n *node) loops(socket net.PacketConn) []func(context.Context) {
	n.config = &objectapi.Follower{
		Store: n.outside.Store, Prefix: path.Dir(n.outside.ConfigKey) + "/", Log: n.logger.Part("config"),
		List:   func(objects []objectapi.Object, _ boottime.Instant) { n.takeConfigs(objects) },
		Change: func(e objectapi.Event) { n.takeConfigs([]objectapi.Object{e.Object}) },
		Seen:   n.proved,
		Wait:   n.configWait,
	}
	loops := []func(context.Context){
		func(ctx context.Context) { n.mesh.Run(ctx, socket) },
		n.config.Run, n.registry.follower.Run, n.relay.Watch, n.maintain, n.followReach, n.guardProof, n.register,
	}
	if n.settings.ReportsUsage || n.settings.OrdersCapacity {
		loops = append(loops, func(ctx context.Context) { n.leases.Hold(ctx, dutyLease, n.doDuties) })
	}
	return loops
}

// digest is what this node tells its peers.
func (n *node) digest() mesh.Digest {
	d := mesh.Digest{
		Node: n.settings.Node, Incarnation: n.incarnation, FailureDomain: n.settings.FailureDomain, Address: n.settings.CallerAddress,
		// The clock is read before the age of the proof: a pause between the two makes the proof look older, not younger.
		State: n.state(), BootMillis: time.Duration(boottime.Now()).Milliseconds(), WallMillis: time.Now().UnixMilli(),
		ProofAge: -1, HoldsLease: n.holdsLease.Load(),
		Loads: n.backends.Own(), Demand: n.backends.Demand(), Uses: n.ledger.Own(), Crashes: n.relay.Crashes.Own(time.Now()), Runs: n.counter.WindowsForPeers(),
		Registry: n.registry.news(), Young: n.ledger.Young(),
	}
	if config := n.current.Config(); config != nil {
		d.ConfigVersion = config.Version
	}
	if at := n.current.ConfirmedAt(); at > 0 {
		d.ProofAge = boottime.Since(at).Milliseconds()
	}
	return d
}

// urgentDigests is what this node tells between two digests: to all what it admitted near a limit, and to the holder of the
// duties the runs since, which would be lost if all nodes ended.
func (n *node) urgentDigests() []mesh.Urgent {
	var list []mesh.Urgent
	digest := mesh.Digest{Node: n.settings.Node, Incarnation: n.incarnation, Young: n.ledger.Young(), Urgent: true}
	if uses := n.ledger.Urgent(); len(uses) > 0 {
		toAll := digest
		toAll.Uses = uses
		list = append(list, mesh.Urgent{Digest: toAll})
	}
	if holder := n.holder(); holder != "" {
		if runs := n.counter.TakeChanged(); len(runs) > 0 {
			toHolder := digest
			toHolder.Runs = runs
			list = append(list, mesh.Urgent{Digest: toHolder, Only: holder})
		}
	}
	return list
}

// holder returns the peer that says that it holds the lease of the duties, empty if none does.
func (n *node) holder() string {
	for _, m := range n.mesh.Members() {
		if m.HoldsLease {
			return m.Node
		}
	}
	return ""
}

// learn takes what a peer tells.
func (n *node) learn(m mesh.Member) {
	incarnation := incarnationName(m.Node, m.Incarnation)
	n.ledger.Learn(incarnation, quota.Told{Young: m.Young, Partial: m.Urgent, Uses: m.Uses})
	n.counter.MergePeer(incarnation, m.Runs)
	if m.Urgent {
		return
	}
	n.backends.SetRemote(m.Node, m.Loads)
	n.relay.Crashes.Learn(m.Node, m.Crashes)
	n.registry.take(m)
	if at, found := m.ProvedAt(); found {
		n.current.ConfirmNewest(m.ConfigVersion, at)
	}
}

// incarnationName names one start of a node's process.
func incarnationName(node string, incarnation int64) string {
	return node + "/" + strconv.FormatInt(incarnation, 36)
}

func (n *node) state() mesh.State {
	switch {
	case n.draining.Load():
		return mesh.Draining
	case n.notReady() != "":
		return mesh.Starting
	default:
		return mesh.Ready
	}
}

// notReady returns why callers should not come here, empty if they should.
func (n *node) notReady() string {
	switch {
	case n.draining.Load():
		return "node is stopping"
	case n.current.Config() == nil:
		return "no configuration is known"
	case !n.backends.Known():
		return "backend servers are not known"
	case n.relay.Freshness.Send > 0 && boottime.Since(n.current.ConfirmedAt()) > n.relay.Freshness.Send:
		return "configuration is not proved to be the newest"
	default:
		return ""
	}
}

func (n *node) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, maintenanceInterval)
		n.backends.Maintain(idleConnection)
	}
}

// followReach divides what all nodes share by the nodes that are in touch.
func (n *node) followReach(ctx context.Context) {
	for ctx.Err() == nil {
		heard, known := n.mesh.Reach()
		n.ledger.SetShare(float64(heard) / float64(known))
		n.relay.SetNodes(known)
		sleep.For(ctx, mesh.Interval)
	}
}

// idleLimit returns how many connections to one backend server of a service this node keeps without a request: half of its
// part of what the server accepts from all nodes.
func (n *node) idleLimit(service string) int {
	config := n.current.Config()
	if config == nil || config.Services[service] == nil || config.Services[service].MaxConnections == 0 {
		return 0
	}
	_, known := n.mesh.Reach()
	return max(1, config.Services[service].MaxConnections/(2*known))
}

// callerLimits returns the limits of the configuration in force.
func (n *node) callerLimits() traffic.Limits {
	if config := n.current.Config(); config != nil {
		return config.Limits
	}
	return traffic.Limits{}
}

// listen opens every socket before it serves any. The returned function closes them.
func (n *node) listen(group *errgroup.Group, metrics *telemetry.Metrics) (*callerServer, func(), error) {
	routers := map[string]*mux.Router{}
	handle := func(address, path string, handler http.Handler) {
		if routers[address] == nil {
			routers[address] = mux.NewRouter()
		}
		routers[address].Handle(path, handler).Methods(http.MethodGet)
	}
	handle(n.settings.ReadyAddress, n.outside.ReadyPath, http.HandlerFunc(n.serveReady))
	handle(n.settings.DirectoryAddress, n.outside.AddressPath, http.HandlerFunc(n.serveAddresses))
	handle(n.settings.MetricsAddress, "/metrics", metrics.Handler())
	handle(n.settings.MetricsAddress, "/debug/pprof/profile", http.HandlerFunc(pprof.Profile))
	handle(n.settings.MetricsAddress, "/debug/pprof/heap", pprof.Handler("heap"))
	listener, err := net.Listen("tcp4", n.settings.CallerAddress)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", n.settings.CallerAddress)
	}
	callers := newCallerServer(listener, n.relay, n.callerLimits, n.logger.Part("http"))
	listeners := map[net.Listener]*http.Server{}
	for address, router := range routers {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen on %s", address)
		}
		listeners[listener] = &http.Server{Handler: router, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	}
	group.Go(callers.Serve)
	for listener, server := range listeners {
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve %s", listener.Addr())
			}
			return nil
		})
	}
	return callers, func() {
		callers.Close()
		for _, server := range listeners {
			_ = server.Close() // the process ends, whatever an open connection says
		}
	}, nil
}
