package cloud

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/gorilla/mux"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/service"
)

func (c *Cloud) registerControls(router *mux.Router) {
	router.HandleFunc("/hosts/{host}/crash", c.crashHost).Methods(http.MethodPost)
	router.HandleFunc("/hosts/{host}/restart", c.restartBackend).Methods(http.MethodPost)
	router.HandleFunc("/hosts/{host}/{fault:silence|cut}", c.disturb).Methods(http.MethodPost)
	router.HandleFunc("/hosts/{host}/freeze", c.freezeHost).Methods(http.MethodPut)
	router.HandleFunc("/reclaim", c.reclaim).Methods(http.MethodPost)
	router.HandleFunc("/settings", c.changeSettings).Methods(http.MethodPut)
	router.HandleFunc("/settings", c.showSettings).Methods(http.MethodGet)
	router.HandleFunc("/price", c.changePrice).Methods(http.MethodPut)
	router.HandleFunc("/engine-faults", c.changeEngineFaults).Methods(http.MethodPut)
	router.HandleFunc("/service-faults", c.changeServiceFaults).Methods(http.MethodPut)
	router.HandleFunc("/busiest", c.busiest).Methods(http.MethodGet)
	router.HandleFunc("/engines", c.engines).Methods(http.MethodGet)
	router.HandleFunc("/cost", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.Cost()) }).Methods(http.MethodGet)
	router.HandleFunc("/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.Runs.Records()) }).Methods(http.MethodGet)
	router.HandleFunc("/late-offers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.Runs.LateRuns()) }).Methods(http.MethodGet)
	router.HandleFunc("/effects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.Ledger.Effects()) }).Methods(http.MethodGet)
}

// decode reads the body of a control request; false means that the answer has been sent.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// crashHost takes a host away for good and without notice.
func (c *Cloud) crashHost(w http.ResponseWriter, r *http.Request) {
	if !c.remove(mux.Vars(r)["host"]) {
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *Cloud) find(w http.ResponseWriter, r *http.Request) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[mux.Vars(r)["host"]]
	if h == nil {
		w.WriteHeader(http.StatusNotFound)
	}
	return h
}

// restartBackend kills the backend server of a host; it starts again after Settings.RestartMillis.
func (c *Cloud) restartBackend(w http.ResponseWriter, r *http.Request) {
	if h := c.find(w, r); h != nil {
		h.kill(c)
	}
}

func (c *Cloud) freezeHost(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Frozen bool `json:"frozen"`
	}
	if !decode(w, r, &body) {
		return
	}
	if h := c.find(w, r); h != nil {
		h.freeze(body.Frozen)
	}
}

func (c *Cloud) reclaim(w http.ResponseWriter, r *http.Request) {
	var body Reclaim
	if decode(w, r, &body) {
		writeJSON(w, c.Reclaim(body))
	}
}

// changeSettings changes the settings that the body names and leaves the others.
func (c *Cloud) changeSettings(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	settings := c.settings
	if decode(w, r, &settings) {
		c.settings = settings
	}
}

func (c *Cloud) showSettings(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	writeJSON(w, c.settings)
}

// Price changes the price of a kind of host.
type Price struct {
	Kind
	PriceMicrosPerHour int64 `json:"price_micros_per_hour"`
}

func (c *Cloud) changePrice(w http.ResponseWriter, r *http.Request) {
	var body Price
	if decode(w, r, &body) {
		c.SetPrice(body.Kind, body.PriceMicrosPerHour)
	}
}

// EngineFaults sets the faults of one host's engine, or of all if Host is empty.
type EngineFaults struct {
	Host   string        `json:"host"`
	Faults engine.Faults `json:"faults"`
}

func (c *Cloud) changeEngineFaults(w http.ResponseWriter, r *http.Request) {
	var body EngineFaults
	if !decode(w, r, &body) {
		return
	}
	if body.Host == "" {
		c.mu.Lock()
		c.engineFaults = body.Faults
		c.mu.Unlock()
	}
	for _, h := range c.all(body.Host) {
		if running := h.running(); running != nil {
			running.SetFaults(body.Faults)
		}
	}
}

// ServiceFaults sets the faults of one host's service, or of all if Host is empty.
type ServiceFaults struct {
	Host   string         `json:"host"`
	Faults service.Faults `json:"faults"`
}

func (c *Cloud) changeServiceFaults(w http.ResponseWriter, r *http.Request) {
	var body ServiceFaults
	if !decode(w, r, &body) {
		return
	}
	for _, h := range c.all(body.Host) {
		h.mu.Lock()
		if h.service != nil {
			h.service.SetFaults(body.Faults)
		}
		h.mu.Unlock()
	}
}

// all returns the hosts with a name, or all for an empty name, sorted by name.
func (c *Cloud) all(name string) []*host {
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

// Busy names the host with the most runs.
type Busy struct {
	Host string `json:"host"`
	Runs int    `json:"runs"`
}

func (c *Cloud) busiest(w http.ResponseWriter, _ *http.Request) {
	var busy Busy
	for _, h := range c.all("") {
		if running := h.running(); running != nil {
			if runs := running.RunningCount(); runs > busy.Runs {
				busy = Busy{Host: h.Name, Runs: runs}
			}
		}
	}
	writeJSON(w, busy)
}

// EngineState is what one engine has done and does now.
type EngineState struct {
	Host          string       `json:"host"`
	FailureDomain string       `json:"failure_domain"`
	Running       int          `json:"running"`
	Stats         engine.Stats `json:"stats"`
}

func (c *Cloud) engines(w http.ResponseWriter, _ *http.Request) {
	states := []EngineState{}
	for _, h := range c.all("") {
		if running := h.running(); running != nil {
			states = append(states, EngineState{Host: h.Name, FailureDomain: h.FailureDomain, Running: running.RunningCount(), Stats: running.Stats()})
		}
	}
	writeJSON(w, states)
}
