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

// Handler returns the cloud API, the host list, the weight store and, under /control, what a test may do.
func (c *Cloud) Handler() http.Handler {
	router := mux.NewRouter()
	c.Weights.RegisterRoutes(router)
	c.registerControls(router.PathPrefix("/control").Subrouter())
	api := router.PathPrefix("/v1").Subrouter()
	api.Use(c.applySettings)
	api.HandleFunc("/hosts", c.list).Methods(http.MethodGet)
	api.HandleFunc("/hosts", c.rent).Methods(http.MethodPost)
	api.HandleFunc("/hosts/{host}", c.release).Methods(http.MethodDelete)
	api.HandleFunc("/offers", c.offers).Methods(http.MethodGet)
	api.HandleFunc("/notices", c.serveNotices).Methods(http.MethodGet)
	return router
}

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

func (c *Cloud) list(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.listed()) }

func (c *Cloud) offers(w http.ResponseWriter, _ *http.Request) {
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

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request cloud.StartRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h, refused := c.startHost(request)
	if refused != "" {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{"reason": refused})
		return
	}
	c.answer(w, h)
}

// startHost returns the host of a request at once, without an address; it joins the host list when it serves. The same request sent again
// returns the same host, even one that is gone.
func (c *Cloud) startHost(request cloud.StartRequest) (cloud.Host, string) {
	k := Kind{request.FailureDomain, request.Class, request.Reclaimable}
	c.mu.Lock()
	if name, found := c.requests[request.Request]; found {
		defer c.mu.Unlock()
		return c.starting[name], ""
	}
	price, offered := c.prices[k]
	if !offered || c.refuses(k) {
		c.mu.Unlock()
		return cloud.Host{}, "no host of this kind now"
	}
	delay := time.Duration(c.settings.StartMillis) * time.Millisecond
	c.mu.Unlock()
	h := c.describe(Group{
		Deployment: request.Deployment, Backend: request.Backend, FailureDomain: k.FailureDomain,
		Class: k.Class, Reclaimable: k.Reclaimable, PriceMicrosPerHour: price,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if name, found := c.requests[request.Request]; found {
		return c.starting[name], ""
	}
	c.requests[request.Request] = h.Name
	c.starting[h.Name] = h.Host
	time.AfterFunc(delay, func() { c.serveHost(h, request) })
	return h.Host, ""
}

// refuses reports whether a start is refused. The caller holds the lock.
func (c *Cloud) refuses(k Kind) bool {
	if c.settings.MaxHosts > 0 && len(c.hosts) >= c.settings.MaxHosts {
		return true
	}
	for _, r := range c.settings.Refusals {
		if r.fits(k) {
			return true
		}
	}
	return false
}

// serveHost loads the weights of a started host and lets it serve.
func (c *Cloud) serveHost(h *host, request cloud.StartRequest) {
	if request.Backend == object.BackendModel && c.Base != "" {
		for engine.FetchWeights(c.Base, request.ModelVersion+".weights") != nil {
			time.Sleep(time.Second)
		}
	}
	c.mu.Lock()
	released := c.released[h.Name]
	c.mu.Unlock()
	if released || c.open(h, request.ModelVersion) != nil {
		return
	}
	c.join(h)
}

func (c *Cloud) release(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["host"]
	c.mu.Lock()
	c.released[name] = true
	c.mu.Unlock()
	c.remove(name)
	c.answer(w, struct{}{})
}

// answer sends the answer of a start or release unless a fault loses it.
func (c *Cloud) answer(w http.ResponseWriter, value any) {
	c.mu.Lock()
	lose := c.settings.LoseAnswers > 0
	if lose {
		c.settings.LoseAnswers--
	}
	c.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, value)
}

func (c *Cloud) serveNotices(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		page, changed := c.noticesFrom(from)
		if len(page.Notices) > 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (c *Cloud) noticesFrom(from int64) (cloud.Notices, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := cloud.Notices{Notices: []cloud.Notice{}, Next: max(1, from)}
	if c.settings.HideNotices {
		return page, c.changed
	}
	for _, n := range c.notices {
		if n.Sequence >= from {
			shown := n.Notice
			shown.InMillis = max(0, time.Until(n.at).Milliseconds())
			page.Notices = append(page.Notices, shown)
			page.Next = n.Sequence + 1
		}
	}
	return page, c.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
