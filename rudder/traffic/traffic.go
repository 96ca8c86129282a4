// Package traffic defines the configuration of relayed HTTP traffic: routes, services, organisations and limits. An external
// system publishes it, platform adapters decode it, and the relay uses it to look up routes and API keys.
package traffic

import (
	"net"
	"slices"
	"strings"
	"time"
)

// RouteKind determines whether the requests of a route may be repeated and whether their responses are event streams.
type RouteKind int

// The route kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by an event stream and run at most once unless the route is resumable.
	Streaming
)

// String returns the name of the kind for log lines.
func (k RouteKind) String() string {
	return [...]string{"idempotent", "non-idempotent", "streaming"}[k]
}

// Route maps requests with a host and a path prefix to services.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string
	Kind             RouteKind
	Timeout          time.Duration // longest time until the final response; 0 means no limit
	LatencyObjective time.Duration // for a stream, until the first event
	MaxEventGap      time.Duration // longest time between two events of a stream that meets its objective
	Attempts         int           // largest number of backend servers that may run one request
	Priority         int           // 0 is the most urgent
	Public           bool          // served without an API key
	Resumable        bool          // an interrupted stream may continue on another backend server
	Targets          []Target
}

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string
	Weight  float64
}

// IsRepeatable reports whether a request that may already have run may be run again.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// MaxAttempts returns the largest number of backend servers that may run a request, at least 1.
func (r *Route) MaxAttempts() int { return max(1, r.Attempts) }

// Service is a group of backend servers that run the same program.
type Service struct {
	Name           string
	MaxConnections int      // limit of each backend server for all its clients together; 0 means unknown
	Engine         *Engine  // nil if the service does not run a model
	Scaling        *Scaling // nil if this system does not order capacity for the service
}

// Engine describes the model runners of a service.
type Engine struct {
	Slots int // number of requests that a runner processes concurrently
}

// Scaling holds the limits, startup time and prices for ordering the capacity of a service.
type Scaling struct {
	Min, Max            int                // reclaimable and on-demand runners together, in each failure domain
	StartupTime         time.Duration      // from an order until the runner serves requests
	SpotPriceRatio      float64            // price of a reclaimable runner divided by that of an on-demand runner
	FailureDomainPrices map[string]float64 // price of a runner per second, by failure domain
}

// Organisation holds the API keys, the priority and the rate limit of an organisation. The limit is shared by all nodes.
type Organisation struct {
	Name          string
	APIKeys       []string
	Priority      *int    // overrides the priority of the route; nil means not set
	CountsTokens  bool    // the limit is in tokens instead of requests
	DefaultTokens float64 // tokens charged for a request without a token count
	RatePerSecond float64 // requests or tokens per second; 0 means no limit
	Burst         float64 // requests or tokens
}

// Limits bounds the size and the duration of what a caller sends. A value of 0 means not set.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	HeaderTimeout  time.Duration // for receiving the header of a request
	IdleTimeout    time.Duration // for a connection without a request in progress
}

// Callers tells who may call routes that are not public. The zero value lets in only those who hold a key, so that a configuration
// without organisations lets in nobody.
type Callers int

const (
	KeyHolders Callers = iota // holders of the API keys of organisations
	Everybody                 // all, without a key; the operator has chosen to have no organisations
)

func (c Callers) String() string {
	if c == Everybody {
		return "everybody"
	}
	return "holders of keys"
}

// Config is one version of the configuration. It must not be changed after BuildIndex has been called.
type Config struct {
	Version       int64
	Routes        []*Route
	Services      map[string]*Service
	Organisations []*Organisation
	Callers       Callers // of routes that are not public
	Limits        Limits
	// Replaced has the values that an adapter could not translate and has replaced or left out. They are findings of Check.
	Replaced []Finding

	byHost   map[string][]*Route // longest path prefix first
	hiddenBy map[*Route]*Route   // routes that are not in byHost, with those that get their requests
	byAPIKey map[string]*Organisation

	indexComparisons int // that BuildIndex has made
}

// BuildIndex builds the indexes for RouteFor and OrganisationFor; it must be called before them.
func (c *Config) BuildIndex() {
	c.byHost, c.hiddenBy = map[string][]*Route{}, map[*Route]*Route{}
	type match struct{ host, pathPrefix string }
	first := make(map[match]*Route, len(c.Routes))
	for _, r := range c.Routes {
		m := match{r.Host, r.PathPrefix}
		if first[m] != nil {
			c.hiddenBy[r] = first[m]
			continue
		}
		first[m] = r
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.indexComparisons = len(c.Routes)
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			c.indexComparisons++
			return len(b.PathPrefix) - len(a.PathPrefix)
		})
	}
	c.byAPIKey = map[string]*Organisation{}
	for _, o := range c.Organisations {
		for _, key := range o.APIKeys {
			c.byAPIKey[key] = o
		}
	}
}

// RouteFor returns the route of the host with the longest prefix that matches the path, nil if there is none.
func (c *Config) RouteFor(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// HostName returns the host of a Host header without its port, as routes have it.
func HostName(hostHeader string) string {
	if host, _, err := net.SplitHostPort(hostHeader); err == nil {
		return host
	}
	return hostHeader
}

// Supersedes reports whether a node that has the current configuration in force applies c. Current may be nil.
func (c *Config) Supersedes(current *Config) bool {
	return current == nil || c.Version > current.Version
}

// OrganisationFor returns the organisation with an API key, nil if the key is unknown.
func (c *Config) OrganisationFor(key string) *Organisation { return c.byAPIKey[key] }

// RequiresAPIKeys reports whether requests to routes that are not public need an API key.
func (c *Config) RequiresAPIKeys() bool { return c.Callers != Everybody }

// ServiceFor returns the name of the service for a request, with a probability proportional to its weight if point is
// uniformly distributed in [0, 1). The same point gives the same service. It returns "" if the route has no targets.
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
