package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/admission"
	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/resource"
)

const (
	// maxSends bounds how often a request is sent, including sends that a backend server refused.
	maxSends = 4
	// admissionFactor is the multiple of the latency objective within which the first byte must be predicted for a request
	// to be admitted. A request that is later than that makes the requests behind it late too.
	admissionFactor = 1.5
	// retryJitter is the fraction of Retry-After that is added at most, so that refused callers don't retry simultaneously.
	retryJitter = 0.5
)

// forwarder sends one request to one or several backend servers in turn until the caller has a final response.
type forwarder struct {
	server     *Server
	call       *call
	writer     http.ResponseWriter
	callerDone <-chan struct{} // closed when the caller disconnects

	mayHaveRun      bool
	isRunCounted    bool            // by RunCounter
	possibleRuns    int             // servers that may have run the request
	sends           int             // finished attempts, including refused ones
	excludedServers map[string]bool // servers that get the request no more; see recordResult
	isHeadSent      bool            // the head of the response was sent to the caller
	lastEventID     string          // id of the last event sent to the caller
	lastFailure     string          // reason of the last attempt's failure
	alternative     *alternative    // reserved for the next send; nil if nothing is
	failedAt        time.Time       // when the last attempt failed
	hasWaited       bool            // for a server that asked for a pause
	passing         passing         // to peers
	version         *string         // of the software that began the stream; nil if none has
	// crashObserved is closed when it is known whether the server of the last attempt crashed; nil if that is no question.
	crashObserved <-chan struct{}
}

// run sends the request to backend servers until there is a final response, and writes that to the caller.
func (f *forwarder) run(ctx context.Context) {
	s, c := f.server, f.call
	defer f.releaseAlternative()
	for {
		if !f.mayHaveRun && s.isRefusing() {
			c.isNodeProblem = true
			f.fail(errStopping()) // the response might be cut at the end of the stop
			return
		}
		if problem := s.checkAllowed(c, s.StalenessLimits.Send); problem != nil {
			c.isNodeProblem = !s.isConfigFresh(s.StalenessLimits.Send)
			if f.mayHaveRun {
				problem = outcome.UnknownErrorf(http.StatusBadGateway, errors.New(f.lastFailure), "%s", problem.Reason)
			}
			f.fail(problem)
			return
		}
		if f.shouldPassOn() && f.tryPeers(ctx) {
			return
		}
		if problem := f.beginHere(ctx); problem != nil {
			f.fail(problem)
			return
		}
		placement, refusal := f.place()
		switch {
		case refusal == nil:
		case refusal.Wait > 0:
			if f.awaitReturn(ctx, refusal); ctx.Err() == nil {
				continue
			}
			f.fail(f.deadlineError())
			return
		case refusal.NoServers && f.passing.unconnected > 0 && f.passing.unconnected < maxUnconnected:
			f.passing.unconnected = maxUnconnected // no server is left to try
			continue
		default:
			f.failPlacement(refusal)
			return
		}
		s.Log.Info("Selected a backend server for the request.", "request", c.id, "server", placement.ID, "server_version", placement.SoftwareVersion, "send", f.sends+1, "choices", placement.CandidateCount,
			"predicted_ms", placement.PredictedFirstByte.Milliseconds(), "running", placement.Running, "uncached_tokens", placement.UncachedTokens,
			"route", c.route.Name, "service", c.service, "config_version", c.configVersion, "proof_age_ms", boottime.Since(s.Current.ConfirmedAt()).Milliseconds())
		f.logContinuation(placement)
		a := &attempt{server: s, call: c, placement: placement, forwarder: f}
		result := a.run(ctx)
		a.countEnd(result)
		placement.Release(result.backendResult)
		f.recordResult(a, result)
		if result.isFinal {
			return
		}
		if result.isPartial {
			f.abort(result.reason)
		}
		if ctx.Err() != nil {
			f.fail(f.deadlineError())
			return
		}
		if problem := f.checkResend(ctx, result); problem != nil {
			f.fail(problem)
			return
		}
	}
}

// placementRequest returns the request as the selection of a backend server needs it.
func (f *forwarder) placementRequest() backend.Request {
	c := f.call
	return backend.Request{
		Service: c.service, Parts: c.sharedParts, PromptTokens: c.promptTokens, MaxOutputTokens: c.maxOutputTokens, IsGeneration: c.isGeneration, Urgency: c.urgency,
		Objective:       c.route.LatencyObjective,
		SoftwareVersion: f.version, VersionFraction: hashFraction(c.id),
		Exclude: f.excludedServers, FailureDomain: f.server.FailureDomain, Patience: f.patience(), HasWaited: f.hasWaited,
	}
}

// maxPredictedFirstByte returns the limit of the predicted time to the first byte, 0 for no limit. A request that may have
// run is sent again whatever the prediction.
func (f *forwarder) maxPredictedFirstByte() time.Duration {
	c := f.call
	if f.mayHaveRun || c.route.LatencyObjective <= 0 {
		return 0
	}
	return max(time.Duration(admissionFactor*float64(c.route.LatencyObjective))-time.Since(c.arrivedAt), time.Millisecond)
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	isFinal       bool           // the caller has a complete response
	isPartial     bool           // the caller has a part of a response that cannot be continued, or does not read
	isSent        bool           // at least one byte of the request was sent
	isKnownNotRun bool           // nothing was sent, or the server stated that it has not run the request
	isUnconnected bool           // there was no connection to the server
	isWithdrawn   bool           // nothing was sent, since the server gets no requests any more, or none for a time
	isPaused      bool           // the server asked for a pause
	backendResult backend.Result // for the statistics of the server
	isTimeout     bool           // the connection failed because this node did not wait any longer
	isAnswer      bool           // the response is a complete success
	reason        string         // of a failure, for the log
	// response is the server's error response, forwarded if the request is not sent again; may be nil.
	response *bufferedResponse
}

// recordResult updates the state of the request and the list of crashes after an attempt.
func (f *forwarder) recordResult(a *attempt, r attemptResult) {
	if f.excludedServers == nil {
		f.excludedServers = map[string]bool{}
	}
	if !r.isWithdrawn && !(r.isPaused && r.isKnownNotRun) {
		f.excludedServers[a.placement.ID] = true
	}
	f.sends++
	f.lastFailure, f.failedAt = r.reason, time.Now()
	if !r.isKnownNotRun {
		f.mayHaveRun = true
		f.possibleRuns++
	}
	if r.isUnconnected {
		f.passing.unconnected++
	}
	f.crashObserved = nil
	switch {
	case a.mayHaveCrashedServer(r):
		f.crashObserved = a.observeCrash(r)
	case r.isAnswer:
		f.server.recordAnswer(f.call)
	}
	if !r.isFinal {
		f.server.Log.Info("Attempt to run the request on a backend server failed.", "request", f.call.id, "server", a.placement.ID, "send", f.sends, "not_run", r.isKnownNotRun, "sent", r.isSent,
			"given_up", r.isTimeout, "silent_ms", a.silence().Milliseconds(), "retries_left", f.server.retriesLeft(f.call.service), "reason", r.reason)
	}
}

// isSuspect reports whether the request is like others on which servers have crashed. It waits a moment for what the last
// attempt shows.
func (f *forwarder) isSuspect() bool {
	if f.crashObserved == nil {
		return false
	}
	select {
	case <-f.crashObserved:
	case <-time.After(resendProbeWait):
	}
	return f.server.Crashes.IsSuspicious(f.call.traits())
}

// checkResend returns nil if the request may be sent again. Otherwise it returns the final error, or alreadyAnswered if the
// caller got the server's error response. The retry is taken from the budget, unless secureAlternative has taken it. A
// stream that has begun waits until it can go on elsewhere, since it could only be cut.
func (f *forwarder) checkResend(ctx context.Context, r attemptResult) *outcome.Error {
	if denial := f.resendDenial(!r.isKnownNotRun, f.possibleRuns, f.sends); denial != "" {
		return f.giveUp(r, denial)
	}
	if f.isSuspect() {
		return f.giveUp(r, deniedSuspect)
	}
	switch {
	case f.alternative != nil:
		return nil
	case f.isHeadSent:
		if denial := f.awaitAlternative(ctx, r.isSent); denial != "" {
			return f.giveUp(r, denial)
		}
	case r.isSent && !f.server.takeRetry(f.call.service):
		return f.giveUp(r, deniedBudget)
	}
	return nil
}

// giveUp forwards the server's error response if there is one and returns alreadyAnswered; otherwise it returns the final
// error.
func (f *forwarder) giveUp(r attemptResult, reason string) *outcome.Error {
	if r.response != nil && !f.isHeadSent {
		f.writeResponse(r.response)
		return alreadyAnswered
	}
	if f.mayHaveRun {
		return outcome.UnknownErrorf(http.StatusBadGateway, errors.New(r.reason), "%s", reason)
	}
	return outcome.NotRunErrorf(http.StatusServiceUnavailable, f.retryAfter(0, 0), "%s: %s", reason, r.reason)
}

// alreadyAnswered is returned in place of an error if the caller already has a final response.
var alreadyAnswered = &outcome.Error{}

// failPlacement answers a request for which no backend server could be selected.
func (f *forwarder) failPlacement(refusal *backend.Refusal) {
	if f.mayHaveRun {
		f.fail(outcome.UnknownErrorf(http.StatusBadGateway, errors.New(f.lastFailure), "%s", refusal.Reason))
		return
	}
	retryAfter := f.retryAfter(refusal.RetryAfter, refusal.MoreUrgentLevels)
	if refusal.PausedFor > 0 { // known, not estimated
		retryAfter = withJitter(refusal.PausedFor, f.call.id)
	}
	f.fail(outcome.NotRunErrorf(http.StatusServiceUnavailable, retryAfter, "%s", refusal.Reason))
}

// retryAfter returns the Retry-After for a refused request: the expected wait for a free server, in the order of urgency and
// spread by the request id.
func (f *forwarder) retryAfter(wait time.Duration, moreUrgentLevels int) time.Duration {
	return admission.RetryAfter(wait, moreUrgentLevels, hashFraction(f.call.id))
}

// withJitter lengthens a Retry-After by a part of it that depends on the request id.
func withJitter(wait time.Duration, id string) time.Duration {
	return wait + time.Duration(retryJitter*hashFraction(id)*float64(wait))
}

// deadlineError returns the error for a request whose deadline passed or whose caller disconnected.
func (f *forwarder) deadlineError() *outcome.Error {
	if f.mayHaveRun {
		return outcome.UnknownErrorf(http.StatusGatewayTimeout, errors.New(f.lastFailure), "request exceeded its deadline")
	}
	return outcome.NotRunErrorf(http.StatusServiceUnavailable, 0, "request exceeded its deadline before it was run")
}

// fail answers the caller with an error, or aborts a response whose head was sent. For a caller that has left it panics with
// http.ErrAbortHandler.
func (f *forwarder) fail(problem *outcome.Error) {
	switch {
	case problem == alreadyAnswered:
		return
	case f.isHeadSent && isClosed(f.callerDone):
		f.abort("caller disconnected")
	case f.isHeadSent:
		f.abort(problem.Reason)
	case isClosed(f.callerDone):
		f.server.Log.Info("Caller disconnected before a response was sent.", "request", f.call.id, "after_ms", time.Since(f.call.arrivedAt).Milliseconds(), "run", problem.Outcome.String())
		panic(http.ErrAbortHandler)
	default:
		f.server.writeError(f.writer, f.call, problem)
	}
}

// abort closes the caller's connection without completing the response, so that the caller detects the failure. It panics
// with http.ErrAbortHandler.
func (f *forwarder) abort(reason string) {
	f.server.Log.Info("Aborted the response to the caller.", "request", f.call.id, "reason", reason, "last_event", f.lastEventID, "after_ms", time.Since(f.call.arrivedAt).Milliseconds())
	f.server.metrics.countRequest(f.call, statusAborted)
	if f.call.oldCallerConn != nil {
		_ = f.call.oldCallerConn.SetLinger(0) // the end of the connection in order would be that of the response
	}
	panic(http.ErrAbortHandler)
}

// statusAborted is the value of the status label for aborted responses in the metrics.
const statusAborted = 0

// isClosed reports whether a channel that carries no values is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// countRun reports the request to RunCounter, once for all attempts.
func (f *forwarder) countRun() {
	if f.isRunCounted {
		return
	}
	f.isRunCounted = true
	f.server.Runs.CountRun(f.call.organisationName())
}

// writeResponse sends a complete response of a backend server to the caller.
func (f *forwarder) writeResponse(b *bufferedResponse) {
	h := f.writer.Header()
	copyHeader(h, b.header)
	h.Set("Content-Length", strconv.Itoa(len(b.body)))
	f.server.closeConnectionIfNeeded(f.call, h)
	if len(b.body) > uncountedBufferBytes {
		f.call.charge.ForceResize(resource.Response, int64(len(b.body)))
	}
	f.sendStatus(b.status)
	if f.call.method != http.MethodHead {
		_, _ = f.writer.Write(b.body)
	}
	f.server.Log.Info("Forwarded the response to the caller.", "request", f.call.id, "status", b.status, "bytes", len(b.body), "sends", f.sends+1, "after_ms", time.Since(f.call.arrivedAt).Milliseconds())
	f.server.metrics.countRequest(f.call, b.status)
}

// copyHeader copies the headers of a response except hop-by-hop headers.
func copyHeader(out, in http.Header) {
	for name, values := range in {
		out[name] = values
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
}
