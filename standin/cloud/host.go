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

const serviceDelay = 5 * time.Millisecond

// host is one host with its backend server.
type host struct {
	cloud.Host
	address    string // IP:port, set once
	mu         sync.Mutex
	server     *http.Server
	engine     *engine.Engine
	service    *service.Service
	isRemoved  bool
	needsProxy bool
	proxy      *faultproxy.Proxy // nil unless proxied
	removal    *pendingRemoval   // nil: no notice
}

// pendingRemoval is the end that a notice announced.
type pendingRemoval struct {
	at        time.Time
	refuseNew bool
}

// startBackend starts the backend server of a host. A backend server that crashes by itself starts again after a while.
func (c *Cloud) startBackend(h *host, version string) error {
	address := h.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for a host")
	}
	if h.address == "" {
		h.address = listener.Addr().String()
		h.Address = "http://" + h.address
		if err := h.startProxy(); err != nil {
			return err
		}
	}
	var modelEngine *engine.Engine
	var serviceRunner *service.Service
	var handler http.Handler
	if h.Backend == object.BackendService {
		serviceRunner = &service.Service{Host: h.Name, Ledger: c.EffectLedger, Delay: serviceDelay, Crash: func() { c.crashBackend(h, version) }}
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
			c.crashBackend(h, version)
		}()
	}
	return nil
}

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

// crashBackend closes all connections of a backend server and starts it again, with an empty cache, after a while.
func (c *Cloud) crashBackend(h *host, version string) {
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

// killBackend ends the process of a backend server; the host stays.
func (h *host) killBackend(c *Cloud) {
	h.mu.Lock()
	modelEngine := h.engine
	h.mu.Unlock()
	if modelEngine != nil {
		modelEngine.Crash()
		return
	}
	c.crashBackend(h, "")
}

// close takes a host away: connections break and nothing listens any more.
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

// announceRemoval tells the backend server about a notice.
func (h *host) announceRemoval(at time.Time, refuseNew bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removal = &pendingRemoval{at: at, refuseNew: refuseNew}
	h.notifyBackend()
}

// notifyBackend passes the notice on, also to a backend server that started again. The caller holds the lock.
func (h *host) notifyBackend() {
	if h.removal == nil {
		return
	}
	if h.engine != nil {
		h.engine.Leave(h.removal.at, h.removal.refuseNew)
	}
	if h.service != nil && h.removal.refuseNew {
		h.service.Leave()
	}
}

func (h *host) setFrozen(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.engine != nil {
		h.engine.Freeze(frozen)
	}
	if h.service != nil {
		h.service.Freeze(frozen)
	}
}

// modelEngine returns the engine, nil for a service.
func (h *host) modelEngine() *engine.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine
}
