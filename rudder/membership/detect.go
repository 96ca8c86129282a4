package membership

import "time"

const (
	suspectTimeout = 3 * time.Second
	deadTimeout    = 6 * time.Second
	// nodeRetention is how long a dead node stays known, so that it is still contacted after a long partition.
	nodeRetention = time.Hour
	// heartbeatMargin is more than the difference of the two ends' clocks at one exchange.
	heartbeatMargin = 100 * time.Millisecond
	// pauseThreshold: if the loop that looks at silences itself stood still for this long, this process was paused and the
	// silences say nothing about the others.
	pauseThreshold = 2 * time.Second
)

// recordHeartbeat notes a direct heartbeat of a node.
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

// timeUntilHeartbeat returns how long a heartbeat to a node can wait because that node, or for another failure domain any node of
// it, exchanged one with this node within the last second. An exchange informs both sides, so that one of them is enough.
// Of two neighbours the one with the higher name waits a little longer, so that both do not send at the same time.
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

// isUnreachable reports whether no node of another failure domain was heard for 6 s. This stays a local view: nodes that can
// still reach that failure domain go on using it. The caller holds the lock.
func (t *Table) isUnreachable(domain string) bool {
	last, known := t.lastDomainHeartbeat[domain]
	return known && domain != t.nodes[t.self].FailureDomain && t.now().Sub(last) > deadTimeout
}

// detectionResult is what a look at the silences found.
type detectionResult struct {
	suspects []string // newly suspect
	dead     []Node   // to be declared dead
	removed  []Node   // dead, or unreachable, for an hour
}

// detectFailures looks at the silences of all nodes.
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

func (t *Table) resetHeartbeats(now time.Time) {
	for name := range t.lastHeartbeat {
		t.lastHeartbeat[name] = now
	}
	for domain := range t.lastDomainHeartbeat {
		t.lastDomainHeartbeat[domain] = now
	}
}

// remove forgets a node. The caller holds the lock.
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

// IsResponsibleFor reports whether this node acts for its failure domain in a matter, such as a watch: it is the first by
// rendezvous hash among the live nodes of its failure domain that were heard within 3 s. A node without such neighbours
// acts for itself.
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
