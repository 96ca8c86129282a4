package relaynode

import (
	"fmt"
	"slices"
	"testing"

	"chestnutrudder.example/rudder/mesh"
)

// addressMembers returns the members of a failure domain, the first ones ready and the others starting.
func addressMembers(failureDomain string, ready, starting int) []*mesh.Member {
	var members []*mesh.Member
	for i := range ready + starting {
		state := mesh.Ready
		if i >= ready {
			state = mesh.Starting
		}
		members = append(members, &mesh.Member{Digest: mesh.Digest{
			FailureDomain: failureDomain, State: state, Address: fmt.Sprintf("%s-%d", failureDomain, i),
		}})
	}
	return members
}

// Guards against the callers of a failure domain all going to the first nodes that are ready after the end of all nodes or an
// outage of the object API.
func TestChooseAddressesWhileFewNodesAreReady(t *testing.T) {
	tests := map[string]struct {
		localReady, localStarting, remoteReady, remoteStarting int
		wantLocal, wantRemote                                  int
	}{
		"all ready":                             {22, 0, 44, 0, 22, 0},
		"some restart":                          {16, 6, 44, 0, 16, 0},
		"first ready node after the end of all": {1, 21, 0, 44, 22, 42},
		"first two ready nodes of the domain":   {2, 20, 1, 43, 22, 0},
		"others are ready first":                {1, 21, 40, 4, 1, 40},
		"most of the domain starts":             {4, 18, 40, 4, 4, 40},
		"none is ready":                         {0, 22, 0, 44, 0, 0},
		"a domain of one node":                  {1, 0, 2, 0, 1, 2},
		"draining nodes are not counted":        {3, 3, 0, 0, 3, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			members := append(addressMembers("a", c.localReady, c.localStarting), addressMembers("b", c.remoteReady, c.remoteStarting)...)
			members = append(members, &mesh.Member{Digest: mesh.Digest{FailureDomain: "a", State: mesh.Draining, Address: "draining"}})
			addresses := chooseAddresses(members, "a")
			local, remote := 0, 0
			for _, address := range addresses {
				switch {
				case address == "draining":
					t.Errorf("address of a draining node in %v", addresses)
				case address[0] == 'a':
					local++
				default:
					remote++
				}
			}
			if local != c.wantLocal || remote != c.wantRemote {
				t.Errorf("got %d addresses of the domain and %d others, want %d and %d", local, remote, c.wantLocal, c.wantRemote)
			}
			slices.Sort(addresses)
			if len(slices.Compact(addresses)) != local+remote {
				t.Errorf("addresses are told twice: %v", addresses)
			}
		})
	}
}

// Callers are told nodes without a path to the servers of a service only if too few others are ready.
func TestChooseAddressesLeavesOutNodesWithoutPath(t *testing.T) {
	tests := map[string]struct {
		localCut, remoteCut   int // of four ready nodes each
		wantLocal, wantRemote int
	}{
		"none":                   {0, 0, 4, 0},
		"some":                   {1, 2, 3, 0},
		"half":                   {2, 4, 2, 0},
		"most of the domain":     {3, 0, 1, 4},
		"all of the domain":      {4, 0, 0, 4},
		"others":                 {0, 4, 4, 0},
		"most of the domains":    {3, 3, 4, 0},
		"all":                    {4, 4, 4, 0},
		"the domain and another": {4, 1, 4, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			local, remote := addressMembers("a", 4, 0), addressMembers("b", 4, 0)
			for i, m := range local {
				if i < c.localCut {
					m.LostServices = []string{"s"}
				}
			}
			for i, m := range remote {
				if i < c.remoteCut {
					m.LostServices = []string{"s"}
				}
			}
			gotLocal, gotRemote := 0, 0
			for _, address := range chooseAddresses(append(local, remote...), "a") {
				if address[0] == 'a' {
					gotLocal++
				} else {
					gotRemote++
				}
			}
			if gotLocal != c.wantLocal || gotRemote != c.wantRemote {
				t.Errorf("got %d local and %d remote addresses, want %d and %d", gotLocal, gotRemote, c.wantLocal, c.wantRemote)
			}
		})
	}
}
