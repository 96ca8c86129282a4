package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const peerHeartbeatInterval = 500 * time.Millisecond

// PeerDispatcher handles requests of other nodes for the runs of this node, both those that it dispatches and those whose
// callers it serves.
type PeerDispatcher struct {
	peer.Dispatcher
	Entry *Server
}

// Attach sends the events of a run, from the copy of the entry node if the request says so, else from the dispatcher.
func (p PeerDispatcher) Attach(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error {
	if !request.FromEntry {
		return p.Dispatcher.Attach(ctx, request, send)
	}
	sess := p.Entry.sessions.find(request.Organisation, request.Run)
	if sess == nil {
		return connect.NewError(connect.CodeNotFound, errors.Errorf("run %q is not here", request.Run))
	}
	sess.addReader()
	defer sess.removeReader()
	return sess.sendEvents(ctx, request, send)
}

// Cancel cancels a run at the dispatcher, and the session unless the request is for one attempt or only for an unread run.
func (p PeerDispatcher) Cancel(ctx context.Context, request *peerpb.CancelRequest) {
	sess := p.Entry.sessions.find(request.Organisation, request.Run)
	if sess != nil && request.Attempt == 0 && !request.IfUnread {
		sess.stop(errCancelled)
	}
	p.Dispatcher.Cancel(ctx, request)
}

// sendEvents sends the session's events, those so far and those to come, to an entry node whose caller reads the same run.
func (s *session) sendEvents(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error {
	heartbeat := time.NewTicker(peerHeartbeatInterval)
	defer heartbeat.Stop()
	offset := int(request.Offset)
	needsRequest, hasSentAccepted := request.WantRequest, false
	for {
		p := s.progressFrom(offset)
		var events []*peerpb.RunEvent
		if needsRequest && s.hasPrompt() {
			needsRequest = false
			events = append(events, &peerpb.RunEvent{Event: &peerpb.RunEvent_Request{Request: s.currentRequest()}})
		}
		if p.accepted != nil && !hasSentAccepted {
			hasSentAccepted = true
			events = append(events, peer.AcceptedEvent(p.accepted))
		}
		if len(p.tokens) > 0 {
			events = append(events, peer.TokensEvent(&peerpb.Tokens{Offset: int64(offset), Tokens: p.tokens}))
			offset += len(p.tokens)
		}
		if p.hasEnded {
			last, err := finalEvent(p)
			if err != nil {
				return err
			}
			events = append(events, last)
		}
		for _, e := range events {
			if err := send(e); err != nil {
				return err
			}
		}
		if p.hasEnded {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.changed:
		case <-heartbeat.C:
			if err := send(peer.HeartbeatEvent()); err != nil {
				return err
			}
		}
	}
}

// finalEvent returns the last event for a session that has ended, or an error if the run was handed over.
func finalEvent(p progress) (*peerpb.RunEvent, error) {
	switch {
	case p.err == nil:
		return peer.EndEvent(&peerpb.End{Offset: int64(p.totalTokens), FinishReason: p.finishReason}), nil
	case errors.Is(p.err, errHandedOver):
		return nil, connect.NewError(connect.CodeUnavailable, p.err)
	case outcome.Of(p.err) == outcome.NotRun:
		return peer.RefusedEvent(&peerpb.Refused{Reason: p.err.Error(), RetryAfterMs: time.Second.Milliseconds()}), nil
	default:
		return peer.BrokenEvent(&peerpb.Broken{Reason: p.err.Error()}), nil
	}
}

func (s *session) hasPrompt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request.Prompt != ""
}

// currentRequest returns the request as the session's dispatcher has it, with which another node can resume the run.
func (s *session) currentRequest() *peerpb.RunRequest {
	request := s.attemptRequest(step{})
	request.Generated = nil
	request.Attempt = s.currentLocation().attempt
	request.ResumeHost, request.ExcludeHosts, request.DeadlineMs = "", nil, 0
	return request
}
