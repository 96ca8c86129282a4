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

const peerHeartbeat = 500 * time.Millisecond

// PeerRuns answers other nodes' messages about the runs of both roles of this node: those that it dispatches and those
// whose callers it serves.
type PeerRuns struct {
	peer.Dispatcher
	Entry *Server
}

// Attach sends a run's events from the entry node's copy or from the dispatcher's.
func (p PeerRuns) Attach(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error {
	if !request.FromEntry {
		return p.Dispatcher.Attach(ctx, request, send)
	}
	one := p.Entry.sessions.find(request.Organisation, request.Run)
	if one == nil {
		return connect.NewError(connect.CodeNotFound, errors.Errorf("run %q is not here", request.Run))
	}
	one.enter()
	defer one.leave()
	return one.follow(ctx, request, send)
}

// Cancel stops a run in both roles.
func (p PeerRuns) Cancel(ctx context.Context, request *peerpb.CancelRequest) {
	one := p.Entry.sessions.find(request.Organisation, request.Run)
	if one != nil && request.Attempt == 0 && !request.IfUnread {
		one.stop(errCancelled)
	}
	p.Dispatcher.Cancel(ctx, request)
}

// follow sends what the session has and gets, to an entry node whose caller asked for the same run.
func (s *session) follow(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error {
	heartbeat := time.NewTicker(peerHeartbeat)
	defer heartbeat.Stop()
	offset := int(request.Offset)
	asked, acceptedSent := request.WantRequest, false
	for {
		p := s.progress(offset)
		var events []*peerpb.RunEvent
		if asked && s.hasPrompt() {
			asked = false
			events = append(events, &peerpb.RunEvent{Event: &peerpb.RunEvent_Request{Request: s.currentOrder()}})
		}
		if p.accepted != nil && !acceptedSent {
			acceptedSent = true
			events = append(events, peer.AcceptedEvent(p.accepted))
		}
		if len(p.tokens) > 0 {
			events = append(events, peer.TokensEvent(&peerpb.Tokens{Offset: int64(offset), Tokens: p.tokens}))
			offset += len(p.tokens)
		}
		if p.ended {
			last, err := lastEvent(p)
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
		if p.ended {
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

func lastEvent(p progress) (*peerpb.RunEvent, error) {
	switch {
	case p.err == nil:
		return peer.EndEvent(&peerpb.End{Offset: int64(p.total), FinishReason: p.finishReason}), nil
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

// currentOrder is the request as the session's dispatcher has it.
func (s *session) currentOrder() *peerpb.RunRequest {
	order := s.order(step{})
	order.Generated = nil
	order.Attempt = s.position().attempt
	order.ResumeHost, order.ExcludeHosts, order.DeadlineMs = "", nil, 0
	return order
}
