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

// weightsRetryPause is the wait after the weight store refused a fetch.
const weightsRetryPause = 500 * time.Millisecond

// takeOrder answers at once; loading goes on in the background and shows in the load report.
func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fence && !e.config.IgnoreFencing {
		e.stats.RefusedOrders++
		refuse(w, http.StatusConflict, "fencing token is too old")
		return
	}
	e.fence = max(e.fence, order.Fence)
	switch order.Kind {
	case engine.OrderLoadVersion:
		e.orderVersion(order)
	case engine.OrderLoadAdapter:
		if !slices.Contains(e.adapters, order.Adapter) {
			e.adapters = append(e.adapters, order.Adapter)
		}
	case engine.OrderSetRole:
		e.role = order.Role
	default:
		refuse(w, http.StatusBadRequest, "unknown kind "+order.Kind)
		return
	}
	writeJSON(w, struct{}{})
}

// orderVersion starts to load a version; an order for the version that is there stops an earlier load. The caller holds
// the lock.
func (e *Engine) orderVersion(order engine.Order) {
	if order.ModelVersion == e.config.ModelVersion {
		e.loading = ""
		return
	}
	if e.loading == order.ModelVersion {
		return
	}
	e.loading = order.ModelVersion
	e.stats.Loads++
	go e.loadVersion(order)
}

// loadVersion fetches the weights and switches to them. Runs in progress go on; new ones must ask for the new version.
func (e *Engine) loadVersion(order engine.Order) {
	for e.config.WeightStore != "" {
		err := FetchWeights(e.config.WeightStore, order.WeightsKey)
		if err == nil {
			break
		}
		if !e.stillLoading(order.ModelVersion) || !e.pause(weightsRetryPause) {
			return
		}
	}
	e.mu.Lock()
	wait := time.Duration(e.faults.LoadMillis) * time.Millisecond
	e.mu.Unlock()
	if !e.pause(wait) || !e.stillLoading(order.ModelVersion) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = ""
	if slices.Contains(e.faults.FailVersions, order.ModelVersion) {
		return
	}
	e.config.ModelVersion = order.ModelVersion
	e.cache.clear()
}

func (e *Engine) stillLoading(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loading == version
}

func (e *Engine) pause(d time.Duration) bool {
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
	var size struct {
		Bytes int64 `json:"bytes"`
	}
	return fetch(context.Background(), store+"/v1/weights/"+url.PathEscape(key), &size)
}
