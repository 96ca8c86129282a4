package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/route"
)

const (
	maxAttempts = 8
	// silenceTimeout is how long a dispatcher may send nothing; it sends a heartbeat each 500 ms.
	silenceTimeout = 2 * time.Second
	retryPause     = 100 * time.Millisecond
)

// session is one model request over all its attempts.
type session struct {
	server       *Server
	id           string
	organisation string
	deployment   string
	modelVersion string
	prompt       string
	maxTokens    int
	started      time.Time
	class        limit.Class
	deadline     time.Duration // for the first token, from started
	preference   object.Preference
	fingerprint  uint64

	retryAfter   time.Duration // of the last refusal
	isolate      bool          // suspected of crashing backend servers
	computed     int64         // prompt and answer tokens that attempts have computed
	lastHost     string        // host of the last accepted attempt
	resumeHost   string        // host whose engine may still hold the run, because only the dispatcher was lost
	tokens       []string
	attempts     int
	placed       bool // some dispatcher accepted an attempt
	recomputed   int64
	finishReason string
	lastToken    time.Time
	moved        *peerpb.Moved // where the run continues
}

type emitFunc func(offset int, tokens []string) error

func (s *session) usage() Usage {
	return Usage{CompletionTokens: len(s.tokens), RecomputedTokens: s.recomputed, Attempts: s.attempts}
}

// run makes attempts until the answer is whole. It passes each token to emit once and in order.
func (s *session) run(ctx context.Context, emit emitFunc) error {
	excluded := map[string]bool{}
	var lastReason string
	for s.attempts < maxAttempts {
		choice, found := s.choose(excluded)
		if !found {
			if len(excluded) == 0 {
				return s.giveUp("no dispatcher for the deployment")
			}
			excluded = map[string]bool{}
			if err := pause(ctx, retryPause); err != nil {
				return err
			}
			s.attempts++
			continue
		}
		s.attempts++
		done, reason, err := s.attempt(ctx, choice, emit)
		if done || err != nil {
			return err
		}
		lastReason = reason
		if !s.placed && s.deadline > 0 && time.Since(s.started) > s.deadline {
			break // every dispatcher would refuse it now
		}
		if s.moved == nil {
			excluded[choice.Node.Name] = true
		}
	}
	return s.giveUp(lastReason)
}

// giveUp returns the error for the caller. A request that no dispatcher accepted was not run.
func (s *session) giveUp(reason string) error {
	if !s.placed {
		return outcome.Refuse(http.StatusServiceUnavailable, max(time.Second, s.retryAfter), "no backend server took the request: %s", reason)
	}
	return outcome.Lost(http.StatusBadGateway, nil, "the answer was lost: %s", reason)
}

func (s *session) choose(excluded map[string]bool) (route.Choice, bool) {
	if s.moved != nil {
		if n, found := s.server.Members.Find(s.moved.Node); found && !excluded[n.Name] && n.State != membership.StateDead {
			return route.Choice{Node: n, Reason: "the run was moved"}, true
		}
		s.moved = nil
	}
	candidates := route.Candidates(s.deployment, route.Key(s.prompt), s.server.Fleet.Serving(), s.server.Members.Live())
	return s.server.Router.Choose(candidates, route.Request{
		Deployment: s.deployment,
		Class:      s.class,
		Preference: s.preference,
		Excluded:   excluded,
	})
}

// attempt runs one attempt on one dispatcher. done means that the answer is whole; reason says why it is not.
func (s *session) attempt(ctx context.Context, choice route.Choice, emit emitFunc) (done bool, reason string, err error) {
	s.server.Decisions.Record("entry", s.id, choice.Reason, choice.Node.Name, decision.Others(choice.Rejected),
		"attempt", s.attempts, "offset", len(s.tokens))
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, cancel)
	defer silence.Stop()
	moved := s.moved
	s.moved = nil
	if moved != nil {
		s.resumeHost = moved.Host
	}
	stream, err := s.server.Dial(choice.Node.PeerAddress).Run(attemptCtx, connect.NewRequest(&peerpb.RunRequest{
		Run:          s.id,
		Attempt:      int32(s.attempts),
		Organisation: s.organisation,
		Deployment:   s.deployment,
		ModelVersion: s.modelVersion,
		Prompt:       s.prompt,
		Generated:    s.tokens,
		MaxTokens:    int32(s.maxTokens),
		EntryNode:    s.server.Members.Self().Name,
		Revision:     s.server.Current.Index().Number,

		Class:          string(s.class),
		DeadlineMs:     s.timeLeft().Milliseconds(),
		Fingerprint:    s.fingerprint,
		Isolate:        s.isolate,
		Resumed:        s.placed,
		ComputedTokens: s.computed,
		ResumeHost:     s.resumeHost,
		KvHandle:       moved.GetKvHandle(),
		KvSource:       moved.GetKvSource(),
	}))
	if err != nil {
		return false, err.Error(), ctx.Err()
	}
	defer stream.Close()
	for stream.Receive() {
		silence.Reset(silenceTimeout)
		done, reason, err := s.take(stream.Msg(), emit)
		if done || reason != "" || err != nil {
			return done, reason, err
		}
	}
	if ctx.Err() != nil {
		return false, "", errors.Wrap(ctx.Err(), "caller left")
	}
	// The stream ended without its last event: the attempt may have been accepted, and its engine may go on.
	s.placed = true
	s.resumeHost = s.lastHost
	if err := stream.Err(); err != nil {
		return false, err.Error(), nil
	}
	return false, "dispatcher closed the stream", nil
}

// take handles one event. A non-empty reason ends the attempt.
func (s *session) take(event *peerpb.RunEvent, emit emitFunc) (done bool, reason string, err error) {
	switch e := event.Event.(type) {
	case *peerpb.RunEvent_Accepted:
		s.placed = true
		s.recomputed += e.Accepted.RecomputedTokens
		s.computed = max(s.computed, e.Accepted.CachedTokens+e.Accepted.ComputedTokens)
		s.lastHost, s.resumeHost = e.Accepted.Host, ""
		if e.Accepted.ModelVersion != "" {
			s.modelVersion = e.Accepted.ModelVersion // a resumption stays on the version that began the answer
		}
	case *peerpb.RunEvent_Tokens:
		return false, "", s.takeTokens(e.Tokens, emit)
	case *peerpb.RunEvent_End:
		if int(e.End.Offset) != len(s.tokens) {
			return false, "answer ended with tokens missing", nil
		}
		s.finishReason = e.End.FinishReason
		return true, "", nil
	case *peerpb.RunEvent_Refused:
		s.isolate = s.isolate || e.Refused.Suspected
		s.retryAfter = time.Duration(e.Refused.RetryAfterMs) * time.Millisecond
		if e.Refused.Quarantined {
			return false, "", s.quarantined(e.Refused.Reason)
		}
		return false, e.Refused.Reason, nil
	case *peerpb.RunEvent_Moved:
		s.moved = e.Moved
		s.placed = true
		return false, "the run was moved to " + e.Moved.Node, nil
	case *peerpb.RunEvent_Broken:
		s.placed = true
		s.resumeHost = ""
		s.isolate = s.isolate || e.Broken.Crashed
		if e.Broken.Crashed && e.Broken.Alone {
			return false, "", s.quarantined("the request crashed a backend server that ran nothing else")
		}
		return false, e.Broken.Reason, nil
	}
	return false, "", nil
}

// quarantined returns the error for a request that crashes backend servers.
func (s *session) quarantined(reason string) error {
	if !s.placed {
		return outcome.Refuse(http.StatusUnprocessableEntity, 0, "%s", reason)
	}
	return outcome.Lost(http.StatusUnprocessableEntity, nil, "%s", reason)
}

// timeLeft returns the time left for the first token, 0 once the run was accepted: then no deadline holds.
func (s *session) timeLeft() time.Duration {
	if s.placed || s.deadline <= 0 {
		return 0
	}
	return max(time.Millisecond, s.deadline-time.Since(s.started))
}

// takeTokens accepts tokens only at the next offset, so that late or doubled events change nothing.
func (s *session) takeTokens(t *peerpb.Tokens, emit emitFunc) error {
	next := len(s.tokens)
	offset := int(t.Offset)
	if offset > next || offset+len(t.Tokens) <= next {
		return nil
	}
	fresh := t.Tokens[next-offset:]
	s.tokens = append(s.tokens, fresh...)
	s.computed += int64(len(fresh))
	s.measure(len(fresh))
	return emit(next, fresh)
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

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
