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
	drainPoll = 20 * time.Millisecond
	// registerTimeout bounds the registration of a run that is handed over.
	registerTimeout = time.Second
)

// Moved is the data of the event that ends a stream when another node continues it.
type Moved struct {
	Address string `json:"address"` // IP:port
	Run     string `json:"run"`
	Offset  int    `json:"offset"` // of the next token
}

// Drain makes the node refuse new work as not run. Requests in progress go on.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether the node refuses new work.
func (s *Server) Draining() bool { return s.draining.Load() }

// InProgress returns the number of requests that have not ended.
func (s *Server) InProgress() int { return int(s.running.Load()) }

// AwaitIdle waits until no request is in progress, or until ctx ends, and reports whether the node is idle.
func (s *Server) AwaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.InProgress() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// HandOver ends the sessions in progress: their runs go on at their dispatchers without an entry node, and callers are
// told where to read on. A request that no dispatcher has accepted is refused as not run.
func (s *Server) HandOver() {
	var all sync.WaitGroup
	for _, one := range s.sessions.all() {
		if p := one.progress(0); p.ended {
			continue
		}
		all.Go(func() { s.handOver(one) })
	}
	all.Wait()
}

func (s *Server) handOver(one *session) {
	dispatcher := s.awaitElsewhere(one)
	if dispatcher == "" {
		one.stop(one.giveUp("the node is stopping"))
		return
	}
	if s.Registry != nil {
		one.mu.Lock()
		one.sequence++
		one.mu.Unlock()
		place := one.place()
		place.EntryNode = ""
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		s.Registry.Put(ctx, place)
		cancel()
	}
	s.Log.Info("Run handed over.", "run", one.id(), "dispatcher", dispatcher)
	one.stop(errHandedOver)
}

// awaitElsewhere waits until another node dispatches the run, since this node's dispatcher hands over its runs at the
// same time. It returns an empty name if no node has the run.
func (s *Server) awaitElsewhere(one *session) string {
	self := s.Members.Self().Name
	deadline := time.Now().Add(registerTimeout)
	for {
		one.mu.Lock()
		dispatcher, ended := one.dispatcher(), one.ended
		one.mu.Unlock()
		if ended || dispatcher != self || time.Now().After(deadline) {
			return dispatcher
		}
		time.Sleep(drainPoll)
	}
}

func (s *Server) unlessDraining(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, organisation string) {
		if s.Draining() {
			s.fail(w, r, errDraining())
			return
		}
		next(w, r, organisation)
	}
}

func errDraining() error {
	return outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "the node is draining")
}

// seeOther sends a caller to another node for its run.
func (s *Server) seeOther(w http.ResponseWriter, r *http.Request, run string, stream bool) {
	address, found := s.otherAddress(r.RemoteAddr)
	if !found {
		s.fail(w, r, outcome.UnknownErrorf(http.StatusServiceUnavailable, errors.New("no other node is live"), "the node is stopping"))
		return
	}
	location := "http://" + address + "/v1/runs/" + run
	if !stream {
		location += "?stream=false"
	}
	w.Header().Set("Location", location)
	w.WriteHeader(http.StatusSeeOther)
}

// otherAddress returns the address of another live node for a caller.
func (s *Server) otherAddress(remote string) (string, bool) {
	self := s.Members.Self().CallerAddress
	for _, a := range s.addressesFor(remote) {
		if a.Address != self {
			return a.Address, true
		}
	}
	return "", false
}
