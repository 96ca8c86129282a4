package membership

import (
	"testing"
	"time"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// TestResumedNodeDoesNotDeclareOthersDead guards against a process that is resumed after a pause and takes the heartbeats
// that it missed meanwhile for failures of the other nodes.
func TestResumedNodeDoesNotDeclareOthersDead(t *testing.T) {
	n := newFakeNetwork(1, 2, 3)
	n.advance(5 * time.Second)
	n.nodes[0].isPaused = true
	n.advance(20 * time.Second)
	n.nodes[0].isPaused = false
	n.advance(time.Second)
	for _, node := range n.nodes[1:] {
		if node.Table.Self().Incarnation != 1_700_000_000_000 {
			t.Errorf("%s raised its incarnation to refute its death, expected that no node declares it dead", node.name)
		}
	}
	n.advance(10 * time.Second)
	if live := n.liveNames(n.nodes[1]); len(live) != 6 {
		t.Errorf("live nodes after the pause: %v, expected 6", live)
	}
}

// TestUnreachableDomainIsNotLive guards against requests to a failure domain whose nodes have all stopped, and against a
// failure domain that is not used again after its nodes return.
func TestUnreachableDomainIsNotLive(t *testing.T) {
	n := newFakeNetwork(1, 3, 2)
	n.advance(5 * time.Second)
	for _, node := range n.nodes[4:] {
		node.isPaused = true
	}
	n.advance(8 * time.Second)
	if live := n.liveNames(n.nodes[0]); len(live) != 4 {
		t.Errorf("live nodes: %v, expected the 4 of the reachable failure domains", live)
	}
	n.heal()
	n.advance(5 * time.Second)
	if live := n.liveNames(n.nodes[0]); len(live) != 6 {
		t.Errorf("live nodes after the failure domain has returned: %v, expected 6", live)
	}
}

// TestDeadNodeIsRemoved guards against a set of records that grows with every replaced node, and against a deleted node that
// is restored by another node that deletes it later.
func TestDeadNodeIsRemoved(t *testing.T) {
	n := newFakeNetwork(1, 2, 3)
	n.advance(5 * time.Second)
	n.nodes[0].isDown = true
	n.advance(nodeRetention + 30*time.Second)
	for _, node := range n.nodes[1:] {
		if _, found := node.Table.Find("d0-n0"); found || len(node.Records.List(RecordNode)) != 5 {
			t.Errorf("%s has not deleted the dead node or its record", node.name)
		}
	}
}

// TestNodesOfOtherClustersAreIgnored guards against an exchange of records between two clusters after one of their nodes was
// given a seed address of the other cluster.
func TestNodesOfOtherClustersAreIgnored(t *testing.T) {
	n := newFakeNetwork(1, 1, 1)
	other := newFakeNetwork(2, 1, 1).nodes[0]
	other.Cluster = "other"
	request, sequence := other.newRequest(Node{}, false)
	request.From = "stranger"
	response := n.nodes[0].HandleExchange(request)
	if len(response.Records) > 0 || other.handleResponse(sequence, false, response) || len(n.nodes[0].Table.All()) != 1 {
		t.Errorf("exchange with a node of another cluster transferred records or changed the table, response %v", response)
	}
}

// TestResponsibilityMovesFromPausedNode guards against a failure domain in which no node watches the object API after the
// responsible node is paused.
func TestResponsibilityMovesFromPausedNode(t *testing.T) {
	n := newFakeNetwork(1, 1, 3)
	n.advance(2 * time.Second)
	responsibleNodes := func() (responsible []*fakeNode) {
		for _, node := range n.nodes {
			if !node.isPaused && node.Table.IsResponsibleFor(taskWatchNodes) {
				responsible = append(responsible, node)
			}
		}
		return responsible
	}
	first := responsibleNodes()
	if len(first) != 1 {
		t.Fatalf("%d nodes are responsible, expected 1", len(first))
	}
	first[0].isPaused = true
	n.advance(4500 * time.Millisecond)
	if next := responsibleNodes(); len(next) != 1 {
		t.Errorf("%d nodes are responsible after the first one was paused, expected 1", len(next))
	}
}

// TestRecordsAreBounded guards against memory use that grows without limit with notices and quarantines.
func TestRecordsAreBounded(t *testing.T) {
	r := NewRecords()
	now := time.Unix(0, 0)
	r.now = func() time.Time { return now }
	r.Merge(&peerpb.Record{Key: RecordRevision, Version: 1})
	r.Merge(&peerpb.Record{Key: RecordHostNotice + "a", Version: 1})
	now = now.Add(3 * time.Hour)
	r.expire()
	if remaining := r.List(""); len(remaining) != 1 || remaining[0].Key != RecordRevision {
		t.Errorf("records after expiry: %v, expected only the revision", remaining)
	}
	if r.Merge(&peerpb.Record{Key: RecordHostNotice + "a", Version: 1}) {
		t.Error("an expired record was accepted again at the same version")
	}
	if err := r.Put(RecordHostNotice+"b", 1, make([]int, maxRecordBytes)); err == nil {
		t.Error("Put accepted a value over the size limit")
	}
}

// TestDigestsAreAggregated guards against wrong aggregates for other failure domains.
func TestDigestsAreAggregated(t *testing.T) {
	got := aggregateDigests("d", []*peerpb.LoadDigest{
		{Node: "a", Deployment: "m", Runners: 1, FreeSlots: 2, PredictedWaitMs: 100, AgeMs: 10},
		{Node: "b", Deployment: "m", Runners: 3, FreeSlots: 5, PredictedWaitMs: 500, AgeMs: 700},
	})
	if len(got) != 1 || got[0].Runners != 4 || got[0].FreeSlots != 7 || got[0].PredictedWaitMs != 400 || got[0].AgeMs != 700 {
		t.Errorf("aggregate is %v, expected 4 runners, 7 free slots, 400 ms wait and 700 ms age", got)
	}
}
