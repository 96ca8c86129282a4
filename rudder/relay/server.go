package relay

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/detour"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/streamorigin"
	"chestnutrudder.example/rudder/traffic"
)

// Quotas enforces the rate limits of organisations over all nodes.
type Quotas interface {
	// Take deducts an amount from an organisation's quota. It returns nil on success, else the shortage.
	Take(o *traffic.Organisation, amount float64) *quota.Shortage
	// Return credits the amount of a request that did not run.
	Return(o *traffic.Organisation, amount float64)
}

// RunCounter counts the requests that backend servers started to run, by organisation, for the usage reports.
type RunCounter interface {
	CountRun(organisation string)
}

// StalenessLimits bound the time since the configuration was last confirmed to be the newest one. Zero means no limit.
type StalenessLimits struct {
	Send time.Duration // limit for sending a request to a backend server
	Wait time.Duration // limit for a request that was sent and waits for the first byte of its response
}

// Server is the HTTP handler that relays the requests of callers to backend servers. Set its exported fields before use.
type Server struct {
	Dialect         *Dialect
	Current         *traffic.CurrentConfig
	Backends        *backend.Table
	Quotas          Quotas
	Runs            RunCounter
	FailureDomain   string // of this node
	StalenessLimits StalenessLimits
	// MaxResponseBytes bounds the body of a response that is not an event stream; 0 means defaultMaxResponseBytes.
	MaxResponseBytes int64
	// MaxBufferedBytes bounds the memory for incomplete responses of all requests together; 0 means defaultMaxBufferedBytes.
	MaxBufferedBytes int64
	RetryRate        limit.RetryRate // retry budget of each service; the burst is divided among the nodes
	Log              *slog.Logger
	Crashes          *culprit.List
	Origins          *streamorigin.Book
	Paths            *backend.Paths  // nil means that the paths to backend servers are not watched
	Detours          *detour.Client  // nil means that no request is passed on to peers
	Versions         VersionObserver // nil means that the requests at software versions are not counted

	mu               sync.Mutex
	nodeCount        int                           // nodes that share the retry budgets
	retryBudgets     map[string]*limit.RetryBudget // by service
	awaitingResponse map[*attempt]struct{}         // attempts without a first response byte
	isDraining       atomic.Bool
	refusalOnce      sync.Once    // sets refusal
	refusal          refusalState // see RefuseRequestsFrom
	inProgress       atomic.Int64
	buffers          bufferBudget
	metrics          Metrics
	crashProbes      atomic.Int64 // running observeCrash tasks
	probes           singleflight.Group
	identities       identityChecks
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// closeConnectionIfNeeded adds "Connection: close" to the header of a response while the node is draining, and while there is
// hardly room for further connections: a caller that sends one request after the other would keep others out.
func (s *Server) closeConnectionIfNeeded(c *call, h http.Header) {
	if s.isDraining.Load() || c.charge.IsCrowded() {
		h.Set("Connection", "close")
	}
}

// ServeHTTP relays a request to a backend server and writes the response or an error. It panics with http.ErrAbortHandler if
// a response fails after its head was sent, or if the caller has left: net/http would write an empty success for a handler
// that returns without an answer, and a caller that has ended only its sending side would read it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	c := &call{
		id: r.Header.Get(s.Dialect.RequestID), arrivedAt: time.Now(),
		method: r.Method, requestTarget: r.RequestURI, hostHeader: r.Host, path: r.URL.EscapedPath(), charge: chargeOf(r.Context()), oldCallerConn: oldCallerConn(r),
		callerHeader: r.Header, passed: detour.StateOf(r.Context()),
	}
	c.recordPassing(s.Log)
	defer s.logPanic(c)
	defer c.releaseCharge()
	if problem := s.receive(w, r, c); problem != nil {
		c.isNodeProblem = true
		s.refuse(w, r, c, problem)
		return
	}
	if hasCallerLeft(r.Context()) {
		s.Log.Info("Caller disconnected before the request was handled.", "request", c.id, "run", outcome.NotRun.String())
		panic(http.ErrAbortHandler)
	}
	if problem := s.admit(c, r); problem != nil {
		c.isNodeProblem = true
		s.writeError(w, c, problem)
		return
	}
	c.header = backendRequestHeader(r.Header, s.Dialect)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	f := &forwarder{server: s, call: c, writer: w, callerDone: r.Context().Done()}
	f.takeOver(c.passed)
	defer f.returnQuota()
	f.run(ctx)
}

// receive reads the body of a request. It returns an error for a request that is refused whatever its body is, before the body
// is read, or whose body cannot be read.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, c *call) *outcome.Error {
	if hasBody(r) {
		if problem := s.admitHead(c, r); problem != nil {
			return problem
		}
	}
	if c.chargeRequest(r) != nil {
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, exhaustedRetryAfter, "node has no memory for the request")
	}
	body, problem := readBody(w, r, s.maxBodyBytes(), c.charge)
	c.body = body
	return problem
}

// logPanic logs a panic other than http.ErrAbortHandler. The panic goes on: net/http then closes the caller's connection.
func (s *Server) logPanic(c *call) {
	problem := recover()
	if problem == nil {
		return
	}
	if problem != http.ErrAbortHandler {
		s.Log.Error("Handling a request panicked.", "request", c.id, "panic", problem, "stack", string(debug.Stack()))
	}
	panic(problem)
}

// maxBodyBytesWithoutConfig bounds request bodies while the node has no configuration. These requests are refused.
const maxBodyBytesWithoutConfig = 1 << 20

// maxBodyBytes returns the limit of request bodies, 0 for no limit.
func (s *Server) maxBodyBytes() int64 {
	if config := s.Current.Config(); config != nil {
		return config.Limits.MaxBodyBytes
	}
	return maxBodyBytesWithoutConfig
}

// admit checks a request whose body was read. The configuration or the state of the node may have changed while it was read.
func (s *Server) admit(c *call, r *http.Request) *outcome.Error {
	config := s.Current.Config()
	if c.admittedBy == nil || c.admittedBy != config {
		if problem := s.admitHead(c, r); problem != nil {
			return problem
		}
	} else if problem := s.checkState(c, config); problem != nil {
		return problem
	}
	return s.checkQuarantine(c, true)
}

// checkState returns an error if the node cannot serve requests with a configuration.
func (s *Server) checkState(c *call, config *traffic.Config) *outcome.Error {
	switch {
	case config == nil:
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, notReadyRetryAfter, "node has no configuration yet")
	case s.Current.IsOutdated():
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, staleConfigRetryAfter, "configuration is older than that of other nodes, and the newer one cannot be read")
	case s.isRefusing() || c.passed != nil && s.isDraining.Load():
		return errStopping() // the node that passed the request on can try another peer
	case c.id == "":
		return outcome.NotRunErrorf(http.StatusBadRequest, 0, "request header %s is missing", s.Dialect.RequestID)
	case !s.isConfigFresh(s.StalenessLimits.Send):
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, staleConfigRetryAfter, "configuration was not proved to be the newest within the time limit")
	}
	return nil
}

// admitHead sets the route, organisation, service, quota amount, urgency and deadline of a request. It returns an error if the
// request must be refused whatever its body is.
func (s *Server) admitHead(c *call, r *http.Request) *outcome.Error {
	config := s.Current.Config()
	if problem := s.checkState(c, config); problem != nil {
		return problem
	}
	c.admittedBy = config
	c.configVersion = config.Version
	c.route = config.RouteFor(traffic.HostName(c.hostHeader), c.path)
	if c.route == nil {
		return outcome.NotRunErrorf(http.StatusNotFound, 0, "no route for host %q and path %q", r.Host, r.URL.Path)
	}
	if config.RequiresAPIKeys() && !c.route.Public {
		if c.apiKey = parseAPIKey(r.Header.Get(headerAuthorization), s.Dialect.APIKeyScheme); c.apiKey == "" {
			return outcome.NotRunErrorf(http.StatusUnauthorized, 0, "request has no API key")
		}
		if c.organisation = config.OrganisationFor(c.apiKey); c.organisation == nil {
			return outcome.NotRunErrorf(http.StatusUnauthorized, 0, "unknown API key")
		}
	}
	c.service = s.chooseService(c)
	c.parsePromptHeaders(r.Header, s.Dialect)
	c.urgency = c.route.Priority
	if c.organisation != nil {
		if c.organisation.Priority != nil {
			c.urgency = *c.organisation.Priority
		}
		if !c.organisation.CountsTokens {
			c.quotaAmount = 1
		} else if !c.isGeneration {
			c.quotaAmount = c.organisation.DefaultTokens
		}
	}
	c.urgency = min(max(c.urgency, 0), backend.UrgencyLevels-1)
	c.setDeadline(r.Header.Get(s.Dialect.Timeout))
	return nil
}

// setDeadline sets the deadline to the earlier one of the caller's timeout, in milliseconds, and the route's timeout.
func (c *call) setDeadline(timeoutMillis string) {
	c.deadline = c.arrivedAt.Add(defaultRequestTimeout)
	if c.route.Timeout > 0 {
		c.deadline = c.arrivedAt.Add(c.route.Timeout)
	}
	if ms, err := strconv.ParseFloat(timeoutMillis, 64); err == nil && ms > 0 {
		c.callerDeadline = c.arrivedAt.Add(time.Duration(ms * float64(time.Millisecond)))
		if c.callerDeadline.Before(c.deadline) {
			c.deadline = c.callerDeadline
		}
	}
}

const (
	// defaultRequestTimeout applies to routes without a timeout.
	defaultRequestTimeout = 5 * time.Minute
	// notReadyRetryAfter, stoppingRetryAfter and staleConfigRetryAfter are sent to refused callers in the Retry-After header:
	// a starting node is ready within a second, the other nodes of a stopping one can serve immediately, and the
	// configuration is confirmed to be the newest about once per second.
	notReadyRetryAfter    = 500 * time.Millisecond
	stoppingRetryAfter    = 20 * time.Millisecond
	staleConfigRetryAfter = 300 * time.Millisecond
)

// parseAPIKey returns the API key in an Authorization header, or "" if the header has another scheme.
func parseAPIKey(header, scheme string) string {
	name, key, _ := strings.Cut(strings.TrimSpace(header), " ")
	if !strings.EqualFold(name, scheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// isConfigFresh reports whether the configuration was confirmed to be the newest within the last maxAge; 0 means no limit.
func (s *Server) isConfigFresh(maxAge time.Duration) bool {
	return maxAge <= 0 || boottime.Since(s.Current.ConfirmedAt()) <= maxAge
}

// takeQuota deducts a request from the quota of its organisation. It returns nil on success or if there is no limit.
func (s *Server) takeQuota(c *call) *quota.Shortage {
	if c.organisation == nil || c.organisation.RatePerSecond <= 0 {
		return nil
	}
	return s.Quotas.Take(c.organisation, c.quotaAmount)
}

// quotaError returns the answer to a request that exceeds its organisation's limit.
func quotaError(s *quota.Shortage) *outcome.Error {
	switch s.Cause {
	case quota.Withheld:
		return outcome.NotRunErrorf(http.StatusTooManyRequests, s.RetryAfter, "organisation's rate limit is partly withheld for nodes that are not heard: "+
			"request needs %.0f, %.0f available, %.0f withheld, %.0f added per second", s.Needed, s.Level, s.Withheld, s.Rate)
	case quota.AheadOfReports:
		return outcome.NotRunErrorf(http.StatusTooManyRequests, s.RetryAfter, "node used its part of the organisation's rate limit before other nodes knew: "+
			"request needs %.0f, %.0f available, %.0f added per second", s.Needed, s.Level, s.Rate)
	default:
		return outcome.NotRunErrorf(http.StatusTooManyRequests, s.RetryAfter, "organisation exceeded its rate limit: "+
			"request needs %.0f, %.0f available, %.0f added per second", s.Needed, s.Level, s.Rate)
	}
}

// checkAllowed returns nil if an admitted request may still run. It returns an error if its API key was revoked or given to another
// organisation, or may have been since the configuration was last confirmed to be the newest, longer than maxAge ago, or if similar
// requests were quarantined.
func (s *Server) checkAllowed(c *call, maxAge time.Duration) *outcome.Error {
	if c.apiKey != "" && !s.isConfigFresh(maxAge) {
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, staleConfigRetryAfter, "configuration was not proved to be the newest within the time limit")
	}
	if c.apiKey != "" {
		config := s.Current.Config()
		holder := config.OrganisationFor(c.apiKey)
		switch {
		case holder == nil && !c.needsAPIKey(config):
			return outcome.NotRunErrorf(http.StatusServiceUnavailable, changedAccessRetryAfter, "API key was revoked, and requests need none any more")
		case holder == nil:
			return outcome.NotRunErrorf(http.StatusUnauthorized, 0, "API key was revoked")
		case holder.Name != c.organisation.Name:
			return outcome.NotRunErrorf(http.StatusServiceUnavailable, changedAccessRetryAfter, "API key was given to another organisation")
		}
	}
	return s.checkQuarantine(c, false)
}

// changedAccessRetryAfter is when a caller may come back whose request waited while its key was given to another organisation, or while
// its route was opened to all. It is then admitted by the configuration in force.
const changedAccessRetryAfter = 50 * time.Millisecond

// needsAPIKey reports whether a configuration asks for an API key for the request.
func (c *call) needsAPIKey(config *traffic.Config) bool {
	route := config.RouteFor(traffic.HostName(c.hostHeader), c.path)
	return config.RequiresAPIKeys() && (route == nil || !route.Public)
}

// WatchWaitingRequests cancels requests that wait for a backend server's response when their API key is revoked, the
// configuration becomes stale or similar requests are quarantined. It returns when ctx is done.
func (s *Server) WatchWaitingRequests(ctx context.Context) {
	for {
		changed := s.Current.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(waitingCheckInterval):
		}
		s.cancelDisallowed()
	}
}

// waitingCheckInterval is how often requests that wait for a response are checked by checkAllowed.
const waitingCheckInterval = 200 * time.Millisecond

// cancelDisallowed cancels the attempts that wait for a response and are no longer allowed to run.
func (s *Server) cancelDisallowed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.awaitingResponse {
		if problem := s.checkAllowed(a.call, s.StalenessLimits.Wait); problem != nil {
			s.Log.Info("Cancelled a request that waited for its backend server.", "request", a.call.id, "server", a.placement.ID, "reason", problem.Reason)
			a.cancel()
			delete(s.awaitingResponse, a)
		}
	}
}

// writeError answers a request that failed with the status of problem and an empty body.
func (s *Server) writeError(w http.ResponseWriter, c *call, problem *outcome.Error) {
	status := problem.Outcome.CallerStatus(problem.Status)
	h := w.Header()
	h.Set(s.Dialect.RequestID, c.id)
	if problem.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(problem.RetryAfter.Seconds(), 'f', 3, 64))
	}
	s.closeConnectionIfNeeded(c, h)
	c.markError(h, problem)
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
	s.Log.Info("Sent an error response to the caller.", "request", c.id, "status", status, "run", problem.Outcome.String(), "reason", problem.Reason,
		"route", c.routeName(), "organisation", c.organisationName(), "config_version", c.configVersion,
		"proof_age_ms", boottime.Since(s.Current.ConfirmedAt()).Milliseconds(), "after_ms", time.Since(c.arrivedAt).Milliseconds(), "retry_after_ms", problem.RetryAfter.Milliseconds())
	s.metrics.countRequest(c, status)
}

// routeName returns the name of the route, or "" before the route is known.
func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// organisationName returns the name of the organisation, or "" if there is none.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}
