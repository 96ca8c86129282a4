package relaynode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

// While the object API is down no node is ready, and still only a few nodes may contend for the lease. When only ready
// nodes counted, all 75 read the lease twice a second.
func TestFewNodesContendWhileNoneIsReady(t *testing.T) {
	now := boottime.Now()
	var members []*mesh.Member
	for i := range 9 {
		members = append(members, &mesh.Member{Digest: mesh.Digest{Node: fmt.Sprintf("n%d", i), State: mesh.Starting}, SentAt: now})
	}
	members[0].State = mesh.Draining
	contenders := 0
	for i, m := range members[1:] {
		peers := append(append([]*mesh.Member{}, members[:i+1]...), members[i+2:]...)
		if !hasLeaseHolder(peers, now) && isFirstContender(m.Node, peers) {
			contenders++
		}
	}
	if contenders != maxContenders {
		t.Errorf("%d nodes contend for the lease, want %d", contenders, maxContenders)
	}
	members[8].HoldsDutyLease = true
	if !hasLeaseHolder(members, now) {
		t.Error("node n1 contends for the lease while a peer holds it")
	}
	if hasLeaseHolder(members, now.Add(2*time.Second)) || !isFirstContender("n1", members) {
		t.Error("node n1 does not contend for the lease 2 s after the last digest of its holder")
	}
}

// Guards against duties that nobody does while the first nodes by name have lost the object API and are still heard.
func TestPollerContendsWhileFirstNodesGetNoAnswers(t *testing.T) {
	f := startFollowingNode(t, maxContenders)
	if f.isLeaseContender(dutyLeaseName) {
		t.Fatal("node contends for the lease while others before it get answers")
	}
	f.hasAnswers.Store(false)
	waitFor(t, 30*time.Second, "the node polls and contends for the lease", func() bool {
		if !f.isConfigWatchSuspended() {
			f.recordConfigAnswer(boottime.Now(), objectapi.Version{Number: 1})
		}
		return f.isLeaseContender(dutyLeaseName)
	})
}

// The store came back from a copy without the record of a node, which was not written again: a node that starts would not find
// the others.
func TestNodeRecordIsWrittenAgainAfterRestore(t *testing.T) {
	ctx := context.Background()
	store := objectapitest.NewMemoryStore()
	n := newQuarantineNode(store)
	n.registry = newRegistrySync(n)
	storeCopy := store.Copy()
	register := func() (records, writes int) {
		writesBefore := store.CallCount("put")
		n.register(ctx)
		listing, err := store.List(ctx, nodeRecordPrefix)
		if err != nil {
			t.Fatal(err)
		}
		return len(listing.Objects), store.CallCount("put") - writesBefore
	}
	for i, want := range []int{1, 0} {
		if records, writes := register(); records != 1 || writes != want {
			t.Errorf("call %d: %d records after %d writes, want 1 after %d", i+1, records, writes, want)
		}
	}
	store.Restore(storeCopy)
	n.registry.recordAnswer(boottime.Now(), objectapi.Version{Epoch: 1, Number: 1})
	for i, want := range []int{1, 0} {
		if records, writes := register(); records != 1 || writes != want {
			t.Errorf("call %d after the restore: %d records after %d writes, want 1 after %d", i+1, records, writes, want)
		}
	}
}
