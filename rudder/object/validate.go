package object

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// Upper limits of numeric fields. They are well above the design size in section 1.3 of the design page and only detect
// errors such as a value in the wrong unit.
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
	// labelRule applies to names that are defined outside the system and not used in keys, such as those of models.
	labelRule = "1 to 127 of A-Z, a-z, 0-9, '-', '_', '.', ':' and '/', first a letter or digit"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	labelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,126}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	callPattern   = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) /[^\s*?#]*\*?$`)
)

// ID returns the ID of the object, in the form Kind/name.
func (o Object) ID() string { return string(o.Kind) + "/" + o.Name }

// Validate checks the values of one object and returns all problems. It does not check references.
func (o Object) Validate() Problems {
	c := checker{object: o.ID()}
	if !slices.Contains(Kinds, o.Kind) {
		c.addProblem("kind", string(o.Kind), "Organisation, ModelVersion, Deployment, Route")
	}
	c.checkName("name", o.Name)
	c.checkSpec(o)
	return c.problems
}

// checker collects the problems of one object.
type checker struct {
	object   string
	problems Problems
}

func (c *checker) addProblem(field string, value any, allowed string) {
	c.problems = append(c.problems, Problem{Object: c.object, Field: field, Value: formatValue(value), Allowed: allowed})
}

func (c *checker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.addProblem(field, value, nameRule)
	}
}

func (c *checker) checkLabel(field, value string) {
	if !labelPattern.MatchString(value) {
		c.addProblem(field, value, labelRule)
	}
}

func (c *checker) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		c.addProblem(field, value, fmt.Sprintf("%d to %d", low, high))
	}
}

// checkNames checks a list of names, which must not contain duplicates.
func (c *checker) checkNames(field string, values []string) {
	for i, v := range values {
		path := fmt.Sprintf("%s[%d]", field, i)
		c.checkName(path, v)
		if slices.Contains(values[:i], v) {
			c.addProblem(path, v, "each name once")
		}
	}
}

// checkSpec checks that exactly the spec of the kind is set, and checks its values.
func (c *checker) checkSpec(o Object) {
	isSet := map[Kind]bool{
		KindDeployment: o.Deployment != nil, KindModelVersion: o.ModelVersion != nil,
		KindOrganisation: o.Organisation != nil, KindRoute: o.Route != nil,
	}
	for _, kind := range Kinds {
		field := strings.ToLower(string(kind[:1])) + string(kind[1:])
		switch {
		case kind == o.Kind && !isSet[kind]:
			c.addProblem(field, "absent", "the spec of the kind "+string(o.Kind))
		case kind != o.Kind && isSet[kind]:
			c.addProblem(field, "present", "only the spec of the kind "+string(o.Kind))
		}
	}
	switch {
	case o.Kind == KindDeployment && o.Deployment != nil:
		c.checkDeployment(*o.Deployment)
	case o.Kind == KindModelVersion && o.ModelVersion != nil:
		c.checkModelVersion(*o.ModelVersion)
	case o.Kind == KindOrganisation && o.Organisation != nil:
		c.checkOrganisation(*o.Organisation)
	case o.Kind == KindRoute && o.Route != nil:
		c.checkRoute(*o.Route)
	}
}

func (c *checker) checkDeployment(d DeploymentSpec) {
	switch d.Backend {
	case BackendModel:
		c.checkName("deployment.modelVersion", d.ModelVersion)
	case BackendService:
		if d.ModelVersion != "" {
			c.addProblem("deployment.modelVersion", d.ModelVersion, "empty for backend service")
		}
	default:
		c.addProblem("deployment.backend", string(d.Backend), "model, service")
	}
	if len(d.FailureDomains) == 0 {
		c.addProblem("deployment.failureDomains", "empty", "at least one name")
	}
	c.checkNames("deployment.failureDomains", d.FailureDomains)
	if len(d.HostClasses) == 0 {
		c.addProblem("deployment.hostClasses", "empty", "at least one name")
	}
	c.checkNames("deployment.hostClasses", d.HostClasses)
	c.checkRange("deployment.minRunners", int64(d.MinRunners), 0, maxRunnersLimit)
	c.checkRange("deployment.maxRunners", int64(d.MaxRunners), 1, maxRunnersLimit)
	if d.MinRunners > d.MaxRunners {
		c.addProblem("deployment.minRunners", d.MinRunners, fmt.Sprintf("at most maxRunners (%d)", d.MaxRunners))
	}
	if d.Fencing != FencingEnforced && d.Fencing != FencingIgnored {
		c.addProblem("deployment.fencing", string(d.Fencing), "enforced, ignored")
	}
	c.checkRange("deployment.target.firstTokenMilliseconds", int64(d.Target.FirstTokenMilliseconds), 1, maxMilliseconds)
	c.checkRange("deployment.target.betweenTokensMilliseconds", int64(d.Target.BetweenTokensMilliseconds), 1, maxMilliseconds)
	c.checkPreference(d.Preference)
}

func (c *checker) checkPreference(p Preference) {
	for _, weight := range []struct {
		field string
		value float64
	}{{"cost", p.Cost}, {"recomputedTokens", p.RecomputedTokens}} {
		if !(weight.value >= 0 && weight.value <= 1) {
			c.addProblem("deployment.preference."+weight.field, weight.value, "0 to 1")
		}
	}
	if sum := p.Cost + p.RecomputedTokens; !(math.Abs(sum-1) <= preferenceSumEpsilon) {
		c.addProblem("deployment.preference",
			fmt.Sprintf("cost %v + recomputedTokens %v", p.Cost, p.RecomputedTokens), "a sum of 1")
	}
}

func (c *checker) checkModelVersion(m ModelVersionSpec) {
	c.checkLabel("modelVersion.model", m.Model)
	c.checkLabel("modelVersion.version", m.Version)
	if m.Weights == "" || strings.ContainsAny(m.Weights, " \t\r\n?#") {
		c.addProblem("modelVersion.weights", m.Weights, "a key of the weight store without spaces, '?' and '#'")
	}
	c.checkRange("modelVersion.weightsBytes", m.WeightsBytes, 1, maxWeightsBytes)
	c.checkRange("modelVersion.contextTokens", int64(m.ContextTokens), 1, maxContextTokens)
	c.checkRange("modelVersion.slots", int64(m.Slots), 1, maxSlots)
	c.checkNames("modelVersion.adapters", m.Adapters)
}

func (c *checker) checkOrganisation(o OrganisationSpec) {
	if len(o.TokenSHA256) == 0 {
		c.addProblem("organisation.tokenSHA256", "empty", "at least one hash")
	}
	for i, hash := range o.TokenSHA256 {
		field := fmt.Sprintf("organisation.tokenSHA256[%d]", i)
		if !sha256Pattern.MatchString(hash) {
			c.addProblem(field, hash, "64 lower-case hexadecimal digits (SHA-256 of the bearer token)")
		}
		if slices.Contains(o.TokenSHA256[:i], hash) {
			c.addProblem(field, hash, "each hash once")
		}
	}
	c.checkRange("organisation.share", int64(o.Share), 1, maxShare)
	c.checkRange("organisation.maxInProgress", int64(o.MaxInProgress), 1, maxInProgressLimit)
}

func (c *checker) checkRoute(r RouteSpec) {
	c.checkNames("route.organisations", r.Organisations)
	switch {
	case r.Model == "" && r.Service == "":
		c.addProblem("route.model", r.Model, "a name here or in route.service")
	case r.Model != "" && r.Service != "":
		c.addProblem("route.service", r.Service, "empty where route.model is set")
	case r.Model != "":
		c.checkLabel("route.model", r.Model)
	default:
		c.checkName("route.service", r.Service)
	}
	c.checkName("route.deployment", r.Deployment)
	for i, call := range r.NonIdempotent {
		field := fmt.Sprintf("route.nonIdempotent[%d]", i)
		if !callPattern.MatchString(call) {
			c.addProblem(field, call, `"METHOD /path", optionally with "*" at the end`)
		}
		if slices.Contains(r.NonIdempotent[:i], call) {
			c.addProblem(field, call, "each call once")
		}
	}
	if len(r.NonIdempotent) > 0 && r.Service == "" {
		c.addProblem("route.nonIdempotent", strings.Join(r.NonIdempotent, ", "), "empty where route.service is not set")
	}
	c.checkRange("route.longTokens", int64(r.LongTokens), 0, maxContextTokens)
	c.checkRange("route.queueMilliseconds", int64(r.QueueMilliseconds), 0, maxMilliseconds)
}
