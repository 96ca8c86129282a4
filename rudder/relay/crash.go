package relay

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/outcome"
)

const (
	// crashProbeTimeout bounds the connection attempt that distinguishes a crashed server from a lost response.
	crashProbeTimeout = 300 * time.Millisecond
	// resendProbeWait is how long the sending of a request to another server waits for that probe. A host that still answers
	// refuses a connection within a round trip.
	resendProbeWait = 50 * time.Millisecond
	// maxOutputBeforeCrash is the time since the first event after which a request counts as harmless to its server.
	maxOutputBeforeCrash = time.Second
)

// partTraits returns the traits of the shared parts of the prompt.
func (c *call) partTraits() []culprit.Trait {
	if c.parts == nil && len(c.sharedParts) > 0 {
		for _, part := range c.sharedParts {
			c.parts = append(c.parts, culprit.PartTrait(part.ID))
		}
	}
	return c.parts
}

// contentTrait returns the trait of the whole request. Callers retry a request with another request id, which it does not
// cover.
func (c *call) contentTrait() culprit.Trait {
	if c.content == 0 {
		c.content = culprit.ContentTrait([]byte(c.organisationName()), []byte(c.method), []byte(c.hostHeader), []byte(c.requestTarget), c.body)
	}
	return c.content
}

// traits returns all traits of the request.
func (c *call) traits() []culprit.Trait {
	return append(c.partTraits()[:len(c.parts):len(c.parts)], c.contentTrait())
}

// checkQuarantine returns an error if the request is like those on which servers have crashed. A new request may be let
// through as a trial.
func (s *Server) checkQuarantine(c *call, isNew bool) *outcome.Error {
	if c.isTrial || !s.Crashes.HasCrashes() {
		return nil
	}
	refusal, isTrial := s.Crashes.Check(c.traits(), isNew)
	if refusal == nil {
		c.isTrial = isTrial
		return nil
	}
	return outcome.NotRunErrorf(http.StatusServiceUnavailable, withJitter(refusal.RetryAfter, c.id), "backend servers crashed on similar requests: quarantine %s", refusal.Quarantine)
}

// serverState is what a connection attempt shows of a server.
type serverState int

const (
	serverAlive   serverState = iota // it accepts connections
	serverGone                       // its host refuses connections
	serverUnknown                    // there is no answer
)

// probe connects to a server to find out whether it still runs. Concurrent probes of one incarnation share the result.
func (s *Server) probe(p *backend.Placement) serverState {
	state, _, _ := s.probes.Do(strconv.FormatUint(p.Incarnation, 36), func() (any, error) {
		conn, err := net.DialTimeout("tcp", p.Address, crashProbeTimeout)
		switch {
		case err == nil:
			_ = conn.Close()
			return serverAlive, nil
		case errors.Is(err, syscall.ECONNREFUSED):
			return serverGone, nil
		default:
			return serverUnknown, nil
		}
	})
	return state.(serverState)
}

// mayHaveCrashedServer reports whether the request is a suspect if its server has crashed: it was sent, and the server had
// not been answering it for long. A server that leaves ends without a crash.
func (a *attempt) mayHaveCrashedServer(r attemptResult) bool {
	if r.backendResult != backend.ResultConnectionFailure || r.isKnownNotRun || a.placement.IsLeaving() {
		return false
	}
	return a.firstEventAt == 0 || boottime.Since(a.firstEventAt) < maxOutputBeforeCrash
}

// observeCrash finds out whether the server of a failed attempt has crashed, and records the crash. The returned channel is
// closed when that is known.
func (a *attempt) observeCrash(r attemptResult) <-chan struct{} {
	s, c, failedAt := a.server, a.call, boottime.Now()
	traits, lastEventID := c.traits(), a.forwarder.lastEventID
	done := make(chan struct{})
	s.crashProbes.Add(1)
	go func() {
		defer close(done)
		defer s.crashProbes.Add(-1)
		state := serverGone
		if !a.isServerReplaced {
			state = s.probe(a.placement)
		}
		// A host that does not answer may be cut off. It counts only if the connection was ended from its side.
		if state == serverAlive || state == serverUnknown && r.isTimeout {
			return
		}
		if !s.Paths.Confirm(c.service, failedAt) && s.Detours.HasPeer(c.service, nil) {
			return // this node is cut off from the servers, of which nothing is known
		}
		s.Crashes.RecordCrash(a.placement.Incarnation, c.service, traits, failedAt, a.sentAt)
		s.metrics.countCrash(c)
		s.Log.Info("Backend server crashed while running a request.", "request", c.id, "server", a.placement.ID, "service", c.service,
			"traits", culprit.TraitNames(traits), "prompt_parts", c.sharedPartIDs(), "last_event", lastEventID,
			"sent_ms_before", failedAt.Sub(a.sentAt).Milliseconds(), "crashed_servers", s.Crashes.CrashCount())
	}()
	return done
}

// recordAnswer clears the traits of a request that was answered completely.
func (s *Server) recordAnswer(c *call) {
	traits := c.partTraits()
	if s.Crashes.HasCrashes() {
		traits = c.traits()
	}
	s.Crashes.RecordAnswer(c.service, traits)
}
