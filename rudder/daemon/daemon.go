// Package daemon builds the components of a node and starts and stops them in order. Only cmd/rudderd calls it.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"chestnutrudder.example/rudder/claim"
	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/dispatch"
	"chestnutrudder.example/rudder/entry"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/quarantine"
	"chestnutrudder.example/rudder/registry"
	"chestnutrudder.example/rudder/revision"
	"chestnutrudder.example/rudder/rollout"
	"chestnutrudder.example/rudder/route"
	"chestnutrudder.example/rudder/settings"
	"chestnutrudder.example/rudder/telemetry"
)

const (
	// readHeaderTimeout limits the time in which a client of the caller or admin address must send its request headers.
	readHeaderTimeout = 10 * time.Second
	// maxLeaseContenders is the number of nodes that try to acquire a lease that they do not hold. The other nodes do not
	// read the lease, which bounds the reads of the object API.
	maxLeaseContenders = 3
)

// Run runs a node until ctx ends, the node is told to drain or one of its servers fails, and then stops it gracefully:
// requests in progress may finish within the stop timeout (or until the deadline of the drain request), and those that are
// left shortly before its end are handed over to other nodes. It returns an error if the node cannot start or a server
// fails.
func Run(ctx context.Context, s settings.Settings, logs io.Writer) error {
	logger := telemetry.NewLogger(logs, s.Level(), s.Node)
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	store := objectapi.NewClient(s.ObjectAPI, func(kind string) {
		metrics.ObjectAPICalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
	})
	members := membership.NewTable(membership.Node{
		Name:          s.Node,
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAddress,
		AdminAddress:  s.AdminAddress,
		Incarnation:   time.Now().UnixMilli(),
	})
	records := membership.NewRecords()
	store.OnNewEpoch = records.AnnounceEpoch
	hosts := fleet.NewTable()
	noticeDistributor := startNoticeDistributor(s, hosts, members, records, store, logger)
	currentSnapshot := &revision.CurrentSnapshot{}
	dialer := peer.NewDialer()
	defer dialer.Close()
	exchanger, closeControlDialer := newExchanger(s, members, records, store, metrics, logger)
	defer closeControlDialer()
	dispatcher := dispatch.New(members, hosts, logger.Part("dispatch"))
	quarantineList := quarantine.New(s.Node, records, logger.Part("quarantine"))
	quarantineList.Parts.IsTrialNode = func() bool { return members.IsAmongTopRanked("crash-trial", 1) }
	dispatcher.CurrentSnapshot, dispatcher.Quarantine, dispatcher.Routing = currentSnapshot, quarantineList, s.Routing
	router := route.NewRouter(s.Routing)
	exchanger.HandleDigests = router.Digests.Update
	exchanger.LocalDigests = func() []*peerpb.LoadDigest {
		localDigests := dispatcher.Digests()
		router.Digests.Update(localDigests)
		return localDigests
	}
	claimCoordinator := claim.NewCoordinator(store, time.Now, logger.Part("claim"))
	claimClient := &claim.Client{Members: members, LocalCoordinator: claimCoordinator, Dial: dialer.Client, Log: logger.Part("claim")}
	records.WatchEpoch(func(epoch int64) {
		go claimCoordinator.HandleEpoch(context.Background(), epoch)
		go claimClient.RecordHeldClaims(context.Background())
	})
	entryServer := &entry.Server{
		Members: members, Fleet: hosts, CurrentSnapshot: currentSnapshot, Claims: claimClient, Dial: dialer.Client, Metrics: metrics,
		Log: logger.Part("entry"),
	}
	decisions := decision.NewRecorder(s.Node, decision.RingSize, logger.Part)
	entryServer.Router, entryServer.Quarantine = router, quarantineList
	dispatcher.Decisions, entryServer.Decisions = decisions, decisions
	dispatcher.IsRollingOut = rollout.NewTracker(records).IsRollingOut
	follower := &revision.Follower{
		Store: store, CurrentSnapshot: currentSnapshot, Members: members, Records: records, Dial: dialer.Client,
		Log: logger.Part("revision"),
	}
	follower.Start()
	registryTable := registry.NewTable()
	registryClient := &registry.Client{Members: members, Dial: dialer.Client, LocalTable: registryTable}
	entryServer.Registry, entryServer.Redial = registryClient, dialer.Redial
	peerServer := &peer.Server{
		Membership: exchanger, Dispatcher: entry.PeerDispatcher{Dispatcher: dispatcher, Entry: entryServer},
		Claims: claimCoordinator, Registry: registryTable, Snapshots: follower,
	}
	nodeDrainer := &drainer{exchanger: exchanger, dispatcher: dispatcher, entryServer: entryServer, log: logger.Part("daemon"), drainRequests: make(chan time.Duration, 1)}
	acceptor := &revision.Acceptor{
		Store: store, CurrentSnapshot: currentSnapshot, ReadyRunners: hosts.CountServingHosts, Node: s.Node,
		OnPublish: follower.ApplyPublished, NewestKnownNumber: follower.NewestKnownNumber, Log: logger.Part("revision"),
	}
	leases := &lease.Manager{
		Store: store, Node: s.Node, Timing: lease.DefaultTiming, Log: logger.Part("lease"),
		ShouldContend: func(name string) bool { return members.IsAmongTopRanked("lease/"+name, maxLeaseContenders) },
	}

	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	group, groupCtx := errgroup.WithContext(loopCtx)
	loops := append(controlLoops(s, store, records, hosts, currentSnapshot, leases, router.Digests, decisions, logger),
		exchanger.Run,
		noticeDistributor.Run,
		func(ctx context.Context) { registryClient.Renew(ctx, entryServer.Places, dispatcher.UnreadRunPlaces) },
		dispatcher.Loop,
		quarantineList.Run,
		follower.Run,
		func(ctx context.Context) { leases.Hold(ctx, revision.LeaseName, acceptor.Run) },
		func(ctx context.Context) { hosts.Poll(ctx, cloud.NewHostList(s.HostList), logger.Part("fleet")) },
	)
	for _, loop := range loops {
		group.Go(func() error { loop(groupCtx); return nil })
	}
	callerServer := &http.Server{Handler: entryServer.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	adminRouter := newAdminRouter(metrics, decisions, currentSnapshot, func() string { return notReadyReason(follower, dispatcher) })
	adminRouter.HandleFunc("/drain", nodeDrainer.handleDrain).Methods(http.MethodPost)
	adminServer := &http.Server{Handler: adminRouter, ReadHeaderTimeout: readHeaderTimeout}
	endpoints := []endpoint{
		{peer.NewHTTPServer(peerServer), s.PeerListenAddress()},
		{callerServer, s.CallerListenAddress()},
		{adminServer, s.AdminAddress},
	}
	if err := serveAll(group, endpoints); err != nil {
		return err
	}
	logger.Part("daemon").Info("Node is running.", "failure_domain", s.FailureDomain, "caller_address", s.CallerAddress)
	timeLeft := nodeDrainer.awaitStop(ctx, groupCtx.Done(), s.StopTimeout)
	logger.Part("daemon").Info("Node is stopping.", "deadline_seconds", timeLeft.Seconds())
	stopCtx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	nodeDrainer.drain(timeLeft)
	_ = callerServer.Shutdown(stopCtx)
	for _, e := range endpoints {
		_ = e.server.Shutdown(stopCtx)
	}
	stopLoops()
	return group.Wait()
}

// endpoint is an HTTP server and the address on which it listens.
type endpoint struct {
	server  *http.Server
	address string
}

// serveAll starts the servers in the group. It opens all listening sockets before it serves the first, so that a node does
// not start in part if an address is already in use.
func serveAll(group *errgroup.Group, endpoints []endpoint) error {
	var listeners []net.Listener
	for _, e := range endpoints {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", e.address)
		}
		listeners = append(listeners, listener)
	}
	for i, e := range endpoints {
		group.Go(func() error {
			err := e.server.Serve(listeners[i])
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrapf(err, "serve %s", e.address)
		})
	}
	return nil
}

// newAdminRouter returns the handler for metrics, recent decisions, the revision in force, liveness and readiness.
// checkReady returns why the node is not ready, or an empty string.
func newAdminRouter(metrics *telemetry.Metrics, decisions *decision.Recorder, currentSnapshot *revision.CurrentSnapshot,
	checkReady func() string,
) *mux.Router {
	router := mux.NewRouter()
	router.Handle("/metrics", metrics.Handler())
	router.Handle("/decisions", decisions).Methods(http.MethodGet)
	router.HandleFunc("/revision", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, "{\"revision\":%d}\n", currentSnapshot.Index().Number)
	}).Methods(http.MethodGet)
	router.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if reason := checkReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

// notReadyReason returns why the node should get no new callers, or an empty string if it is ready.
func notReadyReason(follower *revision.Follower, dispatcher *dispatch.Dispatcher) string {
	if reason := follower.NotReadyReason(); reason != "" {
		return reason
	}
	if !dispatcher.IsReady() {
		return "backend servers are not known yet"
	}
	return ""
}
