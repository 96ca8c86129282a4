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
	// unkeyedGracePeriod is how long a run without an idempotency key continues while no caller reads it. A caller whose
	// connection broke may return with Last-Event-ID, but one that left on purpose should not occupy a slot for long.
	unkeyedGracePeriod = 5 * time.Second
	// keyedGracePeriod is the same for a run with a key, which its caller can find through any node. It equals the time for
	// which a dispatcher continues a run without an entry node.
	keyedGracePeriod = 30 * time.Second
)

// Causes with which the context of a session is cancelled.
var (
	errUnread     = errors.New("nobody reads the answer")
	errCancelled  = errors.New("the run was cancelled")
	errHandedOver = errors.New("the run was handed over")
)

// session is the entry node's state of one model request over all its attempts. The goroutine in runSteps writes it, the
// handlers of callers' connections read it.
type session struct {
	server        *Server
	request       *peerpb.RunRequest // template of the attempts; Prompt is empty until another node or the caller sends it
	startedAt     time.Time
	acceptBy      time.Time // a request that no dispatcher has accepted by then is refused as not run
	cancel        context.CancelCauseFunc
	gracePeriod   time.Duration
	identityReady chan struct{} // closed when the run ID is final
	// canReconnect means that the caller can return to the run, as it has a key or was sent the run ID. Only such runs are
	// registered.
	canReconnect bool

	mu                sync.Mutex
	changed           chan struct{} // closed and replaced at each change
	tokens            []string
	accepted          *peerpb.Accepted // last Accepted event
	location          runLocation
	attempts          int32
	currentAttempt    string        // ID of the attempt whose events are handled
	pendingDispatcher string        // node that was sent an attempt and has not answered yet
	mayHaveRun        bool          // a backend server may have run an attempt
	retryAfter        time.Duration // from the last refusal
	isolate           bool          // run alone, as the request is suspected of crashing backend servers
	computedTokens    int64         // prompt and answer tokens that attempts have computed
	recomputedTokens  int64         // tokens that later attempts have computed again
	finishReason      string
	hasEnded          bool
	err               error // why the session ended without an answer
	ownsRun           bool  // this node registers the run's place
	placeSequence     int64 // sequence number of the run's place; grows with each change
	lastTokenTime     time.Time
	readerCount       int
	unreadTimer       *time.Timer
}

// runLocation is where the answer was last read.
type runLocation struct {
	node    string // dispatcher
	host    string
	attempt int32
}

func newSession(server *Server, request *peerpb.RunRequest) *session {
	acceptWithin := acceptTimeout
	if request.DeadlineMs > 0 {
		acceptWithin = max(minAcceptTimeout, time.Duration(request.DeadlineMs)*time.Millisecond)
	}
	s := &session{
		server:        server,
		request:       request,
		startedAt:     time.Now(),
		acceptBy:      time.Now().Add(acceptWithin),
		gracePeriod:   unkeyedGracePeriod,
		changed:       make(chan struct{}),
		identityReady: make(chan struct{}),
		cancel:        func(error) {},
	}
	if request.Key != "" {
		s.gracePeriod = keyedGracePeriod
	}
	return s
}

func (s *session) id() string { return s.request.Run }

// notifyChange wakes up the readers. The caller holds s.mu.
func (s *session) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is a reader's view of a session.
type progress struct {
	tokens       []string // from the requested offset on
	accepted     *peerpb.Accepted
	hasEnded     bool
	err          error
	finishReason string
	totalTokens  int
	changed      <-chan struct{}
}

// progressFrom returns the tokens from an offset on and the state of the answer.
func (s *session) progressFrom(offset int) progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := progress{accepted: s.accepted, hasEnded: s.hasEnded, err: s.err, finishReason: s.finishReason, totalTokens: len(s.tokens), changed: s.changed}
	if offset < len(s.tokens) {
		// Tokens are only appended and never changed, so that readers need no copy.
		p.tokens = s.tokens[offset:len(s.tokens):len(s.tokens)]
	}
	return p
}

func (s *session) usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{CompletionTokens: len(s.tokens), RecomputedTokens: s.recomputedTokens, Attempts: int(s.attempts)}
}

// addReader counts a reader. A session without readers is cancelled after its grace period.
func (s *session) addReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerCount++
	if s.unreadTimer != nil {
		s.unreadTimer.Stop()
		s.unreadTimer = nil
	}
}

func (s *session) removeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerCount--
	if s.readerCount > 0 || s.hasEnded {
		return
	}
	s.unreadTimer = time.AfterFunc(s.gracePeriod, s.cancelIfUnread)
}

func (s *session) cancelIfUnread() {
	s.mu.Lock()
	isUnread := s.readerCount == 0 && !s.hasEnded
	cancel := s.cancel
	s.mu.Unlock()
	if isUnread {
		cancel(errUnread)
	}
}

// place returns the place of the run for the registry.
func (s *session) place() *peerpb.RunPlace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.RunPlace{
		Run:          s.request.Run,
		Organisation: s.request.Organisation,
		Key:          s.request.Key,
		Dispatcher:   s.dispatcher(),
		EntryNode:    s.server.Members.Self().Name,
		Host:         s.location.host,
		Fingerprint:  s.request.Content,
		Deployment:   s.request.Deployment,
		Finished:     s.hasEnded,
		Sequence:     s.placeSequence,
	}
}

// dispatcher returns the name of the node that runs or may run the request, empty if there is none. The caller holds s.mu.
func (s *session) dispatcher() string {
	if s.location.node != "" {
		return s.location.node
	}
	return s.pendingDispatcher
}

// attemptID returns the ID that the events of an attempt carry.
func attemptID(run string, attempt int32) string { return fmt.Sprintf("%s.%d", run, attempt) }

// appendTokens appends the tokens of the event from the next offset on, so that late or duplicate events have no effect. It
// reports whether there were new tokens.
func (s *session) appendTokens(event *peerpb.Tokens) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := len(s.tokens)
	offset := int(event.Offset)
	if offset < 0 || offset > next || offset+len(event.Tokens) <= next {
		return false
	}
	newTokens := event.Tokens[next-offset:]
	s.tokens = append(s.tokens, newTokens...)
	s.computedTokens += int64(len(newTokens))
	s.recordTokenMetrics(len(newTokens))
	s.notifyChange()
	return true
}

func (s *session) recordTokenMetrics(count int) {
	metrics := s.server.Metrics
	now := time.Now()
	ctx := context.Background()
	if s.lastTokenTime.IsZero() {
		metrics.FirstToken.Record(ctx, now.Sub(s.startedAt).Seconds())
	} else {
		metrics.BetweenTokens.Record(ctx, now.Sub(s.lastTokenTime).Seconds()/float64(count))
	}
	metrics.GeneratedTokens.Add(ctx, int64(count))
	s.lastTokenTime = now
}

// end marks the session as ended and notifies its readers. err is nil if the answer is complete.
func (s *session) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasEnded = true
	s.err = err
	s.placeSequence++
	s.notifyChange()
}

// incompleteError returns the error for the caller of an answer that cannot be completed. A request that no dispatcher
// accepted was not run.
func (s *session) incompleteError(reason string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayHaveRun {
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, max(time.Second, s.retryAfter), "no backend server took the request: %s", reason)
	}
	if s.request.Prompt == "" {
		return &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusNotFound, Reason: "the run is lost, send the request again: " + reason}
	}
	return &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusGatewayTimeout, Reason: "the answer was lost: " + reason, RetryAfter: time.Second}
}
