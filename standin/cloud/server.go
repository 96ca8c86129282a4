package cloud

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"

	"chestnutrudder.example/standin/engine"
)

// Handler serves the cloud API, the host list, the weight store and, under /control, the operations with which tests
// inject faults and read state.
func (c *Cloud) Handler() http.Handler {
	router := mux.NewRouter()
	c.Weights.RegisterRoutes(router)
	c.registerControlRoutes(router.PathPrefix("/control").Subrouter())
	api := router.PathPrefix("/v1").Subrouter()
	api.Use(c.applySettings)
	api.HandleFunc("/hosts", c.handleListHosts).Methods(http.MethodGet)
	api.HandleFunc("/hosts", c.handleStartHost).Methods(http.MethodPost)
	api.HandleFunc("/hosts/{host}", c.handleReleaseHost).Methods(http.MethodDelete)
	api.HandleFunc("/offers", c.handleListOffers).Methods(http.MethodGet)
	api.HandleFunc("/notices", c.handleNotices).Methods(http.MethodGet)
	return router
}

// applySettings delays each request by Settings.DelayMillis and responds with 503 while Settings.Down is set.
func (c *Cloud) applySettings(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		settings := c.settings
		c.mu.Unlock()
		time.Sleep(time.Duration(settings.DelayMillis) * time.Millisecond)
		if settings.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (c *Cloud) handleListHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.listedHosts())
}

func (c *Cloud) handleListOffers(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	offers := []cloud.Offer{}
	for k, price := range c.prices {
		offers = append(offers, cloud.Offer{FailureDomain: k.FailureDomain, Class: k.Class, Reclaimable: k.Reclaimable, PriceMicrosPerHour: price})
	}
	c.mu.Unlock()
	sort.Slice(offers, func(i, j int) bool {
		a, b := offers[i], offers[j]
		if a.FailureDomain != b.FailureDomain {
			return a.FailureDomain < b.FailureDomain
		}
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		return a.Reclaimable && !b.Reclaimable
	})
	writeJSON(w, offers)
}

func (c *Cloud) handleStartHost(w http.ResponseWriter, r *http.Request) {
	var request cloud.StartRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h, refusal := c.startHost(request)
	if refusal != "" {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{"reason": refusal})
		return
	}
	c.respond(w, h)
}

// startHost starts renting a host. It returns immediately with the host, which has no address yet and appears in the host
// list once it serves, or with the reason for a refusal. A repeated request returns the same host, even if that host has
// been removed since.
func (c *Cloud) startHost(request cloud.StartRequest) (cloud.Host, string) {
	k := HostKind{request.FailureDomain, request.Class, request.Reclaimable}
	c.mu.Lock()
	if name, found := c.hostByRequest[request.Request]; found {
		defer c.mu.Unlock()
		return c.rentedHosts[name], ""
	}
	price, isOffered := c.prices[k]
	if !isOffered || c.isStartRefused(k) {
		c.mu.Unlock()
		return cloud.Host{}, "no host of this kind now"
	}
	delay := time.Duration(c.settings.StartMillis) * time.Millisecond
	c.mu.Unlock()
	h := c.newHost(Group{
		Deployment: request.Deployment, Backend: request.Backend, FailureDomain: k.FailureDomain,
		Class: k.Class, Reclaimable: k.Reclaimable, PriceMicrosPerHour: price,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if name, found := c.hostByRequest[request.Request]; found {
		return c.rentedHosts[name], ""
	}
	c.hostByRequest[request.Request] = h.Name
	c.rentedHosts[h.Name] = h.Host
	time.AfterFunc(delay, func() { c.provisionHost(h, request) })
	return h.Host, ""
}

// isStartRefused reports whether the settings refuse to start a host of this kind. The caller must hold c.mu.
func (c *Cloud) isStartRefused(k HostKind) bool {
	if c.settings.MaxHosts > 0 && len(c.hosts) >= c.settings.MaxHosts {
		return true
	}
	for _, r := range c.settings.Refusals {
		if r.matches(k) {
			return true
		}
	}
	return false
}

// provisionHost fetches the weights for a rented host, starts its backend server and adds it to the host list, unless it
// has been released in the meantime. It retries a failed fetch every second.
func (c *Cloud) provisionHost(h *host, request cloud.StartRequest) {
	if request.Backend == object.BackendModel && c.BaseURL != "" {
		for engine.FetchWeights(c.BaseURL, request.ModelVersion+".weights") != nil {
			time.Sleep(time.Second)
		}
	}
	c.mu.Lock()
	isReleased := c.releasedHosts[h.Name]
	c.mu.Unlock()
	if isReleased || c.startBackend(h, request.ModelVersion) != nil {
		return
	}
	c.addHost(h)
}

func (c *Cloud) handleReleaseHost(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["host"]
	c.mu.Lock()
	c.releasedHosts[name] = true
	c.mu.Unlock()
	c.removeHost(name)
	c.respond(w, struct{}{})
}

// respond sends the response to a start or release request. While Settings.DropResponses is positive, it decrements it
// and aborts the connection instead.
func (c *Cloud) respond(w http.ResponseWriter, value any) {
	c.mu.Lock()
	dropResponse := c.settings.DropResponses > 0
	if dropResponse {
		c.settings.DropResponses--
	}
	c.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, value)
}

// handleNotices returns the notices from a sequence number on. If there are none, it waits for up to wait_ms.
func (c *Cloud) handleNotices(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	fromSequence, err := strconv.ParseInt(query.Get("from"), 10, 64)
	waitMillis, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		page, changed := c.noticesFrom(fromSequence)
		if len(page.Notices) > 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// noticesFrom returns the notices from a sequence number on and a channel that is closed when notices are added.
func (c *Cloud) noticesFrom(fromSequence int64) (cloud.Notices, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := cloud.Notices{Notices: []cloud.Notice{}, Next: max(1, fromSequence)}
	if c.settings.HideNotices {
		return page, c.noticesChanged
	}
	for _, n := range c.notices {
		if n.Sequence >= fromSequence {
			shown := n.Notice
			shown.InMillis = max(0, time.Until(n.removeAt).Milliseconds())
			page.Notices = append(page.Notices, shown)
			page.Next = n.Sequence + 1
		}
	}
	return page, c.noticesChanged
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
