package turn

import (
	"slices"
	"testing"
)

// Guards against items that are never sent, or twice in one message.
func TestSuccessiveTurnsGoThroughAllItems(t *testing.T) {
	for length := range 12 {
		list := make([]int, length)
		for i := range list {
			list[i] = i
		}
		for n := 1; n < 5; n++ {
			seen := map[int]bool{}
			for turn := 3; turn < 3+(length+n-1)/n; turn++ {
				items := Take(list, turn, n)
				for _, item := range items {
					seen[item] = true
				}
				slices.Sort(items)
				if distinct := len(slices.Compact(items)); distinct != min(n, length) {
					t.Errorf("turn %d of %d items, %d at once, has %d different ones", turn, length, n, distinct)
				}
			}
			if len(seen) != length {
				t.Errorf("%d of %d items were taken, %d at once", len(seen), length, n)
			}
		}
	}
}
