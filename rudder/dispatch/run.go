package dispatch

import (
	"context"
	"sync"
	"time"

	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// Run is one model request on a backend server of this dispatcher. It buffers the answer, so that the entry node can
// attach again after a broken connection.
type Run struct {
	ID           string
	Organisation string
	ticket       *ticket // set before the run is known to others

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	accepted *peerpb.Accepted
	base     int // offset of tokens[0] in the whole answer
	tokens   []string
	attempt  string
	last     *peerpb.RunEvent // End, Broken, Refused or Moved
	readers  int
	idleFrom time.Time // since when nobody reads
	givenUp  bool      // the entry node has no caller for it any more
	stopped  bool
	cancel   context.CancelFunc // ends the engine stream
}

func newRun(id, organisation, attempt string, base int) *Run {
	return &Run{ID: id, Organisation: organisation, attempt: attempt, base: base, changed: make(chan struct{}), idleFrom: time.Now()}
}

func (r *Run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// accept notes that the run has a slot and reports whether that is new.
func (r *Run) accept(a *peerpb.Accepted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted != nil {
		return false
	}
	r.accepted = a
	r.signal()
	return true
}

// onStop sets what ends the engine stream; it is called at once if the run is stopped already.
func (r *Run) onStop(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
	if r.stopped {
		cancel()
	}
}

// stop ends the engine stream, now or when it begins.
func (r *Run) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	if r.cancel != nil {
		r.cancel()
	}
}

// host returns the host that accepted the run, empty if none has.
func (r *Run) host() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted.GetHost()
}

func (r *Run) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// answer returns all tokens of the answer so far; generated are those that the attempt began with.
func (r *Run) answer(generated []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(append(make([]string, 0, len(generated)+len(r.tokens)), generated...), r.tokens...)
}

// add takes tokens that continue the answer at the next offset and drops those that are already there. It reports
// false if there is a gap.
func (r *Run) add(offset int, tokens []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.base + len(r.tokens)
	if offset > next || r.last != nil {
		return false
	}
	if offset+len(tokens) <= next {
		return true
	}
	r.tokens = append(r.tokens, tokens[next-offset:]...)
	r.signal()
	return true
}

// finish ends the run with its last event; only the first call counts.
func (r *Run) finish(event *peerpb.RunEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last != nil {
		return
	}
	r.last = event
	r.signal()
}

// length returns the number of tokens of the answer so far, from its start.
func (r *Run) length() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.base + len(r.tokens)
}

// finished reports whether the run has its last event.
func (r *Run) finished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last != nil
}

// idleSince returns since when nobody reads the run; ok is false while somebody does.
func (r *Run) idleSince() (since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idleFrom, r.readers == 0
}

// tokensFrom returns the tokens from an offset of the whole answer, with those that the attempt began with. The caller
// holds the lock.
func (r *Run) tokensFrom(offset int) []string {
	if offset < r.base {
		return append(append([]string(nil), r.ticket.request.Generated[offset:]...), r.tokens...)
	}
	return append([]string(nil), r.tokens[min(offset-r.base, len(r.tokens)):]...)
}

// follow sends the run's events from an offset until the last one or until ctx ends.
func (r *Run) follow(ctx context.Context, offset int, send func(*peerpb.RunEvent) error) error {
	r.mu.Lock()
	r.readers++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.readers--
		r.idleFrom = time.Now()
		r.mu.Unlock()
	}()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	acceptedSent := false
	for {
		r.mu.Lock()
		changed := r.changed
		accepted := r.accepted
		last := r.last
		attempt := r.attempt
		tokens := r.tokensFrom(offset)
		r.mu.Unlock()
		if accepted != nil && !acceptedSent {
			acceptedSent = true
			if err := send(peer.AcceptedEvent(accepted)); err != nil {
				return err
			}
		}
		if len(tokens) > 0 {
			if err := send(peer.TokensEvent(&peerpb.Tokens{Attempt: attempt, Offset: int64(offset), Tokens: tokens})); err != nil {
				return err
			}
			offset += len(tokens)
		}
		if last != nil {
			return send(last)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-heartbeat.C:
			if err := send(peer.HeartbeatEvent()); err != nil {
				return err
			}
		}
	}
}
