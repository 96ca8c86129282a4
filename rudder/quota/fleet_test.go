package quota

import (
	"math/rand/v2"
	"strconv"
	"time"

	"chestnutrudder.example/rudder/traffic"
)

const (
	tick             = 10 * time.Millisecond
	fleetWindow      = 8 * time.Second
	transitDelay     = 5 * time.Millisecond
	removeAfter      = 20 * time.Second // as in package mesh
	silentIntervals  = 4.8              // as in package mesh
	receiveQueue     = 200              // datagrams that wait in the socket of a frozen node; later ones are lost
	seedCount        = 2                // addresses of other nodes in the settings
	fleetUrgentRatio = 0.4              // pause between urgent reports divided by the interval of full ones
)

// fleet simulates nodes whose reports to each other are delayed as package mesh sends them, spread over three quarters of an
// interval, and may be lost. Nodes may be cut off, killed, started and frozen.
type fleet struct {
	nodes    []*fleetNode
	random   *rand.Rand
	now      time.Time
	loss     float64 // part of the datagrams that are lost
	interval time.Duration
	inFlight map[int][]datagram // by tick of arrival
	admitted []float64          // by tick
	asked    []float64          // by tick
	step     int
	started  time.Time
	tolerate Tolerance
}

type fleetNode struct {
	*Ledger
	index, start int
	side         int // nodes hear only those of their own side
	startedAt    time.Time
	isDead       bool
	frozen       bool
	heardAt      map[int]time.Time // by index of the peer
	waiting      []datagram        // received while frozen
}

type datagram struct {
	from, start, to int
	report          PeerReport
}

func newFleet(n int, seed uint64, tolerance Tolerance) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), started: time.Unix(1000, 0), inFlight: map[int][]datagram{}, tolerate: tolerance,
		interval: min(250*time.Millisecond+time.Duration(max(n-13, 0))*5*time.Millisecond, time.Second),
	}
	for i := range n {
		f.nodes = append(f.nodes, &fleetNode{Ledger: NewLedger(true, tolerance, f.clock), index: i, startedAt: f.now, heardAt: map[int]time.Time{}})
	}
	// Before the first request, all nodes have heard each other.
	f.run(nil, nil, time.Second)
	return f
}

func (f *fleet) clock() time.Time { return f.now }

// kill ends a node's process; startAgain starts the next one.
func (f *fleet) kill(i int) {
	f.nodes[i].isDead, f.nodes[i].frozen, f.nodes[i].waiting = true, false, nil
}

func (f *fleet) startAgain(i int) {
	n := f.nodes[i]
	if !n.isDead {
		return
	}
	n.startedAt = f.now
	n.Ledger, n.isDead, n.heardAt, n.start = NewLedger(false, f.tolerate, f.clock), false, map[int]time.Time{}, n.start+1
	f.countNodes(n)
}

// cut separates the first part of the nodes from the others; a share of 0 ends all cuts.
func (f *fleet) cut(share float64) {
	for i, n := range f.nodes {
		n.side = 0
		if float64(i) < share*float64(len(f.nodes)) {
			n.side = 1
		}
	}
}

func (f *fleet) freeze(i int) { f.nodes[i].frozen = !f.nodes[i].isDead }

func (f *fleet) thaw(i int) {
	n := f.nodes[i]
	n.frozen = false
	for _, d := range n.waiting {
		f.deliver(d)
	}
	n.waiting = nil
}

func (f *fleet) deliver(d datagram) {
	from, to := f.nodes[d.from], f.nodes[d.to]
	switch {
	case to.isDead || from.side != to.side:
	case to.frozen:
		if len(to.waiting) < receiveQueue {
			to.waiting = append(to.waiting, d)
		}
	default:
		to.heardAt[d.from] = f.now
		to.ApplyPeerReport(strconv.Itoa(d.from)+"/"+strconv.Itoa(d.start), d.report)
	}
}

// send spreads a round of reports over three quarters of the pause until the next one.
func (f *fleet) send(n *fleetNode, report PeerReport, pause time.Duration) {
	for i := range f.nodes {
		if i == n.index || f.random.Float64() < f.loss || f.nodes[i].side != n.side {
			continue
		}
		delay := transitDelay + time.Duration(0.75*f.random.Float64()*float64(pause))
		at := f.step + 1 + int(delay/tick)
		f.inFlight[at] = append(f.inFlight[at], datagram{from: n.index, start: n.start, to: i, report: report})
	}
}

// runNodes lets the nodes send the reports that are due and count their peers.
func (f *fleet) runNodes() {
	full := int(f.interval / tick)
	urgent := max(int(fleetUrgentRatio*float64(full)), 1)
	for i, n := range f.nodes {
		if n.isDead || n.frozen {
			continue
		}
		if (f.step+7*i)%urgent == 0 {
			if usages := n.UrgentReport(); len(usages) > 0 {
				f.send(n, PeerReport{IsWarmingUp: n.IsWarmingUp(), IsPartial: true, Usages: usages}, time.Duration(urgent)*tick)
			}
		}
		if (f.step+5*i)%full == 0 {
			f.send(n, fullReport(n.Ledger), f.interval)
		}
		if (f.step+i)%25 == 0 {
			f.countNodes(n)
		}
	}
}

func (f *fleet) countNodes(n *fleetNode) {
	limit := time.Duration(silentIntervals * float64(f.interval))
	reachable, known := 1, 1
	for _, at := range n.heardAt {
		if silence := f.now.Sub(at); silence <= limit {
			reachable, known = reachable+1, known+1
		} else if silence <= removeAfter {
			known++
		}
	}
	// For some time after its start, a node knows the addresses of some others from its settings.
	for k := 1; k <= seedCount && f.now.Sub(n.startedAt) < removeAfter; k++ {
		seed := (n.index + k) % len(f.nodes)
		if _, isHeard := n.heardAt[seed]; !isHeard && seed != n.index {
			known++
		}
	}
	setNodes(n.Ledger, reachable, known, limit)
}

// demand is a stream of requests of one organisation.
type demand struct {
	rate  float64 // in the unit of the limit, per second
	size  float64 // of one request
	nodes int     // the first nodes get the requests; 0 means all
}

// run lets requests arrive for the duration d. during is called at each tick.
func (f *fleet) run(o *traffic.Organisation, wanted *demand, d time.Duration) {
	for range int(d / tick) {
		for _, d := range f.inFlight[f.step] {
			f.deliver(d)
		}
		delete(f.inFlight, f.step)
		sum, asked := 0.0, 0.0
		if wanted != nil {
			sum, asked = f.takeOneTick(o, wanted)
		}
		f.runNodes()
		f.admitted, f.asked = append(f.admitted, sum), append(f.asked, asked)
		f.step++
		f.now = f.now.Add(tick)
	}
}

func (f *fleet) takeOneTick(o *traffic.Organisation, wanted *demand) (sum, all float64) {
	targets := wanted.nodes
	if targets == 0 {
		targets = len(f.nodes)
	}
	for asked := wanted.rate * tick.Seconds(); asked > 0; asked -= wanted.size {
		if asked < wanted.size && f.random.Float64() > asked/wanted.size {
			break
		}
		all += wanted.size
		n := f.nodes[f.random.IntN(targets)]
		if !n.isDead && !n.frozen && n.Take(o, wanted.size) == nil {
			sum += wanted.size
		}
	}
	return sum, all
}

// mostInWindow returns the largest amount admitted in any window.
func (f *fleet) mostInWindow() float64 {
	steps := int(fleetWindow / tick)
	most, sum := 0.0, 0.0
	for i, a := range f.admitted {
		sum += a
		if i >= steps {
			sum -= f.admitted[i-steps]
		}
		most = max(most, sum)
	}
	return most
}

// inLast returns what was admitted in the last part of the run.
func (f *fleet) inLast(d time.Duration) float64 {
	return sumOf(f.admitted[len(f.admitted)-int(d/tick):])
}

// askedInLast returns the amount of the requests in the last part of the run.
func (f *fleet) askedInLast(d time.Duration) float64 {
	return sumOf(f.asked[len(f.asked)-int(d/tick):])
}

func sumOf(amounts []float64) float64 {
	sum := 0.0
	for _, a := range amounts {
		sum += a
	}
	return sum
}

// allowed returns what all nodes together may admit of an organisation in any window.
func allowed(o *traffic.Organisation, t Tolerance) float64 {
	return (o.RatePerSecond*fleetWindow.Seconds()+o.Burst)*(1+t.Overage) + t.Slack
}
