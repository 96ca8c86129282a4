package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20261204") }

func testNodes(count int) []membership.Node {
	var list []membership.Node
	for i := range count {
		list = append(list, membership.Node{Name: fmt.Sprintf("node-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i)})
	}
	return list
}

// TestChoose guards against the selection of a dispatcher that is excluded, overloaded, slow or likely to be reclaimed.
func TestChoose(t *testing.T) {
	digest := func(change func(*peerpb.LoadDigest)) Digest {
		d := &peerpb.LoadDigest{Runners: 3, Slots: 48, FreeSlots: 48, PriceMicrosPerHour: 1}
		change(d)
		return Digest{LoadDigest: d}
	}
	idle := digest(func(*peerpb.LoadDigest) {})
	long := Request{Class: limit.ClassLong, Preference: object.Preference{RecomputedTokens: 0.7}}
	for _, c := range []struct {
		name    string
		policy  string
		digests []Digest
		request Request
		want    string
	}{
		{"no digests", PolicyPredicted, nil, Request{}, "node-0"},
		{"excluded", PolicyPredicted, []Digest{idle, idle, idle}, Request{Excluded: map[string]bool{"node-0": true}}, "node-1"},
		{"first of similar waits", PolicyPredicted, []Digest{digest(func(d *peerpb.LoadDigest) { d.PredictedWaitMs = 40 }), idle, idle}, Request{}, "node-0"},
		{"longer wait", PolicyPredicted, []Digest{digest(func(d *peerpb.LoadDigest) { d.PredictedWaitMs = 90 }), idle, idle}, Request{}, "node-1"},
		{"over the load bound", PolicyPredicted, []Digest{digest(func(d *peerpb.LoadDigest) { d.FreeSlots = 10 }), idle, idle}, Request{}, "node-1"},
		{"below a fifth of its slots", PolicyPredicted, []Digest{digest(func(d *peerpb.LoadDigest) { d.FreeSlots = 40 }), idle, idle}, Request{}, "node-0"},
		{"above a fifth of its slots", PolicyPredicted, []Digest{digest(func(d *peerpb.LoadDigest) { d.FreeSlots = 30 }), idle, idle}, Request{}, "node-1"},
		{"long request avoids reclaimable runners", PolicyPredicted, []Digest{digest(func(d *peerpb.LoadDigest) { d.ReclaimableRunners = 3 }), idle, idle}, long, "node-1"},
		{"least loaded", PolicyLeastLoaded, []Digest{digest(func(d *peerpb.LoadDigest) { d.FreeSlots = 20 }), digest(func(d *peerpb.LoadDigest) { d.FreeSlots = 30 }), digest(func(d *peerpb.LoadDigest) { d.FreeSlots = 25 })}, Request{}, "node-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			digests := map[string]Digest{}
			for i, d := range c.digests {
				digests[fmt.Sprintf("node-%d", i)] = d
			}
			choice, found := selectByPolicy(c.policy, testNodes(3), digests, c.request, 0)
			if !found || choice.Node.Name != c.want {
				t.Errorf("selected %q (%s), expected %s", choice.Node.Name, choice.Reason, c.want)
			}
		})
	}
	if _, found := selectByPolicy(PolicyPredicted, testNodes(1), nil, Request{Excluded: map[string]bool{"node-0": true}}, 0); found {
		t.Error("selected an excluded dispatcher")
	}
}

// TestBoundedLoad guards against a popular prefix that overloads one dispatcher while others are idle.
func TestBoundedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "nodes")
		requests := rapid.IntRange(1, count*40).Draw(t, "requests")
		router := NewRouter(PolicyPredicted)
		var digests []*peerpb.LoadDigest
		for _, n := range testNodes(count) {
			digests = append(digests, &peerpb.LoadDigest{Node: n.Name, Deployment: "d", Runners: 3, Slots: 48, FreeSlots: 48})
		}
		router.Digests.Update(digests)
		requestsByNode := map[string]int{}
		for range requests {
			choice, _ := router.Choose(testNodes(count), Request{Deployment: "d"})
			requestsByNode[choice.Node.Name]++
		}
		bound := max(24, int(loadBoundFactor*float64(requests)/float64(count))+1)
		for name, n := range requestsByNode {
			if n > bound {
				t.Fatalf("%s received %d of %d requests, want at most %d", name, n, requests, bound)
			}
		}
	})
}

// TestDigestStore guards against old digests that replace newer ones, and against those of dispatchers that went silent.
func TestDigestStore(t *testing.T) {
	d := NewDigestStore()
	now := time.Unix(1000, 0)
	d.now = func() time.Time { return now }
	d.Update([]*peerpb.LoadDigest{{Node: "a", Deployment: "x", FreeSlots: 5}})
	now = now.Add(time.Second)
	d.RecordAssignment(membership.Node{Name: "a"}, "x")
	d.Update([]*peerpb.LoadDigest{{Node: "a", Deployment: "x", FreeSlots: 9, AgeMs: 2000}})
	if got := d.ForDeployment("x")["a"]; got.FreeSlots != 5 || got.Age != time.Second || got.AssignedRequests != 1 {
		t.Errorf("digest %+v, expected the newer digest with one assigned request", got)
	}
	d.Update([]*peerpb.LoadDigest{{Node: "a", Deployment: "x", FreeSlots: 4}})
	if got := d.ForDeployment("x")["a"]; got.FreeSlots != 4 || got.AssignedRequests != 0 {
		t.Errorf("digest %+v, expected the newest digest without assigned requests", got)
	}
	d.Update([]*peerpb.LoadDigest{{FailureDomain: "far", Deployment: "x", FreeSlots: 7}})
	if got := digestFor(d.ForDeployment("x"), membership.Node{Name: "b", FailureDomain: "far"}); got.LoadDigest == nil || got.FreeSlots != 7 {
		t.Errorf("digest %+v, expected the digest of the failure domain", got)
	}
	now = now.Add(digestTTL + time.Millisecond)
	if got := d.ForDeployment("x"); len(got) != 0 {
		t.Errorf("%d digests left, expected none after %s", len(got), digestTTL)
	}
}

// TestRendezvousKey guards against different keys for requests with a common prefix, and equal keys for short prompts.
func TestRendezvousKey(t *testing.T) {
	prefix := strings.Repeat("word ", 64)
	if RendezvousKey(prefix+"one question") != RendezvousKey(prefix+"another, longer question about a bowl") {
		t.Error("requests with a common prefix have different keys")
	}
	if RendezvousKey("a short question") == RendezvousKey("b short question") {
		t.Error("different short prompts have the same key")
	}
}
