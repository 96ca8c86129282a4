// Package daemon builds the parts of a node and starts and stops them in order. Only cmd/rudderd calls it.
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
	headerTimeout = 10 * time.Second
	// leaseContenders is the number of nodes that look at a lease that they do not hold; the others cost no reads.
	leaseContenders = 3
)

// Run runs a node until ctx ends and then stops it gracefully: requests in progress end by themselves within the stop
// timeout.
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
	hosts := fleet.NewTable()
	notices := newNotices(s, hosts, members, records, store, logger)
	current := &revision.Current{}
	dialer := peer.NewDialer()
	defer dialer.Close()
	exchanger, closeControl := newExchanger(s, members, records, store, metrics, logger)
	defer closeControl()
	dispatcher := dispatch.New(members, hosts, logger.Part("dispatch"))
	quarantined := quarantine.New(records, logger.Part("quarantine"))
	dispatcher.Current, dispatcher.Quarantine, dispatcher.Routing = current, quarantined, s.Routing
	router := route.NewRouter(s.Routing)
	exchanger.HandleDigests = router.Digests.Update
	exchanger.LocalDigests = func() []*peerpb.LoadDigest {
		own := dispatcher.Digests()
		router.Digests.Update(own)
		return own
	}
	keeper := claim.NewCoordinator(store, time.Now, logger.Part("claim"))
	claims := &claim.Client{Members: members, Local: keeper, Dial: dialer.Client}
	callers := &entry.Server{Members: members, Fleet: hosts, Current: current, Claims: claims, Dial: dialer.Client, Metrics: metrics, Log: logger.Part("entry")}
	decisions := decision.NewRecorder(s.Node, decision.RingSize, logger.Part)
	callers.Router, callers.Quarantine = router, quarantined
	dispatcher.Decisions, callers.Decisions = decisions, decisions
	dispatcher.OnTrial = rollout.NewTrials(records).IsOnTrial
	follower := &revision.Follower{Store: store, Current: current, Members: members, Records: records, Dial: dialer.Client, Log: logger.Part("revision")}
	follower.Start()
	places := registry.NewTable()
	runs := &registry.Client{Members: members, Dial: dialer.Client, Local: places}
	callers.Registry, callers.Redial = runs, dialer.Renew
	peers := &peer.Server{
		Membership: exchanger, Dispatcher: entry.PeerRuns{Dispatcher: dispatcher, Entry: callers}, Claims: keeper,
		Registry: places, Snapshots: follower,
	}
	stopper := &drainer{members: exchanger, dispatcher: dispatcher, callers: callers, log: logger.Part("daemon"), begin: make(chan time.Duration, 1)}
	acceptor := &revision.Acceptor{Store: store, Current: current, Ready: hosts.ServingByDeployment, Node: s.Node, Published: follower.Published, Log: logger.Part("revision")}
	leases := &lease.Manager{
		Store: store, Node: s.Node, Timing: lease.DefaultTiming, Log: logger.Part("lease"),
		Contends: func(name string) bool { return members.IsAmongTopRanked("lease/"+name, leaseContenders) },
	}

	parts, stopParts := context.WithCancel(context.Background())
	defer stopParts()
	group, groupCtx := errgroup.WithContext(parts)
	loops := append(controlLoops(s, store, records, hosts, current, leases, router.Digests, decisions, logger),
		exchanger.Run,
		notices.Run,
		func(ctx context.Context) { runs.Renew(ctx, callers.Places, dispatcher.Places) },
		dispatcher.Loop,
		follower.Run,
		func(ctx context.Context) { leases.Hold(ctx, revision.LeaseName, acceptor.Run) },
		func(ctx context.Context) { hosts.Poll(ctx, cloud.NewHostList(s.HostList), logger.Part("fleet")) },
	)
	for _, loop := range loops {
		group.Go(func() error { loop(groupCtx); return nil })
	}
	callerServer := &http.Server{Handler: callers.Handler(), ReadHeaderTimeout: headerTimeout}
	admin := adminHandler(metrics, decisions, current, func() string { return notReady(follower, dispatcher) })
	admin.HandleFunc("/drain", stopper.serve).Methods(http.MethodPost)
	adminServer := &http.Server{Handler: admin, ReadHeaderTimeout: headerTimeout}
	servers := []listening{
		{peer.NewHTTPServer(peers), s.PeerListenAddress()},
		{callerServer, s.CallerListenAddress()},
		{adminServer, s.AdminAddress},
	}
	if err := listenAll(group, servers); err != nil {
		return err
	}
	logger.Part("daemon").Info("Node is running.", "failure_domain", s.FailureDomain, "caller_address", s.CallerAddress)
	left := stopper.await(ctx, groupCtx.Done(), s.StopTimeout)
	logger.Part("daemon").Info("Node is stopping.", "deadline_seconds", left.Seconds())
	stopCtx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	stopper.drain(left)
	_ = callerServer.Shutdown(stopCtx)
	for _, l := range servers {
		_ = l.server.Shutdown(stopCtx)
	}
	stopParts()
	return group.Wait()
}

type listening struct {
	server  *http.Server
	address string
}

// listenAll opens every socket before it serves any, so that a node with a taken address does not start half.
func listenAll(group *errgroup.Group, servers []listening) error {
	var listeners []net.Listener
	for _, l := range servers {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		listeners = append(listeners, listener)
	}
	for i, l := range servers {
		group.Go(func() error {
			err := l.server.Serve(listeners[i])
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrapf(err, "serve %s", l.address)
		})
	}
	return nil
}

// adminHandler serves metrics, recent decisions, the revision in force, liveness and readiness.
func adminHandler(metrics *telemetry.Metrics, decisions *decision.Recorder, current *revision.Current, notReady func() string) *mux.Router {
	router := mux.NewRouter()
	router.Handle("/metrics", metrics.Handler())
	router.Handle("/decisions", decisions).Methods(http.MethodGet)
	router.HandleFunc("/revision", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, "{\"revision\":%d}\n", current.Index().Number)
	}).Methods(http.MethodGet)
	router.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

// notReady returns why a node should get no callers yet, empty if it is ready.
func notReady(follower *revision.Follower, dispatcher *dispatch.Dispatcher) string {
	if reason := follower.NotReady(); reason != "" {
		return reason
	}
	if !dispatcher.Ready() {
		return "backend servers are not known yet"
	}
	return ""
}
