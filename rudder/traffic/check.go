package traffic

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Hosts is what a check has to know of the hosts that apply a configuration.
type Hosts struct {
	MemoryBytes int64 // of the smallest host; 0 means unknown
}

// Check returns what is wrong with a configuration, in the order of its entries. BuildIndex must have been called: entries that
// RouteFor and OrganisationFor can never return are those that it left out of the indexes. The time is linear in the number of
// entries. A node applies a configuration with findings all the same, since a part of it that is right must come into force.
func (c *Config) Check(hosts Hosts) []Finding { return c.check(hosts).findings }

func (c *Config) check(hosts Hosts) *checker {
	k := &checker{config: c, isTarget: map[string]bool{}, names: map[Object]bool{}}
	k.findings = append(k.findings, c.Replaced...)
	if c.Version < 1 {
		k.add(Invalid, Object{Kind: KindConfig}, FieldVersion, c.Version, "1 or more")
	}
	k.checkLimits(hosts)
	for _, r := range c.Routes {
		k.checkRoute(r)
	}
	for _, s := range c.sortedServices() {
		k.checkService(s)
	}
	for _, o := range c.Organisations {
		k.checkOrganisation(o)
	}
	return k
}

// checker collects the findings of one configuration.
type checker struct {
	config   *Config
	findings []Finding
	isTarget map[string]bool // names of the services that a route sends requests to
	names    map[Object]bool // entries checked so far
	steps    int             // comparisons of an entry with a rule or with another entry
}

func (k *checker) add(class Class, o Object, field Field, value any, allowed string) {
	k.findings = append(k.findings, Finding{Class: class, Object: o, Field: field, Value: text(value), Allowed: allowed})
}

// require adds a finding unless isMet is true.
func (k *checker) require(isMet bool, class Class, o Object, field Field, value any, allowed string) {
	if k.steps++; !isMet {
		k.add(class, o, field, value, allowed)
	}
}

// checkName requires that an entry has a name, which no other entry of its kind has.
func (k *checker) checkName(o Object) {
	k.require(o.Name != "", Invalid, o, FieldName, o.Name, "a name")
	k.require(!k.names[o], Invalid, o, FieldName, o.Name, "a name that no other entry of its kind has")
	k.names[o] = true
}

const zeroOrMore = "0 or more"

func (k *checker) checkLimits(hosts Hosts) {
	o, l := Object{Kind: KindLimits}, k.config.Limits
	k.require(l.MaxBodyBytes >= 0, Invalid, o, FieldMaxBody, l.MaxBodyBytes, zeroOrMore)
	k.require(l.MaxHeaderBytes >= 0, Invalid, o, FieldMaxHeader, l.MaxHeaderBytes, zeroOrMore)
	k.require(l.HeaderTimeout >= 0, Invalid, o, FieldHeaderTimeout, l.HeaderTimeout, zeroOrMore)
	k.require(l.IdleTimeout >= 0, Invalid, o, FieldIdleTimeout, l.IdleTimeout, zeroOrMore)
	if hosts.MemoryBytes > 0 {
		allowed := "less than the memory of a host, " + strconv.FormatInt(hosts.MemoryBytes, 10) + " bytes"
		k.require(l.MaxBodyBytes < hosts.MemoryBytes, Contradiction, o, FieldMaxBody, l.MaxBodyBytes, allowed)
		k.require(int64(l.MaxHeaderBytes) < hosts.MemoryBytes, Contradiction, o, FieldMaxHeader, l.MaxHeaderBytes, allowed)
	}
}

func (k *checker) checkRoute(r *Route) {
	o := Object{KindRoute, r.Name}
	k.checkName(o)
	k.require(r.Host != "", Invalid, o, FieldHost, r.Host, "a host name")
	k.require(HostName(r.Host) == r.Host, NoEffect, o, FieldHost, r.Host, "a host name without a port, as requests are compared")
	k.require(strings.HasPrefix(r.PathPrefix, "/"), NoEffect, o, FieldPathPrefix, r.PathPrefix, "the beginning of a path, with its slash")
	if other := k.config.hiddenBy[r]; other != nil {
		k.add(NoEffect, o, FieldPathPrefix, r.PathPrefix, "a host and path that no earlier route has; route "+strconv.Quote(other.Name)+" has them")
	}
	k.require(r.Timeout >= 0, Invalid, o, FieldTimeout, r.Timeout, zeroOrMore)
	k.require(r.LatencyObjective >= 0, Invalid, o, FieldLatencyObjective, r.LatencyObjective, zeroOrMore)
	k.require(r.MaxEventGap >= 0, Invalid, o, FieldMaxEventGap, r.MaxEventGap, zeroOrMore)
	k.require(r.Attempts >= 0, Invalid, o, FieldAttempts, r.Attempts, zeroOrMore)
	k.require(r.Priority >= 0, Invalid, o, FieldPriority, r.Priority, zeroOrMore)
	k.require(r.Timeout <= 0 || r.LatencyObjective <= r.Timeout, Contradiction, o, FieldLatencyObjective, r.LatencyObjective, "at most {timeout}, "+text(r.Timeout))
	k.require(r.Timeout <= 0 || r.MaxEventGap <= r.Timeout, Contradiction, o, FieldMaxEventGap, r.MaxEventGap, "at most {timeout}, "+text(r.Timeout))
	k.require(r.MaxAttempts() == 1 || r.IsRepeatable(), Contradiction, o, FieldAttempts, r.Attempts, "1, since its requests may not be repeated")
	k.require(r.Kind == Streaming || !r.Resumable, NoEffect, o, FieldResumable, r.Resumable, "only for event streams")
	k.require(r.Kind == Streaming || r.MaxEventGap <= 0, NoEffect, o, FieldMaxEventGap, r.MaxEventGap, "only for event streams")
	k.checkTargets(o, r)
}

// checkTargets requires targets that exist and of which at least one gets requests.
func (k *checker) checkTargets(o Object, r *Route) {
	k.require(len(r.Targets) > 0, Invalid, o, FieldTargets, "", "at least one service")
	total := 0.0
	for _, t := range r.Targets {
		k.isTarget[t.Service] = true
		k.require(k.config.Services[t.Service] != nil, Invalid, o, FieldTargets, t.Service, "a service of the configuration")
		k.require(t.Weight >= 0 && !math.IsInf(t.Weight, 0), Invalid, o, FieldTargetWeight, t.Weight, zeroOrMore)
		k.require(t.Weight != 0, NoEffect, o, FieldTargetWeight, t.Weight, "above 0 for service "+strconv.Quote(t.Service)+" to get requests")
		total += max(t.Weight, 0)
	}
	k.require(len(r.Targets) == 0 || total > 0, Invalid, o, FieldTargetWeight, total, "a sum above 0")
}

func (k *checker) checkService(s *Service) {
	o := Object{KindService, s.Name}
	k.checkName(o)
	k.require(k.isTarget[s.Name], NoEffect, o, FieldName, s.Name, "a service that a route names")
	k.require(s.MaxConnections >= 0, Invalid, o, FieldMaxConnections, s.MaxConnections, zeroOrMore)
	if s.Engine != nil {
		k.require(s.Engine.Slots >= 0, Invalid, o, FieldSlots, s.Engine.Slots, zeroOrMore)
		k.require(s.MaxConnections <= 0 || s.Engine.Slots <= s.MaxConnections, Contradiction, o, FieldSlots, s.Engine.Slots,
			"at most {connections}, "+text(s.MaxConnections)+", since each connection carries one request")
	}
	if s.Scaling == nil {
		return
	}
	k.require(s.Scaling.Min >= 0, Invalid, o, FieldMinRunners, s.Scaling.Min, zeroOrMore)
	k.require(s.Scaling.Min <= s.Scaling.Max, Contradiction, o, FieldMinRunners, s.Scaling.Min, "at most {most runners}, "+text(s.Scaling.Max))
	k.require(s.Scaling.StartupTime >= 0, Invalid, o, FieldStartupTime, s.Scaling.StartupTime, zeroOrMore)
	k.require(s.Scaling.SpotPriceRatio >= 0, Invalid, o, FieldSpotPrice, s.Scaling.SpotPriceRatio, zeroOrMore)
	for _, domain := range sortedKeys(s.Scaling.FailureDomainPrices) {
		k.require(s.Scaling.FailureDomainPrices[domain] >= 0, Invalid, o, FieldPrices, s.Scaling.FailureDomainPrices[domain], zeroOrMore+" for "+strconv.Quote(domain))
	}
}

func (k *checker) checkOrganisation(org *Organisation) {
	o := Object{KindOrganisation, org.Name}
	k.checkName(o)
	k.require(len(org.APIKeys) > 0, NoEffect, o, FieldAPIKeys, "", "at least one key, since requests are recognised by it")
	own := make(map[string]bool, len(org.APIKeys))
	for _, key := range org.APIKeys {
		k.require(key != "", Invalid, o, FieldAPIKeys, key, "a key")
		k.require(!own[key], NoEffect, o, FieldAPIKeys, Fingerprint(key), "each key once")
		own[key] = true
		if other := k.config.byAPIKey[key]; other != nil && other != org {
			k.add(NoEffect, o, FieldAPIKeys, Fingerprint(key), "a key that no later organisation has; "+strconv.Quote(other.Name)+" has it")
		}
	}
	k.require(org.Priority == nil || *org.Priority >= 0, Invalid, o, FieldPriority, optional(org.Priority), zeroOrMore)
	k.require(org.RatePerSecond >= 0, Invalid, o, FieldRate, org.RatePerSecond, zeroOrMore)
	k.require(org.Burst >= 0, Invalid, o, FieldBurst, org.Burst, zeroOrMore)
	k.require(org.DefaultTokens >= 0, Invalid, o, FieldDefaultTokens, org.DefaultTokens, zeroOrMore)
	if org.RatePerSecond <= 0 {
		return
	}
	request, allowed := 1.0, "1 or more, the size of a request"
	if org.CountsTokens && org.DefaultTokens > 1 {
		request, allowed = org.DefaultTokens, "at least {default tokens}, "+text(org.DefaultTokens)+", the size of a request without a count"
	}
	k.require(org.Burst >= request, Contradiction, o, FieldBurst, org.Burst, allowed)
}

// CheckSuccession returns findings if nodes that have a configuration in force do not apply next, although it differs, and if next lets
// in everybody or nobody where it was otherwise.
func CheckSuccession(current, next *Config, differences []Difference) []Finding {
	var findings []Finding
	if !next.Supersedes(current) && len(differences) > 0 {
		findings = append(findings, Finding{Class: NoEffect, Object: Object{Kind: KindConfig}, Field: FieldVersion, Value: text(next.Version),
			Allowed: "above " + text(current.Version) + ", the version in force"})
	}
	return append(findings, checkAccess(current, next)...)
}

// checkAccess returns a finding for each change after which everybody or nobody may call.
func checkAccess(current, next *Config) []Finding {
	var findings []Finding
	add := func(o Object, field Field, value, allowed string) {
		findings = append(findings, Finding{Class: Access, Object: o, Field: field, Value: value, Allowed: allowed})
	}
	switch {
	case current.RequiresAPIKeys() && !next.RequiresAPIKeys():
		add(Object{Kind: KindConfig}, FieldCallers, next.Callers.String(), current.Callers.String()+", as in force, unless no request shall need a key any more")
	case next.RequiresAPIKeys() && len(next.byAPIKey) == 0 && (len(current.byAPIKey) > 0 || !current.RequiresAPIKeys()):
		add(Object{Kind: KindConfig}, FieldCallers, "no organisation has a key", "at least one key, as in force, unless only public routes shall be served")
	}
	wasPublic := make(map[string]bool, len(current.Routes))
	for _, r := range current.Routes {
		wasPublic[r.Name] = r.Public
	}
	for _, r := range next.Routes {
		if was, isKnown := wasPublic[r.Name]; isKnown && !was && r.Public && current.RequiresAPIKeys() && next.RequiresAPIKeys() {
			add(Object{KindRoute, r.Name}, FieldPublic, text(r.Public), text(was)+", as in force, unless requests shall need no key any more")
		}
	}
	return findings
}

// sortedServices returns the services by name.
func (c *Config) sortedServices() []*Service {
	services := make([]*Service, 0, len(c.Services))
	for _, s := range c.Services {
		services = append(services, s)
	}
	slices.SortFunc(services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// optional returns the value of a pointer, or an empty text for nil.
func optional(p *int) any {
	if p == nil {
		return ""
	}
	return *p
}
