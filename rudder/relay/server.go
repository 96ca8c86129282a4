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

// Freshness bounds how old the proof may be that the configuration is the newest one. Zero values mean no bound.
type Freshness struct {
	Send time.Duration // age up to which a request is sent to a backend server
	Wait time.Duration // age up to which a request that is sent may go on waiting for its first byte
}

// Server relays the requests of callers.
type Server struct {
	Dialect       *Dialect
	Current       *traffic.Current
	Backends      *backend.Table
	Quotas        Quotas
	Runs          RunCounter
	FailureDomain string
	Freshness     Freshness
	Retries       limit.RetryRate // of this node, for each service
	Log           *slog.Logger
	Crashes       CrashList

	mu        sync.Mutex
	nodes     int // that share the retry budget
	budgets   map[string]*limit.RetryBudget
	unstarted map[*attempt]struct{}
	draining  atomic.Bool
	closing   atomic.Bool
	active    atomic.Int64
	metrics   Metrics
	probes    sync.WaitGroup // of servers that may have crashed
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.active.Load()) }

// Drain makes responses close their connections, so that callers go elsewhere.
func (s *Server) Drain() { s.draining.Store(true) }

// endConnection makes a response with the given header the last one of its connection if the node drains.
func (s *Server) endConnection(h http.Header) {
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
}

// Refuse makes the node refuse new requests as not run.
func (s *Server) Refuse() { s.closing.Store(true) }

// ServeHTTP relays one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	c := &call{
		id: r.Header.Get(s.Dialect.RequestID), arrived: time.Now(), header: forwardedHeader(r.Header, s.Dialect),
		method: r.Method, target: r.RequestURI, host: r.Host,
	}
	body, status := readBody(w, r, s.maxBodyBytes())
	if status != 0 {
		w.Header().Set("Connection", "close")
		s.refuse(w, c, outcome.Refuse(status, 0, "body cannot be read"))
		return
	}
	c.body = body
	if problem := s.admit(c, r); problem != nil {
		s.refuse(w, c, problem)
		return
	}
	if missing := s.takeQuota(c); missing != nil {
		s.refuse(w, c, outcome.Refuse(http.StatusTooManyRequests, missing.RetryAfter,
			"organisation is over its limit: request weighs %.0f, %.0f are left, %.0f come each second", missing.Needed, missing.Level, missing.Rate))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	p := &pursuit{server: s, call: c, writer: w, callerGone: r.Context().Done()}
	p.run(ctx)
	if !p.mayHaveRun && c.organisation != nil {
		s.Quotas.Return(c.organisation, c.tokens)
	}
}

// unconfiguredBodyBytes bounds the bodies of requests that come before the configuration is known; they are refused.
const unconfiguredBodyBytes = 1 << 20

func (s *Server) maxBodyBytes() int64 {
	if config := s.Current.Config(); config != nil {
		return config.Limits.MaxBodyBytes
	}
	return unconfiguredBodyBytes
}

// admit finds the route and the organisation of a request.
func (s *Server) admit(c *call, r *http.Request) *outcome.Error {
	config := s.Current.Config()
	switch {
	case config == nil:
		return outcome.Refuse(http.StatusServiceUnavailable, unreadyRetry, "no configuration is known yet")
	case s.closing.Load():
		return outcome.Refuse(http.StatusServiceUnavailable, closingRetry, "node is stopping")
	case c.id == "":
		return outcome.Refuse(http.StatusBadRequest, 0, "header %s is missing", s.Dialect.RequestID)
	case !s.fresh(s.Freshness.Send):
		return outcome.Refuse(http.StatusServiceUnavailable, staleRetry, "configuration is not proved to be the newest")
	}
	c.version = config.Version
	c.route = config.RouteFor(hostName(r.Host), r.URL.EscapedPath())
	if c.route == nil {
		return outcome.Refuse(http.StatusNotFound, 0, "no route for host %q and path %q", r.Host, r.URL.Path)
	}
	if config.RequiresKeys() && !c.route.Public {
		if c.key = apiKey(r.Header.Get(authorization), s.Dialect.KeyScheme); c.key == "" {
			return outcome.Refuse(http.StatusUnauthorized, 0, "no API key")
		}
		if c.organisation = config.OrganisationFor(c.key); c.organisation == nil {
			return outcome.Refuse(http.StatusUnauthorized, 0, "unknown API key")
		}
	}
	c.service = c.route.ServiceFor(point(c.id))
	c.readPrompt(r.Header, s.Dialect)
	c.urgency = c.route.Priority
	if c.organisation != nil {
		if c.organisation.Priority != nil {
			c.urgency = *c.organisation.Priority
		}
		if !c.organisation.CountsTokens {
			c.tokens = 1
		} else if !c.generation {
			c.tokens = c.organisation.DefaultTokens
		}
	}
	c.urgency = min(max(c.urgency, 0), backend.UrgencyLevels-1)
	c.setDeadline(r.Header.Get(s.Dialect.Deadline))
	if !s.Crashes.Empty() && s.Crashes.Count(c.fingerprint()) >= maxCrashes {
		return outcome.Refuse(http.StatusServiceUnavailable, 0, "request has crashed %d backend servers", maxCrashes)
	}
	return nil
}

// setDeadline takes the earlier one of the caller's deadline and the route's timeout.
func (c *call) setDeadline(millis string) {
	c.deadline = c.arrived.Add(maxRequestTime)
	if c.route.Timeout > 0 {
		c.deadline = c.arrived.Add(c.route.Timeout)
	}
	if ms, err := strconv.ParseFloat(millis, 64); err == nil && ms > 0 {
		c.callerLimit = c.arrived.Add(time.Duration(ms * float64(time.Millisecond)))
		if c.callerLimit.Before(c.deadline) {
			c.deadline = c.callerLimit
		}
	}
}

const (
	// maxRequestTime bounds requests on routes without a timeout.
	maxRequestTime = 5 * time.Minute
	// unreadyRetry, closingRetry and staleRetry tell callers when to come back: a starting node is ready within a
	// second, other nodes serve at once, and the proof of the configuration is renewed about each second.
	unreadyRetry = 500 * time.Millisecond
	closingRetry = 20 * time.Millisecond
	staleRetry   = 300 * time.Millisecond
)

func apiKey(header, scheme string) string {
	name, key, _ := strings.Cut(strings.TrimSpace(header), " ")
	if !strings.EqualFold(name, scheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// fresh reports whether the configuration was proved to be the newest within the given age.
func (s *Server) fresh(age time.Duration) bool {
	return age <= 0 || boottime.Since(s.Current.ProvedAt()) <= age
}

func (s *Server) takeQuota(c *call) *quota.Shortage {
	if c.organisation == nil || c.organisation.RatePerSecond <= 0 {
		return nil
	}
	return s.Quotas.Take(c.organisation, c.tokens)
}

// mayRun reports whether a request may still be sent: its key is held and the configuration is fresh.
func (s *Server) mayRun(c *call, age time.Duration) *outcome.Error {
	if !s.fresh(age) {
		return outcome.Refuse(http.StatusServiceUnavailable, staleRetry, "configuration is not proved to be the newest")
	}
	if c.key != "" && s.Current.Config().OrganisationFor(c.key) == nil {
		return outcome.Refuse(http.StatusUnauthorized, 0, "API key was taken away")
	}
	return nil
}

// Watch cancels requests that wait at backend servers and may no longer run there, until ctx ends.
func (s *Server) Watch(ctx context.Context) {
	for {
		changed := s.Current.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(freshnessCheckInterval):
		}
		s.cancelForbidden()
	}
}

// freshnessCheckInterval is how often requests without a first byte are checked against the freshness bound.
const freshnessCheckInterval = 200 * time.Millisecond

func (s *Server) cancelForbidden() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.unstarted {
		if problem := s.mayRun(a.call, s.Freshness.Wait); problem != nil {
			s.Log.Info("Request is cancelled at its server.", "request", a.call.id, "server", a.placement.ID, "reason", problem.Reason)
			a.cancel()
			delete(s.unstarted, a)
		}
	}
}

// SetNodes tells how many nodes share the retry budget.
func (s *Server) SetNodes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.budgets {
		b.SetBurst(s.Retries.Burst / float64(max(n, 1)))
	}
	s.nodes = max(n, 1)
}

// budget returns the retry budget of a service. The caller holds the lock.
func (s *Server) budget(service string) *limit.RetryBudget {
	if s.budgets == nil {
		s.budgets = map[string]*limit.RetryBudget{}
	}
	b, found := s.budgets[service]
	if !found {
		rate := s.Retries
		rate.Burst /= float64(max(s.nodes, 1))
		b = limit.NewRetryBudgetWithRate(rate, time.Now())
		s.budgets[service] = b
	}
	return b
}

func (s *Server) countFresh(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).RecordFirstAttempt(time.Now())
}

func (s *Server) mayRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).TakeRetry(time.Now())
}

// refuse answers a request that has not run, or of which that is unknown, with a final status.
func (s *Server) refuse(w http.ResponseWriter, c *call, problem *outcome.Error) {
	h := w.Header()
	h.Set(s.Dialect.RequestID, c.id)
	if problem.RetryAfter > 0 {
		h.Set(retryAfter, strconv.FormatFloat(problem.RetryAfter.Seconds(), 'f', 3, 64))
	}
	s.endConnection(h)
	h.Set("Content-Length", "0")
	w.WriteHeader(problem.Status)
	s.Log.Info("Request is refused.", "request", c.id, "status", problem.Status, "run", problem.Outcome.String(), "reason", problem.Reason,
		"route", c.routeName(), "organisation", c.organisationName(), "config_version", c.version,
		"proof_age_ms", boottime.Since(s.Current.ProvedAt()).Milliseconds(), "after_ms", time.Since(c.arrived).Milliseconds(), "retry_after_ms", problem.RetryAfter.Milliseconds())
	s.metrics.count(c, problem.Status)
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
