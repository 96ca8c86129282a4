// Package traffic holds the configuration of relayed HTTP traffic: routes, services, organisations and limits, as an
// outside writer publishes them. The relay looks requests up in it; adapters build it.
package traffic

import (
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be repeated and how a response is passed on.
type RouteKind int

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by an event stream and run at most once unless the route is resumable.
	Streaming
)

// String returns the kind as log lines name it.
func (k RouteKind) String() string {
	return [...]string{"idempotent", "non-idempotent", "streaming"}[k]
}

// Route sends requests of a host and a path prefix to services.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string
	Kind             RouteKind
	Timeout          time.Duration // longest time without a final answer; 0 means none
	LatencyObjective time.Duration // latency objective; of a stream, to the first event
	MaxEventGap      time.Duration // longest pause between events of a stream that is still on time
	Attempts         int           // backend servers that may run one request
	Priority         int           // 0 is the most urgent
	Public           bool          // served without an API key
	Resumable        bool          // a stream may go on at another backend server
	Targets          []Target
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// IsRepeatable reports whether a request may run again after it may have run.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// MaxAttempts returns the number of backend servers that may run a request, 1 at least.
func (r *Route) MaxAttempts() int { return max(1, r.Attempts) }

// Service is a group of backend servers that run the same program.
type Service struct {
	Name           string
	MaxConnections int      // that a backend server accepts from all callers together; 0 means unknown
	Engine         *Engine  // nil for a plain service
	Scaling        *Scaling // nil if its capacity is not ordered by this system
}

// Engine describes the model runners of a service.
type Engine struct {
	Slots int // requests that a runner processes at once
}

// Scaling bounds the capacity orders of a service.
type Scaling struct {
	Min, Max            int                // runners of both kinds in each failure domain
	StartupTime         time.Duration      // from an order to a serving runner
	SpotPriceRatio      float64            // price of a reclaimable runner as a share of the other kind's
	FailureDomainPrices map[string]float64 // price of a runner for each second, by failure domain
}

// Organisation is a customer with its keys and its limit over all nodes together.
type Organisation struct {
	Name          string
	APIKeys       []string
	Priority      *int    // goes before the route's priority if set
	CountsTokens  bool    // the limit counts tokens rather than requests
	DefaultTokens float64 // what a request without a token count weighs
	RatePerSecond float64 // 0 means no limit
	Burst         float64
}

// Limits bound what a caller may send and how long it may take. Values of 0 are not set.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	HeaderTimeout  time.Duration // for the header of a request
	IdleTimeout    time.Duration // for a connection without a request
}

// Config is one version of the configuration. It is immutable once Index has been called.
type Config struct {
	Version       int64
	Routes        []*Route
	Services      map[string]*Service
	Organisations []*Organisation
	Limits        Limits

	byHost   map[string][]*Route // the longest prefix first
	byAPIKey map[string]*Organisation
}

// BuildIndex prepares the look-ups.
func (c *Config) BuildIndex() {
	c.byHost = map[string][]*Route{}
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.byAPIKey = map[string]*Organisation{}
	for _, o := range c.Organisations {
		for _, key := range o.APIKeys {
			c.byAPIKey[key] = o
		}
	}
}

// RouteFor returns the route with the longest prefix of the path, nil if there is none.
func (c *Config) RouteFor(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// OrganisationFor returns the holder of an API key, nil if no organisation holds it.
func (c *Config) OrganisationFor(key string) *Organisation { return c.byAPIKey[key] }

// RequiresAPIKeys reports whether requests to routes that are not public need a key.
func (c *Config) RequiresAPIKeys() bool { return len(c.Organisations) > 0 }

// ServiceFor picks the service of a request from the route's weighted targets. The same point in [0, 1) picks the same
// service.
func (r *Route) ServiceFor(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := point * total
	for _, t := range r.Targets {
		remaining -= t.Weight
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
