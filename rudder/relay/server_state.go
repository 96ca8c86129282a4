package relay

import (
	"context"
	"net/http"
	"time"

	"chestnutrudder.example/rudder/backend"
)

// recordServerState records what a response says of the state of its server: that it leaves, that it wants no requests for a
// time, and the limit of requests that it names. An interim response and that of another server than the expected one say
// nothing of it. It reports whether the server asked for a pause.
func (a *attempt) recordServerState(response *http.Response) (isPaused bool) {
	if response.StatusCode < http.StatusOK || response.StatusCode == http.StatusMisdirectedRequest {
		return false
	}
	d := a.server.Dialect
	if a.placement.RecordDeparture(a.call.id, response.Header.Values(d.ServerLeaving)) {
		a.server.metrics.countDeparture(a.call)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		var isNew bool
		if isPaused, isNew = a.placement.RecordPause(a.call.id, response.Header.Values(headerRetryAfter)); isNew {
			a.server.metrics.countPause(a.call)
		}
	}
	// A refusal without a limit tells nothing: the server may have sent it before it looked at its load.
	if limit := response.Header.Get(d.ServerLimit); limit != "" || response.Header.Get(d.NotRun) == "" {
		a.placement.RecordLimit(limit)
	}
	return isPaused
}

// patience returns how long the request may wait for a server that has asked for a pause: until its first byte is late, or for
// as long after its stream broke.
func (f *forwarder) patience() time.Duration {
	c := f.call
	begin := c.arrivedAt
	if f.isHeadSent {
		begin = f.failedAt
	}
	return min(c.route.LatencyObjective-time.Since(begin), time.Until(c.deadline))
}

// awaitReturn waits until the server of the refusal can be expected to take the request again, or ctx ends.
func (f *forwarder) awaitReturn(ctx context.Context, refusal *backend.Refusal) {
	if !f.hasWaited {
		f.server.Log.Info("Request waits for a backend server that asked for a pause.", "request", f.call.id, "wait_ms", refusal.Wait.Milliseconds())
	}
	f.hasWaited = true
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !f.mayHaveRun {
		defer context.AfterFunc(f.server.refusalState().ctx, cancel)()
	}
	refusal.Await(ctx)
}
