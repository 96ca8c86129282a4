package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	// unkeyedGrace is how long a run without a key goes on while nobody reads it: a caller whose connection broke may
	// return with Last-Event-ID, one that left on purpose should not cost a slot for long.
	unkeyedGrace = 5 * time.Second
	// keyedGrace is the same for a run with a key, whose caller can find it from any node. It equals the time for which a
	// dispatcher goes on without an entry node.
	keyedGrace = 30 * time.Second
)

// Causes for which a session's context ends.
var (
	errAbandoned  = errors.New("nobody reads the answer")
	errCancelled  = errors.New("the run was cancelled")
	errHandedOver = errors.New("the run was handed over")
)

// session is one model request over all its attempts. The goroutine in pursue writes it, callers' connections read it.
type session struct {
	server  *Server
	request *peerpb.RunRequest // template of the attempts; without a prompt until another node has sent it
	started time.Time
	startBy time.Time // without acceptance by then the request is refused as not run
	cancel  context.CancelCauseFunc
	grace   time.Duration
	ready   chan struct{} // closed when the run's identity is settled
	// findable means that a caller can return to the run: it has a key or its caller has seen the run's identity.
	findable bool

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at each change
	tokens       []string
	accepted     *peerpb.Accepted // of the last attempt
	at           position
	attempts     int32
	current      string        // identity of the attempt whose events count
	pending      string        // dispatcher that has been sent an attempt and has not answered
	placed       bool          // an attempt may have been run
	retryAfter   time.Duration // of the last refusal
	isolate      bool          // suspected of crashing backend servers
	computed     int64         // prompt and answer tokens that attempts have computed
	recomputed   int64
	finishReason string
	ended        bool
	err          error // why the session ended without an answer
	owner        bool  // this node registers the run's place
	sequence     int64
	lastToken    time.Time
	readers      int
	abandon      *time.Timer
}

// position says where the answer was last read.
type position struct {
	node    string // dispatcher
	host    string
	attempt int32
}

func newSession(server *Server, request *peerpb.RunRequest) *session {
	startWithin := startTimeout
	if request.DeadlineMs > 0 {
		startWithin = max(shortestStart, time.Duration(request.DeadlineMs)*time.Millisecond)
	}
	s := &session{
		server:  server,
		request: request,
		started: time.Now(),
		startBy: time.Now().Add(startWithin),
		grace:   unkeyedGrace,
		changed: make(chan struct{}),
		ready:   make(chan struct{}),
		cancel:  func(error) {},
	}
	if request.Key != "" {
		s.grace = keyedGrace
	}
	return s
}

func (s *session) id() string { return s.request.Run }

func (s *session) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is what a reader sees of a session.
type progress struct {
	tokens       []string // from the offset that was asked for
	accepted     *peerpb.Accepted
	ended        bool
	err          error
	finishReason string
	total        int
	changed      <-chan struct{}
}

// progress returns the tokens from an offset and whether the answer has ended.
func (s *session) progress(offset int) progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := progress{accepted: s.accepted, ended: s.ended, err: s.err, finishReason: s.finishReason, total: len(s.tokens), changed: s.changed}
	if offset < len(s.tokens) {
		// Written elements of the slice never change, so that readers need no copy.
		p.tokens = s.tokens[offset:len(s.tokens):len(s.tokens)]
	}
	return p
}

func (s *session) usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{CompletionTokens: len(s.tokens), RecomputedTokens: s.recomputed, Attempts: int(s.attempts)}
}

// enter counts a reader; a session without readers ends after its grace.
func (s *session) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	if s.abandon != nil {
		s.abandon.Stop()
		s.abandon = nil
	}
}

func (s *session) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	if s.readers > 0 || s.ended {
		return
	}
	s.abandon = time.AfterFunc(s.grace, s.cancelUnread)
}

func (s *session) cancelUnread() {
	s.mu.Lock()
	unread := s.readers == 0 && !s.ended
	cancel := s.cancel
	s.mu.Unlock()
	if unread {
		cancel(errAbandoned)
	}
}

// place is what the registry is told.
func (s *session) place() *peerpb.RunPlace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.RunPlace{
		Run:          s.request.Run,
		Organisation: s.request.Organisation,
		Key:          s.request.Key,
		Dispatcher:   s.dispatcher(),
		EntryNode:    s.server.Members.Self().Name,
		Host:         s.at.host,
		Fingerprint:  s.request.Content,
		Deployment:   s.request.Deployment,
		Finished:     s.ended,
		Sequence:     s.sequence,
	}
}

// dispatcher returns the node that runs or may run the request, empty if there is none. The caller holds the lock.
func (s *session) dispatcher() string {
	if s.at.node != "" {
		return s.at.node
	}
	return s.pending
}

// attemptID is the identity that the events of an attempt carry.
func attemptID(run string, attempt int32) string { return fmt.Sprintf("%s.%d", run, attempt) }

// takeTokens accepts tokens only at the next offset, so that late or doubled events change nothing. It reports whether
// there were new ones.
func (s *session) takeTokens(t *peerpb.Tokens) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := len(s.tokens)
	offset := int(t.Offset)
	if offset < 0 || offset > next || offset+len(t.Tokens) <= next {
		return false
	}
	fresh := t.Tokens[next-offset:]
	s.tokens = append(s.tokens, fresh...)
	s.computed += int64(len(fresh))
	s.measure(len(fresh))
	s.signal()
	return true
}

func (s *session) measure(count int) {
	metrics := s.server.Metrics
	now := time.Now()
	ctx := context.Background()
	if s.lastToken.IsZero() {
		metrics.FirstToken.Record(ctx, now.Sub(s.started).Seconds())
	} else {
		metrics.BetweenTokens.Record(ctx, now.Sub(s.lastToken).Seconds()/float64(count))
	}
	metrics.GeneratedTokens.Add(ctx, int64(count))
	s.lastToken = now
}

// end closes the session; err is nil if the answer is whole.
func (s *session) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.err = err
	s.sequence++
	s.signal()
}

// giveUp returns the error for the caller. A request that no dispatcher accepted was not run.
func (s *session) giveUp(reason string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.placed {
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, max(time.Second, s.retryAfter), "no backend server took the request: %s", reason)
	}
	if s.request.Prompt == "" {
		return &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusNotFound, Reason: "the run is lost, send the request again: " + reason}
	}
	return &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusGatewayTimeout, Reason: "the answer was lost: " + reason, RetryAfter: time.Second}
}
