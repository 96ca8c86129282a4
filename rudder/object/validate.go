package object

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// Ranges of numbers. The upper bounds are well above the design size of section 1.3 of the design page and only keep
// out slips such as a value in the wrong unit.
const (
	maxRunnersLimit      = 100_000
	maxMilliseconds      = 10 * 60 * 1000
	maxWeightsBytes      = 1 << 46
	maxContextTokens     = 100_000_000
	maxSlots             = 100_000
	maxShare             = 1_000_000
	maxInProgressLimit   = 10_000_000
	preferenceSumEpsilon = 1e-6
)

const (
	nameRule = "1 to 63 of a-z, 0-9, '-' and '.', first and last a letter or digit"
	// labelRule holds for names that are given from outside and are no keys, such as those of models.
	labelRule = "1 to 127 of A-Z, a-z, 0-9, '-', '_', '.', ':' and '/', first a letter or digit"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	labelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,126}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	callPattern   = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) /[^\s*?#]*\*?$`)
)

// ID returns Kind/name.
func (o Object) ID() string { return string(o.Kind) + "/" + o.Name }

// Validate checks the values of one object and returns all mistakes. References are not checked.
func (o Object) Validate() Problems {
	c := checker{object: o.ID()}
	if !slices.Contains(Kinds, o.Kind) {
		c.add("kind", string(o.Kind), "Organisation, ModelVersion, Deployment, Route")
	}
	c.name("name", o.Name)
	c.specs(o)
	return c.problems
}

// checker collects the mistakes of one object.
type checker struct {
	object   string
	problems Problems
}

func (c *checker) add(field string, value any, allowed string) {
	c.problems = append(c.problems, Problem{Object: c.object, Field: field, Value: show(value), Allowed: allowed})
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.add(field, value, nameRule)
	}
}

func (c *checker) label(field, value string) {
	if !labelPattern.MatchString(value) {
		c.add(field, value, labelRule)
	}
}

func (c *checker) between(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, value, fmt.Sprintf("%d to %d", low, high))
	}
}

// names checks a list of names without repetitions.
func (c *checker) names(field string, values []string) {
	for i, v := range values {
		path := fmt.Sprintf("%s[%d]", field, i)
		c.name(path, v)
		if slices.Contains(values[:i], v) {
			c.add(path, v, "each name once")
		}
	}
}

// specs checks that exactly the spec of the kind is set, and its values.
func (c *checker) specs(o Object) {
	set := map[Kind]bool{
		KindDeployment: o.Deployment != nil, KindModelVersion: o.ModelVersion != nil,
		KindOrganisation: o.Organisation != nil, KindRoute: o.Route != nil,
	}
	for _, kind := range Kinds {
		field := strings.ToLower(string(kind[:1])) + string(kind[1:])
		switch {
		case kind == o.Kind && !set[kind]:
			c.add(field, "absent", "the spec of the kind "+string(o.Kind))
		case kind != o.Kind && set[kind]:
			c.add(field, "present", "only the spec of the kind "+string(o.Kind))
		}
	}
	switch {
	case o.Kind == KindDeployment && o.Deployment != nil:
		c.deployment(*o.Deployment)
	case o.Kind == KindModelVersion && o.ModelVersion != nil:
		c.modelVersion(*o.ModelVersion)
	case o.Kind == KindOrganisation && o.Organisation != nil:
		c.organisation(*o.Organisation)
	case o.Kind == KindRoute && o.Route != nil:
		c.route(*o.Route)
	}
}

func (c *checker) deployment(d DeploymentSpec) {
	switch d.Backend {
	case BackendModel:
		c.name("deployment.modelVersion", d.ModelVersion)
	case BackendService:
		if d.ModelVersion != "" {
			c.add("deployment.modelVersion", d.ModelVersion, "empty for backend service")
		}
	default:
		c.add("deployment.backend", string(d.Backend), "model, service")
	}
	if len(d.FailureDomains) == 0 {
		c.add("deployment.failureDomains", "empty", "at least one name")
	}
	c.names("deployment.failureDomains", d.FailureDomains)
	if len(d.HostClasses) == 0 {
		c.add("deployment.hostClasses", "empty", "at least one name")
	}
	c.names("deployment.hostClasses", d.HostClasses)
	c.between("deployment.minRunners", int64(d.MinRunners), 0, maxRunnersLimit)
	c.between("deployment.maxRunners", int64(d.MaxRunners), 1, maxRunnersLimit)
	if d.MinRunners > d.MaxRunners {
		c.add("deployment.minRunners", d.MinRunners, fmt.Sprintf("at most maxRunners (%d)", d.MaxRunners))
	}
	if d.Fencing != FencingEnforced && d.Fencing != FencingIgnored {
		c.add("deployment.fencing", string(d.Fencing), "enforced, ignored")
	}
	c.between("deployment.target.firstTokenMilliseconds", int64(d.Target.FirstTokenMilliseconds), 1, maxMilliseconds)
	c.between("deployment.target.betweenTokensMilliseconds", int64(d.Target.BetweenTokensMilliseconds), 1, maxMilliseconds)
	c.preference(d.Preference)
}

func (c *checker) preference(p Preference) {
	for _, weight := range []struct {
		field string
		value float64
	}{{"cost", p.Cost}, {"recomputedTokens", p.RecomputedTokens}} {
		if !(weight.value >= 0 && weight.value <= 1) {
			c.add("deployment.preference."+weight.field, weight.value, "0 to 1")
		}
	}
	if sum := p.Cost + p.RecomputedTokens; !(math.Abs(sum-1) <= preferenceSumEpsilon) {
		c.add("deployment.preference", fmt.Sprintf("cost %v + recomputedTokens %v", p.Cost, p.RecomputedTokens), "a sum of 1")
	}
}

func (c *checker) modelVersion(m ModelVersionSpec) {
	c.label("modelVersion.model", m.Model)
	c.label("modelVersion.version", m.Version)
	if m.Weights == "" || strings.ContainsAny(m.Weights, " \t\r\n?#") {
		c.add("modelVersion.weights", m.Weights, "a key of the weight store without spaces, '?' and '#'")
	}
	c.between("modelVersion.weightsBytes", m.WeightsBytes, 1, maxWeightsBytes)
	c.between("modelVersion.contextTokens", int64(m.ContextTokens), 1, maxContextTokens)
	c.between("modelVersion.slots", int64(m.Slots), 1, maxSlots)
	c.names("modelVersion.adapters", m.Adapters)
}

func (c *checker) organisation(g OrganisationSpec) {
	if len(g.TokenSHA256) == 0 {
		c.add("organisation.tokenSHA256", "empty", "at least one hash")
	}
	for i, hash := range g.TokenSHA256 {
		field := fmt.Sprintf("organisation.tokenSHA256[%d]", i)
		if !sha256Pattern.MatchString(hash) {
			c.add(field, hash, "64 lower-case hexadecimal digits (SHA-256 of the bearer token)")
		}
		if slices.Contains(g.TokenSHA256[:i], hash) {
			c.add(field, hash, "each hash once")
		}
	}
	c.between("organisation.share", int64(g.Share), 1, maxShare)
	c.between("organisation.maxInProgress", int64(g.MaxInProgress), 1, maxInProgressLimit)
}

func (c *checker) route(r RouteSpec) {
	c.names("route.organisations", r.Organisations)
	switch {
	case r.Model == "" && r.Service == "":
		c.add("route.model", r.Model, "a name here or in route.service")
	case r.Model != "" && r.Service != "":
		c.add("route.service", r.Service, "empty where route.model is set")
	case r.Model != "":
		c.label("route.model", r.Model)
	default:
		c.name("route.service", r.Service)
	}
	c.name("route.deployment", r.Deployment)
	for i, call := range r.NonIdempotent {
		field := fmt.Sprintf("route.nonIdempotent[%d]", i)
		if !callPattern.MatchString(call) {
			c.add(field, call, `"METHOD /path", optionally with "*" at the end`)
		}
		if slices.Contains(r.NonIdempotent[:i], call) {
			c.add(field, call, "each call once")
		}
	}
	if len(r.NonIdempotent) > 0 && r.Service == "" {
		c.add("route.nonIdempotent", strings.Join(r.NonIdempotent, ", "), "empty where route.service is not set")
	}
	c.between("route.longTokens", int64(r.LongTokens), 0, maxContextTokens)
	c.between("route.queueMilliseconds", int64(r.QueueMilliseconds), 0, maxMilliseconds)
}
