package membership

import (
	"testing"
	"time"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// TestResumedNodeDoesNotDeclareOthersDead guards against a resumed node that takes its own pause for the silence of others.
func TestResumedNodeDoesNotDeclareOthersDead(t *testing.T) {
	n := newFakeNetwork(1, 2, 3)
	n.advance(5 * time.Second)
	n.nodes[0].isPaused = true
	n.advance(20 * time.Second)
	n.nodes[0].isPaused = false
	n.advance(time.Second)
	for _, node := range n.nodes[1:] {
		if node.Table.Self().Incarnation != 1_700_000_000_000 {
			t.Errorf("%s had to refute its death", node.name)
		}
	}
	n.advance(10 * time.Second)
	if live := n.liveNames(n.nodes[1]); len(live) != 6 {
		t.Errorf("live nodes after the pause: %v, expected 6", live)
	}
}

// TestUnreachableDomainIsNotLive guards against work for a failure domain whose nodes are all gone, and against its loss after
// it comes back.
func TestUnreachableDomainIsNotLive(t *testing.T) {
	n := newFakeNetwork(1, 3, 2)
	n.advance(5 * time.Second)
	for _, node := range n.nodes[4:] {
		node.isPaused = true
	}
	n.advance(8 * time.Second)
	if live := n.liveNames(n.nodes[0]); len(live) != 4 {
		t.Errorf("live nodes: %v, expected the 4 of the other failure domains", live)
	}
	n.heal()
	n.advance(5 * time.Second)
	if live := n.liveNames(n.nodes[0]); len(live) != 6 {
		t.Errorf("live nodes after the return: %v, expected 6", live)
	}
}

// TestDeadNodeIsRemoved guards against records that grow with every replaced node, and against a forgotten node that
// comes back through a node that forgets later.
func TestDeadNodeIsRemoved(t *testing.T) {
	n := newFakeNetwork(1, 2, 3)
	n.advance(5 * time.Second)
	n.nodes[0].isDown = true
	n.advance(nodeRetention + 30*time.Second)
	for _, node := range n.nodes[1:] {
		if _, found := node.Table.Find("d0-n0"); found || len(node.Records.List(RecordNode)) != 5 {
			t.Errorf("%s still knows the dead node", node.name)
		}
	}
}

// TestNodesOfOtherClustersAreIgnored guards against nodes of two clusters that meet through a wrong seed address.
func TestNodesOfOtherClustersAreIgnored(t *testing.T) {
	n := newFakeNetwork(1, 1, 1)
	other := newFakeNetwork(2, 1, 1).nodes[0]
	other.Cluster = "other"
	request, sequence := other.newRequest(Node{}, false)
	request.From = "stranger"
	response := n.nodes[0].Answer(request)
	if len(response.Records) > 0 || other.handleResponse(sequence, false, response) || len(n.nodes[0].Table.All()) != 1 {
		t.Errorf("a node of another cluster was answered with %v", response)
	}
}

// TestResponsibilityMovesFromSilentNode guards against a failure domain that watches nothing because its watcher is silent.
func TestResponsibilityMovesFromSilentNode(t *testing.T) {
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
		t.Errorf("%d nodes are responsible after the first fell silent, expected 1", len(next))
	}
}

// TestRecordsAreBounded guards against memory that grows with notices and quarantines without end.
func TestRecordsAreBounded(t *testing.T) {
	r := NewRecords()
	now := time.Unix(0, 0)
	r.now = func() time.Time { return now }
	r.Merge(&peerpb.Record{Key: RecordRevision, Version: 1})
	r.Merge(&peerpb.Record{Key: RecordHostNotice + "a", Version: 1})
	now = now.Add(3 * time.Hour)
	r.expire()
	if remaining := r.List(""); len(remaining) != 1 || remaining[0].Key != RecordRevision {
		t.Errorf("records left: %v, expected only the revision", remaining)
	}
	if r.Merge(&peerpb.Record{Key: RecordHostNotice + "a", Version: 1}) {
		t.Error("an expired record was taken back at the same version")
	}
	if err := r.Put(RecordHostNotice+"b", 1, make([]int, maxRecordBytes)); err == nil {
		t.Error("a record over the size limit was put")
	}
}

// TestDigestsAreAggregated guards against wrong totals for other failure domains.
func TestDigestsAreAggregated(t *testing.T) {
	got := aggregateDigests("d", []*peerpb.LoadDigest{
		{Node: "a", Deployment: "m", Runners: 1, FreeSlots: 2, PredictedWaitMs: 100, AgeMs: 10},
		{Node: "b", Deployment: "m", Runners: 3, FreeSlots: 5, PredictedWaitMs: 500, AgeMs: 700},
	})
	if len(got) != 1 || got[0].Runners != 4 || got[0].FreeSlots != 7 || got[0].PredictedWaitMs != 400 || got[0].AgeMs != 700 {
		t.Errorf("sum is %v, expected 4 runners, 7 slots, 400 ms wait and 700 ms age", got)
	}
}
