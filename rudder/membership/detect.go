package membership

import "time"

const (
	// A neighbour without a heartbeat for suspectTimeout is suspected of failure; after deadTimeout it is declared dead.
	suspectTimeout = 3 * time.Second
	deadTimeout    = 6 * time.Second
	// nodeRetention is how long a dead or unreachable node stays in the table, so that it is still contacted after a long
	// partition.
	nodeRetention = time.Hour
	// heartbeatMargin is longer than the time between the moments at which the two ends of one exchange record it.
	heartbeatMargin = 100 * time.Millisecond
	// pauseThreshold is the time between two runs of detectFailures from which this process itself is taken to have been
	// paused, so that the missing heartbeats say nothing about the other nodes.
	pauseThreshold = 2 * time.Second
)

// recordHeartbeat stores that a known node has just sent a heartbeat to this node or answered one.
func (t *Table) recordHeartbeat(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, found := t.nodes[name]
	if !found {
		return
	}
	now := t.now()
	t.lastHeartbeat[name] = now
	t.lastDomainHeartbeat[n.FailureDomain] = now
	delete(t.suspects, name)
}

// timeUntilHeartbeat returns the time until the next heartbeat to a node is due; zero or less means now. It counts from the
// last exchange with that node or, in another failure domain, with any node of that domain, whichever side started it: an
// exchange informs both sides, so one heartbeat per second between them is enough. Of two neighbours the one with the
// higher name waits 200 ms longer, so that they do not send at the same time.
func (t *Table) timeUntilHeartbeat(n Node) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.now()
	if n.FailureDomain != t.nodes[t.self].FailureDomain {
		return heartbeatInterval - heartbeatMargin - now.Sub(t.lastDomainHeartbeat[n.FailureDomain])
	}
	interval := heartbeatInterval - heartbeatMargin
	if t.self > n.Name {
		interval += 2 * heartbeatMargin
	}
	return interval - now.Sub(t.lastHeartbeat[n.Name])
}

// isUnreachable reports whether a failure domain is another one than this node's and none of its nodes has exchanged a
// heartbeat with this node for deadTimeout. The result is local and not replicated: nodes that can still reach that failure
// domain continue to use it. The caller holds the lock.
func (t *Table) isUnreachable(domain string) bool {
	last, known := t.lastDomainHeartbeat[domain]
	return known && domain != t.nodes[t.self].FailureDomain && t.now().Sub(last) > deadTimeout
}

// detectionResult holds the state changes that one run of detectFailures found.
type detectionResult struct {
	suspects []string // neighbours that became suspect
	dead     []Node   // neighbours that the caller declares dead
	removed  []Node   // deleted from the table: dead, or in an unreachable failure domain, for nodeRetention
}

// detectFailures checks the heartbeat timeouts of all nodes and deletes the nodes whose retention has ended.
func (t *Table) detectFailures() detectionResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	wasPaused := !t.lastDetection.IsZero() && now.Sub(t.lastDetection) > pauseThreshold
	t.lastDetection = now
	if wasPaused {
		t.resetHeartbeats(now)
	}
	var result detectionResult
	for name, n := range t.nodes {
		switch {
		case name == t.self:
		case n.State == StateDead:
			if now.Sub(t.stateSince[name]) > nodeRetention {
				result.removed = append(result.removed, n)
			}
		case n.FailureDomain != t.nodes[t.self].FailureDomain:
			if now.Sub(t.lastDomainHeartbeat[n.FailureDomain]) > nodeRetention {
				result.removed = append(result.removed, n)
			}
		case now.Sub(t.lastHeartbeat[name]) > deadTimeout:
			result.dead = append(result.dead, n)
			delete(t.suspects, name)
		case now.Sub(t.lastHeartbeat[name]) > suspectTimeout && !t.suspects[name]:
			t.suspects[name] = true
			result.suspects = append(result.suspects, name)
		}
	}
	for _, n := range result.removed {
		t.remove(n.Name)
	}
	return result
}

// resetHeartbeats restarts all heartbeat timeouts. The caller holds the lock.
func (t *Table) resetHeartbeats(now time.Time) {
	for name := range t.lastHeartbeat {
		t.lastHeartbeat[name] = now
	}
	for domain := range t.lastDomainHeartbeat {
		t.lastDomainHeartbeat[domain] = now
	}
}

// remove deletes a node from the table. The caller holds the lock.
func (t *Table) remove(name string) {
	domain := t.nodes[name].FailureDomain
	delete(t.nodes, name)
	delete(t.lastHeartbeat, name)
	delete(t.stateSince, name)
	delete(t.suspects, name)
	for _, n := range t.nodes {
		if n.FailureDomain == domain {
			return
		}
	}
	delete(t.lastDomainHeartbeat, domain)
}

// deadFor returns the nodes that have been dead for at least d.
func (t *Table) deadFor(d time.Duration) []Node {
	now := t.now()
	return t.filter(func(n Node) bool { return n.State == StateDead && now.Sub(t.stateSince[n.Name]) >= d })
}

// IsResponsibleFor reports whether this node does a task, such as a watch, on behalf of its failure domain: it is the first
// by rendezvous hash among the live nodes of its failure domain that have sent or answered a heartbeat within
// suspectTimeout. A node without such neighbours does the task itself.
func (t *Table) IsResponsibleFor(task string) bool {
	self := t.Self()
	candidates := t.filter(func(n Node) bool {
		if n.FailureDomain != self.FailureDomain || n.State != StateLive {
			return false
		}
		return n.Name == self.Name || t.now().Sub(t.lastHeartbeat[n.Name]) <= suspectTimeout
	})
	return len(candidates) == 0 || Rank(task, candidates)[0].Name == self.Name
}
