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

const fakeStep = 250 * time.Millisecond

// fakeNode is a node on the in-memory network.
type fakeNode struct {
	*Exchanger
	name, domain string
	paused, down bool
	turn         int
	pushed       bool
}

// fakeMessage is a heartbeat or its answer on the way.
type fakeMessage struct {
	from, to string
	at       time.Time // of delivery
	sentAt   time.Time // of the request
	request  *peerpb.ExchangeRequest
	response *peerpb.ExchangeResponse
	sequence int64
}

// fakeNetwork runs exchangers on a virtual clock over a network with faults.
type fakeNetwork struct {
	now     time.Time
	random  *rand.Rand
	nodes   []*fakeNode
	queue   []fakeMessage
	blocked map[string]bool // "a|b" for both directions
	loss    float64
	delay   time.Duration // highest
}

func newSimNetwork(seed uint64, domains, perDomain int) *fakeNetwork {
	n := &fakeNetwork{now: time.UnixMilli(1_700_000_000_000), random: rand.New(rand.NewPCG(seed, 1)), blocked: map[string]bool{}}
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
	node.begin()
	records.onPut(func() { node.pushed = true })
}

func (n *fakeNetwork) find(name string) *fakeNode {
	i := slices.IndexFunc(n.nodes, func(s *fakeNode) bool { return s.name == name })
	return n.nodes[i]
}

func pair(a, b string) string { return min(a, b) + "|" + max(a, b) }

// send puts a message on the way, or loses or doubles it.
func (n *fakeNetwork) send(m fakeMessage) {
	copies := 1
	if n.random.Float64() < n.loss {
		copies = n.random.IntN(2) * 2
	}
	for range copies {
		m.at = n.now.Add(time.Duration(n.random.Int64N(int64(n.delay) + 1)))
		n.queue = append(n.queue, m)
	}
}

func (n *fakeNetwork) deliver() {
	queue := n.queue
	n.queue = nil
	for _, m := range queue {
		to := n.find(m.to)
		switch {
		case n.blocked[pair(m.from, m.to)] || to.down:
		case m.at.After(n.now) || to.paused:
			n.queue = append(n.queue, m)
		case m.request != nil:
			answer := to.HandleExchange(m.request)
			n.send(fakeMessage{from: m.to, to: m.from, sentAt: m.sentAt, response: answer, request: nil, sequence: m.sequence})
		case n.now.Sub(m.sentAt) <= heartbeatInterval && to.peers != nil:
			if to.finish(m.sequence, false, m.response) {
				n.heartbeat(to, Node{Name: m.from, PeerAddress: m.from}, true)
			}
		}
	}
}

func (n *fakeNetwork) heartbeat(from *fakeNode, to Node, full bool) {
	if n.find(to.Name).name == from.name {
		return
	}
	request, sequence := from.request(to, full)
	n.send(fakeMessage{from: from.name, to: to.Name, sentAt: n.now, request: request, sequence: sequence})
}

// advance runs all nodes for a while.
func (n *fakeNetwork) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(fakeStep)
		n.deliver()
		for _, node := range n.nodes {
			if node.paused || node.down {
				continue
			}
			node.tick()
			if n.now.UnixMilli()%1000 == 0 || node.pushed {
				n.beat(node)
				node.pushed = false
			}
		}
	}
}

func (n *fakeNetwork) beat(node *fakeNode) {
	domains := map[string]bool{}
	for _, other := range node.Table.All() {
		if other.FailureDomain != node.domain {
			domains[other.FailureDomain] = true
		} else if other.Name != node.name && (node.pushed || node.Table.untilDue(other) <= 0) {
			n.heartbeat(node, other, false)
		}
	}
	for _, domain := range slices.Sorted(func(yield func(string) bool) {
		for d := range domains {
			if !yield(d) {
				return
			}
		}
	}) {
		if to, found := node.Exchanger.turn(domain, node.turn); found && (node.pushed || node.Table.untilDue(to) <= 0) {
			node.turn++
			if other := n.find(to.Name); other.down || other.paused || n.blocked[pair(node.name, to.Name)] {
				node.turn = nextTurn(node.turn)
			}
			n.heartbeat(node, to, false)
		}
	}
}

func (n *fakeNetwork) heal() {
	n.blocked = map[string]bool{}
	n.loss, n.delay = 0, 0
	for _, node := range n.nodes {
		node.paused = false
		if node.down {
			node.down = false
			n.start(node)
			seed := n.nodes[0]
			if seed == node {
				seed = n.nodes[1]
			}
			node.Records.mergeFrom(seed.Records.List(RecordNode + seed.name)[0], "seed")
		}
	}
}

func (n *fakeNetwork) live(node *fakeNode) []string {
	var names []string
	for _, l := range node.Table.Live() {
		names = append(names, l.Name)
	}
	return names
}

// oracle knows what was put and what each node has seen.
type oracle struct {
	revision int64
	notices  int
	seen     map[string]int64 // node → highest revision seen since its start
	held     map[string]int   // node → notices held since its start
}

func (o *oracle) check(t *rapid.T, n *fakeNetwork) {
	for _, node := range n.nodes {
		if node.down {
			o.seen[node.name], o.held[node.name] = 0, 0
			continue
		}
		revision := int64(0)
		if r := node.Records.List(RecordRevision); len(r) > 0 {
			revision = r[0].Version
		}
		if revision < o.seen[node.name] {
			t.Fatalf("%s: revision went back from %d to %d", node.name, o.seen[node.name], revision)
		}
		held := len(node.Records.List(RecordHostNotice))
		if held < o.held[node.name] {
			t.Fatalf("%s: notices went from %d to %d", node.name, o.held[node.name], held)
		}
		o.seen[node.name], o.held[node.name] = revision, held
	}
}

// TestMembershipConverges guards against nodes that stay dead or suspect although they are connected, notices that get
// lost, and configuration that goes back, over loss, delay, duplicates, pauses, restarts and partitions.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSimNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(2, 4).Draw(t, "nodes"))
		o := &oracle{seen: map[string]int64{}, held: map[string]int{}}
		pick := func(t *rapid.T) *fakeNode { return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				n.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * fakeStep)
			},
			"degrade": func(t *rapid.T) {
				n.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
				n.delay = time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
			},
			"pause": func(t *rapid.T) { node := pick(t); node.paused = !node.paused },
			"restart": func(t *rapid.T) {
				if node := pick(t); !node.down {
					node.down = true
				}
			},
			"block": func(t *rapid.T) { n.blocked[pair(pick(t).name, pick(t).name)] = true },
			"partition": func(t *rapid.T) {
				domain := pick(t).domain
				for _, a := range n.nodes {
					for _, b := range n.nodes {
						if (a.domain == domain) != (b.domain == domain) {
							n.blocked[pair(a.name, b.name)] = true
						}
					}
				}
			},
			"heal": func(*rapid.T) { n.heal() },
			"revision": func(t *rapid.T) {
				if node := pick(t); !node.down {
					o.revision++
					_ = node.Records.Put(RecordRevision, o.revision, o.revision)
				}
			},
			"notice": func(t *rapid.T) {
				if node := pick(t); !node.down {
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
		_, hash := n.nodes[0].Records.position()
		for _, node := range n.nodes {
			if live := n.live(node); len(live) != len(n.nodes) {
				t.Fatalf("%s sees %v live, expected all %d", node.name, live, len(n.nodes))
			}
			if _, h := node.Records.position(); h != hash || len(node.Table.suspects) > 0 {
				t.Fatalf("%s differs from %s or has suspects %v", node.name, n.nodes[0].name, node.Table.suspects)
			}
		}
	})
}
