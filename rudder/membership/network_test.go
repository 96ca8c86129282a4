package membership

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
	"chestnutrudder.example/rudder/peer/peerpb"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20") }

// fakeClockStep is the resolution of the virtual clock; advance calls tick on each step.
const fakeClockStep = 250 * time.Millisecond

// fakeNode is a node of fakeNetwork. A paused node receives its messages when it resumes, a stopped one loses them.
type fakeNode struct {
	*Exchanger
	name, domain     string
	isPaused, isDown bool
	turn             int  // in the rotation over the nodes of other failure domains
	needsPush        bool // heartbeats are sent on the next step
}

// fakeMessage is a heartbeat or its response in transit.
type fakeMessage struct {
	from, to  string
	deliverAt time.Time
	sentAt    time.Time // when the heartbeat was sent, also in the response
	request   *peerpb.ExchangeRequest
	response  *peerpb.ExchangeResponse
	sequence  int64 // as returned by newRequest
}

// fakeNetwork runs exchangers on a virtual clock over an in-memory network with faults.
type fakeNetwork struct {
	now          time.Time
	random       *rand.Rand
	nodes        []*fakeNode
	inFlight     []fakeMessage
	blockedLinks map[string]bool // "a|b" for both directions
	faultRate    float64         // probability that a message is lost or duplicated, each in half of the cases
	maxDelay     time.Duration
}

// newFakeNetwork starts the nodes of several failure domains, each of which knows all others.
func newFakeNetwork(seed uint64, domains, perDomain int) *fakeNetwork {
	n := &fakeNetwork{now: time.UnixMilli(1_700_000_000_000), random: rand.New(rand.NewPCG(seed, 1)), blockedLinks: map[string]bool{}}
	for d := range domains {
		for i := range perDomain {
			node := &fakeNode{name: fmt.Sprintf("d%d-n%d", d, i), domain: fmt.Sprintf("d%d", d)}
			n.nodes = append(n.nodes, node)
			n.start(node)
		}
	}
	for _, a := range n.nodes {
		for _, b := range n.nodes {
			a.Records.mergeFrom(b.Records.List(RecordNode + b.name)[0], "seed")
		}
	}
	return n
}

func (n *fakeNetwork) start(node *fakeNode) {
	table := NewTable(Node{Name: node.name, FailureDomain: node.domain, PeerAddress: node.name, Incarnation: n.now.UnixMilli()})
	records := NewRecords()
	table.now = func() time.Time { return n.now }
	records.now = table.now
	node.Exchanger = &Exchanger{Table: table, Records: records, Cluster: "test", Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	node.initialise()
	records.setOnLocalPut(func() { node.needsPush = true })
}

func (n *fakeNetwork) find(name string) *fakeNode {
	i := slices.IndexFunc(n.nodes, func(s *fakeNode) bool { return s.name == name })
	return n.nodes[i]
}

// linkKey identifies the link between two nodes, in both directions.
func linkKey(a, b string) string { return min(a, b) + "|" + max(a, b) }

// send puts a message in transit, or loses or duplicates it.
func (n *fakeNetwork) send(m fakeMessage) {
	copies := 1
	if n.random.Float64() < n.faultRate {
		copies = n.random.IntN(2) * 2
	}
	for range copies {
		m.deliverAt = n.now.Add(time.Duration(n.random.Int64N(int64(n.maxDelay) + 1)))
		n.inFlight = append(n.inFlight, m)
	}
}

// deliver processes the messages that are due; a response after heartbeatInterval is dropped, as its request has timed out.
func (n *fakeNetwork) deliver() {
	messages := n.inFlight
	n.inFlight = nil
	for _, m := range messages {
		to := n.find(m.to)
		switch {
		case n.blockedLinks[linkKey(m.from, m.to)] || to.isDown:
		case m.deliverAt.After(n.now) || to.isPaused:
			n.inFlight = append(n.inFlight, m)
		case m.request != nil:
			response := to.HandleExchange(m.request)
			n.send(fakeMessage{from: m.to, to: m.from, sentAt: m.sentAt, response: response, request: nil, sequence: m.sequence})
		case n.now.Sub(m.sentAt) <= heartbeatInterval && to.peers != nil:
			if to.handleResponse(m.sequence, false, m.response) {
				n.sendHeartbeat(to, Node{Name: m.from, PeerAddress: m.from}, true)
			}
		}
	}
}

func (n *fakeNetwork) sendHeartbeat(from *fakeNode, to Node, full bool) {
	if n.find(to.Name).name == from.name {
		return
	}
	request, sequence := from.newRequest(to, full)
	n.send(fakeMessage{from: from.name, to: to.Name, sentAt: n.now, request: request, sequence: sequence})
}

// advance runs all nodes for a duration of the virtual clock.
func (n *fakeNetwork) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(fakeClockStep)
		n.deliver()
		for _, node := range n.nodes {
			if node.isPaused || node.isDown {
				continue
			}
			node.tick()
			if n.now.UnixMilli()%1000 == 0 || node.needsPush {
				n.sendDueHeartbeats(node)
				node.needsPush = false
			}
		}
	}
}

func (n *fakeNetwork) sendDueHeartbeats(node *fakeNode) {
	domains := map[string]bool{}
	for _, other := range node.Table.All() {
		if other.FailureDomain != node.domain {
			domains[other.FailureDomain] = true
		} else if other.Name != node.name && (node.needsPush || node.Table.timeUntilHeartbeat(other) <= 0) {
			n.sendHeartbeat(node, other, false)
		}
	}
	for _, domain := range slices.Sorted(func(yield func(string) bool) {
		for d := range domains {
			if !yield(d) {
				return
			}
		}
	}) {
		if to, found := node.Exchanger.nodeForTurn(domain, node.turn); found && (node.needsPush || node.Table.timeUntilHeartbeat(to) <= 0) {
			node.turn++
			if other := n.find(to.Name); other.isDown || other.isPaused || n.blockedLinks[linkKey(node.name, to.Name)] {
				node.turn = firstTurnOfNextNode(node.turn)
			}
			n.sendHeartbeat(node, to, false)
		}
	}
}

// heal removes all network faults, resumes paused nodes and starts stopped ones with one seed each.
func (n *fakeNetwork) heal() {
	n.blockedLinks = map[string]bool{}
	n.faultRate, n.maxDelay = 0, 0
	for _, node := range n.nodes {
		node.isPaused = false
		if node.isDown {
			node.isDown = false
			n.start(node)
			seed := n.nodes[0]
			if seed == node {
				seed = n.nodes[1]
			}
			node.Records.mergeFrom(seed.Records.List(RecordNode + seed.name)[0], "seed")
		}
	}
}

func (n *fakeNetwork) liveNames(node *fakeNode) []string {
	var names []string
	for _, l := range node.Table.Live() {
		names = append(names, l.Name)
	}
	return names
}

// oracle records what was put and what each node had at the last check.
type oracle struct {
	revision     int64            // last revision put
	notices      int              // notices put
	seenRevision map[string]int64 // node → revision at the last check, 0 after a restart
	seenNotices  map[string]int   // node → number of notices at the last check, 0 after a restart
}

// check fails if a node has an older revision or fewer notices than at the last check.
func (o *oracle) check(t *rapid.T, n *fakeNetwork) {
	for _, node := range n.nodes {
		if node.isDown {
			o.seenRevision[node.name], o.seenNotices[node.name] = 0, 0
			continue
		}
		revision := int64(0)
		if r := node.Records.List(RecordRevision); len(r) > 0 {
			revision = r[0].Version
		}
		if revision < o.seenRevision[node.name] {
			t.Fatalf("%s: revision decreased from %d to %d", node.name, o.seenRevision[node.name], revision)
		}
		notices := len(node.Records.List(RecordHostNotice))
		if notices < o.seenNotices[node.name] {
			t.Fatalf("%s: number of notices decreased from %d to %d", node.name, o.seenNotices[node.name], notices)
		}
		o.seenRevision[node.name], o.seenNotices[node.name] = revision, notices
	}
}

// TestMembershipConverges guards against nodes that stay dead or suspect although they are connected, lost notices, and a
// configuration revision that decreases, under message loss, delay, duplication, pauses, restarts and partitions.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newFakeNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(2, 4).Draw(t, "nodes"))
		o := &oracle{seenRevision: map[string]int64{}, seenNotices: map[string]int{}}
		drawNode := func(t *rapid.T) *fakeNode { return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				n.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * fakeClockStep)
			},
			"degrade": func(t *rapid.T) {
				n.faultRate = rapid.Float64Range(0, 0.4).Draw(t, "loss")
				n.maxDelay = time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
			},
			"pause": func(t *rapid.T) { node := drawNode(t); node.isPaused = !node.isPaused },
			"restart": func(t *rapid.T) {
				if node := drawNode(t); !node.isDown {
					node.isDown = true
				}
			},
			"block": func(t *rapid.T) { n.blockedLinks[linkKey(drawNode(t).name, drawNode(t).name)] = true },
			"partition": func(t *rapid.T) {
				domain := drawNode(t).domain
				for _, a := range n.nodes {
					for _, b := range n.nodes {
						if (a.domain == domain) != (b.domain == domain) {
							n.blockedLinks[linkKey(a.name, b.name)] = true
						}
					}
				}
			},
			"heal": func(*rapid.T) { n.heal() },
			"revision": func(t *rapid.T) {
				if node := drawNode(t); !node.isDown {
					o.revision++
					_ = node.Records.Put(RecordRevision, o.revision, o.revision)
				}
			},
			"notice": func(t *rapid.T) {
				if node := drawNode(t); !node.isDown {
					o.notices++
					_ = node.Records.Put(fmt.Sprintf("%sh%d", RecordHostNotice, o.notices), 1, o.notices)
				}
			},
			"": func(t *rapid.T) { o.check(t, n) },
		})
		n.heal()
		o.check(t, n)
		n.advance(40 * time.Second)
		o.check(t, n)
		_, hash := n.nodes[0].Records.sequenceAndHash()
		for _, node := range n.nodes {
			if live := n.liveNames(node); len(live) != len(n.nodes) {
				t.Fatalf("%s: live nodes are %v, expected all %d", node.name, live, len(n.nodes))
			}
			if _, h := node.Records.sequenceAndHash(); h != hash || len(node.Table.suspects) > 0 {
				t.Fatalf("%s: records differ from those of %s, or suspects: %v", node.name, n.nodes[0].name, node.Table.suspects)
			}
		}
	})
}
