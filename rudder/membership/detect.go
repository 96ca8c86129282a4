package membership

import "time"

const (
	suspectAfter = 3 * time.Second
	deadAfter    = 6 * time.Second
	// forgetAfter is how long a dead node stays known, so that it is still contacted after a long partition.
	forgetAfter = time.Hour
	// dueSlack is more than the difference of the two ends' clocks at one exchange.
	dueSlack = 100 * time.Millisecond
	// pausedAfter: if the loop that looks at silences itself stood still for this long, this process was paused and the
	// silences say nothing about the others.
	pausedAfter = 2 * time.Second
)

// hear notes a direct heartbeat of a node.
func (t *Table) hear(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, found := t.nodes[name]
	if !found {
		return
	}
	now := t.now()
	t.heard[name] = now
	t.domains[n.FailureDomain] = now
	delete(t.suspects, name)
}

// untilDue returns how long a heartbeat to a node can wait because that node, or for another failure domain any node of
// it, exchanged one with this node within the last second. An exchange informs both sides, so that one of them is enough.
// Of two neighbours the one with the higher name waits a little longer, so that both do not send at the same time.
func (t *Table) untilDue(n Node) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.now()
	if n.FailureDomain != t.nodes[t.self].FailureDomain {
		return heartbeatInterval - dueSlack - now.Sub(t.domains[n.FailureDomain])
	}
	due := heartbeatInterval - dueSlack
	if t.self > n.Name {
		due += 2 * dueSlack
	}
	return due - now.Sub(t.heard[n.Name])
}

// isSilent reports whether no node of another failure domain was heard for 6 s. This stays a local view: nodes that can
// still reach that failure domain go on using it. The caller holds the lock.
func (t *Table) isSilent(domain string) bool {
	at, known := t.domains[domain]
	return known && domain != t.nodes[t.self].FailureDomain && t.now().Sub(at) > deadAfter
}

// detection is what a look at the silences found.
type detection struct {
	suspect []string // newly suspect
	dead    []Node   // to be declared dead
	forget  []Node   // dead, or unreachable, for an hour
}

// detect looks at the silences of all nodes.
func (t *Table) detect() detection {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	paused := !t.detected.IsZero() && now.Sub(t.detected) > pausedAfter
	t.detected = now
	if paused {
		t.hearAll(now)
	}
	var found detection
	for name, n := range t.nodes {
		switch {
		case name == t.self:
		case n.State == StateDead:
			if now.Sub(t.since[name]) > forgetAfter {
				found.forget = append(found.forget, n)
			}
		case n.FailureDomain != t.nodes[t.self].FailureDomain:
			if now.Sub(t.domains[n.FailureDomain]) > forgetAfter {
				found.forget = append(found.forget, n)
			}
		case now.Sub(t.heard[name]) > deadAfter:
			found.dead = append(found.dead, n)
			delete(t.suspects, name)
		case now.Sub(t.heard[name]) > suspectAfter && !t.suspects[name]:
			t.suspects[name] = true
			found.suspect = append(found.suspect, name)
		}
	}
	for _, n := range found.forget {
		t.remove(n.Name)
	}
	return found
}

func (t *Table) hearAll(now time.Time) {
	for name := range t.heard {
		t.heard[name] = now
	}
	for domain := range t.domains {
		t.domains[domain] = now
	}
}

// remove forgets a node. The caller holds the lock.
func (t *Table) remove(name string) {
	domain := t.nodes[name].FailureDomain
	delete(t.nodes, name)
	delete(t.heard, name)
	delete(t.since, name)
	delete(t.suspects, name)
	for _, n := range t.nodes {
		if n.FailureDomain == domain {
			return
		}
	}
	delete(t.domains, domain)
}

// deadFor returns the nodes that have been dead for at least d.
func (t *Table) deadFor(d time.Duration) []Node {
	now := t.now()
	return t.filter(func(n Node) bool { return n.State == StateDead && now.Sub(t.since[n.Name]) >= d })
}

// Responsible reports whether this node acts for its failure domain in a matter, such as a watch: it is the first by
// rendezvous hash among the live nodes of its failure domain that were heard within 3 s. A node without such neighbours
// acts for itself.
func (t *Table) Responsible(matter string) bool {
	self := t.Self()
	near := t.filter(func(n Node) bool {
		if n.FailureDomain != self.FailureDomain || n.State != StateLive {
			return false
		}
		return n.Name == self.Name || t.now().Sub(t.heard[n.Name]) <= suspectAfter
	})
	return len(near) == 0 || Rank(matter, near)[0].Name == self.Name
}
