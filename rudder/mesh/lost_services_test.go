package mesh

import (
	"log/slog"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/boottime"
)

// Digests and summaries tell which nodes have no path to the servers of a service, and that they have one again.
func TestLostServicesReachAllNodes(t *testing.T) {
	f := newTestFleet(3, 40)
	cut := f.meshes[0]
	compose := cut.ComposeDigest
	var lost []string
	cut.ComposeDigest = func() Digest {
		d := compose()
		d.LostServices = lost
		return d
	}
	for _, lost = range [][]string{{"a", "b"}, nil} {
		for range 4 {
			f.exchangeDigests()
			f.exchangeSummaries()
		}
		for i, m := range f.meshes[1:] {
			members := m.ReachableMembers()
			at := slices.IndexFunc(members, func(member *Member) bool { return member.Node == "n-0-00" })
			if at < 0 {
				t.Fatalf("node %d does not know the node without a path", i+1)
			}
			if got := members[at].LostServices; !slices.Equal(got, lost) {
				t.Errorf("node %d knows the lost services %q, want %q", i+1, got, lost)
			}
			if got := members[at].MeshAddress(); got != cut.SelfAddress {
				t.Errorf("node %d knows the address %q, want %q", i+1, got, cut.SelfAddress)
			}
		}
	}
}

// earlierDigest is a digest and a summary of a node of an earlier version.
type earlierDigest struct {
	Node    string         `cbor:"1,keyasint,omitempty"`
	Summary earlierSummary `cbor:"21,keyasint,omitempty"`
}

type earlierSummary struct {
	Nodes []NodeSummary `cbor:"7,keyasint,omitempty"`
}

func TestEarlierNodesIgnoreLostServices(t *testing.T) {
	node := &Member{Digest: Digest{Node: "n", FailureDomain: "d", LostServices: []string{"a"}}, ReceivedAt: boottime.Now()}
	d := node.brief()
	d.Summary = summarize([]*Member{node}, boottime.Now(), true, nil)
	data, err := digestEncoding.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierDigest
	if err := cbor.Unmarshal(data, &earlier); err != nil || earlier.Node != "n" || len(earlier.Summary.Nodes) != 1 {
		t.Errorf("a node of an earlier version decodes %+v with the error %v, want the node n", earlier, err)
	}
	m := New("10.0.0.1:1", nil, nil, func(*Member) {}, slog.New(slog.DiscardHandler))
	m.handleDatagram(data, "10.0.0.2:1", boottime.Now())
	if members := m.ReachableMembers(); len(members) != 1 || !slices.Equal(members[0].LostServices, []string{"a"}) {
		t.Errorf("members are %v, want one that has lost a", members)
	}
}
