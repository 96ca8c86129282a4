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
	task         *task // set before the run is known to others

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each change
	accepted      *peerpb.Accepted
	firstOffset   int // offset of tokens[0] in the whole answer
	tokens        []string
	attemptID     string
	lastEvent     *peerpb.RunEvent // End, Broken, Refused or Moved
	readers       int
	lastReadAt    time.Time // since when nobody reads
	callerGone    bool      // the entry node has no caller for it any more
	stopRequested bool
	cancel        context.CancelFunc // ends the engine stream
}

func newRun(id, organisation, attemptID string, firstOffset int) *Run {
	return &Run{ID: id, Organisation: organisation, attemptID: attemptID, firstOffset: firstOffset, changed: make(chan struct{}), lastReadAt: time.Now()}
}

func (r *Run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// setAccepted notes that the run has a slot and reports whether that is new.
func (r *Run) setAccepted(a *peerpb.Accepted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted != nil {
		return false
	}
	r.accepted = a
	r.notifyReaders()
	return true
}

// setCancel sets what ends the engine stream; it is called at once if the run is stopped already.
func (r *Run) setCancel(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
	if r.stopRequested {
		cancel()
	}
}

// stop ends the engine stream, now or when it begins.
func (r *Run) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopRequested = true
	if r.cancel != nil {
		r.cancel()
	}
}

// acceptedHost returns the host that accepted the run, empty if none has.
func (r *Run) acceptedHost() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted.GetHost()
}

func (r *Run) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopRequested
}

// answerTokens returns all tokens of the answer so far; generated are those that the attempt began with.
func (r *Run) answerTokens(generated []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(append(make([]string, 0, len(generated)+len(r.tokens)), generated...), r.tokens...)
}

// appendTokens takes tokens that continue the answer at the next offset and drops those that are already there. It reports
// false if there is a gap.
func (r *Run) appendTokens(offset int, tokens []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	nextOffset := r.firstOffset + len(r.tokens)
	if offset > nextOffset || r.lastEvent != nil {
		return false
	}
	if offset+len(tokens) <= nextOffset {
		return true
	}
	r.tokens = append(r.tokens, tokens[nextOffset-offset:]...)
	r.notifyReaders()
	return true
}

// finish ends the run with its last event; only the first call counts.
func (r *Run) finish(event *peerpb.RunEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastEvent != nil {
		return
	}
	r.lastEvent = event
	r.notifyReaders()
}

// answerLength returns the number of tokens of the answer so far, from its start.
func (r *Run) answerLength() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstOffset + len(r.tokens)
}

// isFinished reports whether the run has its last event.
func (r *Run) isFinished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEvent != nil
}

// unreadSince returns since when nobody reads the run; isUnread is false while somebody does.
func (r *Run) unreadSince() (since time.Time, isUnread bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReadAt, r.readers == 0
}

// tokensFrom returns the tokens from an offset of the whole answer, with those that the attempt began with. The caller
// holds the lock.
func (r *Run) tokensFrom(offset int) []string {
	if offset < r.firstOffset {
		return append(append([]string(nil), r.task.request.Generated[offset:]...), r.tokens...)
	}
	return append([]string(nil), r.tokens[min(offset-r.firstOffset, len(r.tokens)):]...)
}

// sendEvents sends the run's events from an offset until the last one or until ctx ends.
func (r *Run) sendEvents(ctx context.Context, offset int, send func(*peerpb.RunEvent) error) error {
	r.mu.Lock()
	r.readers++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.readers--
		r.lastReadAt = time.Now()
		r.mu.Unlock()
	}()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	acceptedSent := false
	for {
		r.mu.Lock()
		changed := r.changed
		accepted := r.accepted
		lastEvent := r.lastEvent
		attemptID := r.attemptID
		tokens := r.tokensFrom(offset)
		r.mu.Unlock()
		if accepted != nil && !acceptedSent {
			acceptedSent = true
			if err := send(peer.AcceptedEvent(accepted)); err != nil {
				return err
			}
		}
		if len(tokens) > 0 {
			if err := send(peer.TokensEvent(&peerpb.Tokens{Attempt: attemptID, Offset: int64(offset), Tokens: tokens})); err != nil {
				return err
			}
			offset += len(tokens)
		}
		if lastEvent != nil {
			return send(lastEvent)
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
