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
	// deadTurn: of this many heartbeats to another failure domain one goes to a dead node.
	deadTurn = 5
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
	for ctx.Err() == nil {
		n, found := e.Table.Find(name)
		if !found {
			return
		}
		_, _ = e.exchange(ctx, n)
		interval := heartbeatInterval
		if n.State == StateDead {
			interval = deadInterval
		}
		wait(ctx, interval, wake)
	}
}

// followDomain exchanges heartbeats with the nodes of another failure domain in turn.
func (e *Exchanger) followDomain(ctx context.Context, domain string, wake chan struct{}) {
	for turn := 0; ctx.Err() == nil; turn++ {
		if n, found := e.turn(domain, turn); found {
			_, _ = e.exchange(ctx, n)
		}
		wait(ctx, heartbeatInterval, wake)
	}
}

// turn returns the node of another failure domain for a turn: dead ones only now and then, unless all are dead. Nodes
// start their rotation at different places.
func (e *Exchanger) turn(domain string, turn int) (Node, bool) {
	var alive, dead []Node
	for _, n := range Rank(e.Table.Self().Name, e.Table.All()) {
		switch {
		case n.FailureDomain != domain:
		case n.State == StateDead:
			dead = append(dead, n)
		default:
			alive = append(alive, n)
		}
	}
	if len(dead) > 0 && (len(alive) == 0 || turn%deadTurn == deadTurn-1) {
		return dead[turn/deadTurn%len(dead)], true
	}
	if len(alive) == 0 {
		return Node{}, false
	}
	return alive[turn%len(alive)], true
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

func wait(ctx context.Context, d time.Duration, wake chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}
