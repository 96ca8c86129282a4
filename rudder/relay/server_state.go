package relay

import (
	"net/http"
)

// recordServerState records what a response says of the state of its server: that it leaves, and the limit of requests that it
// names. An interim response and that of another server than the expected one say nothing of it.
func (a *attempt) recordServerState(response *http.Response) {
	if response.StatusCode < http.StatusOK || response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	d := a.server.Dialect
	if a.placement.RecordDeparture(a.call.id, response.Header.Values(d.ServerLeaving)) {
		a.server.metrics.countDeparture(a.call)
	}
	// A refusal without a limit tells nothing: the server may have sent it before it looked at its load.
	if limit := response.Header.Get(d.ServerLimit); limit != "" || response.Header.Get(d.NotRun) == "" {
		a.placement.RecordLimit(limit)
	}
}

// checkSend returns why a request must not be sent to the server that was chosen for it, empty if it may be sent. The state of
// the server may have changed since the choice, while a connection was opened.
func (a *attempt) checkSend() string {
	if a.placement.IsLeaving() {
		return "backend server leaves"
	}
	return ""
}
