package mesh

import (
	"fmt"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/objectapi"
)

// newsFleet is a testFleet in which nodes can send news. It counts what each node learns from news.
type newsFleet struct {
	*testFleet
	learnt map[string]int // news with a change of the registry, by address
	bytes  map[string]int // sent, by address
}

func newNewsFleet(domains, nodesPerDomain int) *newsFleet {
	f := &newsFleet{testFleet: newTestFleet(domains, nodesPerDomain)}
	f.reset()
	for i, m := range f.meshes {
		m.conn = f.conns[i]
		m.OnDigest = func(member *Member) {
			if len(member.Registry.Changes) > 0 {
				f.learnt[m.SelfAddress]++
			}
		}
	}
	return f
}

func (f *newsFleet) reset() { f.learnt, f.bytes = map[string]int{}, map[string]int{} }

// sendNews lets a node send news with the drain of some servers, and returns the number of steps until all datagrams have
// arrived.
func (f *newsFleet) sendNews(node, servers int) (steps int) {
	f.network.clock = f.network.clock.Add(time.Millisecond) // no node counts as silent in the course of a test
	m := f.meshes[node]
	m.ComposeNews = func(bool) (*Digest, bool) {
		d := m.ComposeDigest().brief()
		d.IsBrief = false
		for i := range servers {
			d.Registry.Changes = append(d.Registry.Changes, NewDrain(objectapi.Version{Epoch: 1, Number: 1e6}, fmt.Sprintf("model-a-%05d", i)))
		}
		d.Registry.Revision = objectapi.Version{Epoch: 1, Number: 1e6}
		return &d, servers > 0
	}
	m.sendDueNews(f.conns[node], f.network.clock)
	for ; len(f.network.pending) > 0; steps++ {
		for _, d := range f.network.pending {
			f.bytes[d.from] += len(d.data)
		}
		f.network.deliver()
	}
	return steps
}

func (f *newsFleet) checkAllLearnt(t *testing.T, what string, except ...int) {
	t.Helper()
	for i, m := range f.meshes {
		want := 1
		for _, e := range except {
			if i == e {
				want = 0
			}
		}
		if got := f.learnt[m.SelfAddress]; got != want {
			t.Fatalf("%s: node %d learnt the news %d times, want %d", what, i, got, want)
		}
	}
}

// Pattern: hundreds of nodes, and a server that leaves. Guards against news whose time or load on the sender grows with the
// number of nodes: each node must learn them once, in three steps, and no node sends more than four times the fan-out.
func TestNewsToHundredsOfNodes(t *testing.T) {
	for _, perDomain := range []int{33, 100} {
		f := newNewsFleet(3, perDomain)
		clear(f.network.sent)
		clear(f.network.arrived)
		const leaving = 48 // the servers of a failure domain that are reclaimed
		if steps := f.sendNews(1, leaving); steps > 3 {
			t.Errorf("news reach %d nodes in %d steps, want at most 3", 3*perDomain, steps)
		}
		f.checkAllLearnt(t, "all alive", 1)
		total, busiest, most := 0, 0, 0
		for _, c := range f.conns {
			total, busiest, most = total+f.network.sent[c.address], max(busiest, f.network.sent[c.address]), max(most, f.bytes[c.address])
		}
		if want := 2 * (3*perDomain - 1); total != want || busiest > 2*2*newsFanOut {
			t.Errorf("%d datagrams, %d by one node, want %d and at most %d", total, busiest, want, 2*2*newsFanOut)
		}
		if limit := int(linkBytesPerSecond / 10); most > limit {
			t.Errorf("one node sends %d bytes for the news, want at most %d, 100 ms of its link", most, limit)
		}
		t.Logf("%d nodes, %d servers leave: %d datagrams, at most %d and %d bytes by one node", 3*perDomain, leaving, total, busiest, most)
	}
}

// Guards against a lost datagram that keeps news from a part of the fleet.
func TestNewsSurviveLossOfAnyDatagram(t *testing.T) {
	f := newNewsFleet(4, 30)
	for lost := range 2 * 119 {
		f.reset()
		sent := 0
		f.network.isLost = func(string, string) bool { sent++; return sent-1 == lost }
		f.sendNews(1, 1)
		f.checkAllLearnt(t, fmt.Sprint("datagram ", lost, " is lost"), 1)
	}
}

// Guards against a node that dies, or is frozen, unnoticed so far, and keeps news from those to which it would pass them on.
func TestNewsSurviveDeathOfAnyNode(t *testing.T) {
	f := newNewsFleet(4, 30)
	for dead := range f.meshes {
		if dead == 1 {
			continue
		}
		f.reset()
		f.network.isLost = func(_, to string) bool { return to == f.meshes[dead].SelfAddress }
		f.sendNews(1, 1)
		f.checkAllLearnt(t, fmt.Sprint("node ", dead, " is dead"), 1, dead)
	}
}

// Guards against a node that is killed while it sends news: what it could not send comes from the second node that watches.
func TestNewsOfSecondWatcherMakeUpForTheFirst(t *testing.T) {
	f := newNewsFleet(4, 30)
	for sendable := range 2 * newsFanOut {
		f.reset()
		first, sent := f.meshes[1].SelfAddress, 0
		f.network.isLost = func(from, to string) bool {
			if to == first {
				return true
			}
			if from == first {
				sent++
			}
			return from == first && sent > sendable
		}
		f.sendNews(1, 1)
		f.sendNews(40, 1)
		for i, m := range f.meshes {
			if i != 1 && i != 40 && f.learnt[m.SelfAddress] == 0 {
				t.Fatalf("the first watcher sent %d datagrams, and node %d learnt nothing", sendable, i)
			}
		}
	}
}

// Guards against full digests of a peer that news overtook: its latest state must stay, and its loads must stay in the sums of
// the failure domain when news replace its state.
func TestNewsAndDigestsOfOneNode(t *testing.T) {
	f := newNewsFleet(4, 30)
	origin, receiver := f.meshes[1], f.meshes[2]
	name := "n-0-01"
	before := receiver.composeSummary(true).Summary.Loads["s"]
	f.sendNews(1, 1)
	member := receiver.members[name]
	if member.Registry.Revision.Number != 1e6 || member.SentAt != f.network.clock {
		t.Fatalf("after news, the registry of their sender is %+v as of %v, want revision 1000000 as of now", member.Registry, member.SentAt)
	}
	if after := receiver.composeSummary(true).Summary.Loads["s"]; after.Running != before.Running {
		t.Errorf("the sum of the loads is %+v after news, %+v before", after, before)
	}
	late := Digest{Node: name, Incarnation: 1, FailureDomain: "d0", State: Ready, BootClockMillis: millis(f.network.clock) - 300, Loads: map[string]backend.PeerLoad{"s": {Running: 5}}}
	receiver.handleDigest(late, origin.SelfAddress, f.network.clock)
	if member := receiver.members[name]; member.Registry.Revision.Number != 1e6 || member.Loads["s"].Running != 5 {
		t.Errorf("after a digest that news overtook, the member is %+v, want the registry of the news and the loads of the digest", member)
	}
	if remote := f.meshes[50].members[name]; remote.ReceivedAt != f.network.clock {
		t.Errorf("a node of another failure domain heard of the sender at %v, want now", remote.ReceivedAt)
	}
}

// Guards against malformed news that end a node or circulate for ever.
func TestMalformedNewsAreNotPassedOn(t *testing.T) {
	f := newNewsFleet(4, 30)
	own, err := digestEncoding.Marshal(Digest{Node: "n-0-01", Incarnation: 1, BootClockMillis: 5})
	if err != nil {
		t.Fatal(err)
	}
	for name, news := range map[string]*News{
		"no content": {Hops: 3}, "no hops": {Content: own, Address: f.meshes[1].SelfAddress}, "negative hops": {Content: own, Address: f.meshes[1].SelfAddress, Hops: -1},
		"own news": {Content: own, Address: f.meshes[0].SelfAddress, Hops: 3}, "content that is none": {Content: []byte{0xff}, Hops: 3},
	} {
		f.meshes[0].handleNews(news, "10.9.9.9:1", f.network.clock)
		if sent := len(f.network.pending); sent != 0 {
			t.Errorf("%s: %d datagrams are sent, want none", name, sent)
		}
	}
	f.meshes[0].handleNews(&News{Content: own, Address: f.meshes[1].SelfAddress, Hops: 1 << 40}, "10.9.9.9:1", f.network.clock)
	steps := 0
	for ; len(f.network.pending) > 0; steps++ {
		f.network.deliver()
	}
	if steps > maxNewsHops {
		t.Errorf("news with many hops are passed on in %d steps, want at most %d", steps, maxNewsHops)
	}
}
