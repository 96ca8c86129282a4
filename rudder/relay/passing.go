package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/detour"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/traffic"
	"chestnutrudder.example/rudder/upstream"
)

// This file passes requests on to peers while this node has no path to the servers of their service; see docs/design/paths.md.

const (
	// maxPasses bounds how many peers get a request one after the other, and maxUnsentPasses how many others it could not be sent to.
	maxPasses       = 2
	maxUnsentPasses = 2
	// maxUnconnected is the number of servers that a request could not be sent to after which it is passed on although others of the
	// service can be reached.
	maxUnconnected = 2
	// minPeerSilence bounds from below how long a peer may be silent before a request that may be repeated goes elsewhere: the peer does
	// the same with its servers.
	minPeerSilence = 2 * time.Second
)

// passing is what a forwarder knows of the peers that got its request.
type passing struct {
	passes      int
	unsent      int             // peers that could not be connected to
	peers       map[string]bool // that have had the request, by node name
	refusal     *outcome.Error  // of the last peer that could not serve it; nil if none refused
	unconnected int             // servers to which there was no connection
	hasBegun    bool            // see beginHere
	isCounted   bool            // for its service, here or at a peer
	hasQuota    bool            // was taken, here or at a peer
	quotaTaken  bool            // by this node
	beganAtPeer bool            // the stream; this node does not know the software version then
}

// passResult is the result of passing a request on to one peer.
type passResult struct {
	attemptResult
	refusal *outcome.Error // of the peer, or its error response
	kind    detour.ErrorKind
}

// takeOver continues a request that a peer has passed on. state is nil for the request of a caller.
func (f *forwarder) takeOver(state *detour.State) {
	if state == nil {
		return
	}
	f.possibleRuns, f.mayHaveRun, f.isRunCounted = state.PossibleRuns, state.PossibleRuns > 0, state.IsRunCounted
	f.passing.isCounted, f.passing.hasQuota = state.IsCounted, state.HasQuota
	if f.mayHaveRun {
		f.lastFailure = "attempt of the node that passed the request on failed"
	}
}

// recordPassing takes the time at which a request that was passed on reached the first node, and logs it.
func (c *call) recordPassing(log *slog.Logger) {
	if c.passed == nil {
		return
	}
	c.arrivedAt = c.arrivedAt.Add(-c.passed.Age())
	log.Info("Request was passed on by a peer.", "request", c.id, "peer", c.passed.Node, "age_ms", c.passed.AgeMillis, "possible_runs", c.passed.PossibleRuns)
}

// markError tells the node that passed the request on what an error response means.
func (c *call) markError(h http.Header, problem *outcome.Error) {
	switch {
	case c.passed == nil:
	case problem.Outcome != outcome.NotRun:
		detour.MarkError(h, detour.Unknown)
	case c.isNodeProblem:
		detour.MarkError(h, detour.NotHere)
	default:
		detour.MarkError(h, detour.NotRun)
	}
}

// beginHere counts the request before it is sent to a server by this node, unless it was counted. It returns an error if the request
// exceeds its quota or does not say where its stream began.
func (f *forwarder) beginHere(ctx context.Context) *outcome.Error {
	s, c := f.server, f.call
	switch {
	case f.passing.hasBegun:
		return nil
	case c.passed != nil && s.Paths.IsLost(c.service):
		c.isNodeProblem = true
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, noPathRetryAfter, "node has no path to the backend servers of the service either")
	case f.passing.beganAtPeer:
		return outcome.UnknownErrorf(http.StatusBadGateway, errors.New(f.lastFailure), "stream cannot go on at another peer")
	}
	f.passing.hasBegun = true
	if !f.passing.hasQuota {
		if shortage := s.takeQuota(c); shortage != nil {
			s.metrics.countQuotaRefusal(c, shortage.Cause)
			return quotaError(shortage)
		}
		f.passing.hasQuota, f.passing.quotaTaken = true, true
	}
	if !f.passing.isCounted {
		f.passing.isCounted = true
		if s.Versions != nil {
			s.Versions.CountArrival(c.service)
		}
		s.recordFirstSend(c.service)
	}
	return f.findOrigin(ctx)
}

// noPathRetryAfter is sent to the callers of nodes that have no path and no peer with one.
const noPathRetryAfter = 300 * time.Millisecond

// returnQuota returns the quota that this node took for the request, unless the request may have run.
func (f *forwarder) returnQuota() {
	if f.passing.quotaTaken && !f.mayHaveRun && f.call.organisation != nil {
		f.server.Quotas.Return(f.call.organisation, f.call.quotaAmount)
		f.passing.quotaTaken, f.passing.hasQuota = false, false
	}
}

// shouldPassOn reports whether the request goes to a peer rather than to a server.
func (f *forwarder) shouldPassOn() bool {
	s, c := f.server, f.call
	switch {
	case s.Detours == nil || c.passed != nil || f.passing.passes >= maxPasses || f.passing.unsent > maxUnsentPasses:
		return false
	case f.alternative != nil && f.alternative.placement != nil:
		return false // a place at a server is reserved
	case f.isHeadSent && !f.canResumeAtPeer():
		return false
	}
	return f.passing.beganAtPeer || s.Paths.IsLost(c.service) || f.passing.unconnected >= maxUnconnected
}

// canResumeAtPeer reports whether a stream whose head was sent can go on at a peer, which must find out where the stream began.
func (f *forwarder) canResumeAtPeer() bool {
	return f.call.route.Kind == traffic.Streaming && f.call.route.Resumable && f.lastEventID != "" && f.server.Dialect.ResumedAttempt != ""
}

// canPassOn reports whether the request should go to a peer and there is one.
func (f *forwarder) canPassOn() bool {
	return f.shouldPassOn() && f.server.Detours.HasPeer(f.call.service, f.passing.peers)
}

// tryPeers passes the request on. It returns true if the caller has got a final response.
func (f *forwarder) tryPeers(ctx context.Context) (isDone bool) {
	s, c := f.server, f.call
	for f.shouldPassOn() {
		passage := s.Detours.Choose(c.service, f.passing.peers)
		if passage == nil {
			break
		}
		f.alternative = nil // its retry is used now
		r := f.passOn(ctx, passage)
		passage.End()
		switch {
		case r.isFinal:
			return true
		case r.isPartial:
			f.abort(r.reason)
		case ctx.Err() != nil:
			f.noteRun(r)
			f.fail(f.deadlineError())
			return true
		case r.isKnownNotRun:
			if f.endsWith(r) {
				return true
			}
			continue
		}
		f.noteRun(r)
		denial := f.resendDenial(true, f.possibleRuns, f.sends)
		switch {
		case denial != "":
		case r.kind == detour.Unknown:
			denial = r.refusal.Reason // the peer has tried what there is to try
		case f.isSuspect() || s.Crashes.IsSuspicious(c.traits()):
			denial = deniedSuspect
		case !s.takeRetry(c.service):
			denial = deniedBudget
		}
		if denial != "" {
			status := http.StatusBadGateway
			if r.refusal != nil {
				status = r.refusal.Status
			}
			f.fail(outcome.UnknownErrorf(status, errors.New(r.reason), "%s", denial))
			return true
		}
	}
	if f.passing.refusal != nil && s.Paths.IsLost(c.service) {
		f.failRefused(f.passing.refusal)
		return true
	}
	return false
}

// noteRun records that a request may have run at or by a peer, where it was counted then.
func (f *forwarder) noteRun(r passResult) {
	if r.isKnownNotRun {
		return
	}
	f.mayHaveRun, f.lastFailure, f.failedAt = true, r.reason, time.Now()
	f.possibleRuns++
	f.passing.isCounted, f.passing.hasQuota = true, true
}

// endsWith handles a peer that has not run the request. It returns true if its refusal holds for all nodes and was given to the caller.
func (f *forwarder) endsWith(r passResult) bool {
	if r.refusal == nil {
		return false
	}
	f.passing.refusal = r.refusal
	if r.kind == detour.NotHere || r.refusal.Status != http.StatusTooManyRequests && !f.server.Paths.IsLost(f.call.service) {
		return false
	}
	f.failRefused(r.refusal)
	return true
}

// failRefused gives the refusal of a peer to the caller.
func (f *forwarder) failRefused(refusal *outcome.Error) {
	if f.mayHaveRun {
		f.fail(outcome.UnknownErrorf(http.StatusBadGateway, errors.New(f.lastFailure), "%s", refusal.Reason))
		return
	}
	f.fail(refusal)
}

// passOn passes the request on to one peer and forwards the response.
func (f *forwarder) passOn(ctx context.Context, passage *detour.Passage) passResult {
	s, c := f.server, f.call
	if f.passing.peers == nil {
		f.passing.peers = map[string]bool{}
	}
	f.passing.peers[passage.Node] = true
	f.passing.passes++
	f.returnQuota()
	f.passing.hasBegun = false
	s.Log.Info("Passed the request on to a peer.", "request", c.id, "peer", passage.Node, "peer_failure_domain", passage.FailureDomain, "peer_load", passage.Load, "pass", f.passing.passes+f.passing.unsent,
		"no_path", s.Paths.IsLost(c.service), "sends", f.sends, "last_event", f.lastEventID, "route", c.route.Name, "service", c.service, "config_version", c.configVersion)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	state := detour.State{
		AgeMillis: time.Since(c.arrivedAt).Milliseconds(), PossibleRuns: f.possibleRuns,
		IsCounted: f.passing.isCounted, HasQuota: f.passing.hasQuota, IsRunCounted: f.isRunCounted,
	}
	var silenceTimeout time.Duration
	if f.resendDenial(true, f.possibleRuns+1, f.sends) == "" && f.passing.passes < maxPasses {
		silenceTimeout = max(minPeerSilence, c.route.LatencyObjective)
	}
	response, err := passage.Send(ctx, f.newPeerRequest(), state, silenceTimeout)
	r := passResult{attemptResult: attemptResult{isSent: true}}
	if err != nil {
		r.reason = err.Error()
		if r.isKnownNotRun = errors.Is(err, upstream.ErrNotSent); r.isKnownNotRun {
			f.passing.passes--
			f.passing.unsent++
		}
	} else {
		r = f.forwardFromPeer(response)
	}
	result := "answered"
	switch {
	case r.isFinal:
	case r.refusal != nil && r.isKnownNotRun:
		result = "refused"
	case r.isKnownNotRun:
		result = "not_sent"
	default:
		result = "failed"
	}
	s.metrics.countPassing(c, result)
	if !r.isFinal {
		s.Log.Info("Passing the request on to a peer failed.", "request", c.id, "peer", passage.Node, "pass", f.passing.passes+f.passing.unsent, "result", result, "not_run", r.isKnownNotRun,
			"after_ms", time.Since(c.arrivedAt).Milliseconds(), "reason", r.reason)
	}
	return r
}

// newPeerRequest returns the request as the caller sent it, or its continuation if a part of a stream was sent.
func (f *forwarder) newPeerRequest() *http.Request {
	c := f.call
	header := c.callerHeader.Clone()
	for _, line := range c.callerHeader["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = strings.TrimSpace(name); !f.server.Dialect.isAlwaysForwarded(http.CanonicalHeaderKey(name)) {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	if f.lastEventID != "" {
		header.Set(headerLastEventID, f.lastEventID)
		if !c.resumesStream() {
			header.Set(f.server.Dialect.ResumedAttempt, c.id)
		}
	}
	request := &http.Request{
		Method: c.method, URL: &url.URL{Opaque: c.requestTarget}, Host: c.hostHeader, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(c.body) > 0 {
		request.Body, request.ContentLength = newBody(c.body), int64(len(c.body))
	}
	return request
}

// forwardFromPeer forwards the response of a peer, or returns its refusal. The peer has checked the response of the server.
func (f *forwarder) forwardFromPeer(response *detour.Response) passResult {
	isRead := false
	defer func() { response.Close(isRead) }()
	if response.Error != "" {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBytes))
		isRead = err == nil
		return peerError(response)
	}
	isStream := response.StatusCode < 300 && f.call.route.Kind == traffic.Streaming && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	var r attemptResult
	switch {
	case isStream:
		r = f.forwardPeerStream(response.Response)
	case f.isHeadSent:
		r = attemptResult{reason: fmt.Sprintf("response of the peer with status %d does not continue the stream", response.StatusCode)}
	default:
		r = f.forwardPeerBody(response.Response)
	}
	r.isSent = true
	isRead = r.isFinal
	return passResult{attemptResult: r}
}

// peerError returns the result for an error response that the peer itself made.
func peerError(response *detour.Response) passResult {
	retryAfter, _ := strconv.ParseFloat(response.Header.Get(headerRetryAfter), 64)
	reason := fmt.Sprintf("peer responded with status %d (%s)", response.StatusCode, response.Error)
	r := passResult{attemptResult: attemptResult{isSent: true, reason: reason}, kind: response.Error}
	switch {
	case response.Error != detour.NotRun && response.Error != detour.NotHere:
		r.kind = detour.Unknown
		r.refusal = outcome.UnknownErrorf(outcome.Unknown.CallerStatus(response.StatusCode), nil, "%s", reason)
	case response.StatusCode == http.StatusTooManyRequests:
		r.isKnownNotRun = true
		r.refusal = outcome.NotRunErrorf(response.StatusCode, time.Duration(retryAfter*float64(time.Second)), "%s", reason)
	default: // this node has admitted the request, whatever the peer thinks of it
		r.isKnownNotRun = true
		if retryAfter <= 0 {
			retryAfter = noPathRetryAfter.Seconds()
		}
		r.refusal = outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Duration(retryAfter*float64(time.Second)), "%s", reason)
	}
	return r
}

// forwardPeerBody forwards a response that is no event stream.
func (f *forwarder) forwardPeerBody(response *http.Response) attemptResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil {
		return attemptResult{reason: "read response of the peer: " + err.Error()}
	}
	if len(body) <= maxBufferedBytes {
		f.writeResponse(&bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
		return attemptResult{isFinal: true}
	}
	f.writeHead(response)
	caller := &callerWriter{ResponseWriter: f.writer}
	if _, err = caller.Write(body); err == nil {
		_, err = io.Copy(caller, response.Body)
	}
	if err != nil {
		return attemptResult{isPartial: true, reason: "forward large response of the peer: " + err.Error()}
	}
	f.finishResponse(response.StatusCode)
	return attemptResult{isFinal: true}
}

// forwardPeerStream forwards events as they arrive, like attempt.forwardStream.
func (f *forwarder) forwardPeerStream(response *http.Response) attemptResult {
	reader := &eventReader{source: response.Body, requestIDHeader: f.server.Dialect.RequestID, memory: f.server.newMemoryAccount()}
	defer reader.memory.release()
	controller := http.NewResponseController(f.writer)
	chunk := make([]byte, streamChunkBytes)
	for skipUpTo := f.lastEventID; ; {
		events, err := reader.next(chunk)
		if skipUpTo != "" {
			var continuationErr error
			if events, continuationErr = continuation(events, skipUpTo); continuationErr != nil {
				return attemptResult{reason: continuationErr.Error()}
			}
		}
		if len(events) > 0 {
			skipUpTo = ""
			f.passing.beganAtPeer = f.passing.beganAtPeer || !f.isHeadSent
			if writeErr := f.writeEvents(events, response, controller); writeErr != nil {
				return attemptResult{isPartial: true, reason: "write events to caller: " + writeErr.Error()}
			}
			f.lastEventID = reader.lastID
		}
		switch {
		case err == io.EOF && reader.isWithinEvent():
			return attemptResult{reason: errEndedWithinEvent.Error()}
		case err == io.EOF:
			return f.finishPeerStream(reader, response, controller)
		case err != nil:
			return attemptResult{reason: "read event stream of the peer: " + err.Error()}
		}
	}
}

// finishPeerStream forwards the rest of a stream that the peer has ended.
func (f *forwarder) finishPeerStream(reader *eventReader, response *http.Response, controller *http.ResponseController) attemptResult {
	if rest := reader.remainder(); len(rest) > 0 {
		if err := f.writeEvents(rest, response, controller); err != nil {
			return attemptResult{isPartial: true, reason: "write events to caller: " + err.Error()}
		}
	}
	if !f.isHeadSent {
		f.writeHead(response)
	}
	f.finishResponse(response.StatusCode)
	return attemptResult{isFinal: true}
}
