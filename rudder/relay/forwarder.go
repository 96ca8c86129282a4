package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/traffic"
)

const (
	// maxSends bounds how often one request is sent, refusals of servers included.
	maxSends = 4
	// admissionFactor is how far beyond the objective a first byte may be predicted for a request to be admitted. Work that
	// comes later than that makes the work behind it late too.
	admissionFactor = 1.5
	// retryJitter is the part of a retry time by which returns are spread, so that refused callers don't return together.
	retryJitter = 0.5
	// minRetryAfter and maxRetryAfter bound the time after which a caller is asked to come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// forwarder is a request's way through one or several backend servers.
type forwarder struct {
	server     *Server
	call       *call
	writer     http.ResponseWriter
	callerDone <-chan struct{}

	mayHaveRun      bool
	isRunCounted    bool // as a run, for usage
	possibleRuns    int  // servers that may have run it
	sends           int
	excludedServers map[string]bool
	isHeadSent      bool   // the caller has the head of the response
	lastEventID     string // id of the last event that the caller has
	lastFailure     string
}

// run sends the request until there is a final answer.
func (f *forwarder) run(ctx context.Context) {
	s, c := f.server, f.call
	s.recordFirstSend(c.service)
	for {
		if problem := s.checkAllowed(c, s.StalenessLimits.Send); problem != nil {
			if f.mayHaveRun {
				problem = outcome.UnknownErrorf(http.StatusBadGateway, errors.New(f.lastFailure), "%s", problem.Reason)
			}
			f.fail(problem)
			return
		}
		placement, refusal := s.Backends.Place(f.placementRequest(), f.maxPredictedFirstByte())
		if refusal != nil {
			f.failPlacement(refusal)
			return
		}
		s.Log.Info("Request is placed.", "request", c.id, "server", placement.ID, "send", f.sends+1, "choices", placement.Choices,
			"predicted_ms", placement.Predicted.Milliseconds(), "running", placement.Running, "uncached_tokens", placement.Uncached,
			"route", c.route.Name, "service", c.service, "config_version", c.configVersion, "proof_age_ms", boottime.Since(s.Current.ProvedAt()).Milliseconds())
		a := &attempt{server: s, call: c, placement: placement, forwarder: f}
		result := a.run(ctx)
		result.address = placement.Address
		placement.Release(result.backendResult)
		f.recordResult(placement.ID, result)
		if result.isFinal {
			return
		}
		if ctx.Err() != nil {
			f.fail(f.deadlineError())
			return
		}
		if problem := f.checkResend(result); problem != nil {
			f.fail(problem)
			return
		}
	}
}

func (f *forwarder) placementRequest() backend.Request {
	c := f.call
	return backend.Request{
		Service: c.service, Parts: c.sharedParts, PromptTokens: c.promptTokens, OutputTokens: c.maxOutputTokens, IsGeneration: c.isGeneration, Urgency: c.urgency,
		Objective: c.route.Objective,
		Exclude:   f.excludedServers, FailureDomain: f.server.FailureDomain,
	}
}

// maxPredictedFirstByte returns how late a first byte may be predicted, 0 for no limit. A request that may have run goes on
// whatever the prediction.
func (f *forwarder) maxPredictedFirstByte() time.Duration {
	c := f.call
	if f.mayHaveRun || c.route.Objective <= 0 {
		return 0
	}
	return max(time.Duration(admissionFactor*float64(c.route.Objective))-time.Since(c.arrivedAt), time.Millisecond)
}

// attemptResult is what became of one attempt.
type attemptResult struct {
	isFinal       bool // the caller has its answer, or is gone, or its connection is to be cut
	isSent        bool // at least a byte reached the network
	isKnownNotRun bool // nothing was sent or the server says that it has not run the request
	backendResult backend.Result
	address       string // of the server
	reason        string
	// response is a failure response of the server that is passed on if the request goes nowhere else.
	response *bufferedResponse
}

func (f *forwarder) recordResult(serverID string, r attemptResult) {
	if f.excludedServers == nil {
		f.excludedServers = map[string]bool{}
	}
	f.excludedServers[serverID] = true
	f.sends++
	f.lastFailure = r.reason
	if !r.isKnownNotRun {
		f.mayHaveRun = true
		f.possibleRuns++
	}
	switch {
	case r.backendResult == backend.Broken && !r.isKnownNotRun:
		f.server.crashProbes.Go(func() { f.server.probeCrash(f.call, serverID, r.address) })
	case r.backendResult == backend.Completed && !f.server.Crashes.IsEmpty():
		f.server.Crashes.Clear(f.call.fingerprint())
	}
	if !r.isFinal {
		f.server.Log.Info("Attempt failed.", "request", f.call.id, "server", serverID, "send", f.sends, "not_run", r.isKnownNotRun, "sent", r.isSent, "reason", r.reason)
	}
}

// checkResend returns nil if the request may be sent once more, else the final answer, or alreadyAnswered if the caller has it.
func (f *forwarder) checkResend(r attemptResult) *outcome.Error {
	c := f.call
	switch {
	case f.mayHaveRun && !c.route.Repeatable():
		return f.giveUp(r, "request may have run and must not be repeated")
	case !r.isKnownNotRun && f.possibleRuns >= c.route.MaxAttempts():
		return f.giveUp(r, "all attempts are used")
	case f.sends >= maxSends:
		return f.giveUp(r, "request was sent too often")
	case r.isSent && !f.server.takeRetry(c.service):
		return f.giveUp(r, "retry budget is used up")
	}
	return nil
}

// giveUp answers with the server's own failure if there is one.
func (f *forwarder) giveUp(r attemptResult, reason string) *outcome.Error {
	if r.response != nil && !f.isHeadSent {
		f.writeResponse(r.response)
		return alreadyAnswered
	}
	if f.mayHaveRun {
		return outcome.UnknownErrorf(http.StatusBadGateway, errors.New(r.reason), "%s", reason)
	}
	return outcome.NotRunErrorf(http.StatusServiceUnavailable, f.retryAfter(0), "%s: %s", reason, r.reason)
}

// alreadyAnswered marks a final answer that has been given already.
var alreadyAnswered = &outcome.Error{}

func (f *forwarder) failPlacement(refusal *backend.Refusal) {
	if f.mayHaveRun {
		f.fail(outcome.UnknownErrorf(http.StatusBadGateway, errors.New(f.lastFailure), "%s", refusal.Reason))
		return
	}
	f.fail(outcome.NotRunErrorf(http.StatusServiceUnavailable, f.retryAfter(refusal.Wait), "%s", refusal.Reason))
}

// retryAfter spreads the returns of refused callers over the time after which a server is expected to be free.
func (f *forwarder) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(retryJitter*hashFraction(f.call.id)*float64(wait))
}

func (f *forwarder) deadlineError() *outcome.Error {
	if f.mayHaveRun {
		return outcome.UnknownErrorf(http.StatusGatewayTimeout, errors.New(f.lastFailure), "request reached its deadline")
	}
	return outcome.NotRunErrorf(http.StatusServiceUnavailable, 0, "request reached its deadline before it was sent")
}

// fail gives the final answer, or cuts the connection if a response has begun.
func (f *forwarder) fail(problem *outcome.Error) {
	switch {
	case problem == alreadyAnswered:
		return
	case f.isHeadSent:
		f.abort(problem.Reason)
	case isClosed(f.callerDone):
		f.server.Log.Info("Caller left.", "request", f.call.id, "after_ms", time.Since(f.call.arrivedAt).Milliseconds(), "run", problem.Outcome.String())
	default:
		f.server.writeError(f.writer, f.call, problem)
	}
}

// abort ends a response that has begun so that the caller sees that it is not complete.
func (f *forwarder) abort(reason string) {
	f.server.Log.Info("Response is cut off.", "request", f.call.id, "reason", reason, "last_event", f.lastEventID, "after_ms", time.Since(f.call.arrivedAt).Milliseconds())
	f.server.metrics.countRequest(f.call, statusAborted)
	panic(http.ErrAbortHandler)
}

// statusAborted counts responses that were cut off in the metrics.
const statusAborted = 0

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// countRun counts the request as run, once.
func (f *forwarder) countRun() {
	if f.isRunCounted {
		return
	}
	f.isRunCounted = true
	f.server.Runs.CountRun(f.call.organisationName())
}

// writeResponse gives the caller a whole response of a server.
func (f *forwarder) writeResponse(b *bufferedResponse) {
	h := f.writer.Header()
	copyHeader(h, b.header)
	h.Set("Content-Length", strconv.Itoa(len(b.body)))
	f.server.closeConnectionIfDraining(h)
	f.isHeadSent = true
	f.writer.WriteHeader(b.status)
	if f.call.method != http.MethodHead {
		_, _ = f.writer.Write(b.body)
	}
	f.server.Log.Info("Response is passed on.", "request", f.call.id, "status", b.status, "bytes", len(b.body), "sends", f.sends+1, "after_ms", time.Since(f.call.arrivedAt).Milliseconds())
	f.server.metrics.countRequest(f.call, b.status)
}

func copyHeader(out, in http.Header) {
	for name, values := range in {
		out[name] = values
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
}

// firstByteTimeout returns how long to wait for the first byte of a response before the request goes to another server; 0
// means until the deadline. Only what may be repeated has a limit.
func (f *forwarder) firstByteTimeout(predicted time.Duration) time.Duration {
	c := f.call
	if !c.route.Repeatable() || f.possibleRuns+1 >= c.route.MaxAttempts() {
		return 0
	}
	return max(firstByteTimeoutFactor*predicted, c.route.Objective)
}

// firstByteTimeoutFactor is how many times the predicted time a server may be silent before it is taken to be dead for this
// request.
const firstByteTimeoutFactor = 4

// eventTimeout returns how long a stream may pause before it goes on at another server, 0 for no limit.
func (f *forwarder) eventTimeout() time.Duration {
	r := f.call.route
	if r.Kind != traffic.Streaming || !r.Resumable || r.MaxGap <= 0 || f.possibleRuns+1 >= r.MaxAttempts() {
		return 0
	}
	return eventTimeoutFactor * r.MaxGap
}

// eventTimeoutFactor is how many times the longest pause on time a resumable stream may pause. Callers give up after eight.
const eventTimeoutFactor = 4
