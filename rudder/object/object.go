// Package object defines the configuration objects that operators write: Deployment, ModelVersion, Organisation and Route.
// The operator client decodes and validates them, the revision loop accepts them, and the request path reads them.
package object

// Kind is the kind of an object.
type Kind string

const (
	KindDeployment   Kind = "Deployment"
	KindModelVersion Kind = "ModelVersion"
	KindOrganisation Kind = "Organisation"
	KindRoute        Kind = "Route"
)

// Kinds lists all kinds in dependency order: a kind refers only to kinds before it.
var Kinds = []Kind{KindOrganisation, KindModelVersion, KindDeployment, KindRoute}

// Object is one object as an operator writes it. In a valid object, exactly the spec of its Kind is set.
type Object struct {
	Kind         Kind              `json:"kind"`
	Name         string            `json:"name"`
	Deployment   *DeploymentSpec   `json:"deployment,omitempty"`
	ModelVersion *ModelVersionSpec `json:"modelVersion,omitempty"`
	Organisation *OrganisationSpec `json:"organisation,omitempty"`
	Route        *RouteSpec        `json:"route,omitempty"`
}

// SpecKey returns the key of the object's spec in the object API.
func (o Object) SpecKey() string { return SpecPrefix + string(o.Kind) + "/" + o.Name }

// StatusKey returns the key of the object's status in the object API.
func (o Object) StatusKey() string { return StatusPrefix + string(o.Kind) + "/" + o.Name }

// Key prefixes in the object API.
const (
	SpecPrefix   = "spec/"
	StatusPrefix = "status/"
)

// Backend is the kind of the backend servers of a deployment: model runners or service runners.
type Backend string

const (
	BackendModel   Backend = "model"
	BackendService Backend = "service"
)

// Fencing tells whether the backend servers of a deployment check fencing tokens.
type Fencing string

const (
	FencingEnforced Fencing = "enforced" // an order with an outdated fencing token is rejected
	FencingIgnored  Fencing = "ignored"  // fencing tokens are not checked
)

// DeploymentSpec describes a group of interchangeable backend servers.
type DeploymentSpec struct {
	Backend        Backend       `json:"backend"`
	ModelVersion   string        `json:"modelVersion,omitempty"` // name of a ModelVersion object; only for BackendModel
	FailureDomains []string      `json:"failureDomains"`
	HostClasses    []string      `json:"hostClasses"`
	MinRunners     int           `json:"minRunners"`
	MaxRunners     int           `json:"maxRunners"`
	Fencing        Fencing       `json:"fencing"`
	Target         LatencyTarget `json:"target"`
	Preference     Preference    `json:"preference"`
}

// LatencyTarget is the latency that 95 % of the responses must not exceed.
type LatencyTarget struct {
	FirstTokenMilliseconds    int `json:"firstTokenMilliseconds"`
	BetweenTokensMilliseconds int `json:"betweenTokensMilliseconds"`
}

// Preference holds the relative weights of two measures to minimise. Both are at least 0 and their sum is 1.
type Preference struct {
	Cost             float64 `json:"cost"`
	RecomputedTokens float64 `json:"recomputedTokens"`
}

// ModelVersionSpec describes one version of a model.
type ModelVersionSpec struct {
	Model         string   `json:"model"`
	Version       string   `json:"version"`
	Weights       string   `json:"weights"`      // key in the weight store
	WeightsBytes  int64    `json:"weightsBytes"` // size of the weights
	ContextTokens int      `json:"contextTokens"`
	Slots         int      `json:"slots"` // concurrent runs on one model runner
	Adapters      []string `json:"adapters,omitempty"`
}

// OrganisationSpec describes a customer organisation.
type OrganisationSpec struct {
	TokenSHA256   []string `json:"tokenSHA256"`   // SHA-256 of the bearer tokens in hex; the tokens are not stored
	Share         int      `json:"share"`         // weight in the fair queue
	MaxInProgress int      `json:"maxInProgress"` // limit of concurrent requests in the whole system
}

// RouteSpec routes requests for a model or service name to a deployment. Exactly one of Model and Service is set.
type RouteSpec struct {
	Organisations []string `json:"organisations,omitempty"` // organisations that the route applies to; empty: all
	Model         string   `json:"model,omitempty"`         // model name in requests
	Service       string   `json:"service,omitempty"`       // service name in requests
	Deployment    string   `json:"deployment"`
	// NonIdempotent lists the service calls that may take effect at most once, as "METHOD /path"; a path may end in the
	// wildcard "*".
	NonIdempotent []string `json:"nonIdempotent,omitempty"`
	// LongTokens is the response length, in tokens, from which a request belongs to the class of long requests.
	LongTokens int `json:"longTokens,omitempty"`
	// QueueMilliseconds limits the wait for a slot; 0 means the deployment's first-token latency target.
	QueueMilliseconds int `json:"queueMilliseconds,omitempty"`
}
