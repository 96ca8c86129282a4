package load

import (
	"reflect"
	"testing"
	"time"

	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/users"
)

// TestArrivalsFollowSeed guards against arrivals that differ between runs with the same seed, against a mix that lacks a
// kind of request, and against duplicate request IDs or prompts, since the oracle could not tell such requests apart.
func TestArrivalsFollowSeed(t *testing.T) {
	for _, user := range []users.User{users.Duwende(), users.Zlato()} {
		first := newGenerator(user, 3).arrivals(50, 10*time.Second)
		if !reflect.DeepEqual(first, newGenerator(user, 3).arrivals(50, 10*time.Second)) {
			t.Errorf("%s: arrivals of two generators with the same seed differ", user.Name)
		}
		kinds := map[oracle.RequestKind]int{}
		seen := map[string]bool{}
		for _, a := range first {
			for _, r := range a.turns {
				kinds[r.Kind]++
				if seen[r.ID] || r.Kind == oracle.ModelRequest && seen[r.Prompt] {
					t.Errorf("%s: ID or prompt of request %q is not unique", user.Name, r.ID)
				}
				seen[r.ID], seen[r.Prompt] = true, true
			}
		}
		for _, kind := range []oracle.RequestKind{oracle.ModelRequest, oracle.ReadCall, oracle.WriteCall} {
			if kinds[kind] == 0 {
				t.Errorf("%s: arrivals contain no request of kind %d", user.Name, kind)
			}
		}
	}
}
