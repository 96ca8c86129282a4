package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"time"

	"chestnutrudder.example/rudder/engine"
)

// weightsRetryDelay is the wait after the weight store refused a fetch.
const weightsRetryDelay = 500 * time.Millisecond

// serveOrder answers at once; loading goes on in the background and shows in the load report.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.highestFence && !e.config.IgnoreFencing {
		e.stats.RefusedOrders++
		writeRefusal(w, http.StatusConflict, "fencing token is too old")
		return
	}
	e.highestFence = max(e.highestFence, order.Fence)
	switch order.Kind {
	case engine.OrderLoadVersion:
		e.startVersionLoad(order)
	case engine.OrderLoadAdapter:
		if !slices.Contains(e.adapters, order.Adapter) {
			e.adapters = append(e.adapters, order.Adapter)
		}
	case engine.OrderSetRole:
		e.role = order.Role
	default:
		writeRefusal(w, http.StatusBadRequest, "unknown kind "+order.Kind)
		return
	}
	writeJSON(w, struct{}{})
}

// startVersionLoad starts to load a version; an order for the version that is there stops an earlier load. The caller holds
// the lock.
func (e *Engine) startVersionLoad(order engine.Order) {
	if order.ModelVersion == e.config.ModelVersion {
		e.loadingVersion = ""
		return
	}
	if e.loadingVersion == order.ModelVersion {
		return
	}
	e.loadingVersion = order.ModelVersion
	e.stats.VersionLoads++
	go e.loadVersion(order)
}

// loadVersion fetches the weights and switches to them. Runs in progress go on; new ones must ask for the new version.
func (e *Engine) loadVersion(order engine.Order) {
	for e.config.WeightStore != "" {
		err := FetchWeights(e.config.WeightStore, order.WeightsKey)
		if err == nil {
			break
		}
		if !e.isLoading(order.ModelVersion) || !e.sleep(weightsRetryDelay) {
			return
		}
	}
	e.mu.Lock()
	loadTime := time.Duration(e.faults.VersionLoadMillis) * time.Millisecond
	e.mu.Unlock()
	if !e.sleep(loadTime) || !e.isLoading(order.ModelVersion) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadingVersion = ""
	if slices.Contains(e.faults.FailVersions, order.ModelVersion) {
		return
	}
	e.config.ModelVersion = order.ModelVersion
	e.cache.clear()
}

func (e *Engine) isLoading(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadingVersion == version
}

func (e *Engine) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.crashed:
		return false
	}
}

// FetchWeights fetches weights from the weight store at a base URL. The answer comes when the transfer is over.
func FetchWeights(store, key string) error {
	var response struct {
		Bytes int64 `json:"bytes"`
	}
	return getJSON(context.Background(), store+"/v1/weights/"+url.PathEscape(key), &response)
}
