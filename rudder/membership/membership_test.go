package membership

import (
	"testing"
	"time"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// TestPausedNodeDeclaresNobodyDead guards against a resumed node that takes its own pause for the silence of others.
func TestPausedNodeDeclaresNobodyDead(t *testing.T) {
	n := newSimNetwork(1, 2, 3)
	n.advance(5 * time.Second)
	n.nodes[0].paused = true
	n.advance(20 * time.Second)
	n.nodes[0].paused = false
	n.advance(time.Second)
	for _, node := range n.nodes[1:] {
		if node.Table.Self().Incarnation != 1_700_000_000_000 {
			t.Errorf("%s had to refute its death", node.name)
		}
	}
	n.advance(10 * time.Second)
	if live := n.live(n.nodes[1]); len(live) != 6 {
		t.Errorf("live nodes after the pause: %v, expected 6", live)
	}
}

// TestSilentDomainIsNotLive guards against work for a failure domain whose nodes are all gone, and against its loss after
// it comes back.
func TestSilentDomainIsNotLive(t *testing.T) {
	n := newSimNetwork(1, 3, 2)
	n.advance(5 * time.Second)
	for _, node := range n.nodes[4:] {
		node.paused = true
	}
	n.advance(8 * time.Second)
	if live := n.live(n.nodes[0]); len(live) != 4 {
		t.Errorf("live nodes: %v, expected the 4 of the other failure domains", live)
	}
	n.heal()
	n.advance(5 * time.Second)
	if live := n.live(n.nodes[0]); len(live) != 6 {
		t.Errorf("live nodes after the return: %v, expected 6", live)
	}
}

// TestDeadNodeIsForgotten guards against records that grow with every replaced node, and against a forgotten node that
// comes back through a node that forgets later.
func TestDeadNodeIsForgotten(t *testing.T) {
	n := newSimNetwork(1, 2, 3)
	n.advance(5 * time.Second)
	n.nodes[0].down = true
	n.advance(forgetAfter + 30*time.Second)
	for _, node := range n.nodes[1:] {
		if _, found := node.Table.Find("d0-n0"); found || len(node.Records.List(RecordNode)) != 5 {
			t.Errorf("%s still knows the dead node", node.name)
		}
	}
}

// TestClustersDoNotMix guards against nodes of two clusters that meet through a wrong seed address.
func TestClustersDoNotMix(t *testing.T) {
	n := newSimNetwork(1, 1, 1)
	other := newSimNetwork(2, 1, 1).nodes[0]
	other.Cluster = "other"
	request, sequence := other.request(Node{}, false)
	request.From = "stranger"
	response := n.nodes[0].HandleExchange(request)
	if len(response.Records) > 0 || other.finish(sequence, false, response) || len(n.nodes[0].Table.All()) != 1 {
		t.Errorf("a node of another cluster was answered with %v", response)
	}
}

// TestResponsibleFallsBack guards against a failure domain that watches nothing because its watcher is silent.
func TestResponsibleFallsBack(t *testing.T) {
	n := newSimNetwork(1, 1, 3)
	n.advance(2 * time.Second)
	count := func() (responsible []*fakeNode) {
		for _, node := range n.nodes {
			if !node.paused && node.Table.Responsible(matterNodes) {
				responsible = append(responsible, node)
			}
		}
		return responsible
	}
	first := count()
	if len(first) != 1 {
		t.Fatalf("%d nodes are responsible, expected 1", len(first))
	}
	first[0].paused = true
	n.advance(4500 * time.Millisecond)
	if next := count(); len(next) != 1 {
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
	if left := r.List(""); len(left) != 1 || left[0].Key != RecordRevision {
		t.Errorf("records left: %v, expected only the revision", left)
	}
	if r.Merge(&peerpb.Record{Key: RecordHostNotice + "a", Version: 1}) {
		t.Error("an expired record was taken back at the same version")
	}
	if err := r.Put(RecordHostNotice+"b", 1, make([]int, maxRecordBytes)); err == nil {
		t.Error("a record over the size limit was put")
	}
}

// TestDigestsAreSummed guards against wrong totals for other failure domains.
func TestDigestsAreSummed(t *testing.T) {
	got := sumDigests("d", []*peerpb.LoadDigest{
		{Node: "a", Deployment: "m", Runners: 1, FreeSlots: 2, PredictedWaitMs: 100, AgeMs: 10},
		{Node: "b", Deployment: "m", Runners: 3, FreeSlots: 5, PredictedWaitMs: 500, AgeMs: 700},
	})
	if len(got) != 1 || got[0].Runners != 4 || got[0].FreeSlots != 7 || got[0].PredictedWaitMs != 400 || got[0].AgeMs != 700 {
		t.Errorf("sum is %v, expected 4 runners, 7 slots, 400 ms wait and 700 ms age", got)
	}
}
