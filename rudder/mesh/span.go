package mesh

import "slices"

// span is the part of the fleet to which a node passes news on: the nodes whose keys lie between two others, both excluded, in
// the cyclic order of keys. Equal ends stand for all nodes but that one.
type span struct {
	after, until string
	isDescending bool // the nodes that pass on are the last ones of their groups, not the first ones
}

// branch is a node that gets news, with the span to which it passes them on.
type branch struct {
	key string
	span
}

// contains reports whether the span holds a key.
func (s span) contains(key string) bool {
	if s.after < s.until {
		return s.after < key && key < s.until
	}
	return key > s.after || key < s.until
}

// order returns the keys of the span, of a sorted list, in the order in which it is split.
func (s span) order(sorted []string) []string {
	start, isFound := slices.BinarySearch(sorted, s.after)
	if isFound {
		start++
	}
	var ordered []string
	for i := range sorted {
		key := sorted[(start+i)%len(sorted)]
		if !s.contains(key) {
			break
		}
		ordered = append(ordered, key)
	}
	if s.isDescending {
		slices.Reverse(ordered)
	}
	return ordered
}

// split divides the keys of the span, in its order, into up to fanOut groups of neighbours. The first one passes news on to the
// rest of its group. Counted from the start of a tree, the nodes below one are thus all after it in an ascending tree and all
// before it in a descending one: no other node depends on it in both, whatever the nodes on the way know of the fleet.
func (s span) split(ordered []string, fanOut int) []branch {
	groups := min(fanOut, len(ordered))
	branches := make([]branch, groups)
	for g := range branches {
		branches[g].key = ordered[g*len(ordered)/groups]
	}
	for g := range branches {
		b := &branches[g]
		b.span = span{after: b.key, until: s.until, isDescending: s.isDescending}
		if s.isDescending {
			b.span = span{after: s.after, until: b.key, isDescending: true}
		}
		if g+1 == groups {
			continue
		}
		if s.isDescending {
			b.after = branches[g+1].key
		} else {
			b.until = branches[g+1].key
		}
	}
	return branches
}
