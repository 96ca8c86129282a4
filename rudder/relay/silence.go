package relay

import (
	"context"
	"maps"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/traffic"
)

const (
	// firstByteTimeoutFactor is the multiple of the expected time to the first byte after which a server counts as silent.
	firstByteTimeoutFactor = 4
	// eventTimeoutFactor is the multiple of the route's MaxEventGap after which a server counts as silent. Callers give up
	// after eight times MaxEventGap.
	eventTimeoutFactor = 4
	// silenceCheckInterval is the pause between two checks whether a request at a silent server can go elsewhere.
	silenceCheckInterval = 100 * time.Millisecond
	// minSilenceToLeave is the silence after which a request leaves a server to which there may be no path any more.
	minSilenceToLeave = 300 * time.Millisecond
	// lateReadTimeout bounds the reading of bytes that had arrived when the time for them was over.
	lateReadTimeout = time.Second
)

// firstByteTimeout returns how long to wait for the first byte of a response before the server counts as silent; 0 means
// until the deadline. Only requests that may be repeated have a timeout. While all servers respond late, it is longer:
// sending a request again that waits in a queue adds load and answers it no sooner.
func (f *forwarder) firstByteTimeout(expected time.Duration) time.Duration {
	c := f.call
	if !c.route.IsRepeatable() || f.possibleRuns+1 >= c.route.MaxAttempts() {
		return 0
	}
	return max(firstByteTimeoutFactor*expected, c.route.LatencyObjective)
}

// eventTimeout returns how long to wait for the next event of a stream before the server counts as silent, 0 for no limit.
func (f *forwarder) eventTimeout() time.Duration {
	r := f.call.route
	if r.Kind != traffic.Streaming || !r.Resumable || r.MaxEventGap <= 0 || f.possibleRuns+1 >= r.MaxAttempts() {
		return 0
	}
	return eventTimeoutFactor * r.MaxEventGap
}

// silence returns the time since the server last sent a head or a whole event, or since the request was sent; 0 if it was
// not.
func (a *attempt) silence() time.Duration {
	if a.progressAt == 0 {
		return 0
	}
	return boottime.Since(a.progressAt)
}

// setReadTimeout sets the time after which onSilence is called; 0 means never.
func (a *attempt) setReadTimeout(d time.Duration) {
	a.hasReadLate = false
	if d > 0 {
		_ = a.conn.SetReadDeadline(time.Now().Add(d))
		return
	}
	a.clearReadDeadline()
}

// LeaveSilentServers makes the requests that wait for a response of the service and may be repeated go elsewhere if they can, since
// this node has no path to the servers any more.
func (s *Server) LeaveSilentServers(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.awaitingResponse {
		if a.call.service == service && a.silence() >= minSilenceToLeave && a.forwarder.resendDenial(true, a.forwarder.possibleRuns+1, a.forwarder.sends+1) == "" {
			_ = a.conn.SetReadDeadline(time.Now())
		}
	}
}

func (a *attempt) clearReadDeadline() { _ = a.conn.SetReadDeadline(time.Time{}) }

// onSilence decides whether the attempt at a silent server is given up. It returns 0 if it is, otherwise how much longer to
// wait. A sound server may be silent for a moment: the attempt is given up only when the request can go elsewhere for
// certain.
func (a *attempt) onSilence() time.Duration {
	if !a.hasReadLate && a.conn.HasUnread() {
		// This process was late, not the server.
		a.hasReadLate = true
		return lateReadTimeout
	}
	// WatchWaitingRequests uses the call too.
	if a.removeAwaitingResponse() {
		defer a.addAwaitingResponse()
	}
	denial := a.forwarder.secureAlternative(a.placement.ID)
	if denial == "" {
		return 0
	}
	if !a.isSilent {
		a.isSilent = true
		a.placement.RecordSilence()
		a.server.Log.Info("Waits on for a silent backend server: the request cannot go elsewhere.", "request", a.call.id, "server", a.placement.ID, "send", a.forwarder.sends+1,
			"silent_ms", a.silence().Milliseconds(), "retries_left", a.server.retriesLeft(a.call.service), "last_event", a.forwarder.lastEventID, "reason", denial)
	}
	return silenceCheckInterval
}

// alternative is the place at the server to which a request goes next. It counts in the load of that server.
type alternative struct {
	placement *backend.Placement // nil if the request goes to a peer
	hasRetry  bool               // a retry was taken from the budget with it
}

// secureAlternative reserves what the request needs to be sent to another server once the attempt in progress at the given
// server is given up. It returns why that is not possible, or "".
func (f *forwarder) secureAlternative(server string) (denial string) {
	if denial = f.resendDenial(true, f.possibleRuns+1, f.sends+1); denial != "" {
		return denial
	}
	s, c := f.server, f.call
	if s.Crashes.IsSuspicious(c.traits()) {
		return deniedSuspect
	}
	if problem := s.checkAllowed(c, s.StalenessLimits.Send); problem != nil {
		return problem.Reason
	}
	request := f.placementRequest()
	request.Exclude = maps.Clone(request.Exclude)
	if request.Exclude == nil {
		request.Exclude = map[string]bool{}
	}
	request.Exclude[server] = true
	return f.reserve(request, true)
}

// reserve takes a retry from the budget if the request needs one, and a place at another server. It returns which of them is
// not to be had, or "".
func (f *forwarder) reserve(r backend.Request, needsRetry bool) (denial string) {
	s, c := f.server, f.call
	if needsRetry && !s.takeRetry(c.service) {
		return deniedBudget
	}
	if f.canPassOn() {
		f.alternative = &alternative{hasRetry: needsRetry}
		return ""
	}
	r.Patience = 0 // a server that asked for a pause is no alternative until it is over
	placement, refusal := s.Backends.Place(r, 0)
	if refusal != nil {
		if needsRetry {
			s.returnRetry(c.service)
		}
		return refusal.Reason
	}
	f.alternative = &alternative{placement: placement, hasRetry: needsRetry}
	return ""
}

// awaitAlternative waits until the request can be sent to another server, and reserves what it needs for that. It returns
// why it cannot be sent if that is final or ctx ends.
func (f *forwarder) awaitAlternative(ctx context.Context, needsRetry bool) (denial string) {
	for hasLogged := false; ; {
		if problem := f.server.checkAllowed(f.call, f.server.StalenessLimits.Send); problem != nil {
			return problem.Reason
		}
		if f.isSuspect() {
			return deniedSuspect
		}
		if denial = f.reserve(f.placementRequest(), needsRetry); denial == "" || denial == backend.ReasonVersionHasLeft {
			return denial
		}
		if !hasLogged {
			hasLogged = true
			f.server.Log.Info("Waits to resume a stream: it cannot go to another server yet.", "request", f.call.id, "sends", f.sends, "last_event", f.lastEventID,
				"retries_left", f.server.retriesLeft(f.call.service), "reason", denial)
		}
		select {
		case <-ctx.Done():
			return denial
		case <-time.After(silenceCheckInterval):
		}
	}
}

// releaseAlternative returns what was reserved, if it was not used.
func (f *forwarder) releaseAlternative() {
	if f.alternative == nil {
		return
	}
	if f.alternative.placement != nil {
		f.alternative.placement.Release(backend.ResultInconclusive)
	}
	if f.alternative.hasRetry {
		f.server.returnRetry(f.call.service)
	}
	f.alternative = nil
}

// place returns the reserved place at a server, or selects a server.
func (f *forwarder) place() (*backend.Placement, *backend.Refusal) {
	if a := f.alternative; a != nil {
		f.alternative = nil
		if a.placement != nil {
			return a.placement, nil
		}
	}
	return f.server.Backends.Place(f.placementRequest(), f.maxPredictedFirstByte())
}

const (
	deniedSuspect = "backend servers crashed on similar requests"
	deniedBudget  = "retry budget is exhausted"
)

// resendDenial returns why a request must not be sent again whatever the state of the system, or "". mayHaveRunLast tells
// whether the last server may have run it, possibleRuns how many servers may have, and sends how often it was sent.
func (f *forwarder) resendDenial(mayHaveRunLast bool, possibleRuns, sends int) string {
	r := f.call.route
	switch {
	case possibleRuns > 0 && !r.IsRepeatable():
		return "request may have run and must not be repeated"
	case f.isHeadSent && f.lastEventID == "":
		return "stream without event ids cannot be resumed"
	case mayHaveRunLast && possibleRuns >= r.MaxAttempts():
		return "maximum number of attempts was reached"
	case sends >= maxSends:
		return "maximum number of sends was reached"
	}
	return ""
}
