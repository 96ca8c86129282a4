package relaynode

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
)

// pollSystem plays nodes that follow the configuration, in steps of a millisecond: their calls of the object API, their digests
// and the decision of each whether it polls. Digests get lost and come late.
type pollSystem struct {
	t        *testing.T
	random   *rand.Rand
	timing   configTiming
	bound    time.Duration
	now      boottime.Instant
	nodes    []*pollNode
	versions []boottime.Instant // when each version was acknowledged, version 1 first
	inFlight map[boottime.Instant][]func()
	calls    int
	lateBy   map[int]time.Duration // by node: the most beyond the bound
	worst    time.Duration         // from the acknowledgement of a version to when a node in touch has it
}

type pollNode struct {
	index      int
	version    int // in force; 0 before the first
	calledAt   boottime.Instant
	answeredAt boottime.Instant
	isPolling  bool
	isCut      bool                     // from the object API
	cutEndedAt boottime.Instant         // 0 if it was never cut off
	answers    map[int]boottime.Instant // of other nodes, as their digests told
	wanted     int                      // newest version of a peer
	staleUntil boottime.Instant
	retryDelay time.Duration
}

const (
	storeRoundTrip = 40 * time.Millisecond
	digestLoss     = 0.05
	staleAnswers   = 0.1 // part of the stale reads that return an old version
	contactTime    = 3 * time.Second
)

func newPollSystem(t *testing.T, nodes int, bound time.Duration, seed uint64) *pollSystem {
	s := &pollSystem{t: t, random: rand.New(rand.NewPCG(seed, 0)), timing: newConfigTiming(bound), bound: bound, now: boottime.Instant(time.Hour), inFlight: map[boottime.Instant][]func(){}, lateBy: map[int]time.Duration{}}
	s.versions = []boottime.Instant{s.now}
	for i := range nodes {
		n := &pollNode{index: i, version: 1, answers: map[int]boottime.Instant{}, answeredAt: s.now, retryDelay: 100 * time.Millisecond}
		s.nodes = append(s.nodes, n)
		s.after(time.Duration(s.random.IntN(100))*time.Millisecond, func() { s.follow(n) })
		s.after(time.Duration(s.random.IntN(250))*time.Millisecond, func() { s.tell(n) })
	}
	return s
}

func (s *pollSystem) after(d time.Duration, f func()) {
	at := s.now.Add(max(d.Truncate(time.Millisecond), time.Millisecond))
	s.inFlight[at] = append(s.inFlight[at], f)
}

// run plays a time.
func (s *pollSystem) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(time.Millisecond)
		due := s.inFlight[s.now]
		delete(s.inFlight, s.now)
		for _, f := range due {
			f()
		}
		s.check()
	}
}

// check notes nodes in touch that lack a version which was acknowledged longer than the bound ago.
func (s *pollSystem) check() {
	for _, n := range s.nodes {
		isInTouch := !n.isCut && (n.cutEndedAt == 0 || s.now.Sub(n.cutEndedAt) > contactTime)
		if n.version == len(s.versions) || !isInTouch {
			continue
		}
		lag := s.now.Sub(s.versions[n.version])
		s.worst = max(s.worst, lag)
		if lag > s.bound {
			s.lateBy[n.index] = max(s.lateBy[n.index], lag-s.bound)
		}
	}
}

func (s *pollSystem) change() { s.versions = append(s.versions, s.now) }

func (s *pollSystem) setCut(isCut bool, nodes ...int) {
	for _, i := range nodes {
		s.nodes[i].isCut = isCut
		if !isCut {
			s.nodes[i].cutEndedAt = s.now
		}
	}
}

func (s *pollSystem) view(n *pollNode) pollerView {
	v := pollerView{nodes: len(s.nodes), own: n.answeredAt, isPolling: n.isPolling}
	for i := range n.index {
		v.addPreceding(n.answers[i])
	}
	return v
}

// follow decides whether a node calls, as objectapi.Watcher and isConfigWatchSuspended do.
func (s *pollSystem) follow(n *pollNode) {
	v := s.view(n)
	n.isPolling = s.timing.mustPoll(v, s.now)
	isWanted := n.wanted > n.version && s.now > n.staleUntil
	mustCall := v.preceding < configPollers || isWanted ||
		n.isPolling && (n.answeredAt >= n.calledAt || s.now.Sub(n.calledAt) >= outageCallInterval(n.index))
	if !mustCall {
		s.after(100*time.Millisecond, func() { s.follow(n) })
		return
	}
	s.calls++
	c := &pollCall{node: n, begin: s.now, wait: s.timing.watchWait(n.answeredAt, n.calledAt, s.now)}
	n.calledAt = s.now
	s.after(storeRoundTrip/2, func() { s.await(c) })
}

// pollCall is a watch of a node.
type pollCall struct {
	node  *pollNode
	begin boottime.Instant
	wait  time.Duration
}

// await plays the side of the object API: it answers a watch when there is a newer version or its time is over.
func (s *pollSystem) await(c *pollCall) {
	n := c.node
	switch {
	case n.isCut:
		s.fail(c)
	case n.version < len(s.versions) || s.now.Sub(c.begin) >= c.wait:
		version := len(s.versions)
		s.after(storeRoundTrip/2, func() {
			if n.isCut {
				s.fail(c)
				return
			}
			isNews := n.isPolling && (s.now.Sub(n.answeredAt) > s.timing.pollerTimeout || version > n.version)
			n.version, n.answeredAt, n.retryDelay = max(n.version, version), s.now, 100*time.Millisecond
			if isNews {
				s.sendDigest(n)
			}
			s.follow(n)
		})
	default:
		s.after(time.Millisecond, func() { s.await(c) })
	}
}

// fail ends a watch that gets no answer when its time is over, and lets its node try again.
func (s *pollSystem) fail(c *pollCall) {
	n := c.node
	delay := n.retryDelay/2 + time.Duration(s.random.Int64N(int64(n.retryDelay)))
	n.retryDelay = min(2*n.retryDelay, time.Second)
	s.after(c.wait+objectapi.WatchGrace-s.now.Sub(c.begin)+delay, func() { s.follow(n) })
}

// tell sends the digests of a node, one after the other.
func (s *pollSystem) tell(n *pollNode) {
	s.sendDigest(n)
	s.after(s.interval(n), func() { s.tell(n) })
}

func (s *pollSystem) isRelied(n *pollNode) bool {
	return n.isPolling && s.now.Sub(n.answeredAt) <= s.timing.pollerTimeout
}

// interval returns the pause between two digests: package mesh gives those that others rely on the shortest one.
func (s *pollSystem) interval(n *pollNode) time.Duration {
	switch {
	case s.isRelied(n) || len(s.nodes) <= 13:
		return mesh.BaseInterval
	case len(s.nodes) <= 96:
		return mesh.BaseInterval + time.Duration(len(s.nodes)-13)*5*time.Millisecond
	default:
		return time.Second
	}
}

func (s *pollSystem) sendDigest(n *pollNode) {
	answeredAt, version, isToAll := n.answeredAt, n.version, s.isRelied(n) || len(s.nodes) <= 96
	for _, peer := range s.nodes {
		if peer == n || !isToAll && peer.index%3 != n.index%3 || s.random.Float64() < digestLoss {
			continue
		}
		s.after(2*time.Millisecond+time.Duration(s.random.IntN(188))*time.Millisecond, func() { s.hear(peer, n.index, answeredAt, version) })
	}
}

func (s *pollSystem) hear(n *pollNode, peer int, answeredAt boottime.Instant, version int) {
	n.answers[peer] = max(n.answers[peer], answeredAt)
	if version <= n.wanted || version <= n.version {
		return
	}
	n.wanted, n.staleUntil = version, s.now.Add(maxStaleReadDelay+staleReadTimeout)
	if s.isRelied(n) {
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(maxStaleReadDelay))), func() {
		s.calls++
		if n.isCut {
			return
		}
		read := len(s.versions)
		if s.random.Float64() < staleAnswers {
			read = n.version
		}
		s.after(storeRoundTrip, func() { n.version = max(n.version, read) })
	})
}

// Guards against nodes in touch that act on an old configuration because the nodes that poll it for all have lost the object API
// and are still heard by their peers: whoever is cut off, every other node must have a new version within the bound.
func TestConfigurationIsInForceWithinItsBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 1600 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, nodes := range []int{6, 9, 59, 87, 195} {
			for name, play := range map[string]func(s *pollSystem){
				"nobody": func(s *pollSystem) { s.changeOften(6 * time.Second) },
				"first":  func(s *pollSystem) { s.setCut(true, 0); s.changeOften(6 * time.Second) },
				"first two, then back": func(s *pollSystem) {
					s.changeOften(time.Second)
					s.setCut(true, 0, 1)
					s.changeOften(5500 * time.Millisecond)
					s.setCut(false, 0, 1)
					s.changeOften(4 * time.Second)
				},
				"first two, then those that replace them": func(s *pollSystem) {
					s.setCut(true, 0, 1)
					s.changeOften(3 * time.Second)
					s.setCut(true, 2, 3)
					s.changeOften(4 * time.Second)
				},
				"all but the last": func(s *pollSystem) {
					for i := range nodes - 1 {
						s.setCut(true, i)
					}
					s.changeOften(6 * time.Second)
				},
				"all but one in the middle, one change": func(s *pollSystem) {
					for i := range nodes {
						s.setCut(i != nodes/2, i)
					}
					s.nodes[nodes/2].cutEndedAt = 0
					s.change()
					s.run(6 * time.Second)
				},
			} {
				t.Run(fmt.Sprintf("%v/%d nodes/%s", bound, nodes, name), func(t *testing.T) {
					t.Parallel()
					s := newPollSystem(t, nodes, bound, uint64(nodes))
					s.run(4 * time.Second)
					play(s)
					t.Logf("%s: worst %v", t.Name(), s.worst)
					for node, late := range s.lateBy {
						t.Errorf("node %d got a version %v later than its bound of %v", node, late, bound)
					}
				})
			}
		}
	}
}

// changeOften changes the configuration in quick succession for a time.
func (s *pollSystem) changeOften(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.change()
		s.run(110 * time.Millisecond)
	}
}

// Guards against the cost of that: calls are paid for, and an object API that is away must not be called by all nodes at once.
func TestCallsForTheConfigurationAreBounded(t *testing.T) {
	for _, nodes := range []int{9, 59, 195} {
		for name, c := range map[string]struct {
			cut int
			max float64 // calls per second
		}{"calm": {0, 5}, "two cut off": {2, 10}, "all cut off": {nodes, float64(nodes)}} {
			t.Run(fmt.Sprintf("%d nodes/%s", nodes, name), func(t *testing.T) {
				s := newPollSystem(t, nodes, 2*time.Second, 1)
				s.run(4 * time.Second)
				for i := range c.cut {
					s.setCut(true, i)
				}
				s.calls = 0
				const played = 10 * time.Second
				s.run(played)
				rate := float64(s.calls) / played.Seconds()
				t.Logf("%.1f calls per second", rate)
				if rate > c.max {
					t.Errorf("%.1f calls per second, want at most %.0f", rate, c.max)
				}
			})
		}
	}
}
