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
	// silenceTimeout is how long a node may send nothing; it sends a heartbeat each 500 ms.
	silenceTimeout = 2 * time.Second
	// attachTimeout bounds the wait for the first event of a run that should be there.
	attachTimeout = time.Second
	// startTimeout is how long an unaccepted request is offered to dispatchers, without a deadline of the caller.
	startTimeout = 10 * time.Second
	// shortestStart is the same with a deadline: a dispatcher that has just died should not fail a request.
	shortestStart = time.Second
	// stallTimeout is how long an accepted request is pursued without a new token. It is longer than the loss of a
	// failure domain with refused replacement starts is expected to last.
	stallTimeout = 5 * time.Minute
	// findTimeout is how long a run of another node is looked for.
	findTimeout = 10 * time.Second
	firstPause  = 50 * time.Millisecond
	longPause   = time.Second
	// freeFailures is the number of failed steps in a row that are followed at once by the next step.
	freeFailures = 3
)

var errSilent = errors.New("the stream is silent")

// resultKind says how a step ended.
type resultKind int

const (
	resultLost    resultKind = iota // the stream broke, went silent or ended without its last event
	resultNotSent                   // no connection could be made
	resultRefused                   // the dispatcher ran nothing
	resultGone                      // the node does not know the run
	resultBroken                    // the dispatcher lost the attempt
	resultMoved                     // the run continues elsewhere
	resultEnded                     // the answer is whole
)

type result struct {
	kind   resultKind
	reason string
	heard  bool // at least one event arrived
	fresh  bool // at least one new token arrived
	// suspect means that the dispatcher refused because the request was not marked as a suspect.
	suspect bool
	wait    time.Duration
	broken  *peerpb.Broken
	moved   *peerpb.Moved
	final   error // no further step helps
}

// pursuit is the state of the recovery of one session.
type pursuit struct {
	s            *session
	queue        []step   // to be tried before any other dispatcher
	tried        []string // dispatchers of this round
	excludeHosts []string
	pauses       *backoff.ExponentialBackOff
	failures     int // steps without a new token
	lastFresh    time.Time
	lastReason   string
	wait         time.Duration // asked for by dispatchers that refused
}

// pursue makes attempts until the answer is whole, or a time bound is over.
func (s *session) pursue(ctx context.Context, queue []step) error {
	p := &pursuit{s: s, queue: queue, pauses: backoff.NewExponentialBackOff(), lastFresh: time.Now(), lastReason: "no dispatcher for the deployment"}
	p.pauses.InitialInterval = firstPause
	p.pauses.MaxInterval = longPause
	for {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if p.overdue(time.Now()) {
			return s.giveUp(p.lastReason)
		}
		next, found := p.next(ctx)
		if !found || p.failures >= freeFailures {
			if err := p.pause(ctx); err != nil {
				return err
			}
		}
		if !found {
			continue
		}
		r := s.try(ctx, next)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		s.setPending("")
		if r.kind == resultEnded || r.final != nil {
			return r.final
		}
		if next.kind == stepAttachEntry && r.kind == resultRefused {
			return outcome.NotRunErrorf(http.StatusServiceUnavailable, max(r.wait, time.Second), "%s", r.reason)
		}
		p.learn(next, r)
	}
}

// overdue reports whether the pursuit is over. Once an attempt may have been run, only a standstill ends it.
func (p *pursuit) overdue(now time.Time) bool {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	if p.s.request.Prompt == "" {
		return now.Sub(p.lastFresh) > findTimeout
	}
	if !p.s.placed {
		deadline := time.Duration(p.s.request.DeadlineMs) * time.Millisecond
		// After the deadline every dispatcher would refuse the request.
		refused := p.s.retryAfter > 0 && deadline > 0 && now.Sub(p.s.started) > deadline
		return refused || now.After(p.s.startBy)
	}
	return now.Sub(p.lastFresh) > stallTimeout
}

// next returns the next step. Without a prompt the run can only be read where it is.
func (p *pursuit) next(ctx context.Context) (step, bool) {
	hasPrompt := p.s.hasPrompt()
	if len(p.queue) == 0 && !hasPrompt {
		p.queue = p.s.locate(ctx)
		p.failures = freeFailures
	}
	for len(p.queue) > 0 {
		next := p.queue[0]
		p.queue = p.queue[1:]
		if next.kind != stepRun || hasPrompt {
			return next, true
		}
	}
	if !hasPrompt {
		return step{}, false
	}
	next, found := p.s.anyStep(p.tried, p.excludeHosts)
	if !found {
		p.tried, p.excludeHosts = nil, nil
	}
	return next, found
}

// learn plans the steps that follow from a failed one.
func (p *pursuit) learn(last step, r result) {
	p.s.server.Log.Info("Step failed.", "run", p.s.id(), "step", last.kind, "node", last.node.Name, "reason", r.reason)
	p.lastReason = r.reason
	p.failures++
	if r.fresh {
		p.failures, p.tried, p.lastFresh = 0, nil, time.Now()
		p.pauses.Reset()
	}
	at := p.s.position()
	switch r.kind {
	case resultRefused, resultNotSent:
		if r.suspect {
			// The same dispatcher takes the request when it is marked.
			p.queue, p.tried = nil, nil
			return
		}
		// A node that could not resume the run may still start it on another host.
		if last.resumeHost == "" || r.kind == resultNotSent {
			p.tried = append(p.tried, last.node.Name)
			p.wait = max(p.wait, r.wait)
		}
	case resultLost:
		p.tried = append(p.tried, last.node.Name)
		if r.heard || last.kind == stepRun {
			p.queue = recovery(at, p.s.server)
		}
	case resultGone:
		if last.kind == stepAttach && at.host != "" && p.s.hasPrompt() {
			p.queue = append([]step{{kind: stepRun, node: last.node, resumeHost: at.host, reason: "the dispatcher lost the run"}}, p.queue...)
		}
	case resultBroken:
		p.queue = nil
		if r.broken.Crashed {
			p.tried = nil
		} else {
			p.tried = append(p.tried, last.node.Name)
		}
		if r.broken.Host != "" {
			p.excludeHosts = []string{r.broken.Host}
		}
	case resultMoved:
		p.queue = movedStep(r.moved, p.s.server)
	}
}

func (p *pursuit) pause(ctx context.Context) error {
	d := p.pauses.NextBackOff()
	if p.wait > 0 && len(p.queue) == 0 {
		d = min(max(d, p.wait), longPause)
	}
	p.wait = 0
	if !sleep.For(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

func (s *session) setPending(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = node
}

func (s *session) position() position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// try does one step.
func (s *session) try(ctx context.Context, next step) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.begin(next)
	first := silenceTimeout
	if next.kind != stepRun {
		first = attachTimeout
	}
	silence := time.AfterFunc(first, func() { cancel(errSilent) })
	defer silence.Stop()
	client := s.server.Dial(next.node.PeerAddress)
	stream, err := s.openStream(ctx, client, next)
	if err != nil {
		return s.failedStep(ctx, client, next, result{}, err)
	}
	defer stream.Close()
	var r result
	for stream.Receive() {
		silence.Reset(silenceTimeout)
		r.heard = true
		if over := s.take(next, stream.Msg(), &r); over {
			return r
		}
	}
	return s.failedStep(ctx, client, next, r, stream.Err())
}

// begin notes the new attempt and logs the decision.
func (s *session) begin(next step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.kind == stepRun {
		s.attempts++
		s.current = attemptID(s.request.Run, s.attempts)
		s.pending = next.node.Name
	} else {
		s.current = attemptID(s.request.Run, s.at.attempt)
	}
	s.server.Decisions.Record("entry", s.request.Run, next.reason, next.node.Name, decision.OtherCandidates(next.rejected),
		"step", next.kind.String(), "attempt", s.attempts, "resume_host", next.resumeHost, "offset", len(s.tokens))
}

func (s *session) openStream(ctx context.Context, client peerpbconnect.PeerServiceClient, next step) (*connect.ServerStreamForClient[peerpb.RunEvent], error) {
	s.mu.Lock()
	offset, wantRequest := int64(len(s.tokens)), !s.owner
	s.mu.Unlock()
	if next.kind != stepRun {
		return client.Attach(ctx, connect.NewRequest(&peerpb.AttachRequest{
			Run:          s.request.Run,
			Organisation: s.request.Organisation,
			Offset:       offset,
			WantRequest:  wantRequest,
			FromEntry:    next.kind == stepAttachEntry,
		}))
	}
	return client.Run(ctx, connect.NewRequest(s.order(next)))
}

// failedStep says what is known after a stream without its last event. A request that was not answered may have been run.
func (s *session) failedStep(ctx context.Context, client peerpbconnect.PeerServiceClient, next step, r result, err error) result {
	r.kind = resultLost
	r.reason = "the node closed the stream"
	if err != nil {
		r.reason = err.Error()
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		r.reason = errSilent.Error()
		if s.server.Redial != nil {
			s.server.Redial(next.node.PeerAddress, client)
		}
	}
	if next.kind == stepRun && !r.heard && isNotSent(err) {
		r.kind = resultNotSent
		return r
	}
	if connect.CodeOf(err) == connect.CodeNotFound {
		r.kind = resultGone
		return r
	}
	if next.kind == stepRun {
		s.placeAt(next)
	}
	return r
}

// isNotSent reports whether no connection could be made, so that the request cannot have arrived.
func isNotSent(err error) bool { return errors.Is(err, peer.ErrNotSent) }

// placeAt notes that a dispatcher may run the current attempt.
func (s *session) placeAt(next step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed = true
	s.setNode(next)
}

func (s *session) setNode(next step) {
	if next.kind == stepRun && (s.at.node != next.node.Name || s.at.attempt != s.attempts) {
		s.at = position{node: next.node.Name, attempt: s.attempts}
	}
	if next.kind == stepAttach {
		s.at.node = next.node.Name
	}
}

// order is the message for a new attempt.
func (s *session) order(next step) *peerpb.RunRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.request
	return &peerpb.RunRequest{
		Run:          t.Run,
		Attempt:      s.attempts,
		Organisation: t.Organisation,
		Deployment:   t.Deployment,
		ModelVersion: t.ModelVersion,
		Prompt:       t.Prompt,
		Generated:    s.tokens[:len(s.tokens):len(s.tokens)],
		MaxTokens:    t.MaxTokens,
		DeadlineMs:   s.timeLeft(),
		Class:        t.Class,
		Fingerprint:  t.Fingerprint,
		Isolate:      s.isolate,
		ExcludeHosts: next.exclude,
		ResumeHost:   next.resumeHost,
		EntryNode:    s.server.Members.Self().Name,
		Revision:     s.server.Current.Index().Number,
		KvHandle:     next.kvHandle,
		KvSource:     next.kvSource,

		Resumed:        s.placed,
		ComputedTokens: s.computed,

		Key:      t.Key,
		Content:  t.Content,
		Sequence: s.sequence,
		Model:    t.Model,
	}
}

// timeLeft returns the milliseconds left for the first token, 0 without a deadline or once an attempt may have been run.
func (s *session) timeLeft() int64 {
	if s.placed || s.request.DeadlineMs <= 0 {
		return 0
	}
	return max(1, s.request.DeadlineMs-time.Since(s.started).Milliseconds())
}

var _ nodeView = (*Server)(nil)
