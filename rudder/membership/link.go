package membership

import (
	"context"
	"time"
)

const (
	heartbeatInterval = time.Second
	tickInterval      = 250 * time.Millisecond
	// deadInterval is the time between heartbeats to a dead node. They go on, so that the two sides of a healed partition
	// that declared each other dead find each other again.
	deadInterval = 5 * time.Second
	// keepTurns is how many heartbeats to another failure domain go to the same node, so that its connection is used
	// again. Half of the bytes of a heartbeat over a new connection are for the connection.
	keepTurns = 10
	// nextPause is the time until the next node of a failure domain is tried after one that did not answer.
	nextPause = 100 * time.Millisecond
	// quickFailures is how often this is done in a row; after that the whole failure domain seems to be down.
	quickFailures = 3
)

// link is the goroutine that exchanges heartbeats with one neighbour, one other failure domain or one seed.
type link struct {
	wake   chan struct{}
	cancel context.CancelFunc
	far    bool // to another failure domain
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run registers this node and exchanges heartbeats until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	e.begin()
	go e.followObjects(ctx)
	for _, address := range e.Seeds {
		go e.followSeed(ctx, address)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		e.tick()
		e.startLinks(ctx)
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-ticker.C:
		}
	}
}

// startLinks starts a link for each neighbour and each other failure domain and stops those that are not needed.
func (e *Exchanger) startLinks(ctx context.Context) {
	self := e.Table.Self()
	wanted := map[string]func(context.Context, chan struct{}){}
	for _, n := range e.Table.All() {
		if n.Name == self.Name {
			continue
		}
		if n.FailureDomain == self.FailureDomain {
			wanted["node/"+n.Name] = func(ctx context.Context, wake chan struct{}) { e.followNode(ctx, n.Name, wake) }
		} else {
			wanted["domain/"+n.FailureDomain] = func(ctx context.Context, wake chan struct{}) { e.followDomain(ctx, n.FailureDomain, wake) }
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, l := range e.links {
		if wanted[key] == nil {
			l.cancel()
			delete(e.links, key)
		}
	}
	for key, follow := range wanted {
		if e.links[key] != nil {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{wake: make(chan struct{}, 1), cancel: cancel, far: key[0] == 'd'}
		e.links[key] = l
		go follow(linkCtx, l.wake)
	}
}

// pushAll starts an exchange with every neighbour and one node of each other failure domain at once.
func (e *Exchanger) pushAll() { e.push(true) }

func (e *Exchanger) push(far bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		if far || !l.far {
			signal(l.wake)
		}
	}
}

// followNode exchanges heartbeats with a neighbour.
func (e *Exchanger) followNode(ctx context.Context, name string, wake chan struct{}) {
	woken := true
	for ctx.Err() == nil {
		n, found := e.Table.Find(name)
		if !found {
			return
		}
		if pause := e.Table.untilDue(n); pause > 0 && !woken {
			woken = wait(ctx, pause, wake)
			continue
		}
		_, _ = e.exchange(ctx, n)
		interval := heartbeatInterval
		if n.State == StateDead {
			interval = deadInterval
		}
		woken = wait(ctx, interval, wake)
	}
}

// followDomain exchanges heartbeats with the nodes of another failure domain in turn.
func (e *Exchanger) followDomain(ctx context.Context, domain string, wake chan struct{}) {
	woken := true
	failures := 0
	for turn := 0; ctx.Err() == nil; {
		n, found := e.turn(domain, turn)
		if pause := e.Table.untilDue(n); found && pause > 0 && !woken {
			woken = wait(ctx, pause, wake)
			continue
		}
		pause := heartbeatInterval
		turn++
		if found {
			failures++
			if _, err := e.exchange(ctx, n); err == nil {
				failures = 0
			} else {
				turn = nextTurn(turn)
			}
			if failures > 0 && failures <= quickFailures {
				pause = nextPause
			}
		}
		woken = wait(ctx, pause, wake)
	}
}

// nextTurn returns the first turn of the next node.
func nextTurn(turn int) int { return ((turn-1)/keepTurns + 1) * keepTurns }

// turn returns the node of another failure domain for a turn: dead ones for the last heartbeat of each place in the
// rotation only, unless all are dead. Nodes start their rotation at different places.
func (e *Exchanger) turn(domain string, turn int) (Node, bool) {
	var alive, dead []Node
	nodes := e.Table.filter(func(n Node) bool { return n.FailureDomain == domain })
	for _, n := range Rank(e.Table.Self().Name, nodes) {
		if n.State == StateDead {
			dead = append(dead, n)
		} else {
			alive = append(alive, n)
		}
	}
	place := turn / keepTurns
	switch {
	case len(dead) > 0 && (len(alive) == 0 || turn%keepTurns == keepTurns-1):
		return dead[place%len(dead)], true
	case len(alive) > 0:
		return alive[place%len(alive)], true
	}
	return Node{}, false
}

// followSeed contacts an address from the settings while no known node has it.
func (e *Exchanger) followSeed(ctx context.Context, address string) {
	for ctx.Err() == nil {
		known := false
		for _, n := range e.Table.All() {
			known = known || n.PeerAddress == address
		}
		if !known {
			_, _ = e.exchange(ctx, Node{PeerAddress: address})
		}
		wait(ctx, heartbeatInterval, nil)
	}
}

// wait pauses for d or until wake and reports whether it was woken.
func wait(ctx context.Context, d time.Duration, wake chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
		return true
	case <-timer.C:
	}
	return false
}
