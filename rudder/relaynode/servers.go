package relaynode

import (
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chestnutrudder.example/rudder/telemetry"
)

// startServers opens the sockets of all servers before it serves any of them. It returns the servers for callers and for peers that
// pass requests on, and a function that closes all.
func (n *node) startServers(group *errgroup.Group, metrics *telemetry.Metrics) (callers, detours *callerServer, closeAll func(), err error) {
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
		return nil, nil, nil, errors.Wrapf(err, "listen on %s", n.settings.CallerAddress)
	}
	callers = newCallerServer(listener, n.relay, n.callerLimits, n.logger.Part("http"))
	callers.port = n.resources.NewPort(n.settings.CallerAddress, n.resourceLimits.CallerConnections)
	detours, err = n.newDetourServer()
	if err != nil {
		return nil, nil, nil, err
	}
	serversByListener := map[net.Listener]*http.Server{}
	for address, router := range routers {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, nil, nil, errors.Wrapf(err, "listen on %s", address)
		}
		port := n.resources.NewPort(address, n.resourceLimits.OtherPortConnections)
		serversByListener[&chargedListener{Listener: listener, port: port}] = newOtherPortServer(router)
	}
	group.Go(callers.Serve)
	group.Go(detours.Serve)
	for listener, server := range serversByListener {
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve %s", listener.Addr())
			}
			return nil
		})
	}
	return callers, detours, func() {
		callers.Close()
		detours.Close()
		for _, server := range serversByListener {
			_ = server.Close() // the process ends, whatever a connection that is still open reports
		}
	}, nil
}
