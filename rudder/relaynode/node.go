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
	// gcMemoryLimitFraction is the part of the memory limit at which garbage is collected however fast the heap grows.
	gcMemoryLimitFraction = 0.6
	// gcPercent trades processor time for a small peak of memory; both are paid for.
	gcPercent = 100
	// stopSendingMargin and cancelWaitingMargin are how much earlier than the revocation bound requests are no longer sent, and are
	// cancelled at a server that has not begun with them.
	stopSendingMargin   = 800 * time.Millisecond
	cancelWaitingMargin = 400 * time.Millisecond
	// retryBudgetFraction is the part of the shared retry budget that nodes use, since they count apart.
	retryBudgetFraction = 0.75
	// idleConnectionCheckInterval is how often idle connections are looked at.
	idleConnectionCheckInterval = time.Second
	// backendIdleTimeout is how long a connection to a backend server is kept without a request.
	backendIdleTimeout = 10 * time.Second
)

// node is one running node.
type node struct {
	settings Settings
	platform Platform
	logger   *telemetry.Logger
	log      *slog.Logger

	currentConfig  *traffic.Current
	backends       *backend.Table
	quotas         *quota.Ledger
	usageCounter   *usage.Counter
	relay          *relay.Server
	mesh           *mesh.Mesh
	leases         *lease.Manager
	configFollower *objectapi.Follower
	registry       *registrySync

	incarnation int64
	draining    atomic.Bool
	holdsLease  atomic.Bool
}

// Run runs a node until ctx ends and then stops it gracefully.
func Run(ctx context.Context, s Settings, platform Platform, metrics *telemetry.Metrics, logs io.Writer) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(gcMemoryLimitFraction * float64(s.MemoryLimitBytes)))
	writer := telemetry.NewLogWriter(logs)
	defer writer.Close()
	if err := metrics.CountDroppedLines(writer.Dropped); err != nil {
		return err
	}
	n := newNode(s, platform, metrics, telemetry.NewLogger(writer, slog.LevelInfo, s.Node))
	tasksCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	group, groupCtx := errgroup.WithContext(tasksCtx)
	meshConn, err := net.ListenPacket("udp4", s.MeshAddress)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.MeshAddress)
	}
	for _, task := range n.backgroundTasks(meshConn) {
		group.Go(func() error { task(groupCtx); return nil })
	}
	callers, closeServers, err := n.startServers(group, metrics)
	if err != nil {
		return err
	}
	n.log.Info("Node is running.", "failure_domain", s.FailureDomain, "address", s.CallerAddress, "first_start", s.IsFirstStart)
	n.waitForStop(ctx, groupCtx.Done())
	n.stop(callers, meshConn)
	stopTasks()
	closeServers()
	return group.Wait()
}

func newNode(s Settings, platform Platform, metrics *telemetry.Metrics, logger *telemetry.Logger) *node {
	n := &node{
		settings: s, platform: platform, logger: logger, log: logger.Part("node"),
		currentConfig: traffic.NewCurrent(), incarnation: time.Now().UnixMilli(),
	}
	n.backends = backend.NewTable(dialTimeout, logger.Part("backend"))
	n.backends.IdleLimit = n.maxIdleConnections
	n.quotas = quota.NewLedger(s.IsFirstStart, s.QuotaTolerance, time.Now)
	n.registry = newRegistrySync(n)
	n.mesh = mesh.New(s.MeshAddress, s.MeshSeeds, n.composeDigest, n.handleDigest, logger.Part("mesh"))
	n.mesh.ComposeUrgentDigests = n.composeUrgentDigests
	n.mesh.NeedsShortInterval = func() bool { return n.isConfigPoller() || n.registry.isWatching() }
	n.usageCounter = usage.NewCounter(incarnationID(s.Node, n.incarnation), max(s.UsageWindow, time.Second), n.mesh.MedianTime)
	n.relay = &relay.Server{
		Dialect: platform.Dialect, Current: n.currentConfig, Backends: n.backends, Quotas: n.quotas, Runs: n.usageCounter,
		FailureDomain: s.FailureDomain, Log: logger.Part("relay"),
		Retries: limit.RetryRate{Fraction: retryBudgetFraction * s.RetryFraction, Burst: retryBudgetFraction * s.RetryBurst},
	}
	if s.RevocationBound > 0 {
		n.relay.Freshness = relay.Freshness{Send: s.RevocationBound - stopSendingMargin, Wait: s.RevocationBound - cancelWaitingMargin}
	}
	n.relay.SetMetrics(metrics)
	n.leases = &lease.Manager{
		Store: platform.Store, Node: s.Node, Log: logger.Part("lease"), Contends: n.isLeaseContender,
		Timing:       lease.Timing{Duration: s.LeaseDuration, Margin: s.LeaseDuration / 6, LongestCommand: maxDutyCallTime},
		PollInterval: leasePollInterval,
	}
	return n
}

// leasePollInterval is how often a node that contends for the duties looks at their lease. Nodes contend only while no peer says
// that it holds the lease.
const leasePollInterval = 500 * time.Millisecond

// maxDutyCallTime is the longest time that a duty call is under way after the check of the lease.
const maxDutyCallTime = time.Second

// backgroundTasks returns the tasks that run beside the servers.
func (n *node) backgroundTasks(meshConn net.PacketConn) []func(context.Context) {
	n.configFollower = &objectapi.Follower{
		Store: n.platform.Store, Prefix: path.Dir(n.platform.ConfigKey) + "/", Log: n.logger.Part("config"),
		List:   func(objects []objectapi.Object, _ boottime.Instant) { n.applyConfigObjects(objects) },
		Change: func(e objectapi.Event) { n.applyConfigObjects([]objectapi.Object{e.Object}) },
		Seen:   n.confirmConfig,
		Wait:   n.configWatchTimeout,
	}
	tasks := []func(context.Context){
		func(ctx context.Context) { n.mesh.Run(ctx, meshConn) },
		n.configFollower.Run, n.registry.follower.Run, n.relay.Watch, n.closeIdleConnections, n.updateShares, n.monitorConfigAge, n.registerAndDiscover,
	}
	if n.settings.ReportsUsage || n.settings.OrdersCapacity {
		tasks = append(tasks, func(ctx context.Context) { n.leases.Hold(ctx, dutyLeaseName, n.runDuties) })
	}
	return tasks
}

// composeDigest is what this node tells its peers.
func (n *node) composeDigest() mesh.Digest {
	d := mesh.Digest{
		Node: n.settings.Node, Incarnation: n.incarnation, FailureDomain: n.settings.FailureDomain, Address: n.settings.CallerAddress,
		// The clock is read before the age of the proof: a pause between the two makes the proof look older, not younger.
		State: n.state(), BootClockMillis: time.Duration(boottime.Now()).Milliseconds(), WallClockMillis: time.Now().UnixMilli(),
		ConfirmationAgeMillis: -1, HoldsDutyLease: n.holdsLease.Load(),
		Loads: n.backends.Own(), Demand: n.backends.Demand(), QuotaUse: n.quotas.Own(), CrashCounts: n.relay.Crashes.Own(time.Now()), UsageWindows: n.usageCounter.Own(),
		Registry: n.registry.delta(), RecentlyStarted: n.quotas.Young(),
	}
	if config := n.currentConfig.Config(); config != nil {
		d.ConfigVersion = config.Version
	}
	if confirmedAt := n.currentConfig.ProvedAt(); confirmedAt > 0 {
		d.ConfirmationAgeMillis = boottime.Since(confirmedAt).Milliseconds()
	}
	return d
}

// composeUrgentDigests is what this node tells between two digests: to all what it admitted near a limit, and to the holder of the
// duties the runs since, which would be lost if all nodes ended.
func (n *node) composeUrgentDigests() []mesh.UrgentDigest {
	var list []mesh.UrgentDigest
	digest := mesh.Digest{Node: n.settings.Node, Incarnation: n.incarnation, RecentlyStarted: n.quotas.Young(), IsUrgent: true}
	if uses := n.quotas.Urgent(); len(uses) > 0 {
		toAll := digest
		toAll.QuotaUse = uses
		list = append(list, mesh.UrgentDigest{Digest: toAll})
	}
	if holder := n.dutyHolder(); holder != "" {
		if runs := n.usageCounter.Changed(); len(runs) > 0 {
			toHolder := digest
			toHolder.UsageWindows = runs
			list = append(list, mesh.UrgentDigest{Digest: toHolder, Recipient: holder})
		}
	}
	return list
}

// dutyHolder returns the peer that says that it holds the lease of the duties, empty if none does.
func (n *node) dutyHolder() string {
	for _, m := range n.mesh.ReachableMembers() {
		if m.HoldsDutyLease {
			return m.Node
		}
	}
	return ""
}

// handleDigest takes what a peer tells.
func (n *node) handleDigest(m mesh.Member) {
	incarnation := incarnationID(m.Node, m.Incarnation)
	n.quotas.Learn(incarnation, quota.Told{Young: m.RecentlyStarted, Partial: m.IsUrgent, Uses: m.QuotaUse})
	n.usageCounter.Learn(incarnation, m.UsageWindows)
	if m.IsUrgent {
		return
	}
	n.backends.SetRemote(m.Node, m.Loads)
	n.relay.Crashes.Learn(m.Node, m.CrashCounts)
	n.registry.applyDelta(m)
	if confirmedAt, found := m.ConfigConfirmedAt(); found {
		n.currentConfig.Prove(m.ConfigVersion, confirmedAt)
	}
}

// incarnationID names one start of a node's process.
func incarnationID(node string, incarnation int64) string {
	return node + "/" + strconv.FormatInt(incarnation, 36)
}

func (n *node) state() mesh.State {
	switch {
	case n.draining.Load():
		return mesh.Draining
	case n.notReadyReason() != "":
		return mesh.Starting
	default:
		return mesh.Ready
	}
}

// notReadyReason returns why callers should not come here, empty if they should.
func (n *node) notReadyReason() string {
	switch {
	case n.draining.Load():
		return "node is stopping"
	case n.currentConfig.Config() == nil:
		return "no configuration is known"
	case !n.backends.Known():
		return "backend servers are not known"
	case n.relay.Freshness.Send > 0 && boottime.Since(n.currentConfig.ProvedAt()) > n.relay.Freshness.Send:
		return "configuration is not proved to be the newest"
	default:
		return ""
	}
}

func (n *node) closeIdleConnections(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, idleConnectionCheckInterval)
		n.backends.Maintain(backendIdleTimeout)
	}
}

// updateShares divides what all nodes share by the nodes that are in touch.
func (n *node) updateShares(ctx context.Context) {
	for ctx.Err() == nil {
		reachable, known := n.mesh.CountNodes()
		n.quotas.SetShare(float64(reachable) / float64(known))
		n.relay.SetNodes(known)
		sleep.For(ctx, mesh.BaseInterval)
	}
}

// maxIdleConnections returns how many connections to one backend server of a service this node keeps without a request: half of its
// part of what the server accepts from all nodes.
func (n *node) maxIdleConnections(service string) int {
	config := n.currentConfig.Config()
	if config == nil || config.Services[service] == nil || config.Services[service].MaxConnections == 0 {
		return 0
	}
	_, known := n.mesh.CountNodes()
	return max(1, config.Services[service].MaxConnections/(2*known))
}

// callerLimits returns the limits of the configuration in force.
func (n *node) callerLimits() traffic.Limits {
	if config := n.currentConfig.Config(); config != nil {
		return config.Limits
	}
	return traffic.Limits{}
}

// startServers opens every socket before it serves any. The returned function closes them.
func (n *node) startServers(group *errgroup.Group, metrics *telemetry.Metrics) (*callerServer, func(), error) {
	routers := map[string]*mux.Router{}
	handle := func(address, path string, handler http.Handler) {
		if routers[address] == nil {
			routers[address] = mux.NewRouter()
		}
		routers[address].Handle(path, handler).Methods(http.MethodGet)
	}
	handle(n.settings.ReadyAddress, n.platform.ReadyPath, http.HandlerFunc(n.serveReady))
	handle(n.settings.DirectoryAddress, n.platform.AddressPath, http.HandlerFunc(n.serveAddresses))
	handle(n.settings.MetricsAddress, "/metrics", metrics.Handler())
	handle(n.settings.MetricsAddress, "/debug/pprof/profile", http.HandlerFunc(pprof.Profile))
	handle(n.settings.MetricsAddress, "/debug/pprof/heap", pprof.Handler("heap"))
	listener, err := net.Listen("tcp4", n.settings.CallerAddress)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", n.settings.CallerAddress)
	}
	callers := newCallerServer(listener, n.relay, n.callerLimits, n.logger.Part("http"))
	serversByListener := map[net.Listener]*http.Server{}
	for address, router := range routers {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen on %s", address)
		}
		serversByListener[listener] = &http.Server{Handler: router, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	}
	group.Go(callers.Serve)
	for listener, server := range serversByListener {
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve %s", listener.Addr())
			}
			return nil
		})
	}
	return callers, func() {
		callers.Close()
		for _, server := range serversByListener {
			_ = server.Close() // the process ends, whatever an open connection says
		}
	}, nil
}
