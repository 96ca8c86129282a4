package mesh

import (
	"slices"
	"testing"
	"time"
)

// livesAt reports whether a node lists another one among the living nodes.
func (f *testFleet) livesAt(node, other int) bool {
	name := f.meshes[other].ownDigest.Node
	return slices.ContainsFunc(f.meshes[node].LivingMembers(), func(m *Member) bool { return m.Node == name })
}

// Guards against limits that are spent twice: a node that does not hear a living peer, which all others hear, took its
// shares from 2.3 s on and forgot it after 20 s.
func TestPeerHeardByOthersStaysListed(t *testing.T) {
	f := newTestFleet(4, 15)
	silent, deaf := f.meshes[31].SelfAddress, f.meshes[2].SelfAddress
	f.network.isLost = func(from, to string) bool { return from == silent && to == deaf }
	for range 60 { // 36 s
		f.exchangeDigests()
		if !f.livesAt(2, 31) {
			t.Fatal("node 2 does not list node 31 as living, although 58 nodes hear it")
		}
	}
	if slices.ContainsFunc(f.meshes[2].ReachableMembers(), func(m *Member) bool { return m.Node == f.meshes[31].ownDigest.Node }) {
		t.Error("node 31 counts as reachable from node 2, which gets nothing from it")
	}
}

// Guards against nodes that keep a dead peer listed by telling each other of it.
func TestSightingsDoNotKeepDeadPeerListed(t *testing.T) {
	f := newTestFleet(3, 5)
	for range 10 {
		f.exchangeDigests()
	}
	f.network.isLost = func(from, _ string) bool { return from == f.meshes[7].SelfAddress }
	diedAt := f.network.clock
	for f.network.clock.Sub(diedAt) < 6*time.Second {
		f.exchangeDigests()
	}
	for i := range f.meshes {
		if i != 7 && f.livesAt(i, 7) {
			t.Errorf("node %d lists node 7 as living 6 s after its last digest", i)
		}
	}
	for f.network.clock.Sub(diedAt) < RemoveAfter+2*time.Second {
		f.exchangeDigests()
	}
	for i, m := range f.meshes {
		if _, known := m.CountNodes(); i != 7 && known != len(f.meshes)-1 {
			t.Errorf("node %d knows %d nodes after %s, want %d", i, known, f.network.clock.Sub(diedAt), len(f.meshes)-1)
		}
	}
}

// Guards against a node that is cut off from the others and takes the whole limit of each server.
func TestNodeThatIsCutOffKeepsItsList(t *testing.T) {
	f := newTestFleet(3, 5)
	cut := f.meshes[4].SelfAddress
	f.network.isLost = func(from, to string) bool { return (from == cut) != (to == cut) }
	cutAt := f.network.clock
	for f.network.clock.Sub(cutAt) < RemoveAfter-2*time.Second {
		f.exchangeDigests()
		if living := len(f.meshes[4].LivingMembers()); living != len(f.meshes)-1 {
			t.Fatalf("the node lists %d living peers %s after it was cut off, want %d", living, f.network.clock.Sub(cutAt), len(f.meshes)-1)
		}
	}
	if f.livesAt(0, 4) {
		t.Error("the other nodes still list the node that is cut off")
	}
}
