package cloud

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/faultproxy"
	"chestnutrudder.example/standin/service"
)

// serviceDelay is the time that a service runner takes for a call.
const serviceDelay = 5 * time.Millisecond

// host is a host with its backend server: an engine or a service runner.
type host struct {
	cloud.Host
	address    string // IP:port of the backend server, kept across restarts
	mu         sync.Mutex
	server     *http.Server
	engine     *engine.Engine
	service    *service.Runner
	isRemoved  bool
	needsProxy bool
	proxy      *faultproxy.Proxy // nil unless needsProxy
	removal    *pendingRemoval   // nil: no reclaim notice was given
}

// pendingRemoval is the removal of a host that a reclaim notice announced.
type pendingRemoval struct {
	at        time.Time
	refuseNew bool
}

// startBackend starts the backend server of a host. If the backend server crashes, it restarts after
// Settings.RestartMillis.
func (c *Cloud) startBackend(h *host, version string) error {
	address := h.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen on address of backend server")
	}
	if h.address == "" {
		h.address = listener.Addr().String()
		h.Address = "http://" + h.address
		if err := h.startProxy(); err != nil {
			return err
		}
	}
	var modelEngine *engine.Engine
	var serviceRunner *service.Runner
	var handler http.Handler
	if h.Backend == object.BackendService {
		serviceRunner = &service.Runner{Host: h.Name, Ledger: c.EffectLedger, ResponseDelay: serviceDelay, OnCrash: func() { c.closeAndRestartBackend(h, version) }}
		handler = serviceRunner.Handler()
	} else {
		modelEngine = c.newEngine(h.Name, version)
		handler = modelEngine.Handler()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isRemoved {
		if modelEngine != nil {
			modelEngine.Crash()
		}
		return listener.Close()
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	h.server, h.engine, h.service = server, modelEngine, serviceRunner
	h.notifyBackend()
	go func() { _ = server.Serve(listener) }()
	if modelEngine != nil {
		go func() {
			<-modelEngine.Crashed()
			c.closeAndRestartBackend(h, version)
		}()
	}
	return nil
}

// newEngine returns an engine for a host, with the faults that are set for all hosts.
func (c *Cloud) newEngine(name, version string) *engine.Engine {
	config := c.Config
	config.ModelVersion = version
	config.Host = name
	config.Ledger = c.RunLedger
	config.WeightStore = c.BaseURL
	c.mu.Lock()
	config.IgnoreFencing = config.IgnoreFencing || c.settings.IgnoreFencing
	faults := c.engineFaults
	c.mu.Unlock()
	e := engine.New(config)
	e.SetFaults(faults)
	return e
}

// closeAndRestartBackend closes all connections of a backend server, as the end of its process does. After
// Settings.RestartMillis it starts a new one with an empty cache on the same address, unless the host has been removed.
func (c *Cloud) closeAndRestartBackend(h *host, version string) {
	h.mu.Lock()
	server, isRemoved := h.server, h.isRemoved
	h.server = nil
	h.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	c.mu.Lock()
	restartDelay := time.Duration(c.settings.RestartMillis) * time.Millisecond
	c.mu.Unlock()
	if isRemoved || restartDelay <= 0 {
		return
	}
	time.AfterFunc(restartDelay, func() { _ = c.startBackend(h, version) })
}

// crashBackend crashes the backend server of the host; the crash of an engine leads to closeAndRestartBackend. The host
// stays in the host list.
func (h *host) crashBackend(c *Cloud) {
	h.mu.Lock()
	modelEngine := h.engine
	h.mu.Unlock()
	if modelEngine != nil {
		modelEngine.Crash()
		return
	}
	c.closeAndRestartBackend(h, "")
}

// close stops the backend server and the proxy for good and closes their connections.
func (h *host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isRemoved = true
	if h.proxy != nil {
		h.proxy.Close()
	}
	if h.engine != nil {
		h.engine.Crash()
	}
	if h.server != nil {
		_ = h.server.Close()
		h.server = nil
	}
}

// announceRemoval tells the backend server that the host will be removed at the given time. If refuseNew is set, the
// backend server refuses new work.
func (h *host) announceRemoval(at time.Time, refuseNew bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removal = &pendingRemoval{at: at, refuseNew: refuseNew}
	h.notifyBackend()
}

// notifyBackend tells the current backend server about a pending removal. It is called for each notice and each restart.
// The caller must hold h.mu.
func (h *host) notifyBackend() {
	if h.removal == nil {
		return
	}
	if h.engine != nil {
		h.engine.AnnounceReclaim(h.removal.at, h.removal.refuseNew)
	}
	if h.service != nil && h.removal.refuseNew {
		h.service.RefuseNewCalls()
	}
}

// setFrozen makes the backend server stop responding with its connections left open, or makes it continue.
func (h *host) setFrozen(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.engine != nil {
		h.engine.SetFrozen(frozen)
	}
	if h.service != nil {
		h.service.SetFrozen(frozen)
	}
}

// modelEngine returns the engine of the host, or nil if its backend server is a service runner.
func (h *host) modelEngine() *engine.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine
}
