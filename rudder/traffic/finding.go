package traffic

import (
	"fmt"
	"strconv"
	"time"
)

// Class says what a finding means for the configuration.
type Class string

// The classes of findings.
const (
	// Invalid is a value that is outside what is allowed, or that refers to nothing.
	Invalid Class = "invalid"
	// NoEffect is an entry or a value that no request can ever reach, or that is ignored.
	NoEffect Class = "no effect"
	// Contradiction is a value that another value or the hosts make impossible to keep.
	Contradiction Class = "contradiction"
	// Access is a change of who may call that an operator may not intend: everybody or nobody may from then on.
	Access Class = "access"
)

// ObjectKind is a kind of entry of a configuration.
type ObjectKind string

// The kinds of entries. The whole configuration counts as one.
const (
	KindConfig       ObjectKind = "configuration"
	KindLimits       ObjectKind = "limits"
	KindRoute        ObjectKind = "route"
	KindService      ObjectKind = "service"
	KindOrganisation ObjectKind = "organisation"
)

// Object names an entry of a configuration. Name is empty for the kinds that have one entry.
type Object struct {
	Kind ObjectKind
	Name string
}

// Field names a field of an entry. An adapter knows the name of each field in its form of the configuration.
type Field string

// The fields. They are unique over all kinds.
const (
	FieldVersion          Field = "version"
	FieldCallers          Field = "callers"
	FieldName             Field = "name"
	FieldHost             Field = "host"
	FieldPathPrefix       Field = "path prefix"
	FieldKind             Field = "kind"
	FieldTimeout          Field = "timeout"
	FieldLatencyObjective Field = "latency objective"
	FieldMaxEventGap      Field = "event gap"
	FieldAttempts         Field = "attempts"
	FieldPriority         Field = "priority"
	FieldPublic           Field = "public"
	FieldResumable        Field = "resumable"
	FieldTargets          Field = "targets"
	FieldTargetWeight     Field = "target weight"
	FieldMaxConnections   Field = "connections"
	FieldSlots            Field = "slots"
	FieldMinRunners       Field = "least runners"
	FieldMaxRunners       Field = "most runners"
	FieldStartupTime      Field = "startup time"
	FieldSpotPrice        Field = "spot price"
	FieldPrices           Field = "prices"
	FieldAPIKeys          Field = "API keys"
	FieldUnit             Field = "unit"
	FieldDefaultTokens    Field = "default tokens"
	FieldRate             Field = "rate"
	FieldBurst            Field = "burst"
	FieldMaxBody          Field = "body bytes"
	FieldMaxHeader        Field = "header bytes"
	FieldHeaderTimeout    Field = "header timeout"
	FieldIdleTimeout      Field = "idle timeout"
)

// Fields returns all fields, for which an adapter must have names.
func Fields() []Field {
	return []Field{
		FieldVersion, FieldCallers, FieldName, FieldHost, FieldPathPrefix, FieldKind, FieldTimeout, FieldLatencyObjective,
		FieldMaxEventGap, FieldAttempts, FieldPriority, FieldPublic, FieldResumable, FieldTargets, FieldTargetWeight,
		FieldMaxConnections, FieldSlots, FieldMinRunners, FieldMaxRunners, FieldStartupTime, FieldSpotPrice, FieldPrices,
		FieldAPIKeys, FieldUnit, FieldDefaultTokens, FieldRate, FieldBurst, FieldMaxBody, FieldMaxHeader, FieldHeaderTimeout,
		FieldIdleTimeout,
	}
}

// Finding is a value of a configuration that an operator should correct. Allowed tells what is allowed; names of other fields
// stand in braces, as in "at most {timeout}", for an adapter to replace.
type Finding struct {
	Class   Class
	Object  Object
	Field   Field
	Value   string
	Allowed string
}

// String returns the finding with this project's names of the fields.
func (f Finding) String() string {
	object := string(f.Object.Kind)
	if f.Object.Name != "" {
		object += " " + strconv.Quote(f.Object.Name)
	}
	return fmt.Sprintf("%s: %s: %s: value %q, allowed: %s", f.Class, object, f.Field, f.Value, f.Allowed)
}

// text returns a value as findings and differences show it.
func text(value any) string {
	if d, ok := value.(time.Duration); ok {
		return d.String()
	}
	return fmt.Sprint(value)
}
