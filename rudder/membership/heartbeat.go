package membership

import (
	"context"
	"time"
)

const (
	heartbeatInterval = time.Second
	tickInterval      = 250 * time.Millisecond // of failure detection and record expiry
	// deadHeartbeatInterval is the time between heartbeats to a dead node. They continue so that the two sides of a
	// partition, which declared each other dead, find each other again when the partition heals.
	deadHeartbeatInterval = 5 * time.Second
	// heartbeatsPerNode is how many consecutive heartbeats to another failure domain go to the same node, so that they
	// share a connection. Setting up a connection takes half of the bytes of the first heartbeat over it.
	heartbeatsPerNode = 10
	// failoverDelay is the time until the next node of another failure domain is tried after one that did not answer.
	failoverDelay = 100 * time.Millisecond
	// maxFastFailovers is how many consecutive failures are followed by failoverDelay. After more, the whole failure
	// domain is likely to be down and heartbeatInterval applies.
	maxFastFailovers = 3
)

// heartbeatLoop controls the goroutine that exchanges heartbeats with one neighbour or one other failure domain.
type heartbeatLoop struct {
	wake          chan struct{} // makes the loop send a heartbeat at once
	cancel        context.CancelFunc
	isCrossDomain bool // with another failure domain
}

// signal wakes the receiver of a channel of capacity 1 without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run registers this node in the object API, exchanges heartbeats and detects failed nodes until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	e.initialise()
	go e.syncNodeObjects(ctx)
	for _, address := range e.Seeds {
		go e.contactSeed(ctx, address)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		e.tick()
		e.updateHeartbeatLoops(ctx)
		select {
		case <-ctx.Done():
			return
		case <-e.nodesChanged:
		case <-ticker.C:
		}
	}
}

// updateHeartbeatLoops starts the missing loops, one for each neighbour and each other failure domain, and stops the loops
// of nodes and failure domains that are no longer in the table.
func (e *Exchanger) updateHeartbeatLoops(ctx context.Context) {
	self := e.Table.Self()
	desired := map[string]func(context.Context, chan struct{}){}
	for _, n := range e.Table.All() {
		if n.Name == self.Name {
			continue
		}
		if n.FailureDomain == self.FailureDomain {
			desired["node/"+n.Name] = func(ctx context.Context, wake chan struct{}) { e.runNodeHeartbeats(ctx, n.Name, wake) }
		} else {
			desired["domain/"+n.FailureDomain] = func(ctx context.Context, wake chan struct{}) { e.runDomainHeartbeats(ctx, n.FailureDomain, wake) }
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, l := range e.heartbeatLoops {
		if desired[key] == nil {
			l.cancel()
			delete(e.heartbeatLoops, key)
		}
	}
	for key, run := range desired {
		if e.heartbeatLoops[key] != nil {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		l := &heartbeatLoop{wake: make(chan struct{}, 1), cancel: cancel, isCrossDomain: key[0] == 'd'}
		e.heartbeatLoops[key] = l
		go run(loopCtx, l.wake)
	}
}

// pushAll starts an exchange with every neighbour and with one node of each other failure domain at once.
func (e *Exchanger) pushAll() { e.push(true) }

// push starts an exchange with every neighbour at once and, on request, with one node of each other failure domain.
func (e *Exchanger) push(includeOtherDomains bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.heartbeatLoops {
		if includeOtherDomains || !l.isCrossDomain {
			signal(l.wake)
		}
	}
}

// runNodeHeartbeats exchanges heartbeats with a neighbour until ctx ends or the node is no longer in the table.
func (e *Exchanger) runNodeHeartbeats(ctx context.Context, name string, wake chan struct{}) {
	sendNow := true
	for ctx.Err() == nil {
		n, found := e.Table.Find(name)
		if !found {
			return
		}
		if delay := e.Table.timeUntilHeartbeat(n); delay > 0 && !sendNow {
			sendNow = wait(ctx, delay, wake)
			continue
		}
		_, _ = e.exchange(ctx, n)
		interval := heartbeatInterval
		if n.State == StateDead {
			interval = deadHeartbeatInterval
		}
		sendNow = wait(ctx, interval, wake)
	}
}

// runDomainHeartbeats exchanges heartbeats with the nodes of another failure domain in rotation until ctx ends. A turn is
// one heartbeat; each node gets heartbeatsPerNode turns, or fewer if it does not answer.
func (e *Exchanger) runDomainHeartbeats(ctx context.Context, domain string, wake chan struct{}) {
	sendNow := true
	failures := 0
	for turn := 0; ctx.Err() == nil; {
		n, found := e.nodeForTurn(domain, turn)
		if delay := e.Table.timeUntilHeartbeat(n); found && delay > 0 && !sendNow {
			sendNow = wait(ctx, delay, wake)
			continue
		}
		delay := heartbeatInterval
		turn++
		if found {
			failures++
			if _, err := e.exchange(ctx, n); err == nil {
				failures = 0
			} else {
				turn = firstTurnOfNextNode(turn)
			}
			if failures > 0 && failures <= maxFastFailovers {
				delay = failoverDelay
			}
		}
		sendNow = wait(ctx, delay, wake)
	}
}

// firstTurnOfNextNode returns the first turn of the next node, after the current node has had the turn before the given one.
func firstTurnOfNextNode(turn int) int { return ((turn-1)/heartbeatsPerNode + 1) * heartbeatsPerNode }

// nodeForTurn returns the node of another failure domain that gets the heartbeat of a turn. Dead nodes get only the last
// turn of every heartbeatsPerNode, unless all nodes are dead. The order is by rendezvous hash of this node's name, so that
// nodes start their rotation at different nodes. It returns false if the table has no node of that failure domain.
func (e *Exchanger) nodeForTurn(domain string, turn int) (Node, bool) {
	var alive, dead []Node
	nodes := e.Table.filter(func(n Node) bool { return n.FailureDomain == domain })
	for _, n := range Rank(e.Table.Self().Name, nodes) {
		if n.State == StateDead {
			dead = append(dead, n)
		} else {
			alive = append(alive, n)
		}
	}
	index := turn / heartbeatsPerNode
	switch {
	case len(dead) > 0 && (len(alive) == 0 || turn%heartbeatsPerNode == heartbeatsPerNode-1):
		return dead[index%len(dead)], true
	case len(alive) > 0:
		return alive[index%len(alive)], true
	}
	return Node{}, false
}

// contactSeed sends heartbeats to a peer address from the settings, every heartbeatInterval while no known node has that
// address, until ctx ends.
func (e *Exchanger) contactSeed(ctx context.Context, address string) {
	for ctx.Err() == nil {
		isKnown := false
		for _, n := range e.Table.All() {
			isKnown = isKnown || n.PeerAddress == address
		}
		if !isKnown {
			_, _ = e.exchange(ctx, Node{PeerAddress: address})
		}
		wait(ctx, heartbeatInterval, nil)
	}
}

// wait returns after d, when wake is signalled or when ctx ends, and reports whether it was woken.
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
