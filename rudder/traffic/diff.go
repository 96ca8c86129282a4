package traffic

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Change says how an entry differs between two configurations.
type Change string

// The changes of an entry.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// FieldDifference is a field with its two values; one that is not set is empty.
type FieldDifference struct {
	Field    Field
	Old, New string
}

// Difference is an entry that differs between two configurations. Fields is empty if the entry was added or removed.
type Difference struct {
	Object Object
	Change Change
	Fields []FieldDifference
}

// Diff returns the entries that differ, in the order of the next configuration, with removed ones at the end. The version does
// not count. Entries with the same name are compared in their order.
func Diff(current, next *Config) []Difference {
	before, after := current.entries(), next.entries()
	byKey := make(map[entryKey]*entry, len(before))
	for i := range before {
		byKey[before[i].key] = &before[i]
	}
	var out []Difference
	seen := make(map[entryKey]bool, len(after))
	for _, e := range after {
		seen[e.key] = true
		old := byKey[e.key]
		if old == nil {
			out = append(out, Difference{Object: e.key.object, Change: Added})
			continue
		}
		if fields := diffValues(old.values, e.values); len(fields) > 0 {
			out = append(out, Difference{Object: e.key.object, Change: Changed, Fields: fields})
		}
	}
	for _, e := range before {
		if !seen[e.key] {
			out = append(out, Difference{Object: e.key.object, Change: Removed})
		}
	}
	return out
}

// entryKey identifies an entry; number counts the entries with the same name.
type entryKey struct {
	object Object
	number int
}

// entry is an entry with the texts of its fields, always in the same order.
type entry struct {
	key    entryKey
	values []fieldValue
}

type fieldValue struct {
	field Field
	value string
}

func diffValues(before, after []fieldValue) []FieldDifference {
	var out []FieldDifference
	for i := range after {
		if before[i].value != after[i].value {
			out = append(out, FieldDifference{Field: after[i].field, Old: before[i].value, New: after[i].value})
		}
	}
	return out
}

// entries returns the entries of a configuration in the order of its checks.
func (c *Config) entries() []entry {
	counts := map[Object]int{}
	var out []entry
	add := func(o Object, values []fieldValue) {
		out = append(out, entry{entryKey{o, counts[o]}, values})
		counts[o]++
	}
	add(Object{Kind: KindConfig}, []fieldValue{{FieldCallers, c.Callers.String()}})
	add(Object{Kind: KindLimits}, c.Limits.values())
	for _, r := range c.Routes {
		add(Object{KindRoute, r.Name}, r.values())
	}
	for _, s := range c.sortedServices() {
		add(Object{KindService, s.Name}, s.values())
	}
	for _, o := range c.Organisations {
		add(Object{KindOrganisation, o.Name}, o.values())
	}
	return out
}

func (l *Limits) values() []fieldValue {
	return []fieldValue{
		{FieldMaxBody, text(l.MaxBodyBytes)}, {FieldMaxHeader, text(l.MaxHeaderBytes)},
		{FieldHeaderTimeout, text(l.HeaderTimeout)}, {FieldIdleTimeout, text(l.IdleTimeout)},
	}
}

func (r *Route) values() []fieldValue {
	var targets []string
	for _, t := range r.Targets {
		targets = append(targets, t.Service+" "+text(t.Weight))
	}
	return []fieldValue{
		{FieldHost, r.Host}, {FieldPathPrefix, r.PathPrefix}, {FieldKind, r.Kind.String()}, {FieldTimeout, text(r.Timeout)},
		{FieldLatencyObjective, text(r.LatencyObjective)}, {FieldMaxEventGap, text(r.MaxEventGap)}, {FieldAttempts, text(r.Attempts)},
		{FieldPriority, text(r.Priority)}, {FieldPublic, text(r.Public)}, {FieldResumable, text(r.Resumable)}, {FieldTargets, strings.Join(targets, ", ")},
	}
}

func (s *Service) values() []fieldValue {
	var slots, least, most, startup, spotPrice string
	var prices []string
	if s.Engine != nil {
		slots = text(s.Engine.Slots)
	}
	if c := s.Scaling; c != nil {
		least, most, startup, spotPrice = text(c.Min), text(c.Max), text(c.StartupTime), text(c.SpotPriceRatio)
		for _, domain := range sortedKeys(c.FailureDomainPrices) {
			prices = append(prices, domain+" "+text(c.FailureDomainPrices[domain]))
		}
	}
	return []fieldValue{
		{FieldMaxConnections, text(s.MaxConnections)}, {FieldSlots, slots}, {FieldMinRunners, least}, {FieldMaxRunners, most},
		{FieldStartupTime, startup}, {FieldSpotPrice, spotPrice}, {FieldPrices, strings.Join(prices, ", ")},
	}
}

func (o *Organisation) values() []fieldValue {
	keys := make([]string, 0, len(o.APIKeys))
	for _, key := range o.APIKeys {
		keys = append(keys, Fingerprint(key))
	}
	slices.Sort(keys)
	unit := "requests"
	if o.CountsTokens {
		unit = "tokens"
	}
	return []fieldValue{
		{FieldAPIKeys, strings.Join(keys, ", ")}, {FieldPriority, text(optional(o.Priority))}, {FieldUnit, unit},
		{FieldDefaultTokens, text(o.DefaultTokens)}, {FieldRate, text(o.RatePerSecond)}, {FieldBurst, text(o.Burst)},
	}
}

// fingerprintBytes is the length of the part of a hash that tells the keys of a configuration apart.
const fingerprintBytes = 6

// Fingerprint returns a text that stands for an API key in output and log lines, which must not show the key.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "SHA-256 " + hex.EncodeToString(sum[:fingerprintBytes])
}
