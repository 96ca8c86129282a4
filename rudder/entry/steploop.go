package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// streamIdleTimeout is how long the stream of a node may deliver nothing; nodes send a heartbeat every 500 ms.
	streamIdleTimeout = 2 * time.Second
	// attachTimeout bounds the wait for the first event after attaching to a run, which the node should already have.
	attachTimeout = time.Second
	// acceptTimeout is how long a request without a deadline is sent to dispatchers until one accepts it.
	acceptTimeout = 10 * time.Second
	// minAcceptTimeout is the least such time for a request with a deadline, so that a dispatcher that has just died does
	// not fail the request.
	minAcceptTimeout = time.Second
	// stallTimeout is how long an accepted request is retried without a new token. It is longer than the expected outage of
	// a failure domain during which the start of replacement hosts is refused.
	stallTimeout = 5 * time.Minute
	// findTimeout is how long a run of another node is searched for.
	findTimeout = 10 * time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = time.Second
	// failuresBeforeBackoff is the number of consecutive failed steps from which on each further step follows a backoff.
	failuresBeforeBackoff = 3
)

var errStreamIdle = errors.New("the stream is silent")

// stepResultKind says how a step ended.
type stepResultKind int

const (
	resultStreamLost  stepResultKind = iota // the stream broke, was idle for too long or ended without its last event
	resultNotSent                           // no connection could be made
	resultRefused                           // the dispatcher refused the request and ran nothing
	resultRunNotFound                       // the node does not know the run
	resultAttemptLost                       // the dispatcher lost the attempt
	resultRunMoved                          // the run continues at another dispatcher
	resultComplete                          // the answer is complete
)

// stepResult describes how a step ended.
type stepResult struct {
	kind         stepResultKind
	reason       string
	hasEvents    bool // at least one event arrived
	hasNewTokens bool // at least one new token arrived
	// isNewSuspect means that the dispatcher refused because the request is suspected of crashing backend servers and was not
	// marked as such.
	isNewSuspect bool
	retryAfter   time.Duration
	broken       *peerpb.Broken
	moved        *peerpb.Moved
	finalErr     error // error for the caller if no further step can help
}

// stepLoop chooses the steps of a session until the answer is complete or a time limit is reached.
type stepLoop struct {
	session       *session
	queue         []step   // tried before any other dispatcher
	triedNodes    []string // dispatchers tried in this round
	excludeHosts  []string
	backoff       *backoff.ExponentialBackOff
	failuresInRow int           // consecutive steps without a new token
	lastProgress  time.Time     // of the last new token, or the start
	lastFailure   string        // reason
	retryAfter    time.Duration // longest delay requested by dispatchers that refused
}

// runSteps carries out steps, first those in queue, until the answer is complete, a time limit is reached or ctx is
// cancelled. It returns nil, the error for the caller or the cause of the cancellation.
func (s *session) runSteps(ctx context.Context, queue []step) error {
	l := &stepLoop{session: s, queue: queue, backoff: backoff.NewExponentialBackOff(), lastProgress: time.Now(), lastFailure: "no dispatcher for the deployment"}
	l.backoff.InitialInterval = minBackoff
	l.backoff.MaxInterval = maxBackoff
	for {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if l.isOverdue(time.Now()) {
			return s.incompleteError(l.lastFailure)
		}
		next, found := l.nextStep(ctx)
		if !found || l.failuresInRow >= failuresBeforeBackoff {
			if err := l.waitBackoff(ctx); err != nil {
				return err
			}
		}
		if !found {
			continue
		}
		r := s.runStep(ctx, next)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		s.setPendingDispatcher("")
		if r.kind == resultComplete || r.finalErr != nil {
			return r.finalErr
		}
		if next.kind == stepAttachEntryNode && r.kind == resultRefused {
			return outcome.NotRunErrorf(http.StatusServiceUnavailable, max(r.retryAfter, time.Second), "%s", r.reason)
		}
		l.handleFailure(next, r)
	}
}

// isOverdue reports whether a time limit is reached. Once an attempt may have been run, only the limit without new tokens
// applies.
func (l *stepLoop) isOverdue(now time.Time) bool {
	l.session.mu.Lock()
	defer l.session.mu.Unlock()
	if l.session.request.Prompt == "" {
		return now.Sub(l.lastProgress) > findTimeout
	}
	if !l.session.mayHaveRun {
		deadline := time.Duration(l.session.request.DeadlineMs) * time.Millisecond
		// After the deadline every dispatcher would refuse the request.
		isRefused := l.session.retryAfter > 0 && deadline > 0 && now.Sub(l.session.startedAt) > deadline
		return isRefused || now.After(l.session.acceptBy)
	}
	return now.Sub(l.lastProgress) > stallTimeout
}

// nextStep returns the next step, false if there is none yet. Without the prompt, the run can only be read from the nodes
// that have it.
func (l *stepLoop) nextStep(ctx context.Context) (step, bool) {
	hasPrompt := l.session.hasPrompt()
	if len(l.queue) == 0 && !hasPrompt {
		l.queue = l.session.locateRun(ctx)
		l.failuresInRow = failuresBeforeBackoff
	}
	for len(l.queue) > 0 {
		next := l.queue[0]
		l.queue = l.queue[1:]
		if next.kind != stepRun || hasPrompt {
			return next, true
		}
	}
	if !hasPrompt {
		return step{}, false
	}
	next, found := l.session.chooseDispatcherStep(l.triedNodes, l.excludeHosts)
	if !found {
		l.triedNodes, l.excludeHosts = nil, nil
	}
	return next, found
}

// handleFailure determines the next steps from a step that did not complete the answer.
func (l *stepLoop) handleFailure(failedStep step, r stepResult) {
	l.session.server.Log.Info("Step did not complete the answer; trying the next one.", "run", l.session.id(), "step", failedStep.kind, "node", failedStep.node.Name, "reason", r.reason)
	l.lastFailure = r.reason
	l.failuresInRow++
	if r.hasNewTokens {
		l.failuresInRow, l.triedNodes, l.lastProgress = 0, nil, time.Now()
		l.backoff.Reset()
	}
	location := l.session.currentLocation()
	switch r.kind {
	case resultRefused, resultNotSent:
		if r.isNewSuspect {
			// The same dispatcher accepts the request once it is marked as a suspect.
			l.queue, l.triedNodes = nil, nil
			return
		}
		// A node that could not resume the run may still start it on another host.
		if failedStep.resumeHost == "" || r.kind == resultNotSent {
			l.triedNodes = append(l.triedNodes, failedStep.node.Name)
			l.retryAfter = max(l.retryAfter, r.retryAfter)
		}
	case resultStreamLost:
		l.triedNodes = append(l.triedNodes, failedStep.node.Name)
		if r.hasEvents || failedStep.kind == stepRun {
			l.queue = recoverySteps(location, l.session.server)
		}
	case resultRunNotFound:
		if failedStep.kind == stepAttach && location.host != "" && l.session.hasPrompt() {
			l.queue = append([]step{{kind: stepRun, node: failedStep.node, resumeHost: location.host, reason: "the dispatcher lost the run"}}, l.queue...)
		}
	case resultAttemptLost:
		l.queue = nil
		if r.broken.Crashed {
			l.triedNodes = nil
		} else {
			l.triedNodes = append(l.triedNodes, failedStep.node.Name)
		}
		if r.broken.Host != "" {
			l.excludeHosts = []string{r.broken.Host}
		}
	case resultRunMoved:
		l.queue = stepsForMove(r.moved, l.session.server)
	}
}

// waitBackoff waits for the next backoff delay. If no step is queued, the delay is at least the one that dispatchers
// requested, but at most maxBackoff.
func (l *stepLoop) waitBackoff(ctx context.Context) error {
	delay := l.backoff.NextBackOff()
	if l.retryAfter > 0 && len(l.queue) == 0 {
		delay = min(max(delay, l.retryAfter), maxBackoff)
	}
	l.retryAfter = 0
	if !sleep.For(ctx, delay) {
		return context.Cause(ctx)
	}
	return nil
}

func (s *session) setPendingDispatcher(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingDispatcher = node
}

func (s *session) currentLocation() runLocation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.location
}

// runStep sends the request of a step and handles the events of its stream.
func (s *session) runStep(ctx context.Context, current step) stepResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.beginStep(current)
	firstEventTimeout := streamIdleTimeout
	if current.kind != stepRun {
		firstEventTimeout = attachTimeout
	}
	idleTimer := time.AfterFunc(firstEventTimeout, func() { cancel(errStreamIdle) })
	defer idleTimer.Stop()
	client := s.server.Dial(current.node.PeerAddress)
	stream, err := s.openStream(ctx, client, current)
	if err != nil {
		return s.classifyFailure(ctx, client, current, stepResult{}, err)
	}
	defer stream.Close()
	var r stepResult
	for stream.Receive() {
		idleTimer.Reset(streamIdleTimeout)
		r.hasEvents = true
		if isOver := s.handleEvent(current, stream.Msg(), &r); isOver {
			return r
		}
	}
	return s.classifyFailure(ctx, client, current, r, stream.Err())
}

// beginStep counts the attempt, if the step starts one, and records the routing decision.
func (s *session) beginStep(current step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current.kind == stepRun {
		s.attempts++
		s.currentAttempt = attemptID(s.request.Run, s.attempts)
		s.pendingDispatcher = current.node.Name
	} else {
		s.currentAttempt = attemptID(s.request.Run, s.location.attempt)
	}
	s.server.Decisions.Record("entry", s.request.Run, current.reason, current.node.Name, decision.OtherCandidates(current.rejectedCandidates),
		"step", current.kind.String(), "attempt", s.attempts, "resume_host", current.resumeHost, "offset", len(s.tokens))
}

func (s *session) openStream(ctx context.Context, client peerpbconnect.PeerServiceClient, current step) (*connect.ServerStreamForClient[peerpb.RunEvent], error) {
	s.mu.Lock()
	offset, wantRequest := int64(len(s.tokens)), !s.ownsRun
	s.mu.Unlock()
	if current.kind != stepRun {
		return client.Attach(ctx, connect.NewRequest(&peerpb.AttachRequest{
			Run:          s.request.Run,
			Organisation: s.request.Organisation,
			Offset:       offset,
			WantRequest:  wantRequest,
			FromEntry:    current.kind == stepAttachEntryNode,
		}))
	}
	return client.Run(ctx, connect.NewRequest(s.attemptRequest(current)))
}

// classifyFailure returns the result of a step whose stream ended without its last event. A request that was not answered
// may have been run.
func (s *session) classifyFailure(ctx context.Context, client peerpbconnect.PeerServiceClient, current step, r stepResult, err error) stepResult {
	r.kind = resultStreamLost
	r.reason = "the node closed the stream"
	if err != nil {
		r.reason = err.Error()
	}
	if errors.Is(context.Cause(ctx), errStreamIdle) {
		r.reason = errStreamIdle.Error()
		if s.server.Redial != nil {
			s.server.Redial(current.node.PeerAddress, client)
		}
	}
	if current.kind == stepRun && !r.hasEvents && isNotSent(err) {
		r.kind = resultNotSent
		return r
	}
	if connect.CodeOf(err) == connect.CodeNotFound {
		r.kind = resultRunNotFound
		return r
	}
	if current.kind == stepRun {
		s.markMayHaveRun(current)
	}
	return r
}

// isNotSent reports whether no connection could be made, so that the request cannot have arrived.
func isNotSent(err error) bool { return errors.Is(err, peer.ErrNotSent) }

// markMayHaveRun records that the dispatcher of the step may run the current attempt.
func (s *session) markMayHaveRun(current step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mayHaveRun = true
	s.setLocationNode(current)
}

// setLocationNode sets the dispatcher of the run to that of the step. The caller holds s.mu.
func (s *session) setLocationNode(current step) {
	if current.kind == stepRun && (s.location.node != current.node.Name || s.location.attempt != s.attempts) {
		s.location = runLocation{node: current.node.Name, attempt: s.attempts}
	}
	if current.kind == stepAttach {
		s.location.node = current.node.Name
	}
}

// attemptRequest returns the request for the current attempt.
func (s *session) attemptRequest(current step) *peerpb.RunRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	template := s.request
	return &peerpb.RunRequest{
		Run:          template.Run,
		Attempt:      s.attempts,
		Organisation: template.Organisation,
		Deployment:   template.Deployment,
		ModelVersion: template.ModelVersion,
		Prompt:       template.Prompt,
		Generated:    s.tokens[:len(s.tokens):len(s.tokens)],
		MaxTokens:    template.MaxTokens,
		DeadlineMs:   s.remainingDeadlineMs(),
		Class:        template.Class,
		Fingerprint:  template.Fingerprint,
		Parts:        template.Parts,
		Trial:        template.Trial,
		Isolate:      s.isolate,
		ExcludeHosts: current.excludeHosts,
		ResumeHost:   current.resumeHost,
		EntryNode:    s.server.Members.Self().Name,
		Revision:     s.server.CurrentSnapshot.Index().Number,
		KvHandle:     current.kvHandle,
		KvSource:     current.kvSource,

		Resumed:        s.mayHaveRun,
		ComputedTokens: s.computedTokens,

		Key:      template.Key,
		Content:  template.Content,
		Sequence: s.placeSequence,
		Model:    template.Model,
	}
}

// remainingDeadlineMs returns the milliseconds left for the first token, or 0 without a deadline or once an attempt may have
// been run. The caller holds s.mu.
func (s *session) remainingDeadlineMs() int64 {
	if s.mayHaveRun || s.request.DeadlineMs <= 0 {
		return 0
	}
	return max(1, s.request.DeadlineMs-time.Since(s.startedAt).Milliseconds())
}

var _ nodeLookup = (*Server)(nil)
