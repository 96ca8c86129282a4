package revision

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

// desiredObject is an object as an operator wrote it.
type desiredObject struct {
	version  objectapi.Version
	object   object.Object
	problems object.Problems // found by validating the object by itself
}

// choice says which version of an object goes into the next snapshot.
type choice int

const (
	chooseNone     choice = iota // not accepted so far, or deleted
	choosePrevious               // the version in force
	chooseDesired                // the written version, which is not in force yet
)

// candidate is an object that is considered for the next snapshot.
type candidate struct {
	id         string
	choice     choice
	desired    *object.Object // nil if the object was deleted or is invalid
	previous   *object.Object // nil if no version is in force
	isDeleted  bool
	isRejected bool // the written version or the deletion is not accepted
}

// chosenObject returns the chosen version, nil if none is.
func (c *candidate) chosenObject() *object.Object {
	switch c.choice {
	case choosePrevious:
		return c.previous
	case chooseDesired:
		return c.desired
	}
	return nil
}

// rejectChange rejects the change and returns to the version in force, or to none.
func (c *candidate) rejectChange() {
	c.isRejected = true
	c.choice = chooseNone
	if c.previous != nil {
		c.choice = choosePrevious
	}
}

// resolution is the choice for all objects.
type resolution struct {
	candidates map[string]*candidate
	ids        []string // sorted
}

// resolve decides, from the objects in force (previous) and the objects that operators have written (specs), which
// version of each object is accepted. It returns the accepted objects and the reason for each rejected change by object
// ID. The accepted objects are valid and have no dangling references or conflicts: a change that would break this is
// rejected, and the version in force stays. A deleted object stays in force as long as an accepted object refers to it.
// No change is rejected needlessly: each rejected change by itself would make the result inconsistent.
func resolve(previous object.Set, specs map[string]desiredObject) (object.Set, map[string]string) {
	r := newResolution(previous, specs)
	for r.rejectDanglingReference() || r.rejectConflict() {
		continue
	}
	for r.acceptRejectedChange() {
		continue
	}
	return r.result(), r.reasons(specs)
}

// acceptRejectedChange accepts one rejected change that has become possible because the changes that it conflicted with
// were rejected later, and reports whether there was one.
func (r *resolution) acceptRejectedChange() bool {
	set := r.result()
	for _, id := range r.ids {
		c := r.candidates[id]
		if !c.isRejected || c.desired == nil && !c.isDeleted || c.rejectionReason(set) != "" {
			continue
		}
		c.choice, c.isRejected = chooseDesired, false
		if c.isDeleted {
			c.choice = chooseNone
		}
		return true
	}
	return false
}

// reasons returns the reason for each rejected change by object ID. The texts depend only on the result, so that they
// stay the same until the result changes.
func (r *resolution) reasons(specs map[string]desiredObject) map[string]string {
	set, reasons := r.result(), map[string]string{}
	for id, c := range r.candidates {
		switch {
		case !c.isRejected:
		case c.desired == nil && !c.isDeleted:
			reasons[id] = formatProblems(specs[id].problems)
		default:
			reasons[id] = c.rejectionReason(set)
		}
	}
	return reasons
}

// rejectionReason returns why a change by itself cannot be applied to a set, empty if it can.
func (c *candidate) rejectionReason(set object.Set) string {
	changed := maps.Clone(set)
	delete(changed, c.id)
	if c.desired != nil {
		changed[c.id] = *c.desired
		if problems := changed.CheckReferences(*c.desired); len(problems) > 0 {
			return formatProblems(problems)
		}
	}
	for _, o := range changed.List() {
		if o.ID() == c.id {
			continue
		}
		if problems := changed.CheckReferences(o); len(problems) > 0 {
			if c.isDeleted {
				return fmt.Sprintf("deleted, but stays in force while %s refers to it (%s)", o.ID(), problems[0].Field)
			}
			return fmt.Sprintf("%s is in force and would become invalid: %s", o.ID(), formatProblems(problems))
		}
		if c.desired == nil {
			continue
		}
		for _, conflict := range object.Conflicts([]object.Object{o, *c.desired}) {
			return formatProblems(object.Problems{conflict})
		}
	}
	return ""
}

// newResolution returns a resolution in which every valid change is accepted.
func newResolution(previous object.Set, specs map[string]desiredObject) *resolution {
	r := &resolution{candidates: map[string]*candidate{}}
	for id, desired := range specs {
		c := &candidate{id: id, choice: chooseDesired, desired: &desired.object}
		if len(desired.problems) > 0 {
			c.desired = nil
		}
		r.candidates[id] = c
	}
	for id, o := range previous {
		c, found := r.candidates[id]
		if !found {
			c = &candidate{id: id, isDeleted: true}
			r.candidates[id] = c
		}
		c.previous = &o
	}
	for _, c := range r.candidates {
		switch {
		case c.isDeleted:
		case c.desired == nil:
			c.rejectChange()
		case c.previous != nil && reflect.DeepEqual(*c.desired, *c.previous):
			c.choice = choosePrevious
		}
	}
	r.ids = slices.Sorted(maps.Keys(r.candidates))
	return r
}

func (r *resolution) result() object.Set {
	set := object.Set{}
	for id, c := range r.candidates {
		if o := c.chosenObject(); o != nil {
			set[id] = *o
		}
	}
	return set
}

// rejectDanglingReference rejects the change that causes a dangling reference, for the first object that has one, and
// reports whether there was one. Repeated calls terminate because each moves a candidate towards the version in force,
// and the objects in force are consistent.
func (r *resolution) rejectDanglingReference() bool {
	set := r.result()
	for _, id := range r.ids {
		c := r.candidates[id]
		o := c.chosenObject()
		if o == nil {
			continue
		}
		if len(set.CheckReferences(*o)) == 0 {
			continue
		}
		if c.choice == chooseDesired {
			c.rejectChange()
			return true
		}
		if r.restoreTargets(*o) {
			return true
		}
	}
	return false
}

// restoreTargets rejects the changes to the objects that an object in force refers to, and reports whether there were
// any.
func (r *resolution) restoreTargets(o object.Object) bool {
	hasRestored := false
	for _, reference := range o.References() {
		target := r.candidates[reference.TargetID]
		if target == nil || target.previous == nil || target.choice == choosePrevious {
			continue
		}
		target.rejectChange()
		hasRestored = true
	}
	return hasRestored
}

// rejectConflict rejects one change that conflicts with another object over a unique key, and reports whether there was
// one. In order of precedence, the key is kept by a version in force, by a change to an object whose version in force
// has the key, and by the object whose ID sorts first.
func (r *resolution) rejectConflict() bool {
	owners := map[string]*candidate{}
	for _, id := range r.ids {
		c := r.candidates[id]
		o := c.chosenObject()
		if o == nil {
			continue
		}
		for _, key := range o.UniqueKeys() {
			owner, isTaken := owners[key.Value]
			if !isTaken || owner == c {
				owners[key.Value] = c
				continue
			}
			rejected := c
			if owner.choice == chooseDesired && (c.choice == choosePrevious || c.hadUniqueKey(key.Value)) {
				rejected = owner
			}
			if rejected.choice != chooseDesired {
				continue // not reached: the objects in force have no conflicts
			}
			rejected.rejectChange()
			return true
		}
	}
	return false
}

// hadUniqueKey reports whether the version in force has the unique key with this value.
func (c *candidate) hadUniqueKey(value string) bool {
	return c.previous != nil && slices.ContainsFunc(c.previous.UniqueKeys(), func(key object.UniqueKey) bool { return key.Value == value })
}

// formatProblems returns the problems as the reason in a status.
func formatProblems(problems object.Problems) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = fmt.Sprintf("%s: value %s, allowed: %s", p.Field, p.Value, p.Allowed)
	}
	return strings.Join(lines, "; ")
}
