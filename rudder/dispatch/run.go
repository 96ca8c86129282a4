package dispatch

import (
	"context"
	"sync"
	"time"

	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// Run is one model request on this dispatcher. It buffers the answer, so that the entry node can attach again after its
// connection has broken.
type Run struct {
	ID           string
	Organisation string
	task         *task // set before other goroutines can reach the run

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each change
	accepted      *peerpb.Accepted
	firstOffset   int // offset of tokens[0] in the whole answer
	tokens        []string
	attemptID     string
	lastEvent     *peerpb.RunEvent // End, Broken, Refused or Moved
	readers       int
	lastReadAt    time.Time // when the last reader left; before the first one, when the run was created
	callerGone    bool      // the entry node has no caller for it any more
	stopRequested bool
	cancel        context.CancelFunc // closes the engine stream
}

func newRun(id, organisation, attemptID string, firstOffset int) *Run {
	return &Run{
		ID: id, Organisation: organisation, attemptID: attemptID, firstOffset: firstOffset,
		changed: make(chan struct{}), lastReadAt: time.Now(),
	}
}

// notifyReaders wakes the readers after a change. The caller holds r.mu.
func (r *Run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// setAccepted notes that the engine has started the run and reports whether that is new.
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

// setCancel sets the function that closes the engine stream and calls it at once if the run has been stopped already.
func (r *Run) setCancel(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
	if r.stopRequested {
		cancel()
	}
}

// stop closes the engine stream, now or as soon as setCancel is called.
func (r *Run) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopRequested = true
	if r.cancel != nil {
		r.cancel()
	}
}

// acceptedHost returns the name of the host that accepted the run, empty if none has.
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

// answerTokens returns all tokens of the answer so far; generated are those with which the attempt began.
func (r *Run) answerTokens(generated []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(append(make([]string, 0, len(generated)+len(r.tokens)), generated...), r.tokens...)
}

// appendTokens appends tokens that begin at an offset of the answer and skips those that are already there. It returns false
// if there is a gap or the run has its last event.
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

// finish ends the run with its last event. Later calls have no effect.
func (r *Run) finish(event *peerpb.RunEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastEvent != nil {
		return
	}
	r.lastEvent = event
	r.notifyReaders()
}

// answerLength returns the number of tokens of the whole answer so far.
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

// unreadSince returns since when nobody has read the run; isUnread is false while somebody does.
func (r *Run) unreadSince() (since time.Time, isUnread bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReadAt, r.readers == 0
}

// tokensFrom returns the tokens from an offset of the whole answer, including those with which the attempt began. The caller
// holds r.mu.
func (r *Run) tokensFrom(offset int) []string {
	if offset < r.firstOffset {
		return append(append([]string(nil), r.task.request.Generated[offset:]...), r.tokens...)
	}
	return append([]string(nil), r.tokens[min(offset-r.firstOffset, len(r.tokens)):]...)
}

// sendEvents sends the events of the run, with tokens from an offset, until the last event. It returns the error of send, or
// of ctx if ctx ends first.
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
