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

// take handles one event and reports whether the step is over. Its outcome is written to r.
func (s *session) take(current step, event *peerpb.RunEvent, r *result) bool {
	switch e := event.Event.(type) {
	case *peerpb.RunEvent_Request:
		s.adopt(e.Request)
	case *peerpb.RunEvent_Accepted:
		s.accept(current, e.Accepted)
	case *peerpb.RunEvent_Tokens:
		if s.isCurrent(e.Tokens.Attempt) && s.takeTokens(e.Tokens) {
			r.fresh = true
		}
	case *peerpb.RunEvent_End:
		return s.takeEnd(e.End, r)
	case *peerpb.RunEvent_Refused:
		s.takeRefused(e.Refused, r)
		return true
	case *peerpb.RunEvent_Broken:
		s.takeBroken(current, e.Broken, r)
		return true
	case *peerpb.RunEvent_Moved:
		s.placeAt(current)
		r.kind, r.reason, r.moved = resultMoved, "the run was moved to "+e.Moved.Node, e.Moved
		return true
	}
	return false
}

func (s *session) takeRefused(refused *peerpb.Refused, r *result) {
	s.mu.Lock()
	r.suspect = refused.Suspected && !s.isolate
	s.isolate = s.isolate || refused.Suspected
	s.retryAfter = time.Duration(refused.RetryAfterMs) * time.Millisecond
	r.kind, r.reason, r.wait = resultRefused, refused.Reason, s.retryAfter
	s.mu.Unlock()
	if refused.Quarantined {
		r.final = s.quarantined(refused.Reason)
	}
}

func (s *session) takeBroken(current step, broken *peerpb.Broken, r *result) {
	r.reason = broken.Reason
	if current.kind == stepAttachEntry {
		r.kind, r.heard = resultLost, false
		return
	}
	s.placeAt(current)
	s.mu.Lock()
	s.isolate = s.isolate || broken.Crashed
	s.mu.Unlock()
	r.kind, r.broken = resultBroken, broken
	if broken.Crashed && broken.Alone {
		r.final = s.quarantined("the request crashed a backend server that ran nothing else")
	}
}

// quarantined returns the error for a request that crashes backend servers.
func (s *session) quarantined(reason string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.placed {
		return outcome.NotRunErrorf(http.StatusUnprocessableEntity, 0, "%s", reason)
	}
	return outcome.UnknownErrorf(http.StatusUnprocessableEntity, nil, "%s", reason)
}

func (s *session) takeEnd(end *peerpb.End, r *result) bool {
	if !s.isCurrent(end.Attempt) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(end.Offset) != len(s.tokens) {
		r.kind, r.reason = resultLost, "the answer ended with tokens missing"
		return true
	}
	s.finishReason = end.FinishReason
	r.kind = resultEnded
	return true
}

// isCurrent reports whether an event belongs to the current attempt. An entry node's copy carries no attempt.
func (s *session) isCurrent(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return attempt == "" || attempt == s.current
}

// adopt takes the request of a run that another entry node accepted.
func (s *session) adopt(request *peerpb.RunRequest) {
	if request.GetRun() != s.request.Run || request.Organisation != s.request.Organisation {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed = true
	s.attempts = max(s.attempts, request.Attempt)
	s.at.attempt = request.Attempt
	s.current = attemptID(request.Run, request.Attempt)
	s.sequence = max(s.sequence, request.Sequence)
	if s.request.Prompt == "" {
		t := s.request
		t.Deployment, t.ModelVersion, t.Model = request.Deployment, request.ModelVersion, request.Model
		t.Prompt, t.MaxTokens, t.Class = request.Prompt, request.MaxTokens, request.Class
		t.Fingerprint = request.Fingerprint
	}
}

// accept notes where the run is now, tells the registry, and stops the attempt that it replaces. A session that reads
// another entry node's copy leaves both to that node.
func (s *session) accept(current step, a *peerpb.Accepted) {
	s.mu.Lock()
	before, wasOwner := s.at, s.owner
	s.placed = true
	s.accepted = a
	s.signal()
	if current.kind == stepAttachEntry {
		s.at.host = a.Host
		s.mu.Unlock()
		return
	}
	if current.kind == stepRun {
		s.at.attempt = s.attempts
		s.recomputed += a.RecomputedTokens
		s.computed = max(s.computed, a.CachedTokens+a.ComputedTokens)
	}
	if a.ModelVersion != "" {
		s.request.ModelVersion = a.ModelVersion // a resumption stays on the version that began the answer
	}
	s.at.node, s.at.host = current.node.Name, a.Host
	s.owner = true
	moved := before.node != s.at.node || before.host != s.at.host || !wasOwner
	if moved {
		s.sequence++
	}
	s.mu.Unlock()
	if moved {
		s.register()
	}
	if before.node != "" && before.host != "" && before.host != a.Host {
		s.stopAttempt(before)
	}
}

// register tells the registry where the run is, without holding up the answer.
func (s *session) register() {
	if s.server.Registry == nil || !s.findable {
		return
	}
	place := s.place()
	go s.server.Registry.Put(context.Background(), place)
}

// stopAttempt cancels an attempt that another one on another host has replaced, so that it does not use a slot. On the
// same host the engine run is the one that goes on.
func (s *session) stopAttempt(old position) {
	n, found := s.server.Members.Find(old.node)
	if !found {
		return
	}
	request := &peerpb.CancelRequest{Run: s.request.Run, Organisation: s.request.Organisation, Attempt: old.attempt}
	go s.server.sendCancel(n.PeerAddress, request)
}

func (s *Server) sendCancel(address string, request *peerpb.CancelRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := s.Dial(address).Cancel(ctx, connect.NewRequest(request)); err != nil {
		s.Log.Info("Run could not be cancelled.", "run", request.Run, "error", err)
	}
}

// locate asks the registry for the run and returns the steps to read it there.
func (s *session) locate(ctx context.Context) []step {
	if s.server.Registry == nil {
		return nil
	}
	place := s.server.Registry.Find(ctx, s.request.Organisation, "", s.request.Run)
	if place == nil {
		return nil
	}
	return s.settle(place)
}

// settle notes where the registry says that the run is.
func (s *session) settle(place *peerpb.RunPlace) []step {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.node, s.at.host = place.Dispatcher, place.Host
	s.sequence = max(s.sequence, place.Sequence)
	return firstSteps(place, s.server.Members.Self().Name, s.server)
}
