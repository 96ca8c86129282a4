package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/outcome"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// registerTimeout bounds the registration of a run that is handed over, and before it the wait for the run's new
	// dispatcher.
	registerTimeout = time.Second
)

// MovedEvent is the data of the event "moved", which ends a stream that another node continues.
type MovedEvent struct {
	Address string `json:"address"` // IP:port
	Run     string `json:"run"`
	Offset  int    `json:"offset"` // of the next token
}

// Drain makes the node refuse new requests as not run. Requests in progress continue.
func (s *Server) Drain() { s.isDraining.Store(true) }

// IsDraining reports whether the node refuses new requests.
func (s *Server) IsDraining() bool { return s.isDraining.Load() }

// RequestsInProgress returns the number of requests that have not ended.
func (s *Server) RequestsInProgress() int { return int(s.activeSessions.Load()) }

// AwaitIdle waits until no request is in progress, or until ctx ends, and reports whether the node is idle.
func (s *Server) AwaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.RequestsInProgress() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// HandOver ends the sessions in progress: their runs continue at their dispatchers without an entry node, and callers get
// the address of another node that continues the answer. A request that no dispatcher has accepted is refused as not run.
func (s *Server) HandOver() {
	var wg sync.WaitGroup
	for _, sess := range s.sessions.list() {
		if p := sess.progressFrom(0); p.hasEnded {
			continue
		}
		wg.Go(func() { s.handOver(sess) })
	}
	wg.Wait()
}

func (s *Server) handOver(sess *session) {
	dispatcher := s.awaitOtherDispatcher(sess)
	if dispatcher == "" {
		sess.stop(sess.incompleteError("the node is stopping"))
		return
	}
	if s.Registry != nil {
		sess.mu.Lock()
		sess.placeSequence++
		sess.mu.Unlock()
		place := sess.place()
		place.EntryNode = ""
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		s.Registry.Put(ctx, place)
		cancel()
	}
	s.Log.Info("Session ends; the run continues at its dispatcher without an entry node.", "run", sess.id(), "dispatcher", dispatcher)
	sess.stop(errHandedOver)
}

// awaitOtherDispatcher waits until another node dispatches the run, at most registerTimeout, since this node's dispatcher
// hands over its runs at the same time. It returns the name of the dispatcher, empty if no node has the run.
func (s *Server) awaitOtherDispatcher(sess *session) string {
	self := s.Members.Self().Name
	deadline := time.Now().Add(registerTimeout)
	for {
		sess.mu.Lock()
		dispatcher, ended := sess.dispatcher(), sess.hasEnded
		sess.mu.Unlock()
		if ended || dispatcher != self || time.Now().After(deadline) {
			return dispatcher
		}
		time.Sleep(drainPollInterval)
	}
}

func (s *Server) refuseWhenDraining(next authenticatedHandler) authenticatedHandler {
	return func(w http.ResponseWriter, r *http.Request, organisation string) {
		if s.IsDraining() {
			s.writeProblem(w, r, newDrainingError())
			return
		}
		next(w, r, organisation)
	}
}

func newDrainingError() error {
	return outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "the node is draining")
}

// redirectToOtherNode redirects a caller to its run on another node (status 303).
func (s *Server) redirectToOtherNode(w http.ResponseWriter, r *http.Request, run string, stream bool) {
	address, found := s.otherNodeAddress(r.RemoteAddr)
	if !found {
		s.writeProblem(w, r, outcome.UnknownErrorf(http.StatusBadGateway, errors.New("no other node is live"), "the node is stopping"))
		return
	}
	location := "http://" + address + "/v1/runs/" + run
	if !stream {
		location += "?stream=false"
	}
	w.Header().Set("Location", location)
	w.WriteHeader(http.StatusSeeOther)
}

// otherNodeAddress returns the preferred address of another live node for a caller.
func (s *Server) otherNodeAddress(remoteAddr string) (string, bool) {
	self := s.Members.Self().CallerAddress
	for _, a := range s.addressesFor(remoteAddr) {
		if a.Address != self {
			return a.Address, true
		}
	}
	return "", false
}
