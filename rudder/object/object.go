// Package object defines the kinds that operators write: Deployment, ModelVersion, Organisation and Route. The operator
// client decodes and validates them, the revision loop accepts them, and the request path reads them.
package object

// Kind names a kind of object.
type Kind string

// The kinds.
const (
	KindDeployment   Kind = "Deployment"
	KindModelVersion Kind = "ModelVersion"
	KindOrganisation Kind = "Organisation"
	KindRoute        Kind = "Route"
)

// Kinds lists all kinds in the order in which references point: later ones refer to earlier ones.
var Kinds = []Kind{KindOrganisation, KindModelVersion, KindDeployment, KindRoute}

// Object is one object as an operator writes it. Exactly the spec that belongs to Kind is set.
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

// Backend says what kind of backend server a deployment has.
type Backend string

// The kinds of backend server.
const (
	BackendModel   Backend = "model"
	BackendService Backend = "service"
)

// Fencing says whether the backend servers of a deployment check fencing tokens.
type Fencing string

// Whether an order with an old fencing token is refused.
const (
	FencingEnforced Fencing = "enforced"
	FencingIgnored  Fencing = "ignored"
)

// DeploymentSpec describes a group of like backend servers.
type DeploymentSpec struct {
	Backend        Backend       `json:"backend"`
	ModelVersion   string        `json:"modelVersion,omitempty"` // for model backends
	FailureDomains []string      `json:"failureDomains"`
	HostClasses    []string      `json:"hostClasses"`
	MinRunners     int           `json:"minRunners"`
	MaxRunners     int           `json:"maxRunners"`
	Fencing        Fencing       `json:"fencing"`
	Target         LatencyTarget `json:"target"`
	Preference     Preference    `json:"preference"`
}

// LatencyTarget is the latency target for 95 in 100 answers.
type LatencyTarget struct {
	FirstTokenMilliseconds    int `json:"firstTokenMilliseconds"`
	BetweenTokensMilliseconds int `json:"betweenTokensMilliseconds"`
}

// Preference weighs the two measures against each other; both are at least 0 and the sum is 1.
type Preference struct {
	Cost             float64 `json:"cost"`
	RecomputedTokens float64 `json:"recomputedTokens"`
}

// ModelVersionSpec describes one version of a model.
type ModelVersionSpec struct {
	Model         string   `json:"model"`
	Version       string   `json:"version"`
	Weights       string   `json:"weights"` // key in the weight store
	WeightsBytes  int64    `json:"weightsBytes"`
	ContextTokens int      `json:"contextTokens"`
	Slots         int      `json:"slots"` // concurrent runs on one model runner
	Adapters      []string `json:"adapters,omitempty"`
}

// OrganisationSpec describes a customer organisation.
type OrganisationSpec struct {
	TokenSHA256   []string `json:"tokenSHA256"`   // hex; the bearer tokens themselves are not stored
	Share         int      `json:"share"`         // weight in the fair queue
	MaxInProgress int      `json:"maxInProgress"` // requests on the whole system at one time
}

// RouteSpec sends requests for a model or service name to a deployment.
type RouteSpec struct {
	Organisations []string `json:"organisations,omitempty"` // empty: all
	Model         string   `json:"model,omitempty"`         // name that callers use for a model
	Service       string   `json:"service,omitempty"`       // name that callers use for a plain service
	Deployment    string   `json:"deployment"`
	// NonIdempotent lists "METHOD /path" of service calls that may take effect at most once; a path may end in "*".
	NonIdempotent []string `json:"nonIdempotent,omitempty"`
	// LongTokens is the answer length from which a request belongs to the long class.
	LongTokens int `json:"longTokens,omitempty"`
	// QueueMilliseconds bounds the wait for a slot; 0 takes the deployment's first-token target.
	QueueMilliseconds int `json:"queueMilliseconds,omitempty"`
}
