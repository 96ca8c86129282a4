package mesh

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// passedOn is how news reach the nodes of a fleet by one tree: by key, the nodes on the way, the last of which sent them.
type passedOn map[string][]string

// passTree passes news on as the nodes do. keysOf returns the keys that a node knows; the empty key stands for the node that
// sends the news first.
func passTree(s span, keysOf func(key string) []string) passedOn {
	reached := passedOn{}
	var pass func(s span, from string, way []string)
	pass = func(s span, from string, way []string) {
		for _, b := range s.split(s.order(keysOf(from)), newsFanOut) {
			if _, isKnown := reached[b.key]; isKnown {
				panic("node " + b.key + " gets news twice by one tree")
			}
			reached[b.key] = way
			pass(b.span, b.key, append(slices.Clone(way), b.key))
		}
	}
	pass(s, "", nil)
	return reached
}

func testKeys(count int) []string {
	var keys []string
	for i := range count {
		keys = append(keys, newsKey(fmt.Sprint("d", i*3/count), fmt.Sprintf("n-%04d", i)))
	}
	return keys
}

// Guards against nodes that get no news, or get them late: each node is reached by both trees, and the steps grow with the
// logarithm of the number of nodes.
func TestNewsReachAllNodesInFewSteps(t *testing.T) {
	for count, maxSteps := range map[int]int{1: 1, 8: 1, 99: 3, 300: 3, 584: 3, 1500: 4} {
		keys := testKeys(count)
		for _, start := range []string{"", keys[0] + "\x00", keys[count/2] + "\x00", keys[count-1] + "\x00"} {
			for _, isDescending := range []bool{false, true} {
				reached := passTree(span{after: start, until: start, isDescending: isDescending}, func(string) []string { return keys })
				if len(reached) != count {
					t.Fatalf("%d of %d nodes are reached, start %q, descending %t", len(reached), count, start, isDescending)
				}
				for key, way := range reached {
					if len(way)+1 > maxSteps {
						t.Fatalf("node %q of %d is reached in %d steps, want at most %d", key, count, len(way)+1, maxSteps)
					}
				}
			}
		}
	}
}

// Guards against a node whose death keeps news from others: no node is on the way to another one in both trees, also where
// nodes know different parts of the fleet.
func TestNoNodeIsOnBothWaysToAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := testKeys(rapid.IntRange(1, 200).Draw(t, "nodes"))
		start := rapid.SampledFrom(all).Draw(t, "start") + "\x00"
		unknown := rapid.IntRange(2, 40).Draw(t, "unknown") // each node does not know each unknown-th of the others, its own choice
		keysOf := func(from string) []string {
			var keys []string
			for i, key := range all {
				if (i+len(from)+7*slices.Index(all, from))%unknown != 0 {
					keys = append(keys, key)
				}
			}
			return keys
		}
		first := passTree(span{after: start, until: start}, keysOf)
		second := passTree(span{after: start, until: start, isDescending: true}, keysOf)
		for key, way := range first {
			for _, between := range way {
				if slices.Contains(second[key], between) {
					t.Fatalf("node %q is on both ways to %q: %q and %q", between, key, way, second[key])
				}
			}
		}
	})
}
