package backend

import (
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// backpressure is what a server in need asks for: a limit of requests from all nodes together, or none from this node for a
// time.
type backpressure struct {
	limit serverLimit
	pause serverPause
}

// sendWait returns how long a request must wait before this node may send it to the server, 0 if it may send it now, and the
// part of it that is due to a pause.
func (t *Table) sendWait(s *Server, r Request, now time.Time, bootNow boottime.Instant) (wait, pauseWait time.Duration) {
	pauseWait = s.pause.wait(t.nodeCount(), r.HasWaited, bootNow)
	return max(s.limitWait(now), pauseWait), pauseWait
}

// recordSend takes a request that is placed on the server into account.
func (b *backpressure) recordSend(now time.Time) {
	if b.limit.isNamed {
		b.limit.tokens--
		b.limit.placedAt = now
	}
	b.pause.recordSend()
}

// nodeCount returns the number of nodes that send requests to servers, at least 1. The caller holds the lock.
func (t *Table) nodeCount() float64 { return float64(max(len(t.nodes), 1)) }

// SendProblem returns why the request must not be sent any more to the server that was chosen for it, empty if it may be sent.
// The state of the server may have changed since the choice, while a connection was opened.
func (p *Placement) SendProblem() string {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.latestEntry(p.Server)
	switch {
	case !s.isServing():
		return "backend server leaves"
	case !t.versionShares[p.request.Service].mayGetRequests(p.SoftwareVersion):
		return "software version of the backend server gets no requests"
	case s.pause.isInForce(t.now()):
		return "backend server asked for a pause"
	}
	return ""
}
