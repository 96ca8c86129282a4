package relaynode

import (
	"context"
	"io"
	"log/slog"
	"net"
	"path"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/detour"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/resource"
	"chestnutrudder.example/rudder/sleep"
	"chestnutrudder.example/rudder/telemetry"
	"chestnutrudder.example/rudder/traffic"
	"chestnutrudder.example/rudder/usage"
)

const (
	// dialTimeout bounds the opening of a connection to a backend server. Delays between hosts are a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// gcMemoryLimitFraction is the fraction of the memory limit that is set as memory limit of the Go runtime: near it,
	// garbage is collected however fast the heap grows.
	gcMemoryLimitFraction = 0.6
	// responseMemoryDivisor gives the part of the memory limit that incomplete responses may take. Their buffers have up to
	// twice that capacity.
	responseMemoryDivisor = 16
	// gcPercent is the GOGC value. It trades processor time for a small peak of memory; both are paid for.
	gcPercent = 100
	// stopSendingMargin and cancelWaitingMargin are subtracted from the revocation bound. They give the age of the last
	// confirmation of the configuration at which requests are no longer sent to backend servers, and the age at which
	// requests are cancelled at a server that has not begun to run them.
	stopSendingMargin   = 800 * time.Millisecond
	cancelWaitingMargin = 400 * time.Millisecond
	// retryBudgetFraction is the fraction of the shared retry budget that the nodes use, since each node counts its
	// retries separately.
	retryBudgetFraction = 0.75
	// idleConnectionCheckInterval is the pause between two checks for idle connections to backend servers.
	idleConnectionCheckInterval = time.Second
	// holderUpdateInterval is the pause between two reports of request counts to the holder of the duty lease while
	// summaries are used. Counts of an ended window are sent twice at least.
	holderUpdateInterval = time.Second
	// resourceReportInterval is the time between two log lines about callers that exceed the resources of the node.
	resourceReportInterval = time.Second
	// backendIdleTimeout is how long a connection to a backend server is kept without a request.
	backendIdleTimeout = 10 * time.Second
)

// node is a running node with its components.
type node struct {
	settings Settings
	platform Platform
	logger   *telemetry.Logger
	log      *slog.Logger

	currentConfig *traffic.CurrentConfig
	backends      *backend.Table
	paths         *backend.Paths
	quotas        *quota.Ledger
	usageCounter  *usage.Counter
	relay         *relay.Server
	mesh          *mesh.Mesh
	leases        *lease.Manager
	configWatcher *objectapi.Watcher
	configSync    configSync
	configTiming  configTiming
	registry      *registrySync
	streamRecords *streamRecords
	storeHistory  storeHistory
	rollouts      *rolloutSync // nil unless the operator orders rollouts of software versions

	resourceLimits resource.Limits
	resources      *resource.Account // what callers take

	startedAt      boottime.Instant
	incarnation    int64 // start of the process in Unix milliseconds; identifies this start
	stopOnce       sync.Once
	stopBeganAt    boottime.Instant // when the signal to stop was received; set by beginStop
	isDraining     atomic.Bool
	holdsDutyLease atomic.Bool

	recordMu     sync.Mutex
	isRegistered bool  // this node has a record in the object API; guarded by recordMu
	recordEpoch  int64 // of the object API when the record was written; guarded by recordMu

	// informedHolder is the holder of the duty lease to which counts were last sent, at holderInformedAt. Only the task that
	// sends urgent digests uses them.
	informedHolder   string
	withheldShare    float64 // last logged by logWithheldShare
	holderInformedAt boottime.Instant
}

// Run runs a node until ctx ends, and then stops it gracefully. It returns an error if a socket cannot be opened or a
// server fails.
func Run(ctx context.Context, s Settings, platform Platform, metrics *telemetry.Metrics, logs io.Writer) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(gcMemoryLimitFraction * float64(s.MemoryLimitBytes)))
	writer := telemetry.NewLogWriter(logs)
	defer writer.Close()
	if err := metrics.ObserveDroppedLines(writer.Dropped); err != nil {
		return err
	}
	n := newNode(s, platform, metrics, telemetry.NewLogger(writer, slog.LevelInfo, s.Node))
	if err := metrics.ObserveServerPaces(n.observeServerPaces); err != nil {
		return err
	}
	if err := metrics.ObserveNodes(n.mesh.CountNodes); err != nil {
		return err
	}
	if err := metrics.ObserveLostPaths(n.paths.Lost); err != nil {
		return err
	}
	if err := n.resources.Observe(metrics); err != nil {
		return err
	}
	if n.rollouts != nil {
		if err := metrics.ObserveRollouts(n.rollouts.readings); err != nil {
			return err
		}
	}
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
	callers, detours, closeServers, err := n.startServers(group, metrics)
	if err != nil {
		return err
	}
	n.log.Info("Node is running.", "failure_domain", s.FailureDomain, "address", s.CallerAddress, "first_start", s.IsFirstStart)
	n.waitForStop(ctx, groupCtx.Done())
	n.stop(callers, meshConn, detours)
	stopTasks()
	closeServers()
	return group.Wait()
}

// newNode builds the components of a node and connects them. It opens no sockets.
func newNode(s Settings, platform Platform, metrics *telemetry.Metrics, logger *telemetry.Logger) *node {
	n := &node{
		settings: s, platform: platform, logger: logger, log: logger.Part("node"),
		currentConfig: traffic.NewCurrentConfig(), startedAt: boottime.Now(), incarnation: time.Now().UnixMilli(),
		configSync: configSync{newerVersion: make(chan struct{}, 1)}, configTiming: newConfigTiming(s.ConfigBound),
	}
	n.resourceLimits = resource.LimitsOf(s.MemoryLimitBytes, s.MaxDescriptors)
	n.resources = resource.NewAccount(n.resourceLimits.Bytes, logger.Part("resource"))
	n.backends = backend.NewTable(dialTimeout, logger.Part("backend"))
	n.backends.MaxIdleConns = n.maxIdleConnections
	n.paths = &backend.Paths{Table: n.backends, Log: logger.Part("paths"), OnChange: n.handlePathChange}
	n.backends.IsPathLost = n.paths.IsLost
	n.quotas = quota.NewLedger(s.IsFirstStart, s.QuotaTolerance, time.Now)
	n.registry = newRegistrySync(n)
	n.mesh = mesh.New(s.MeshAddress, s.MeshSeeds, n.composeDigest, n.handleDigest, logger.Part("mesh"))
	n.mesh.FailureDomain = s.FailureDomain
	n.mesh.ComposeUrgentDigests = n.composeUrgentDigests
	n.mesh.OnSummary = n.handleSummary
	n.mesh.NearLimitOrganisations = n.quotas.NearLimitOrganisations
	n.mesh.NeedsShortInterval = n.needsShortInterval
	n.usageCounter = usage.NewCounter(incarnationID(s.Node, n.incarnation), max(s.UsageWindow, time.Second), n.mesh.MedianTime)
	n.relay = &relay.Server{
		Dialect: platform.Dialect, Current: n.currentConfig, Backends: n.backends, Quotas: n.quotas, Runs: n.usageCounter,
		FailureDomain: s.FailureDomain, Log: logger.Part("relay"), Crashes: &culprit.List{Log: logger.Part("culprit"), IsTrialNode: n.isFirstNode},
		RetryRate: limit.RetryRate{Fraction: retryBudgetFraction * s.RetryFraction, Burst: retryBudgetFraction * s.RetryBurst},
	}
	n.relay.Paths = n.paths
	n.paths.Ask = n.relay.AskAddress
	n.relay.Detours = &detour.Client{Node: s.Node, FailureDomain: s.FailureDomain, Peers: n.detourPeers}
	n.relay.MaxBufferedBytes = s.MemoryLimitBytes / responseMemoryDivisor
	if s.RevocationBound > 0 {
		n.relay.StalenessLimits = relay.StalenessLimits{Send: s.RevocationBound - stopSendingMargin, Wait: s.RevocationBound - cancelWaitingMargin}
	}
	n.relay.Crashes.RelaysPeers = n.mesh.UsesSummaries
	n.streamRecords = newStreamRecords(n)
	n.relay.Origins = n.streamRecords.book
	if s.RollsOutVersions {
		n.rollouts = newRolloutSync(n)
		n.relay.Versions = n.rollouts.tracker
	}
	n.relay.SetMetrics(metrics)
	n.leases = &lease.Manager{
		Store: platform.Store, Node: s.Node, Log: logger.Part("lease"), ShouldContend: n.isLeaseContender,
		Timing:       lease.Timing{Duration: s.LeaseDuration, Margin: s.LeaseDuration / 6, MaxCommandDuration: maxDutyCallTime},
		PollInterval: leasePollInterval, IsFirstStart: s.IsFirstStart,
	}
	return n
}

// leasePollInterval is the pause between two reads of the duty lease by a node that contends for it. Nodes contend only
// while no peer reports that it holds the lease.
const leasePollInterval = 500 * time.Millisecond

// maxDutyCallTime is the longest time that a call of a duty is in progress after the check of the lease.
const maxDutyCallTime = time.Second

// backgroundTasks returns the tasks that run beside the servers. Each runs until its context ends.
func (n *node) backgroundTasks(meshConn net.PacketConn) []func(context.Context) {
	n.configWatcher = &objectapi.Watcher{
		Store: n.platform.Store, Prefix: path.Dir(n.platform.ConfigKey) + "/", Log: n.logger.Part("config"),
		OnList:       n.applyConfigListing,
		OnChange:     func(e objectapi.Event) { n.applyStoredConfig(e.Object) },
		OnSync:       n.recordConfigAnswer,
		WatchTimeout: n.configWatchTimeout, IsSuspended: n.isConfigWatchSuspended,
	}
	tasks := []func(context.Context){
		func(ctx context.Context) { n.mesh.Run(ctx, meshConn) },
		n.configWatcher.Run, n.registry.objectWatcher.Run, n.relay.WatchWaitingRequests, n.closeIdleConnections, n.reportResources, n.updateShares,
		n.readNewerConfigs, n.registerAndDiscover, n.keepQuarantines, n.streamRecords.run, n.paths.Run,
	}
	if n.rollouts != nil {
		tasks = append(tasks, n.rollouts.run, n.rollouts.update)
	}
	if n.settings.ReportsUsage || n.settings.OrdersCapacity || n.rollouts != nil {
		tasks = append(tasks, func(ctx context.Context) { n.leases.Hold(ctx, dutyLeaseName, n.runDuties) })
	}
	return tasks
}

// composeDigest returns the present state of this node for its peers.
func (n *node) composeDigest() mesh.Digest {
	d := mesh.Digest{
		Node: n.settings.Node, Incarnation: n.incarnation, FailureDomain: n.settings.FailureDomain, Address: n.settings.CallerAddress,
		// The clock is read before the age of the confirmation, so that a pause between the two makes the confirmation
		// look older, not newer.
		State: n.state(), BootClockMillis: time.Duration(boottime.Now()).Milliseconds(), WallClockMillis: time.Now().UnixMilli(),
		ConfirmationAgeMillis: -1, HoldsDutyLease: n.holdsDutyLease.Load(),
		Loads: n.backends.OwnLoads(), Results: n.backends.OwnResults(), Demand: n.backends.Demand(), QuotaUsages: n.quotas.FullReport(),
		Crashes: n.relay.Crashes.FullReport(), ServerLimits: n.backends.Limits(), RunsByWindow: n.usageCounter.WindowsForPeers(),
		Departures: n.backends.Departures(), Registry: n.registry.delta(), IsWarmingUp: n.quotas.IsWarmingUp(),
		UsageFinalThrough: n.usageCounter.FinalThrough(), ServerPaces: n.backends.TakePaceReport(), QuotaNodes: n.quotas.KnownNodes(),
		LostServices: n.paths.Lost(),
	}
	d.ServerVersions = versionsByID(d.Registry.Changes)
	// The ages are read before the version that they belong to: a newer one that is applied in between makes them look older.
	d.ConfigAnswerAgeMillis = n.configAnswerAgeMillis()
	if confirmedAt := n.currentConfig.ConfirmedAt(); confirmedAt > 0 {
		d.ConfirmationAgeMillis = boottime.Since(confirmedAt).Milliseconds()
	}
	if n.rollouts != nil {
		d.Rollouts, d.RolloutCallAgeMillis = n.rollouts.reports(), n.rollouts.callAgeMillis()
	}
	if config := n.currentConfig.Config(); config != nil {
		d.ConfigVersion = config.Version
	}
	return d
}

// composeUrgentDigests returns what peers must know before the next full digest: for all peers, what this node admitted near a
// limit, crashes of backend servers, limits that they name, those that leave, and where streams began; for the holder of the duty
// lease, the request counts that have changed, which would be lost if all nodes ended.
func (n *node) composeUrgentDigests() []mesh.UrgentDigest {
	var list []mesh.UrgentDigest
	digest := mesh.Digest{Node: n.settings.Node, Incarnation: n.incarnation, IsWarmingUp: n.quotas.IsWarmingUp(), IsUrgent: true}
	if quotaUsages := n.quotas.UrgentReport(); len(quotaUsages) > 0 {
		toAll := digest
		toAll.QuotaUsages = quotaUsages
		list = append(list, mesh.UrgentDigest{Digest: toAll})
	}
	toAll := digest
	toAll.Crashes, toAll.ServerLimits, toAll.Departures = n.relay.Crashes.UrgentReport(), n.backends.UrgentLimits(), n.backends.UrgentDepartures()
	toAll.StreamOrigins = n.relay.Origins.TakeReports()
	if n.rollouts != nil {
		toAll.Rollouts = n.rollouts.takeNews()
	}
	if toAll.Crashes != nil || toAll.ServerLimits != nil || toAll.Departures != nil || toAll.StreamOrigins != nil || toAll.Rollouts != nil {
		list = append(list, mesh.UrgentDigest{Digest: toAll})
	}
	if holder := n.dutyHolder(); holder != "" {
		if n.rollouts != nil && n.rollouts.tracker.HasActive() {
			toHolder := digest
			toHolder.Rollouts = n.rollouts.reports()
			list = append(list, mesh.UrgentDigest{Digest: toHolder, Recipient: holder})
		}
		if windows := n.windowsForDutyHolder(holder); len(windows) > 0 {
			toHolder := digest
			toHolder.RunsByWindow = windows
			list = append(list, mesh.UrgentDigest{Digest: toHolder, Recipient: holder})
		}
	}
	return list
}

// dutyHolder returns the name of the peer that reports that it holds the duty lease, empty if none does.
func (n *node) dutyHolder() string {
	for _, m := range n.mesh.ReachableMembers() {
		if m.HoldsDutyLease {
			return m.Node
		}
	}
	return ""
}

// windowsForDutyHolder returns the request counts that are due for the holder of the duty lease. Where summaries are used,
// it may be in another failure domain, which full digests do not reach, and the counts of many nodes come in: the counts of
// recent windows are then repeated each holderUpdateInterval. A new holder gets them at once.
func (n *node) windowsForDutyHolder(holder string) usage.Windows {
	if !n.mesh.UsesSummaries() {
		return n.usageCounter.TakeChanged()
	}
	isNew := n.informedHolder != holder
	if !isNew && boottime.Since(n.holderInformedAt) < holderUpdateInterval {
		return nil
	}
	n.informedHolder, n.holderInformedAt = holder, boottime.Now()
	if isNew || n.isDraining.Load() {
		return n.usageCounter.RecentWindows()
	}
	return n.usageCounter.WindowsForPeers()
}

// isFirstNode reports whether this node is the first one by name that serves callers, as far as it knows.
func (n *node) isFirstNode() bool {
	for _, m := range n.mesh.ReachableMembers() {
		if m.State == mesh.Ready {
			return n.settings.Node < m.Node
		}
	}
	return true
}

// needsShortInterval reports whether other nodes rely on the digests of this one: to follow the registry and to know that
// the configuration is the newest, and, where summaries would tell it late, who holds the duty lease.
func (n *node) needsShortInterval() bool {
	return n.isConfigPoller() || n.registry.isWatching() || n.holdsDutyLease.Load() && n.mesh.UsesSummaries()
}

// handleDigest updates this node's knowledge of its peers from a digest, which may be an urgent or a brief one.
func (n *node) handleDigest(m *mesh.Member) {
	if !m.IsBrief {
		incarnation := incarnationID(m.Node, m.Incarnation)
		n.quotas.ApplyPeerReport(incarnation, quota.PeerReport{
			IsWarmingUp: m.IsWarmingUp, IsPartial: m.IsUrgent, IsLeaving: m.State == mesh.Draining,
			Age: boottime.Since(m.SentAt), KnownNodes: m.QuotaNodes, Usages: m.QuotaUsages,
		})
		n.usageCounter.MergePeerWindows(incarnation, m.RunsByWindow)
	}
	n.relay.Crashes.Apply(m.Crashes)
	n.backends.ApplyLimits(m.ServerLimits)
	n.backends.ApplyDepartures(m.Node, m.Departures)
	n.backends.ApplyPaceReport(incarnationID(m.Node, m.Incarnation), m.ServerPaces)
	n.relay.Origins.ApplyReports(m.StreamOrigins)
	if n.rollouts != nil {
		n.rollouts.applyDigest(m)
	}
	if m.IsUrgent {
		return
	}
	if !m.IsSummarized {
		n.backends.SetPeerLoads(m.Node, m.Loads)
		n.backends.SetPeerResults(m.Node, m.Results)
	}
	n.usageCounter.NoteFinalThrough(m.UsageFinalThrough)
	n.registry.applyDelta(m)
	n.notePeerConfig(m)
}

// handleSummary updates this node's knowledge of the nodes of another failure domain.
func (n *node) handleSummary(s *mesh.Summary) {
	for i := range s.Nodes {
		peer := &s.Nodes[i]
		n.backends.DropPeerLoads(peer.Node) // they are part of the sum
		n.quotas.ApplyPeerReport(incarnationID(peer.Node, peer.Incarnation), quota.PeerReport{
			IsWarmingUp: peer.IsWarmingUp, IsPartial: !peer.HasAllUsages, IsLeaving: peer.State == mesh.Draining,
			Age: time.Duration(peer.AgeMillis) * time.Millisecond, Usages: s.UsagesOf(peer),
		})
	}
	for i := range s.Nodes {
		n.noteConfigVersion(s.Nodes[i].ConfigVersion)
	}
	n.backends.SetPeerLoads(failureDomainPeer(s.FailureDomain), s.Loads)
}

// observeServerPaces passes the paces of the servers of each service to the metrics.
func (n *node) observeServerPaces(observe telemetry.ServerPaceObserver) {
	for service, p := range n.backends.PaceSummaries() {
		observe(service, p.Fastest, p.Slowest, p.Faster, p.Slower)
	}
}

// failureDomainPeer returns the name under which the sums of a failure domain are kept among those of single peers. It
// differs from all names of nodes.
func failureDomainPeer(failureDomain string) string { return "failure domain " + failureDomain }

// incarnationID returns an identifier for one start of a node's process.
func incarnationID(node string, incarnation int64) string {
	return node + "/" + strconv.FormatInt(incarnation, 36)
}

// closeIdleConnections closes connections to backend servers that have been idle for backendIdleTimeout, until ctx ends.
func (n *node) closeIdleConnections(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, idleConnectionCheckInterval)
		n.backends.Maintain(backendIdleTimeout)
		n.relay.Detours.CloseIdle()
	}
}

// reportResources logs callers that exceed the resources of the node, until ctx ends.
func (n *node) reportResources(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, resourceReportInterval)
		n.resources.Report()
	}
}

// maxIdleConnections returns how many idle connections to one backend server of a service this node keeps: half of its
// part of the connections that the server accepts from all nodes. It returns 0 if the configuration sets no maximum.
func (n *node) maxIdleConnections(service string) int {
	config := n.currentConfig.Config()
	if config == nil || config.Services[service] == nil || config.Services[service].MaxConnections == 0 {
		return 0
	}
	_, known := n.mesh.CountNodes()
	return max(1, config.Services[service].MaxConnections/(2*known))
}

// callerLimits returns the limits of the configuration in force, zero values if there is none.
func (n *node) callerLimits() traffic.Limits {
	if config := n.currentConfig.Config(); config != nil {
		return config.Limits
	}
	return traffic.Limits{}
}
