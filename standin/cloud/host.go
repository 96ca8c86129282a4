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
	address string // IP:port, set once
	mu      sync.Mutex
	server  *http.Server
	engine  *engine.Engine
	service *service.Runner
	gone    bool
	proxied bool
	proxy   *faultproxy.Proxy // nil unless proxied
	leaving *deadline         // nil: no notice
}

// deadline is the end that a notice announced.
type deadline struct {
	at     time.Time
	refuse bool
}

// open starts the backend server of a host. A backend server that crashes by itself starts again after a while.
func (c *Cloud) open(h *host, version string) error {
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
		if err := h.advertiseProxy(); err != nil {
			return err
		}
	}
	var running *engine.Engine
	var plain *service.Runner
	var handler http.Handler
	if h.Backend == object.BackendService {
		plain = &service.Runner{Host: h.Name, Ledger: c.Ledger, ResponseDelay: serviceDelay, OnCrash: func() { c.crash(h, version) }}
		handler = plain.Handler()
	} else {
		running = c.newEngine(h.Name, version)
		handler = running.Handler()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		if running != nil {
			running.Crash()
		}
		return listener.Close()
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	h.server, h.engine, h.service = server, running, plain
	h.tellNotice()
	go func() { _ = server.Serve(listener) }()
	if running != nil {
		go func() {
			<-running.Crashed()
			c.crash(h, version)
		}()
	}
	return nil
}

func (c *Cloud) newEngine(name, version string) *engine.Engine {
	config := c.Config
	config.ModelVersion = version
	config.Host = name
	config.Ledger = c.Runs
	config.WeightStore = c.Base
	c.mu.Lock()
	config.IgnoreFencing = config.IgnoreFencing || c.settings.IgnoreFencing
	faults := c.engineFaults
	c.mu.Unlock()
	e := engine.New(config)
	e.SetFaults(faults)
	return e
}

// crash closes all connections of a backend server and starts it again, with an empty cache, after a while.
func (c *Cloud) crash(h *host, version string) {
	h.mu.Lock()
	server, gone := h.server, h.gone
	h.server = nil
	h.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	c.mu.Lock()
	restart := time.Duration(c.settings.RestartMillis) * time.Millisecond
	c.mu.Unlock()
	if gone || restart <= 0 {
		return
	}
	time.AfterFunc(restart, func() { _ = c.open(h, version) })
}

// kill ends the process of a backend server; the host stays.
func (h *host) kill(c *Cloud) {
	h.mu.Lock()
	running := h.engine
	h.mu.Unlock()
	if running != nil {
		running.Crash()
		return
	}
	c.crash(h, "")
}

// close takes a host away: connections break and nothing listens any more.
func (h *host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = true
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

// leave tells the backend server about a notice.
func (h *host) leave(at time.Time, refuse bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = &deadline{at: at, refuse: refuse}
	h.tellNotice()
}

// tellNotice passes the notice on, also to a backend server that started again. The caller holds the lock.
func (h *host) tellNotice() {
	if h.leaving == nil {
		return
	}
	if h.engine != nil {
		h.engine.AnnounceReclaim(h.leaving.at, h.leaving.refuse)
	}
	if h.service != nil && h.leaving.refuse {
		h.service.RefuseNewCalls()
	}
}

func (h *host) freeze(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.engine != nil {
		h.engine.SetFrozen(frozen)
	}
	if h.service != nil {
		h.service.SetFrozen(frozen)
	}
}

// running returns the engine, nil for a service.
func (h *host) running() *engine.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine
}
