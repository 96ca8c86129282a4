package object

import (
	"fmt"
	"sort"
)

// Set holds objects by ID (Kind/name).
type Set map[string]Object

// NewSet indexes objects. A later object replaces an earlier one of the same ID.
func NewSet(objects []Object) Set {
	set := Set{}
	for _, o := range objects {
		set[o.ID()] = o
	}
	return set
}

// IDs returns the IDs in sorted order.
func (s Set) IDs() []string {
	ids := make([]string, 0, len(s))
	for id := range s {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// List returns the objects sorted by ID.
func (s Set) List() []Object {
	objects := make([]Object, 0, len(s))
	for _, id := range s.IDs() {
		objects = append(objects, s[id])
	}
	return objects
}

// Reference is a field that names another object.
type Reference struct {
	Field  string
	Target string // ID
}

// References returns the references of an object.
func (o Object) References() []Reference {
	var references []Reference
	add := func(field string, kind Kind, name string) {
		references = append(references, Reference{Field: field, Target: string(kind) + "/" + name})
	}
	if o.Deployment != nil && o.Deployment.Backend == BackendModel {
		add("deployment.modelVersion", KindModelVersion, o.Deployment.ModelVersion)
	}
	if o.Route != nil {
		add("route.deployment", KindDeployment, o.Route.Deployment)
		for i, name := range o.Route.Organisations {
			add(fmt.Sprintf("route.organisations[%d]", i), KindOrganisation, name)
		}
	}
	return references
}

// CheckReferences returns the references of an object to objects that are not in the set, and a route for a model or
// service to a deployment of the other backend.
func (s Set) CheckReferences(o Object) Problems {
	c := checker{object: o.ID()}
	for _, r := range o.References() {
		if _, found := s[r.Target]; !found {
			c.add(r.Field, r.Target, "an existing object")
		}
	}
	if o.Route == nil {
		return c.problems
	}
	target := s[string(KindDeployment)+"/"+o.Route.Deployment]
	if target.Deployment == nil {
		return c.problems
	}
	wanted := BackendModel
	if o.Route.Service != "" {
		wanted = BackendService
	}
	if target.Deployment.Backend != wanted {
		c.add("route.deployment", target.ID(), fmt.Sprintf("a deployment with backend %s", wanted))
	}
	return c.problems
}

// Claim is something that only one object may have.
type Claim struct {
	Field string
	Key   string
}

// Claims returns what the object takes for itself alone: a route its pairs of organisation and model or service name,
// an organisation its token hashes. A route that names organisations goes before one for all, so that "all" is a pair
// of its own.
func (o Object) Claims() []Claim {
	var claims []Claim
	if o.Organisation != nil {
		for i, hash := range o.Organisation.TokenSHA256 {
			claims = append(claims, Claim{fmt.Sprintf("organisation.tokenSHA256[%d]", i), "token " + hash})
		}
	}
	if o.Route == nil {
		return claims
	}
	field, name := "route.model", "model "+o.Route.Model
	if o.Route.Service != "" {
		field, name = "route.service", "service "+o.Route.Service
	}
	if len(o.Route.Organisations) == 0 {
		return append(claims, Claim{field, name + " of all organisations"})
	}
	for i, organisation := range o.Route.Organisations {
		claims = append(claims, Claim{fmt.Sprintf("route.organisations[%d]", i), name + " of organisation " + organisation})
	}
	return claims
}

// ConflictProblem says that two objects claim the same.
func ConflictProblem(loser Object, claim Claim, holder string) Problem {
	return Problem{Object: loser.ID(), Field: claim.Field, Value: claim.Key, Allowed: "only one object; " + holder + " has it"}
}

// Conflicts returns the claims that more than one object has. The object that comes later in the list is named as the
// wrong one.
func Conflicts(objects []Object) Problems {
	holders := map[string]string{}
	var problems Problems
	for _, o := range objects {
		for _, claim := range o.Claims() {
			if holder, taken := holders[claim.Key]; taken && holder != o.ID() {
				problems = append(problems, ConflictProblem(o, claim, holder))
				continue
			}
			holders[claim.Key] = o.ID()
		}
	}
	return problems
}

// Check validates the objects of one or more files together: values, repeated names, references to these objects or to
// known ones, and conflicts among all of them. known may be nil.
func Check(objects []Object, known Set) Problems {
	var problems Problems
	written := Set{}
	for _, o := range objects {
		problems = append(problems, o.Validate()...)
		if _, repeated := written[o.ID()]; repeated {
			problems = append(problems, Problem{Object: o.ID(), Field: "name", Value: show(o.Name), Allowed: "each name of a kind once"})
		}
		written[o.ID()] = o
	}
	// Known objects come first, so that the written one is named as the wrong one.
	all := Set{}
	var ordered []Object
	for _, o := range known.List() {
		if _, replaced := written[o.ID()]; !replaced {
			all[o.ID()] = o
			ordered = append(ordered, o)
		}
	}
	for _, o := range written.List() {
		all[o.ID()] = o
		ordered = append(ordered, o)
	}
	for _, o := range written.List() {
		problems = append(problems, all.CheckReferences(o)...)
	}
	for _, conflict := range Conflicts(ordered) {
		if _, ours := written[conflict.Object]; ours {
			problems = append(problems, conflict)
		}
	}
	return problems
}
