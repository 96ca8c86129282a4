// Package cloud is a stand-in for the platform around hosts: the cloud API, the host list, and the hosts themselves,
// whose engines and services run inside this process on ports of their own. Only cmd/standin and tests use it.
package cloud

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/service"
)

// Group describes hosts that exist from the start.
type Group struct {
	Deployment         string         `json:"deployment"`
	Backend            object.Backend `json:"backend"`
	ModelVersion       string         `json:"model_version"`
	FailureDomain      string         `json:"failure_domain"`
	Class              string         `json:"class"`
	Reclaimable        bool           `json:"reclaimable"`
	PriceMicrosPerHour int64          `json:"price_micros_per_hour"`
	Count              int            `json:"count"`
}

type host struct {
	cloud.Host
	server *http.Server
	engine *engine.Engine
}

// Cloud holds the hosts.
type Cloud struct {
	Config engine.Config
	Ledger *service.Ledger

	mu     sync.Mutex
	hosts  map[string]*host
	number int
}

// New returns a cloud without hosts.
func New(config engine.Config) *Cloud {
	return &Cloud{Config: config, Ledger: &service.Ledger{}, hosts: map[string]*host{}}
}

// AddGroup starts the hosts of a group.
func (c *Cloud) AddGroup(g Group) error {
	for range g.Count {
		if _, err := c.start(g); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cloud) start(g Group) (*host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a host")
	}
	h := &host{Host: cloud.Host{
		FailureDomain:      g.FailureDomain,
		Class:              g.Class,
		Reclaimable:        g.Reclaimable,
		PriceMicrosPerHour: g.PriceMicrosPerHour,
		State:              cloud.HostLive,
		Address:            "http://" + listener.Addr().String(),
		Backend:            g.Backend,
		Deployment:         g.Deployment,
	}}
	var handler http.Handler
	if g.Backend == object.BackendService {
		handler = (&service.Service{Ledger: c.Ledger, Delay: 5 * time.Millisecond}).Handler()
	} else {
		config := c.Config
		config.ModelVersion = g.ModelVersion
		h.engine = engine.New(config)
		handler = h.engine.Handler()
	}
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	c.mu.Lock()
	c.number++
	h.Name = fmt.Sprintf("%s-%s-%d", g.Deployment, g.FailureDomain, c.number)
	c.hosts[h.Name] = h
	c.mu.Unlock()
	go func() { _ = h.server.Serve(listener) }()
	if h.engine != nil {
		go func() {
			<-h.engine.Crashed()
			_ = h.server.Close()
		}()
	}
	return h, nil
}

// Handler returns the host list and, under /control, what a test may do to hosts.
func (c *Cloud) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/hosts", c.list).Methods(http.MethodGet)
	router.HandleFunc("/control/hosts/{host}/crash", c.crash).Methods(http.MethodPost)
	router.HandleFunc("/control/busiest", c.busiest).Methods(http.MethodGet)
	router.HandleFunc("/control/effects", c.effects).Methods(http.MethodGet)
	return router
}

func (c *Cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	hosts := []cloud.Host{}
	for _, h := range c.hosts {
		hosts = append(hosts, h.Host)
	}
	c.mu.Unlock()
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	writeJSON(w, hosts)
}

// crash kills the backend server of a host without notice.
func (c *Cloud) crash(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	h := c.hosts[mux.Vars(r)["host"]]
	if h != nil {
		delete(c.hosts, h.Name)
	}
	c.mu.Unlock()
	if h == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if h.engine != nil {
		h.engine.Crash()
	}
	_ = h.server.Close()
}

func (c *Cloud) effects(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.Ledger.Effects()) }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Busy names the host with the most runs.
type Busy struct {
	Host string `json:"host"`
	Runs int    `json:"runs"`
}

func (c *Cloud) busiest(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var busy Busy
	for name, h := range c.hosts {
		if h.engine == nil {
			continue
		}
		if runs := h.engine.Running(); runs > busy.Runs {
			busy = Busy{Host: name, Runs: runs}
		}
	}
	writeJSON(w, busy)
}
