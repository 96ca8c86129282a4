package cloud

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/gorilla/mux"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/service"
)

func (c *Cloud) registerControlRoutes(router *mux.Router) {
	router.HandleFunc("/hosts/{host}/crash", c.handleCrashHost).Methods(http.MethodPost)
	router.HandleFunc("/hosts/{host}/restart", c.handleRestartBackend).Methods(http.MethodPost)
	router.HandleFunc("/hosts/{host}/{fault:silence|cut}", c.handleConnectionFault).Methods(http.MethodPost)
	router.HandleFunc("/hosts/{host}/freeze", c.handleFreezeHost).Methods(http.MethodPut)
	router.HandleFunc("/reclaim", c.handleReclaim).Methods(http.MethodPost)
	router.HandleFunc("/settings", c.handleChangeSettings).Methods(http.MethodPut)
	router.HandleFunc("/settings", c.handleGetSettings).Methods(http.MethodGet)
	router.HandleFunc("/price", c.handleChangePrice).Methods(http.MethodPut)
	router.HandleFunc("/engine-faults", c.handleSetEngineFaults).Methods(http.MethodPut)
	router.HandleFunc("/service-faults", c.handleSetServiceFaults).Methods(http.MethodPut)
	router.HandleFunc("/busiest", c.handleBusiestHost).Methods(http.MethodGet)
	router.HandleFunc("/engines", c.handleListEngines).Methods(http.MethodGet)
	router.HandleFunc("/cost", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.Cost()) }).Methods(http.MethodGet)
	router.HandleFunc("/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.RunLedger.Records()) }).Methods(http.MethodGet)
	router.HandleFunc("/late-offers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.RunLedger.LateRuns()) }).Methods(http.MethodGet)
	router.HandleFunc("/effects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.EffectLedger.Effects()) }).Methods(http.MethodGet)
}

// decodeBody decodes the JSON body of a control request into target. If that fails, it responds with 400 and returns
// false.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// handleCrashHost permanently removes a host without notice.
func (c *Cloud) handleCrashHost(w http.ResponseWriter, r *http.Request) {
	if !c.removeHost(mux.Vars(r)["host"]) {
		w.WriteHeader(http.StatusNotFound)
	}
}

// findHost returns the host that the path names. If there is none, it sets the status to 404 and returns nil.
func (c *Cloud) findHost(w http.ResponseWriter, r *http.Request) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[mux.Vars(r)["host"]]
	if h == nil {
		w.WriteHeader(http.StatusNotFound)
	}
	return h
}

// handleRestartBackend crashes the backend server of a host, which restarts after Settings.RestartMillis.
func (c *Cloud) handleRestartBackend(w http.ResponseWriter, r *http.Request) {
	if h := c.findHost(w, r); h != nil {
		h.crashBackend(c)
	}
}

func (c *Cloud) handleFreezeHost(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Frozen bool `json:"frozen"`
	}
	if !decodeBody(w, r, &body) {
		return
	}
	if h := c.findHost(w, r); h != nil {
		h.setFrozen(body.Frozen)
	}
}

func (c *Cloud) handleReclaim(w http.ResponseWriter, r *http.Request) {
	var body ReclaimRequest
	if decodeBody(w, r, &body) {
		writeJSON(w, c.Reclaim(body))
	}
}

// handleChangeSettings changes the settings that are present in the body and keeps the others.
func (c *Cloud) handleChangeSettings(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	settings := c.settings
	if decodeBody(w, r, &settings) {
		c.settings = settings
	}
}

func (c *Cloud) handleGetSettings(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	writeJSON(w, c.settings)
}

// PriceChange is the body of a request that sets the price of a kind of host.
type PriceChange struct {
	HostKind
	PriceMicrosPerHour int64 `json:"price_micros_per_hour"`
}

func (c *Cloud) handleChangePrice(w http.ResponseWriter, r *http.Request) {
	var body PriceChange
	if decodeBody(w, r, &body) {
		c.SetPrice(body.HostKind, body.PriceMicrosPerHour)
	}
}

// EngineFaults is the body of a request that sets the faults of the engine of one host. If Host is empty, it sets those of
// all engines, including engines that start later.
type EngineFaults struct {
	Host   string        `json:"host"`
	Faults engine.Faults `json:"faults"`
}

func (c *Cloud) handleSetEngineFaults(w http.ResponseWriter, r *http.Request) {
	var body EngineFaults
	if !decodeBody(w, r, &body) {
		return
	}
	if body.Host == "" {
		c.mu.Lock()
		c.engineFaults = body.Faults
		c.mu.Unlock()
	}
	for _, h := range c.hostsNamed(body.Host) {
		if modelEngine := h.modelEngine(); modelEngine != nil {
			modelEngine.SetFaults(body.Faults)
		}
	}
}

// ServiceFaults is the body of a request that sets the faults of the service runner of one host. If Host is empty, it
// sets those of all service runners that are running.
type ServiceFaults struct {
	Host   string         `json:"host"`
	Faults service.Faults `json:"faults"`
}

func (c *Cloud) handleSetServiceFaults(w http.ResponseWriter, r *http.Request) {
	var body ServiceFaults
	if !decodeBody(w, r, &body) {
		return
	}
	for _, h := range c.hostsNamed(body.Host) {
		h.mu.Lock()
		if h.service != nil {
			h.service.SetFaults(body.Faults)
		}
		h.mu.Unlock()
	}
}

// hostsNamed returns the host with the given name, or all hosts sorted by name if it is empty.
func (c *Cloud) hostsNamed(name string) []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []*host
	for _, h := range c.hosts {
		if name == "" || h.Name == name {
			hosts = append(hosts, h)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// BusiestHost is the host with the most runs in its batch. Host is empty if no engine has a run.
type BusiestHost struct {
	Host string `json:"host"`
	Runs int    `json:"runs"`
}

func (c *Cloud) handleBusiestHost(w http.ResponseWriter, _ *http.Request) {
	var busiest BusiestHost
	for _, h := range c.hostsNamed("") {
		if modelEngine := h.modelEngine(); modelEngine != nil {
			if runs := modelEngine.RunningCount(); runs > busiest.Runs {
				busiest = BusiestHost{Host: h.Name, Runs: runs}
			}
		}
	}
	writeJSON(w, busiest)
}

// EngineState holds the current load and the counters of one engine.
type EngineState struct {
	Host          string       `json:"host"`
	FailureDomain string       `json:"failure_domain"`
	Running       int          `json:"running"` // runs in the batch
	Stats         engine.Stats `json:"stats"`
}

func (c *Cloud) handleListEngines(w http.ResponseWriter, _ *http.Request) {
	states := []EngineState{}
	for _, h := range c.hostsNamed("") {
		if modelEngine := h.modelEngine(); modelEngine != nil {
			states = append(states, EngineState{Host: h.Name, FailureDomain: h.FailureDomain, Running: modelEngine.RunningCount(), Stats: modelEngine.Stats()})
		}
	}
	writeJSON(w, states)
}
