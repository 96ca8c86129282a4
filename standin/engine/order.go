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

// weightsRetryDelay is the delay before a failed or refused fetch of weights is repeated.
const weightsRetryDelay = 500 * time.Millisecond

// serveOrder accepts an order and responds at once. A version loads in the background; the load report shows when it is
// complete.
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

// startVersionLoad starts to load a version in the background. An order for the present version cancels the load in progress.
// The caller holds the lock.
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

// loadVersion fetches the weights, repeatedly until it succeeds, and switches to the version. Runs in progress continue; new
// ones must request the new version. It does not switch if another order cancels the load, if the engine crashes, or if
// Faults.FailVersions has the version.
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

// sleep waits for d. It returns false if the engine crashes first.
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

// FetchWeights fetches weights from the weight store at a base URL and returns when the transfer is complete. It fails after
// 5 seconds, or if the store refuses the fetch.
func FetchWeights(store, key string) error {
	var response struct {
		Bytes int64 `json:"bytes"`
	}
	return getJSON(context.Background(), store+"/v1/weights/"+url.PathEscape(key), &response)
}
