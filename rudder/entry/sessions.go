package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	// finishedSessionTTL is how long a finished answer can still be read.
	finishedSessionTTL = time.Minute
	// maxFinishedBytes bounds the estimated memory of finished answers.
	maxFinishedBytes    = 32 << 20
	estimatedTokenBytes = 24 // per token: string header and a short text
	keyClaimTimeout     = time.Second
)

// sessionKey identifies a session by its run ID or its idempotency key within an organisation.
type sessionKey struct{ organisation, id string }

// sessionTable holds the sessions of a node. Its zero value is an empty table.
type sessionTable struct {
	mu            sync.Mutex
	byRun         map[sessionKey]*session
	byKey         map[sessionKey]*session
	finished      []*session // oldest first
	finishedBytes int
}

// add adds a session and returns nil, or returns the session that already has its run ID or key.
func (t *sessionTable) add(s *session) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRun == nil {
		t.byRun, t.byKey = map[sessionKey]*session{}, map[sessionKey]*session{}
	}
	run := sessionKey{s.request.Organisation, s.request.Run}
	key := sessionKey{s.request.Organisation, s.request.Key}
	if existing := t.byRun[run]; existing != nil && existing != s {
		return existing
	}
	if existing := t.byKey[key]; s.request.Key != "" && existing != nil && existing != s {
		return existing
	}
	t.byRun[run] = s
	if s.request.Key != "" {
		t.byKey[key] = s
	}
	return nil
}

func (t *sessionTable) find(organisation, run string) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byRun[sessionKey{organisation, run}]
}

func (t *sessionTable) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(s)
}

func (t *sessionTable) removeLocked(s *session) {
	run := sessionKey{s.request.Organisation, s.request.Run}
	if t.byRun[run] == s {
		delete(t.byRun, run)
	}
	key := sessionKey{s.request.Organisation, s.request.Key}
	if t.byKey[key] == s {
		delete(t.byKey, key)
	}
}

// retain keeps a finished session for finishedSessionTTL, or until the memory bound removes it.
func (t *sessionTable) retain(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = append(t.finished, s)
	t.finishedBytes += s.estimatedBytes()
	for t.finishedBytes > maxFinishedBytes && len(t.finished) > 0 {
		t.removeOldestFinished()
	}
	time.AfterFunc(finishedSessionTTL, func() { t.expire(s) })
}

func (t *sessionTable) expire(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Sessions are in the order in which they finished and have the same TTL, so that older ones have expired too. Index
	// returns -1 if the memory bound has already removed this one.
	for range slices.Index(t.finished, s) + 1 {
		t.removeOldestFinished()
	}
}

func (t *sessionTable) removeOldestFinished() {
	t.finishedBytes -= t.finished[0].estimatedBytes()
	t.removeLocked(t.finished[0])
	t.finished = t.finished[1:]
}

func (t *sessionTable) list() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sessions []*session
	for _, s := range t.byRun {
		sessions = append(sessions, s)
	}
	return sessions
}

func (s *session) estimatedBytes() int {
	return len(s.request.Prompt) + len(s.tokens)*estimatedTokenBytes
}

// Places returns the places of the runs that this node owns and callers can return to, for the registry.
func (s *Server) Places() []*peerpb.RunPlace {
	var places []*peerpb.RunPlace
	for _, sess := range s.sessions.list() {
		select {
		case <-sess.identityReady:
		default:
			continue
		}
		if sess.canReconnect && sess.isOwner() {
			places = append(places, sess.place())
		}
	}
	return places
}

func (s *session) isOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownsRun
}

// openSession starts a session for a new run, or returns the session of the run that already has the caller's key.
func (s *Server) openSession(ctx context.Context, request *peerpb.RunRequest, canReconnect bool) (*session, error) {
	if s.IsDraining() {
		return nil, newDrainingError()
	}
	sess := newSession(s, request)
	sess.canReconnect = canReconnect
	sess.ownsRun = true
	if existing := s.sessions.add(sess); existing != nil {
		return s.joinSession(ctx, existing, request)
	}
	var steps []step
	if request.Key != "" && s.Registry != nil {
		claimCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keyClaimTimeout)
		place := s.claimKey(claimCtx, sess)
		cancel()
		if place != nil && place.Fingerprint != request.Content {
			s.sessions.remove(sess)
			sess.end(newKeyReuseError())
			close(sess.identityReady)
			return nil, newKeyReuseError()
		}
		if place != nil {
			s.sessions.remove(sess)
			request.Run = place.Run
			sess.ownsRun = false
			sess.mayHaveRun = true
			s.sessions.add(sess)
			steps = sess.adoptPlace(place)
		}
	}
	close(sess.identityReady)
	s.startSession(sess, steps)
	return sess, nil
}

// claimKey returns the place of the run that already has the key, or nil if the key now belongs to the session. A registry
// node may still store the first place of that run, so the newest one is looked up, which has the current dispatcher.
func (s *Server) claimKey(ctx context.Context, sess *session) *peerpb.RunPlace {
	place := s.Registry.Claim(ctx, sess.place())
	if place == nil {
		return nil
	}
	newest := s.Registry.Find(ctx, place.Organisation, place.Key, "")
	if newest != nil && newest.Run == place.Run && newest.Sequence > place.Sequence {
		return newest
	}
	return place
}

// joinSession waits until the run ID of a session with the same key or run is final, checks that the request has the same
// content, and adds the prompt if the session lacks it.
func (s *Server) joinSession(ctx context.Context, sess *session, request *peerpb.RunRequest) (*session, error) {
	select {
	case <-sess.identityReady:
	case <-ctx.Done():
		return nil, outcome.UnknownErrorf(http.StatusGatewayTimeout, ctx.Err(), "the caller left")
	}
	if sess.request.Content != request.Content {
		return nil, newKeyReuseError()
	}
	sess.addPrompt(request)
	return sess, nil
}

// addPrompt adds the prompt and its parameters from a request that the caller sent again, so that the run can be resumed
// without the nodes that had them.
func (s *session) addPrompt(request *peerpb.RunRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request.Prompt != "" || request.Prompt == "" {
		return
	}
	template := s.request
	template.Deployment, template.ModelVersion, template.Model = request.Deployment, request.ModelVersion, request.Model
	template.Prompt, template.MaxTokens, template.Class, template.Fingerprint = request.Prompt, request.MaxTokens, request.Class, request.Fingerprint
}

func newKeyReuseError() error {
	return outcome.NotRunErrorf(http.StatusUnprocessableEntity, 0, "Idempotency-Key: it belongs to a request with other content, allowed: a new key or the same content")
}

// findSession returns the session of a run that this or another node accepted. repeatedRequest is the caller's request if
// it was sent again, else nil.
func (s *Server) findSession(ctx context.Context, organisation, run string, repeatedRequest *peerpb.RunRequest) (*session, error) {
	if existing := s.sessions.find(organisation, run); existing != nil {
		if repeatedRequest == nil {
			return existing, nil
		}
		return s.joinSession(ctx, existing, repeatedRequest)
	}
	var place *peerpb.RunPlace
	if s.Registry != nil {
		place = s.Registry.Find(ctx, organisation, "", run)
	}
	if place == nil {
		return nil, &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusNotFound, Reason: "run: " + run + " is not known, allowed: a run of the organisation that is in progress or ended less than 60 s ago"}
	}
	request := &peerpb.RunRequest{Run: run, Organisation: organisation, Deployment: place.Deployment, Key: place.Key, Content: place.Fingerprint}
	if repeatedRequest != nil && repeatedRequest.Content != place.Fingerprint {
		return nil, newKeyReuseError()
	}
	sess := newSession(s, request)
	sess.canReconnect = true
	sess.mayHaveRun = true
	if existing := s.sessions.add(sess); existing != nil {
		return s.joinSession(ctx, existing, request)
	}
	if repeatedRequest != nil {
		sess.addPrompt(repeatedRequest)
	}
	steps := sess.adoptPlace(place)
	close(sess.identityReady)
	s.startSession(sess, steps)
	return sess, nil
}

func (s *Server) startSession(sess *session, steps []step) {
	ctx, cancel := context.WithCancelCause(context.Background())
	sess.mu.Lock()
	sess.cancel = cancel
	sess.mu.Unlock()
	s.activeSessions.Add(1)
	go func() {
		defer s.activeSessions.Add(-1)
		defer cancel(nil)
		s.closeSession(sess, sess.runSteps(ctx, steps))
	}()
}

// closeSession ends a session with the result of its steps. Unless the answer is complete or the run was handed over, it
// removes the run from the registry, and cancels it at the dispatcher if it is unread or cancelled.
func (s *Server) closeSession(sess *session, err error) {
	switch {
	case err == nil:
		sess.end(nil)
		s.sessions.retain(sess)
		return
	case errors.Is(err, errHandedOver):
		s.sessions.remove(sess)
		sess.end(err)
		return
	}
	if errors.Is(err, errUnread) || errors.Is(err, errCancelled) {
		s.cancelAtDispatcher(sess, errors.Is(err, errUnread))
		err = &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusConflict, Reason: err.Error()}
	}
	s.sessions.remove(sess)
	sess.end(err)
	if s.Registry != nil && sess.canReconnect && sess.isOwner() {
		s.Registry.Release(context.Background(), sess.place())
	}
}

// cancelAtDispatcher cancels a run at its dispatcher, to free its slot. ifUnread means that only the readers on this
// node have left: the run continues if another entry node reads it.
func (s *Server) cancelAtDispatcher(sess *session, ifUnread bool) {
	location := sess.currentLocation()
	n, found := s.Members.Find(location.node)
	if !found || (ifUnread && !sess.isOwner()) {
		return
	}
	s.sendCancel(n.PeerAddress, &peerpb.CancelRequest{Run: sess.request.Run, Organisation: sess.request.Organisation, IfUnread: ifUnread})
}
