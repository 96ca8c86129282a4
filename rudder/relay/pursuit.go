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
	// lateFactor is how far beyond the objective a first byte may be predicted for a request to be admitted. Work that
	// comes later than that makes the work behind it late too.
	lateFactor = 1.5
	// returnSpread is the part of a retry time by which returns are spread, so that refused callers don't return together.
	returnSpread = 0.5
	// minReturn and maxReturn bound the time after which a caller is asked to come back.
	minReturn = 50 * time.Millisecond
	maxReturn = 2 * time.Second
)

// pursuit is a request's way through one or several backend servers.
type pursuit struct {
	server     *Server
	call       *call
	writer     http.ResponseWriter
	callerGone <-chan struct{}

	mayHaveRun bool
	counted    bool // as a run, for usage
	runs       int  // servers that may have run it
	sends      int
	exclude    map[string]bool
	headSent   bool   // the caller has the head of the response
	lastEvent  string // id of the last event that the caller has
	lastReason string
}

// run sends the request until there is a final answer.
func (p *pursuit) run(ctx context.Context) {
	s, c := p.server, p.call
	s.countFresh(c.service)
	for {
		if problem := s.mayRun(c, s.Freshness.Send); problem != nil {
			if p.mayHaveRun {
				problem = outcome.Lost(http.StatusBadGateway, errors.New(p.lastReason), "%s", problem.Reason)
			}
			p.fail(problem)
			return
		}
		placement, refusal := s.Backends.Place(p.placementRequest(), p.admissionLimit())
		if refusal != nil {
			p.failRefused(refusal)
			return
		}
		s.Log.Info("Request is placed.", "request", c.id, "server", placement.ID, "send", p.sends+1, "choices", placement.CandidateCount,
			"predicted_ms", placement.PredictedFirstByte.Milliseconds(), "running", placement.Running, "uncached_tokens", placement.UncachedTokens,
			"route", c.route.Name, "service", c.service, "config_version", c.version, "proof_age_ms", boottime.Since(s.Current.ProvedAt()).Milliseconds())
		a := &attempt{server: s, call: c, placement: placement, pursuit: p}
		result := a.run(ctx)
		result.address = placement.Address
		placement.Release(result.backend)
		p.note(placement.ID, result)
		if result.final {
			return
		}
		if ctx.Err() != nil {
			p.fail(p.expired())
			return
		}
		if problem := p.mayGoOn(result); problem != nil {
			p.fail(problem)
			return
		}
	}
}

func (p *pursuit) placementRequest() backend.Request {
	c := p.call
	return backend.Request{
		Service: c.service, Parts: c.parts, PromptTokens: c.promptTokens, MaxOutputTokens: c.outputTokens, IsGeneration: c.generation, Urgency: c.urgency,
		Objective: c.route.Objective,
		Exclude:   p.exclude, FailureDomain: p.server.FailureDomain,
	}
}

// admissionLimit returns how late a first byte may be predicted, 0 for no limit. A request that may have run goes on
// whatever the prediction.
func (p *pursuit) admissionLimit() time.Duration {
	c := p.call
	if p.mayHaveRun || c.route.Objective <= 0 {
		return 0
	}
	return max(time.Duration(lateFactor*float64(c.route.Objective))-time.Since(c.arrived), time.Millisecond)
}

// result is what became of one attempt.
type result struct {
	final   bool // the caller has its answer, or is gone, or its connection is to be cut
	sent    bool // at least a byte reached the network
	notRun  bool // nothing was sent or the server says that it has not run the request
	backend backend.Result
	address string // of the server
	reason  string
	// response is a failure response of the server that is passed on if the request goes nowhere else.
	response *bufferedResponse
}

func (p *pursuit) note(server string, r result) {
	if p.exclude == nil {
		p.exclude = map[string]bool{}
	}
	p.exclude[server] = true
	p.sends++
	p.lastReason = r.reason
	if !r.notRun {
		p.mayHaveRun = true
		p.runs++
	}
	switch {
	case r.backend == backend.ResultConnectionFailure && !r.notRun:
		p.server.probes.Go(func() { p.server.suspect(p.call, server, r.address) })
	case r.backend == backend.ResultCompleted && !p.server.Crashes.Empty():
		p.server.Crashes.Clear(p.call.fingerprint())
	}
	if !r.final {
		p.server.Log.Info("Attempt failed.", "request", p.call.id, "server", server, "send", p.sends, "not_run", r.notRun, "sent", r.sent, "reason", r.reason)
	}
}

// mayGoOn returns nil if the request may be sent once more, else the final answer, or answered if the caller has it.
func (p *pursuit) mayGoOn(r result) *outcome.Error {
	c := p.call
	switch {
	case p.mayHaveRun && !c.route.Repeatable():
		return p.givenUp(r, "request may have run and must not be repeated")
	case !r.notRun && p.runs >= c.route.MaxAttempts():
		return p.givenUp(r, "all attempts are used")
	case p.sends >= maxSends:
		return p.givenUp(r, "request was sent too often")
	case r.sent && !p.server.mayRetry(c.service):
		return p.givenUp(r, "retry budget is used up")
	}
	return nil
}

// givenUp answers with the server's own failure if there is one.
func (p *pursuit) givenUp(r result, reason string) *outcome.Error {
	if r.response != nil && !p.headSent {
		p.pass(r.response)
		return answered
	}
	if p.mayHaveRun {
		return outcome.Lost(http.StatusBadGateway, errors.New(r.reason), "%s", reason)
	}
	return outcome.Refuse(http.StatusServiceUnavailable, p.returnAfter(0), "%s: %s", reason, r.reason)
}

// answered marks a final answer that has been given already.
var answered = &outcome.Error{}

func (p *pursuit) failRefused(refusal *backend.Refusal) {
	if p.mayHaveRun {
		p.fail(outcome.Lost(http.StatusBadGateway, errors.New(p.lastReason), "%s", refusal.Reason))
		return
	}
	p.fail(outcome.Refuse(http.StatusServiceUnavailable, p.returnAfter(refusal.RetryAfter), "%s", refusal.Reason))
}

// returnAfter spreads the returns of refused callers over the time after which a server is expected to be free.
func (p *pursuit) returnAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minReturn), maxReturn)
	return wait + time.Duration(returnSpread*point(p.call.id)*float64(wait))
}

func (p *pursuit) expired() *outcome.Error {
	if p.mayHaveRun {
		return outcome.Lost(http.StatusGatewayTimeout, errors.New(p.lastReason), "request reached its deadline")
	}
	return outcome.Refuse(http.StatusServiceUnavailable, 0, "request reached its deadline before it was sent")
}

// fail gives the final answer, or cuts the connection if a response has begun.
func (p *pursuit) fail(problem *outcome.Error) {
	switch {
	case problem == answered:
		return
	case p.headSent:
		p.cut(problem.Reason)
	case isClosed(p.callerGone):
		p.server.Log.Info("Caller left.", "request", p.call.id, "after_ms", time.Since(p.call.arrived).Milliseconds(), "run", problem.Outcome.String())
	default:
		p.server.refuse(p.writer, p.call, problem)
	}
}

// cut ends a response that has begun so that the caller sees that it is not complete.
func (p *pursuit) cut(reason string) {
	p.server.Log.Info("Response is cut off.", "request", p.call.id, "reason", reason, "last_event", p.lastEvent, "after_ms", time.Since(p.call.arrived).Milliseconds())
	p.server.metrics.count(p.call, statusCut)
	panic(http.ErrAbortHandler)
}

// statusCut counts responses that were cut off in the metrics.
const statusCut = 0

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// countRun counts the request as run, once.
func (p *pursuit) countRun() {
	if p.counted {
		return
	}
	p.counted = true
	p.server.Runs.CountRun(p.call.organisationName())
}

// pass gives the caller a whole response of a server.
func (p *pursuit) pass(b *bufferedResponse) {
	h := p.writer.Header()
	copyHeader(h, b.header)
	h.Set("Content-Length", strconv.Itoa(len(b.body)))
	p.server.endConnection(h)
	p.headSent = true
	p.writer.WriteHeader(b.status)
	if p.call.method != http.MethodHead {
		_, _ = p.writer.Write(b.body)
	}
	p.server.Log.Info("Response is passed on.", "request", p.call.id, "status", b.status, "bytes", len(b.body), "sends", p.sends+1, "after_ms", time.Since(p.call.arrived).Milliseconds())
	p.server.metrics.count(p.call, b.status)
}

func copyHeader(out, in http.Header) {
	for name, values := range in {
		out[name] = values
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
}

// silenceLimit returns how long to wait for the first byte of a response before the request goes to another server; 0
// means until the deadline. Only what may be repeated has a limit.
func (p *pursuit) silenceLimit(predicted time.Duration) time.Duration {
	c := p.call
	if !c.route.Repeatable() || p.runs+1 >= c.route.MaxAttempts() {
		return 0
	}
	return max(silenceFactor*predicted, c.route.Objective)
}

// silenceFactor is how many times the predicted time a server may be silent before it is taken to be dead for this
// request.
const silenceFactor = 4

// gapLimit returns how long a stream may pause before it goes on at another server, 0 for no limit.
func (p *pursuit) gapLimit() time.Duration {
	r := p.call.route
	if r.Kind != traffic.Streaming || !r.Resumable || r.MaxGap <= 0 || p.runs+1 >= r.MaxAttempts() {
		return 0
	}
	return gapFactor * r.MaxGap
}

// gapFactor is how many times the longest pause on time a resumable stream may pause. Callers give up after eight.
const gapFactor = 4
