package relay

import (
	"context"
	"time"

	"chestnutrudder.example/rudder/backend"
)

// Mover moves the memory of a running request from one backend server to another.
type Mover interface {
	// Move stops the run at the source and copies its memory to the target. It returns the value of the header from which
	// the request goes on at the target, or at the source itself if the copy failed after the run had stopped
	// (atSource). An error means that the run was not stopped as far as is known.
	Move(ctx context.Context, source, request, target string) (memory string, atSource bool, err error)
}

const (
	// moveLead is how long before its end a leaving server's streams are moved: streams that end by themselves until then
	// need no move, and the copies of all streams of a server share its link.
	moveLead = 1400 * time.Millisecond
	// moveGrace is how much later than the server's end the answer of a move may come.
	moveGrace = 200 * time.Millisecond
)

// move is a stream's move to another server. Its fields are valid once done is closed.
type move struct {
	done      chan struct{}
	placement *backend.Placement // where the request goes on; nil if it was not moved
	memory    string
}

// moveOnNotice moves the stream when its server is about to leave, until ctx ends. A resumable stream is not moved: it goes
// on at any server.
func (a *attempt) moveOnNotice(ctx context.Context) {
	if a.server.Mover == nil || !a.call.generation || a.call.route.Resumable || !a.server.moves(a.call.service) {
		return
	}
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-a.placement.Notice():
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(a.placement.EndsAt().Add(-moveLead))):
			a.beginMove(ctx)
		}
	}()
}

// moves reports whether the runners of a service move memory.
func (s *Server) moves(service string) bool {
	known := s.Current.Config().Services[service]
	return known != nil && known.Engine != nil && known.Engine.Moves
}

// beginMove moves the stream. The stream at the source breaks off meanwhile; its reader waits for the outcome.
func (a *attempt) beginMove(streaming context.Context) {
	request := a.pursuit.placementRequest()
	request.GoesOn, request.Exclude = true, map[string]bool{a.placement.ID: true}
	target, refusal := a.server.Backends.Place(request, 0)
	if refusal != nil {
		a.server.Log.Info("Request cannot be moved.", "request", a.call.id, "server", a.placement.ID, "reason", refusal.Reason)
		return
	}
	m := &move{done: make(chan struct{})}
	a.moveMu.Lock()
	if streaming.Err() != nil {
		a.moveMu.Unlock()
		target.Release(backend.Inconclusive)
		return
	}
	a.move = m
	a.moveMu.Unlock()
	defer close(m.done)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(streaming), a.placement.EndsAt().Add(moveGrace))
	defer cancel()
	begin := time.Now()
	memory, atSource, err := a.server.Mover.Move(ctx, a.placement.Address, a.call.id, target.Address)
	a.server.Log.Info("Request is moved.", "request", a.call.id, "server", a.placement.ID, "target", target.ID, "memory", memory,
		"at_source", atSource, "took_ms", time.Since(begin).Milliseconds(), "error", err)
	if err != nil {
		target.Release(backend.Inconclusive)
		return
	}
	m.placement, m.memory = target, memory
	if atSource {
		target.Release(backend.Inconclusive)
		m.placement = a.server.Backends.Stay(a.placement)
	}
}

// awaitMove returns the stream's move if it was moved, after the end of a move under way.
func (a *attempt) awaitMove() *move {
	a.moveMu.Lock()
	m := a.move
	a.moveMu.Unlock()
	if m == nil {
		return nil
	}
	<-m.done
	if m.placement == nil {
		return nil
	}
	return m
}
