package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const cancelTimeout = 2 * time.Second

// handleEvent handles one event of a step and reports whether the step has ended. It writes the result to r.
func (s *session) handleEvent(current step, event *peerpb.RunEvent, r *stepResult) bool {
	switch e := event.Event.(type) {
	case *peerpb.RunEvent_Request:
		s.adoptRequest(e.Request)
	case *peerpb.RunEvent_Accepted:
		s.handleAccepted(current, e.Accepted)
	case *peerpb.RunEvent_Tokens:
		if s.isCurrentAttempt(e.Tokens.Attempt) && s.appendTokens(e.Tokens) {
			r.hasNewTokens = true
		}
	case *peerpb.RunEvent_End:
		return s.handleEnd(e.End, r)
	case *peerpb.RunEvent_Refused:
		s.handleRefused(e.Refused, r)
		return true
	case *peerpb.RunEvent_Broken:
		s.handleBroken(current, e.Broken, r)
		return true
	case *peerpb.RunEvent_Moved:
		s.markMayHaveRun(current)
		r.kind, r.reason, r.moved = resultRunMoved, "the run was moved to "+e.Moved.Node, e.Moved
		return true
	}
	return false
}

func (s *session) handleRefused(refused *peerpb.Refused, r *stepResult) {
	s.mu.Lock()
	r.isNewSuspect = refused.Suspected && !s.isolate
	s.isolate = s.isolate || refused.Suspected
	s.retryAfter = time.Duration(refused.RetryAfterMs) * time.Millisecond
	r.kind, r.reason, r.retryAfter = resultRefused, refused.Reason, s.retryAfter
	s.mu.Unlock()
	if refused.Quarantined {
		r.finalErr = s.quarantineError(refused.Reason)
	}
}

func (s *session) handleBroken(current step, broken *peerpb.Broken, r *stepResult) {
	r.reason = broken.Reason
	if current.kind == stepAttachEntryNode {
		r.kind, r.hasEvents = resultStreamLost, false
		return
	}
	s.markMayHaveRun(current)
	s.mu.Lock()
	s.isolate = s.isolate || broken.Crashed
	s.mu.Unlock()
	r.kind, r.broken = resultAttemptLost, broken
	if broken.Crashed && broken.Alone {
		r.finalErr = s.quarantineError("the request crashed a backend server that ran nothing else")
	}
}

// quarantineError returns the error for a request that crashes backend servers.
func (s *session) quarantineError(reason string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayHaveRun {
		return outcome.NotRunErrorf(http.StatusUnprocessableEntity, 0, "%s", reason)
	}
	return outcome.UnknownErrorf(http.StatusUnprocessableEntity, nil, "%s", reason)
}

func (s *session) handleEnd(end *peerpb.End, r *stepResult) bool {
	if !s.isCurrentAttempt(end.Attempt) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(end.Offset) != len(s.tokens) {
		r.kind, r.reason = resultStreamLost, "the answer ended with tokens missing"
		return true
	}
	s.finishReason = end.FinishReason
	r.kind = resultComplete
	return true
}

// isCurrentAttempt reports whether an event belongs to the current attempt. Events from an entry node's copy carry no
// attempt ID and always do.
func (s *session) isCurrentAttempt(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return attempt == "" || attempt == s.currentAttempt
}

// adoptRequest stores the request of a run that another entry node accepted, so that this node can resume the run.
func (s *session) adoptRequest(request *peerpb.RunRequest) {
	if request.GetRun() != s.request.Run || request.Organisation != s.request.Organisation {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mayHaveRun = true
	s.attempts = max(s.attempts, request.Attempt)
	s.location.attempt = request.Attempt
	s.currentAttempt = attemptID(request.Run, request.Attempt)
	s.placeSequence = max(s.placeSequence, request.Sequence)
	if s.request.Prompt == "" {
		template := s.request
		template.Deployment, template.ModelVersion, template.Model = request.Deployment, request.ModelVersion, request.Model
		template.Prompt, template.MaxTokens, template.Class = request.Prompt, request.MaxTokens, request.Class
		template.Fingerprint = request.Fingerprint
	}
}

// handleAccepted records where the run is now, registers its place and cancels the attempt that was replaced. A session that
// reads another entry node's copy leaves the registration and the cancellation to that node.
func (s *session) handleAccepted(current step, accepted *peerpb.Accepted) {
	s.mu.Lock()
	previousLocation, ownedRun := s.location, s.ownsRun
	s.mayHaveRun = true
	s.accepted = accepted
	s.notifyChange()
	if current.kind == stepAttachEntryNode {
		s.location.host = accepted.Host
		s.mu.Unlock()
		return
	}
	if current.kind == stepRun {
		s.location.attempt = s.attempts
		s.recomputedTokens += accepted.RecomputedTokens
		s.computedTokens = max(s.computedTokens, accepted.CachedTokens+accepted.ComputedTokens)
	}
	if accepted.ModelVersion != "" {
		s.request.ModelVersion = accepted.ModelVersion // later attempts stay on the version that began the answer
	}
	s.location.node, s.location.host = current.node.Name, accepted.Host
	s.ownsRun = true
	hasMoved := previousLocation.node != s.location.node || previousLocation.host != s.location.host || !ownedRun
	if hasMoved {
		s.placeSequence++
	}
	s.mu.Unlock()
	if hasMoved {
		s.registerPlace()
	}
	if previousLocation.node != "" && previousLocation.host != "" && previousLocation.host != accepted.Host {
		s.cancelReplacedAttempt(previousLocation)
	}
}

// registerPlace stores the run's place in the registry, in the background so that the answer is not delayed.
func (s *session) registerPlace() {
	if s.server.Registry == nil || !s.canReconnect {
		return
	}
	place := s.place()
	go s.server.Registry.Put(context.Background(), place)
}

// cancelReplacedAttempt cancels an attempt that was replaced by one on another host, so that it does not occupy a slot. An
// attempt that was replaced on the same host is not cancelled, since the new one continues its engine run.
func (s *session) cancelReplacedAttempt(location runLocation) {
	n, found := s.server.Members.Find(location.node)
	if !found {
		return
	}
	request := &peerpb.CancelRequest{Run: s.request.Run, Organisation: s.request.Organisation, Attempt: location.attempt}
	go s.server.sendCancel(n.PeerAddress, request)
}

func (s *Server) sendCancel(address string, request *peerpb.CancelRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := s.Dial(address).Cancel(ctx, connect.NewRequest(request)); err != nil {
		s.Log.Info("Failed to send a cancel request; the run may continue.", "run", request.Run, "error", err)
	}
}

// locateRun looks up the run in the registry and returns the steps to read it.
func (s *session) locateRun(ctx context.Context) []step {
	if s.server.Registry == nil {
		return nil
	}
	place := s.server.Registry.Find(ctx, s.request.Organisation, "", s.request.Run)
	if place == nil {
		return nil
	}
	return s.adoptPlace(place)
}

// adoptPlace stores the run's place from the registry and returns the steps to read the run there.
func (s *session) adoptPlace(place *peerpb.RunPlace) []step {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.location.node, s.location.host = place.Dispatcher, place.Host
	s.placeSequence = max(s.placeSequence, place.Sequence)
	return stepsForPlace(place, s.server.Members.Self().Name, s.server)
}
