package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/streamorigin"
	"chestnutrudder.example/rudder/traffic"
)

const (
	// originLookupTimeout bounds the time for which a caller that takes up a stream waits until it is known where it began.
	originLookupTimeout = 500 * time.Millisecond
	// unknownOriginRetryAfter is sent to a caller whose stream's beginning is not known: other nodes record it within that
	// time.
	unknownOriginRetryAfter = 500 * time.Millisecond
	// unservedOriginRetryAfter is sent to a caller whose stream began at a service that the route does not name any more.
	unservedOriginRetryAfter = 2 * time.Second
)

// resumesStream reports whether the caller takes up a stream that broke off.
func (c *call) resumesStream() bool {
	return c.route.Kind == traffic.Streaming && c.route.Resumable && c.header.Get(headerLastEventID) != ""
}

// resumedAttempt returns the id of the attempt that brought the first event of the stream that the caller takes up, "" if
// the request does not name exactly one.
func (c *call) resumedAttempt(d *Dialect) string {
	values := c.header.Values(d.ResumedAttempt)
	if len(values) != 1 || len(values[0]) > streamorigin.MaxAttemptBytes {
		return ""
	}
	return values[0]
}

// chooseService returns the service for a request among those of its route. A stream that its caller takes up goes to the
// service of the attempt that began it.
func (s *Server) chooseService(c *call) string {
	if resumed := c.resumedAttempt(s.Dialect); resumed != "" && c.resumesStream() {
		return c.route.ServiceFor(hashFraction(resumed))
	}
	return c.route.ServiceFor(hashFraction(c.id))
}

// findOrigin sets the software version and the service of a stream that the caller takes up. It returns an error if it is
// not known where the stream began: it might go on at a version that did not begin it.
func (f *forwarder) findOrigin(ctx context.Context) *outcome.Error {
	c := f.call
	if !c.resumesStream() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	attempt := c.resumedAttempt(f.server.Dialect)
	f.server.Origins.ObserveVersions(f.server.Backends.SoftwareVersions())
	origin, found := f.server.Origins.Find(ctx, attempt, c.service)
	switch {
	case !found:
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, withJitter(unknownOriginRetryAfter, c.id), "software version that began the stream as %q is not known", attempt)
	case !slices.ContainsFunc(c.route.Targets, func(t traffic.Target) bool { return t.Service == origin.Service }):
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, withJitter(unservedOriginRetryAfter, c.id), "stream began as %q at the service %q, which the route does not name", attempt, origin.Service)
	}
	c.service, f.version = origin.Service, &origin.Version
	return nil
}

// recordOrigin records where a stream begins whose first events are about to be sent to the caller.
func (f *forwarder) recordOrigin(p *backend.Placement) {
	c := f.call
	if f.version != nil || !c.route.Resumable {
		return
	}
	version := p.SoftwareVersion
	f.version = &version
	f.server.Origins.Begin(c.id, streamorigin.Origin{Service: c.service, Version: version})
}

// logContinuation logs a placement at which a stream goes on that broke off at another server.
func (f *forwarder) logContinuation(p *backend.Placement) {
	lastEvent := f.lastEventID
	if lastEvent == "" && f.call.resumesStream() {
		lastEvent = f.call.header.Get(headerLastEventID)
	}
	if lastEvent == "" {
		return
	}
	f.server.Log.Info("A stream goes on at a backend server.", "request", f.call.id, "server", p.ID, "server_version", p.SoftwareVersion,
		"last_event", lastEvent[:min(len(lastEvent), streamorigin.MaxAttemptBytes)], "resumed_attempt", f.call.resumedAttempt(f.server.Dialect))
}
