package revision

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"chestnutrudder.example/rudder/object"
)

// written is an object as operators wrote it.
type written struct {
	version  int64
	object   object.Object
	problems object.Problems // mistakes in the object itself
}

// choice says which version of an object goes into the next snapshot.
type choice int

const (
	chooseNone     choice = iota // not accepted so far, or deleted
	choosePrevious               // the version that is in force
	chooseWritten                // a version that is not in force yet
)

// candidate is an object on its way into the next snapshot.
type candidate struct {
	id       string
	choice   choice
	written  *object.Object // nil if it was deleted or is wrong
	previous *object.Object // nil if none is in force
	deleted  bool
	refused  bool // the written version or the deletion is not accepted
}

func (c *candidate) object() *object.Object {
	switch c.choice {
	case choosePrevious:
		return c.previous
	case chooseWritten:
		return c.written
	}
	return nil
}

// fallBack returns to the version in force, or to none.
func (c *candidate) fallBack() {
	c.refused = true
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

// resolve decides which version of each object is accepted. The result holds only valid objects without dangling
// references and conflicts: a written version that would break that is refused, and what is in force stays. An object
// that was deleted stays in force as long as an accepted object refers to it. No refusal is without need: each refused
// change by itself would make the result inconsistent.
func resolve(inForce object.Set, specs map[string]written) (object.Set, map[string]string) {
	r := newResolution(inForce, specs)
	for r.settleReferences() || r.settleConflicts() {
		continue
	}
	for r.reconsider() {
		continue
	}
	return r.result(), r.reasons(specs)
}

// reconsider accepts one refused change that the result allows after all, because what stood in its way was refused
// later, and reports whether there was one.
func (r *resolution) reconsider() bool {
	set := r.result()
	for _, id := range r.ids {
		c := r.candidates[id]
		if !c.refused || c.written == nil && !c.deleted || c.obstacle(set) != "" {
			continue
		}
		c.choice, c.refused = chooseWritten, false
		if c.deleted {
			c.choice = chooseNone
		}
		return true
	}
	return false
}

// reasons returns why changes are refused. The texts depend only on the result, so that they stay the same until the
// result changes.
func (r *resolution) reasons(specs map[string]written) map[string]string {
	set, reasons := r.result(), map[string]string{}
	for id, c := range r.candidates {
		switch {
		case !c.refused:
		case c.written == nil && !c.deleted:
			reasons[id] = reasonOf(specs[id].problems)
		default:
			reasons[id] = c.obstacle(set)
		}
	}
	return reasons
}

// obstacle returns why a change cannot be added to a set by itself, empty if it can.
func (c *candidate) obstacle(set object.Set) string {
	changed := maps.Clone(set)
	delete(changed, c.id)
	if c.written != nil {
		changed[c.id] = *c.written
		if problems := changed.CheckReferences(*c.written); len(problems) > 0 {
			return reasonOf(problems)
		}
	}
	for _, o := range changed.List() {
		if o.ID() == c.id {
			continue
		}
		if problems := changed.CheckReferences(o); len(problems) > 0 {
			if c.deleted {
				return fmt.Sprintf("deleted, but stays in force while %s refers to it (%s)", o.ID(), problems[0].Field)
			}
			return fmt.Sprintf("%s is in force and would become invalid: %s", o.ID(), reasonOf(problems))
		}
		if c.written == nil {
			continue
		}
		for _, conflict := range object.Conflicts([]object.Object{o, *c.written}) {
			return reasonOf(object.Problems{conflict})
		}
	}
	return ""
}

func newResolution(inForce object.Set, specs map[string]written) *resolution {
	r := &resolution{candidates: map[string]*candidate{}}
	for id, w := range specs {
		c := &candidate{id: id, choice: chooseWritten, written: &w.object}
		if len(w.problems) > 0 {
			c.written = nil
		}
		r.candidates[id] = c
	}
	for id, o := range inForce {
		c, found := r.candidates[id]
		if !found {
			c = &candidate{id: id, deleted: true}
			r.candidates[id] = c
		}
		c.previous = &o
	}
	for _, c := range r.candidates {
		switch {
		case c.deleted:
		case c.written == nil:
			c.fallBack()
		case c.previous != nil && reflect.DeepEqual(*c.written, *c.previous):
			c.choice = choosePrevious
		}
	}
	r.ids = slices.Sorted(maps.Keys(r.candidates))
	return r
}

func (r *resolution) result() object.Set {
	set := object.Set{}
	for id, c := range r.candidates {
		if o := c.object(); o != nil {
			set[id] = *o
		}
	}
	return set
}

// settleReferences refuses one change that leaves a reference without its target and reports whether there was one.
// It ends because each call moves a candidate towards what is in force, which is consistent.
func (r *resolution) settleReferences() bool {
	set := r.result()
	for _, id := range r.ids {
		c := r.candidates[id]
		o := c.object()
		if o == nil {
			continue
		}
		if len(set.CheckReferences(*o)) == 0 {
			continue
		}
		if c.choice == chooseWritten {
			c.fallBack()
			return true
		}
		if r.keepTargets(*o) {
			return true
		}
	}
	return false
}

// keepTargets undoes the changes of the objects that an object in force refers to.
func (r *resolution) keepTargets(o object.Object) bool {
	changed := false
	for _, reference := range o.References() {
		target := r.candidates[reference.TargetID]
		if target == nil || target.previous == nil || target.choice == choosePrevious {
			continue
		}
		target.fallBack()
		changed = true
	}
	return changed
}

// settleConflicts refuses the changes of all but one holder of a claim and reports whether there were any.
func (r *resolution) settleConflicts() bool {
	holders := map[string]*candidate{}
	for _, id := range r.ids {
		c := r.candidates[id]
		o := c.object()
		if o == nil {
			continue
		}
		for _, claim := range o.UniqueKeys() {
			other, taken := holders[claim.Value]
			if !taken || other == c {
				holders[claim.Value] = c
				continue
			}
			loser := c
			if other.choice == chooseWritten && (c.choice == choosePrevious || c.hasClaimed(claim.Value)) {
				loser = other
			}
			if loser.choice != chooseWritten {
				continue // two objects in force; not reached, what is in force has no conflicts
			}
			loser.fallBack()
			return true
		}
	}
	return false
}

// hasClaimed reports whether the version in force has the claim.
func (c *candidate) hasClaimed(key string) bool {
	return c.previous != nil &&
		slices.ContainsFunc(c.previous.UniqueKeys(), func(claim object.UniqueKey) bool { return claim.Value == key })
}

func reasonOf(problems object.Problems) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = fmt.Sprintf("%s: value %s, allowed: %s", p.Field, p.Value, p.Allowed)
	}
	return strings.Join(lines, "; ")
}
