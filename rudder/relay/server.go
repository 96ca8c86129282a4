package relay

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/traffic"
)

// Quotas admits the requests of organisations within their limits over all nodes.
type Quotas interface {
	// Take takes an amount from an organisation's limit, or returns what is missing.
	Take(o *traffic.Organisation, amount float64) *quota.Shortage
	// Return gives back the amount of a request that did not run.
	Return(o *traffic.Organisation, amount float64)
}

// RunCounter counts the requests that backend servers began to run, by organisation.
type RunCounter interface {
	CountRun(organisation string)
}

// StalenessLimits bounds how old the proof may be that the configuration is the newest one. Zero values mean no bound.
type StalenessLimits struct {
	Send time.Duration // age up to which a request is sent to a backend server
	Wait time.Duration // age up to which a request that is sent may go on waiting for its first byte
}

// Server relays the requests of callers.
type Server struct {
	Dialect         *Dialect
	Current         *traffic.Current
	Backends        *backend.Table
	Quotas          Quotas
	Runs            RunCounter
	FailureDomain   string
	StalenessLimits StalenessLimits
	RetryRate       limit.RetryRate // of this node, for each service
	Log             *slog.Logger
	Crashes         CrashList

	mu               sync.Mutex
	nodeCount        int // that share the retry budget
	retryBudgets     map[string]*limit.RetryBudget
	awaitingResponse map[*attempt]struct{}
	isDraining       atomic.Bool
	isRefusing       atomic.Bool
	inProgress       atomic.Int64
	metrics          Metrics
	crashProbes      sync.WaitGroup // of servers that may have crashed
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// Drain makes responses close their connections, so that callers go elsewhere.
func (s *Server) Drain() { s.isDraining.Store(true) }

// closeConnectionIfDraining makes a response with the given header the last one of its connection if the node drains.
func (s *Server) closeConnectionIfDraining(h http.Header) {
	if s.isDraining.Load() {
		h.Set("Connection", "close")
	}
}

// RefuseRequests makes the node refuse new requests as not run.
func (s *Server) RefuseRequests() { s.isRefusing.Store(true) }

// ServeHTTP relays one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	c := &call{
		id: r.Header.Get(s.Dialect.RequestID), arrivedAt: time.Now(), header: backendRequestHeader(r.Header, s.Dialect),
		method: r.Method, requestTarget: r.RequestURI, hostHeader: r.Host,
	}
	body, status := readBody(w, r, s.maxBodyBytes())
	if status != 0 {
		w.Header().Set("Connection", "close")
		s.writeError(w, c, outcome.NotRunErrorf(status, 0, "body cannot be read"))
		return
	}
	c.body = body
	if problem := s.admit(c, r); problem != nil {
		s.writeError(w, c, problem)
		return
	}
	if shortage := s.takeQuota(c); shortage != nil {
		s.writeError(w, c, outcome.NotRunErrorf(http.StatusTooManyRequests, shortage.Wait,
			"organisation is over its limit: request weighs %.0f, %.0f are left, %.0f come each second", shortage.Needed, shortage.Level, shortage.Rate))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	f := &forwarder{server: s, call: c, writer: w, callerDone: r.Context().Done()}
	f.run(ctx)
	if !f.mayHaveRun && c.organisation != nil {
		s.Quotas.Return(c.organisation, c.quotaAmount)
	}
}

// maxBodyBytesWithoutConfig bounds the bodies of requests that come before the configuration is known; they are refused.
const maxBodyBytesWithoutConfig = 1 << 20

func (s *Server) maxBodyBytes() int64 {
	if config := s.Current.Config(); config != nil {
		return config.Limits.MaxBodyBytes
	}
	return maxBodyBytesWithoutConfig
}

// admit finds the route and the organisation of a request.
func (s *Server) admit(c *call, r *http.Request) *outcome.Error {
	config := s.Current.Config()
	switch {
	case config == nil:
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, notReadyRetryAfter, "no configuration is known yet")
	case s.isRefusing.Load():
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, stoppingRetryAfter, "node is stopping")
	case c.id == "":
		return outcome.NotRunErrorf(http.StatusBadRequest, 0, "header %s is missing", s.Dialect.RequestID)
	case !s.isConfigFresh(s.StalenessLimits.Send):
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, staleConfigRetryAfter, "configuration is not proved to be the newest")
	}
	c.configVersion = config.Version
	c.route = config.RouteFor(stripPort(r.Host), r.URL.EscapedPath())
	if c.route == nil {
		return outcome.NotRunErrorf(http.StatusNotFound, 0, "no route for host %q and path %q", r.Host, r.URL.Path)
	}
	if config.RequiresKeys() && !c.route.Public {
		if c.apiKey = parseAPIKey(r.Header.Get(headerAuthorization), s.Dialect.APIKeyScheme); c.apiKey == "" {
			return outcome.NotRunErrorf(http.StatusUnauthorized, 0, "no API key")
		}
		if c.organisation = config.OrganisationFor(c.apiKey); c.organisation == nil {
			return outcome.NotRunErrorf(http.StatusUnauthorized, 0, "unknown API key")
		}
	}
	c.service = c.route.ServiceFor(hashFraction(c.id))
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
	if !s.Crashes.IsEmpty() && s.Crashes.Count(c.fingerprint()) >= maxCrashes {
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, 0, "request has crashed %d backend servers", maxCrashes)
	}
	return nil
}

// setDeadline takes the earlier one of the caller's deadline and the route's timeout.
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
	// defaultRequestTimeout bounds requests on routes without a timeout.
	defaultRequestTimeout = 5 * time.Minute
	// notReadyRetryAfter, stoppingRetryAfter and staleConfigRetryAfter tell callers when to come back: a starting node is ready within a
	// second, other nodes serve at once, and the proof of the configuration is renewed about each second.
	notReadyRetryAfter    = 500 * time.Millisecond
	stoppingRetryAfter    = 20 * time.Millisecond
	staleConfigRetryAfter = 300 * time.Millisecond
)

func parseAPIKey(header, scheme string) string {
	name, key, _ := strings.Cut(strings.TrimSpace(header), " ")
	if !strings.EqualFold(name, scheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// isConfigFresh reports whether the configuration was proved to be the newest within the given age.
func (s *Server) isConfigFresh(maxAge time.Duration) bool {
	return maxAge <= 0 || boottime.Since(s.Current.ProvedAt()) <= maxAge
}

func (s *Server) takeQuota(c *call) *quota.Shortage {
	if c.organisation == nil || c.organisation.RatePerSecond <= 0 {
		return nil
	}
	return s.Quotas.Take(c.organisation, c.quotaAmount)
}

// checkAllowed reports whether a request may still be sent: its key is held and the configuration is fresh.
func (s *Server) checkAllowed(c *call, maxAge time.Duration) *outcome.Error {
	if !s.isConfigFresh(maxAge) {
		return outcome.NotRunErrorf(http.StatusServiceUnavailable, staleConfigRetryAfter, "configuration is not proved to be the newest")
	}
	if c.apiKey != "" && s.Current.Config().OrganisationFor(c.apiKey) == nil {
		return outcome.NotRunErrorf(http.StatusUnauthorized, 0, "API key was taken away")
	}
	return nil
}

// WatchWaitingRequests cancels requests that wait at backend servers and may no longer run there, until ctx ends.
func (s *Server) WatchWaitingRequests(ctx context.Context) {
	for {
		changed := s.Current.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(stalenessCheckInterval):
		}
		s.cancelDisallowed()
	}
}

// stalenessCheckInterval is how often requests without a first byte are checked against the freshness bound.
const stalenessCheckInterval = 200 * time.Millisecond

func (s *Server) cancelDisallowed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.awaitingResponse {
		if problem := s.checkAllowed(a.call, s.StalenessLimits.Wait); problem != nil {
			s.Log.Info("Request is cancelled at its server.", "request", a.call.id, "server", a.placement.ID, "reason", problem.Reason)
			a.cancel()
			delete(s.awaitingResponse, a)
		}
	}
}

// SetNodeCount tells how many nodes share the retry budget.
func (s *Server) SetNodeCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.retryBudgets {
		b.SetBurst(s.RetryRate.Burst / float64(max(n, 1)))
	}
	s.nodeCount = max(n, 1)
}

// retryBudget returns the retry budget of a service. The caller holds the lock.
func (s *Server) retryBudget(service string) *limit.RetryBudget {
	if s.retryBudgets == nil {
		s.retryBudgets = map[string]*limit.RetryBudget{}
	}
	b, found := s.retryBudgets[service]
	if !found {
		rate := s.RetryRate
		rate.Burst /= float64(max(s.nodeCount, 1))
		b = limit.NewRetryBudgetAt(rate, time.Now())
		s.retryBudgets[service] = b
	}
	return b
}

func (s *Server) recordFirstSend(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).Fresh(time.Now())
}

func (s *Server) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Retry(time.Now())
}

// writeError answers a request that has not run, or of which that is unknown, with a final status.
func (s *Server) writeError(w http.ResponseWriter, c *call, problem *outcome.Error) {
	h := w.Header()
	h.Set(s.Dialect.RequestID, c.id)
	if problem.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(problem.RetryAfter.Seconds(), 'f', 3, 64))
	}
	s.closeConnectionIfDraining(h)
	h.Set("Content-Length", "0")
	w.WriteHeader(problem.Status)
	s.Log.Info("Request is refused.", "request", c.id, "status", problem.Status, "run", problem.Outcome.String(), "reason", problem.Reason,
		"route", c.routeName(), "organisation", c.organisationName(), "config_version", c.configVersion,
		"proof_age_ms", boottime.Since(s.Current.ProvedAt()).Milliseconds(), "after_ms", time.Since(c.arrivedAt).Milliseconds(), "retry_after_ms", problem.RetryAfter.Milliseconds())
	s.metrics.countRequest(c, problem.Status)
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}
