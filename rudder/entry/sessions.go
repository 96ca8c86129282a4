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
	// keepFinished is how long a finished answer can be read again.
	keepFinished = time.Minute
	// maxKeptBytes bounds the memory of finished answers.
	maxKeptBytes = 32 << 20
	tokenBytes   = 24 // string header and a short text
	claimTimeout = time.Second
)

// runKey names a run or a key within an organisation.
type runKey struct{ organisation, text string }

// sessionTable holds the sessions of a node. Its zero value is empty.
type sessionTable struct {
	mu    sync.Mutex
	runs  map[runKey]*session
	keys  map[runKey]*session
	kept  []*session // finished, oldest first
	bytes int
}

// add adds a session, or returns the one that already has its run or key.
func (t *sessionTable) add(s *session) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs, t.keys = map[runKey]*session{}, map[runKey]*session{}
	}
	run := runKey{s.request.Organisation, s.request.Run}
	key := runKey{s.request.Organisation, s.request.Key}
	if known := t.runs[run]; known != nil && known != s {
		return known
	}
	if known := t.keys[key]; s.request.Key != "" && known != nil && known != s {
		return known
	}
	t.runs[run] = s
	if s.request.Key != "" {
		t.keys[key] = s
	}
	return nil
}

func (t *sessionTable) find(organisation, run string) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[runKey{organisation, run}]
}

func (t *sessionTable) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(s)
}

func (t *sessionTable) drop(s *session) {
	run := runKey{s.request.Organisation, s.request.Run}
	if t.runs[run] == s {
		delete(t.runs, run)
	}
	key := runKey{s.request.Organisation, s.request.Key}
	if t.keys[key] == s {
		delete(t.keys, key)
	}
}

// keep holds a finished session for keepFinished, within the memory bound.
func (t *sessionTable) keep(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept = append(t.kept, s)
	t.bytes += s.size()
	for t.bytes > maxKeptBytes && len(t.kept) > 0 {
		t.forgetOldest()
	}
	time.AfterFunc(keepFinished, func() { t.forget(s) })
}

func (t *sessionTable) forget(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Sessions are kept in the order in which they finished, and all for the same time. The memory bound may have dropped
	// this one before.
	for range slices.Index(t.kept, s) + 1 {
		t.forgetOldest()
	}
}

func (t *sessionTable) forgetOldest() {
	t.bytes -= t.kept[0].size()
	t.drop(t.kept[0])
	t.kept = t.kept[1:]
}

func (t *sessionTable) all() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*session
	for _, s := range t.runs {
		all = append(all, s)
	}
	return all
}

func (s *session) size() int { return len(s.request.Prompt) + len(s.tokens)*tokenBytes }

// Places returns the places of the findable runs of this node, for the registry.
func (s *Server) Places() []*peerpb.RunPlace {
	var places []*peerpb.RunPlace
	for _, one := range s.sessions.all() {
		select {
		case <-one.ready:
		default:
			continue
		}
		if one.findable && one.isOwner() {
			places = append(places, one.place())
		}
	}
	return places
}

func (s *session) isOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner
}

// open starts a run, or finds the one to which the caller's key belongs.
func (s *Server) open(ctx context.Context, request *peerpb.RunRequest, findable bool) (*session, error) {
	if s.Draining() {
		return nil, errDraining()
	}
	fresh := newSession(s, request)
	fresh.findable = findable
	fresh.owner = true
	if known := s.sessions.add(fresh); known != nil {
		return s.join(ctx, known, request)
	}
	var steps []step
	if request.Key != "" && s.Registry != nil {
		claimCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
		place := s.claim(claimCtx, fresh)
		cancel()
		if place != nil && place.Fingerprint != request.Content {
			s.sessions.remove(fresh)
			fresh.end(errOtherContent())
			close(fresh.ready)
			return nil, errOtherContent()
		}
		if place != nil {
			s.sessions.remove(fresh)
			request.Run = place.Run
			fresh.owner = false
			fresh.placed = true
			s.sessions.add(fresh)
			steps = fresh.settle(place)
		}
	}
	close(fresh.ready)
	s.start(fresh, steps)
	return fresh, nil
}

// claim returns the place of the run that already has the key, nil if the key now belongs to the session. One registry
// node may still have the first place of that run; the newest says where it is dispatched.
func (s *Server) claim(ctx context.Context, fresh *session) *peerpb.RunPlace {
	place := s.Registry.Claim(ctx, fresh.place())
	if place == nil {
		return nil
	}
	newest := s.Registry.Find(ctx, place.Organisation, place.Key, "")
	if newest != nil && newest.Run == place.Run && newest.Sequence > place.Sequence {
		return newest
	}
	return place
}

// join waits until a session with the same key or run knows its run, and completes its request if it lacks the prompt.
func (s *Server) join(ctx context.Context, known *session, request *peerpb.RunRequest) (*session, error) {
	select {
	case <-known.ready:
	case <-ctx.Done():
		return nil, outcome.UnknownErrorf(http.StatusGatewayTimeout, ctx.Err(), "the caller left")
	}
	if known.request.Content != request.Content {
		return nil, errOtherContent()
	}
	known.supply(request)
	return known, nil
}

// supply adds the prompt that a caller sent again, so that the run can be resumed without the nodes that had it.
func (s *session) supply(request *peerpb.RunRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request.Prompt != "" || request.Prompt == "" {
		return
	}
	t := s.request
	t.Deployment, t.ModelVersion, t.Model = request.Deployment, request.ModelVersion, request.Model
	t.Prompt, t.MaxTokens, t.Class, t.Fingerprint = request.Prompt, request.MaxTokens, request.Class, request.Fingerprint
}

func errOtherContent() error {
	return outcome.NotRunErrorf(http.StatusUnprocessableEntity, 0, "Idempotency-Key: it belongs to a request with other content, allowed: a new key or the same content")
}

// find returns the session of a run that this or another node accepted. again is the request if the caller has repeated
// it, else nil.
func (s *Server) find(ctx context.Context, organisation, run string, again *peerpb.RunRequest) (*session, error) {
	if known := s.sessions.find(organisation, run); known != nil {
		if again == nil {
			return known, nil
		}
		return s.join(ctx, known, again)
	}
	var place *peerpb.RunPlace
	if s.Registry != nil {
		place = s.Registry.Find(ctx, organisation, "", run)
	}
	if place == nil {
		return nil, &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusNotFound, Reason: "run: " + run + " is not known, allowed: a run of the organisation that is in progress or ended less than 60 s ago"}
	}
	request := &peerpb.RunRequest{Run: run, Organisation: organisation, Deployment: place.Deployment, Key: place.Key, Content: place.Fingerprint}
	if again != nil && again.Content != place.Fingerprint {
		return nil, errOtherContent()
	}
	follower := newSession(s, request)
	follower.findable = true
	follower.placed = true
	if known := s.sessions.add(follower); known != nil {
		return s.join(ctx, known, request)
	}
	if again != nil {
		follower.supply(again)
	}
	steps := follower.settle(place)
	close(follower.ready)
	s.start(follower, steps)
	return follower, nil
}

func (s *Server) start(one *session, steps []step) {
	ctx, cancel := context.WithCancelCause(context.Background())
	one.mu.Lock()
	one.cancel = cancel
	one.mu.Unlock()
	s.running.Add(1)
	go func() {
		defer s.running.Add(-1)
		defer cancel(nil)
		s.settleEnd(one, one.pursue(ctx, steps))
	}()
}

// settleEnd closes a session and its traces on other nodes.
func (s *Server) settleEnd(one *session, err error) {
	switch {
	case err == nil:
		one.end(nil)
		s.sessions.keep(one)
		return
	case errors.Is(err, errHandedOver):
		s.sessions.remove(one)
		one.end(err)
		return
	}
	if errors.Is(err, errAbandoned) || errors.Is(err, errCancelled) {
		s.cancelAtDispatcher(one, errors.Is(err, errAbandoned))
		err = &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusConflict, Reason: err.Error()}
	}
	s.sessions.remove(one)
	one.end(err)
	if s.Registry != nil && one.findable && one.isOwner() {
		s.Registry.Release(context.Background(), one.place())
	}
}

// cancelAtDispatcher frees the slot of a run. A run that another entry node reads goes on if it was only abandoned here.
func (s *Server) cancelAtDispatcher(one *session, ifUnread bool) {
	at := one.position()
	n, found := s.Members.Find(at.node)
	if !found || (ifUnread && !one.isOwner()) {
		return
	}
	s.sendCancel(n.PeerAddress, &peerpb.CancelRequest{Run: one.request.Run, Organisation: one.request.Organisation, IfUnread: ifUnread})
}
