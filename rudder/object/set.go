package object

import (
	"fmt"
	"sort"
)

// Set holds objects by ID (Kind/name).
type Set map[string]Object

// NewSet returns a set of objects. A later object replaces an earlier one with the same ID.
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
	Field    string // path of the field
	TargetID string // ID of the other object
}

// References returns the references of an object to other objects.
func (o Object) References() []Reference {
	var references []Reference
	add := func(field string, kind Kind, name string) {
		references = append(references, Reference{Field: field, TargetID: string(kind) + "/" + name})
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

// CheckReferences returns a problem for each reference of an object to an object that is not in the set, and for a route of
// a model to a deployment of a service or the reverse.
func (s Set) CheckReferences(o Object) Problems {
	c := checker{object: o.ID()}
	for _, r := range o.References() {
		if _, found := s[r.TargetID]; !found {
			c.addProblem(r.Field, r.TargetID, "an existing object")
		}
	}
	if o.Route == nil {
		return c.problems
	}
	deployment := s[string(KindDeployment)+"/"+o.Route.Deployment]
	if deployment.Deployment == nil {
		return c.problems
	}
	wantedBackend := BackendModel
	if o.Route.Service != "" {
		wantedBackend = BackendService
	}
	if deployment.Deployment.Backend != wantedBackend {
		c.addProblem("route.deployment", deployment.ID(), fmt.Sprintf("a deployment with backend %s", wantedBackend))
	}
	return c.problems
}

// UniqueKey is a value that only one object may have.
type UniqueKey struct {
	Field string // path of the field that the value comes from
	Value string // compared between objects; also shown in problems
}

// UniqueKeys returns the unique keys of the object: for a route its pairs of organisation and model or service name, for an
// organisation its token hashes. A route for named organisations takes precedence over one for all organisations, so "all
// organisations" is a separate key that does not conflict with named ones.
func (o Object) UniqueKeys() []UniqueKey {
	var keys []UniqueKey
	if o.Organisation != nil {
		for i, hash := range o.Organisation.TokenSHA256 {
			keys = append(keys, UniqueKey{fmt.Sprintf("organisation.tokenSHA256[%d]", i), "token " + hash})
		}
	}
	if o.Route == nil {
		return keys
	}
	field, name := "route.model", "model "+o.Route.Model
	if o.Route.Service != "" {
		field, name = "route.service", "service "+o.Route.Service
	}
	if len(o.Route.Organisations) == 0 {
		return append(keys, UniqueKey{field, name + " of all organisations"})
	}
	for i, organisation := range o.Route.Organisations {
		keys = append(keys, UniqueKey{fmt.Sprintf("route.organisations[%d]", i), name + " of organisation " + organisation})
	}
	return keys
}

// ConflictProblem returns the problem that the object rejected has the same unique key as the object with the ID owner.
func ConflictProblem(rejected Object, key UniqueKey, owner string) Problem {
	return Problem{Object: rejected.ID(), Field: key.Field, Value: key.Value, Allowed: "only one object; " + owner + " has it"}
}

// Conflicts returns a problem for each unique key that more than one object has. The problem names the object that comes
// later in the list as the invalid one.
func Conflicts(objects []Object) Problems {
	owners := map[string]string{}
	var problems Problems
	for _, o := range objects {
		for _, key := range o.UniqueKeys() {
			if owner, isTaken := owners[key.Value]; isTaken && owner != o.ID() {
				problems = append(problems, ConflictProblem(o, key, owner))
				continue
			}
			owners[key.Value] = o.ID()
		}
	}
	return problems
}

// ValidateAll validates the objects of one or more files together: values, duplicate names, references to these objects or
// to known ones, and conflicts of unique keys among all of them. A known object with the ID of a submitted one is replaced
// by it. known may be nil.
func ValidateAll(objects []Object, known Set) Problems {
	var problems Problems
	submitted := Set{}
	for _, o := range objects {
		problems = append(problems, o.Validate()...)
		if _, isRepeated := submitted[o.ID()]; isRepeated {
			problems = append(problems, Problem{
				Object: o.ID(), Field: "name", Value: formatValue(o.Name), Allowed: "each name of a kind once",
			})
		}
		submitted[o.ID()] = o
	}
	// Known objects come first, so that in a conflict the submitted one is reported as invalid.
	allObjects := Set{}
	var ordered []Object
	for _, o := range known.List() {
		if _, isReplaced := submitted[o.ID()]; !isReplaced {
			allObjects[o.ID()] = o
			ordered = append(ordered, o)
		}
	}
	for _, o := range submitted.List() {
		allObjects[o.ID()] = o
		ordered = append(ordered, o)
	}
	for _, o := range submitted.List() {
		problems = append(problems, allObjects.CheckReferences(o)...)
	}
	for _, conflict := range Conflicts(ordered) {
		if _, isSubmitted := submitted[conflict.Object]; isSubmitted {
			problems = append(problems, conflict)
		}
	}
	return problems
}
