package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/outcome"
)

// Drain makes every response close its connection, so that callers move to other nodes. Requests are still served.
func (s *Server) Drain() { s.isDraining.Store(true) }

// refusalState tells from when on requests that have not run are refused.
type refusalState struct {
	from  *atomic.Int64 // a boottime.Instant; 0 if requests are not refused
	ctx   context.Context
	begin context.CancelFunc // ends ctx, and with it the waits of requests at the node
}

// refusalState returns the state that RefuseRequestsFrom changes.
func (s *Server) refusalState() refusalState {
	s.refusalOnce.Do(func() {
		s.refusal.from = &atomic.Int64{}
		s.refusal.ctx, s.refusal.begin = context.WithCancel(context.Background())
	})
	return s.refusal
}

// RefuseRequestsFrom makes the node refuse requests that have not run, from an instant on: new ones, and those that wait at the
// node. Requests that are in progress at a backend server continue. Each request is checked against the clock, since a timer fires
// late on a busy host.
func (s *Server) RefuseRequestsFrom(at boottime.Instant) {
	state := s.refusalState()
	state.from.Store(int64(max(at, 1)))
	time.AfterFunc(at.Sub(boottime.Now()), state.begin)
}

func (s *Server) isRefusing() bool {
	from := boottime.Instant(s.refusalState().from.Load())
	return from != 0 && boottime.Now() >= from
}

// errStopping refuses a request at a node that stops. Other nodes can serve it immediately.
func errStopping() *outcome.Error {
	return outcome.NotRunErrorf(http.StatusServiceUnavailable, stoppingRetryAfter, "node is stopping")
}
