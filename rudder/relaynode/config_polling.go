package relaynode

import (
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
)

const (
	// configPollers is the number of nodes that ask the object API all the time whether the configuration is the newest. The other
	// nodes rely on their digests.
	configPollers = 2
	// defaultConfigBound is the bound if the settings name none.
	defaultConfigBound = 2 * time.Second
	// minSharedConfigBound is the least bound within which a poller can be missed and replaced in time. Below it, each node polls.
	minSharedConfigBound = 1600 * time.Millisecond
	// maxConfigPollInterval bounds the wait of a poller's watch whatever the bound is: the age of a proof includes it twice.
	maxConfigPollInterval = 800 * time.Millisecond
	// configPollShare and pollerSilenceShare are the parts of the bound that a poller's watch waits, and that its answer may be
	// later known to peers: its digests come each mesh.BaseInterval and may be lost.
	configPollShare    = 0.3
	pollerSilenceShare = 0.3
	// configCallAllowance is the part of the bound for the pause between two checks of a suspended watch, the call and its answer.
	configCallAllowance = 300 * time.Millisecond
	// firstPollWait is the wait of the first watch of a node that begins to poll. Its answer shows peers that the node polls.
	firstPollWait = 20 * time.Millisecond
	// sparePollerDelay is the pause for each further node before it takes the place of one of two pollers while the other one
	// polls. It gives the digest of the node before it time to arrive.
	sparePollerDelay = 500 * time.Millisecond
)

// configTiming divides the bound within which a new configuration must be in force at all nodes. The worst times for its parts
// are in docs/design/config.md.
type configTiming struct {
	isShared      bool          // nodes rely on pollers
	pollInterval  time.Duration // wait of a poller's watch
	pollerTimeout time.Duration // age of a node's last answer from which on it no longer counts as a poller
	maxTurnDelay  time.Duration // by which the last node begins later than the first one to replace the pollers
}

// newConfigTiming returns the timing for a bound, 0 for the default one.
func newConfigTiming(bound time.Duration) configTiming {
	if bound <= 0 {
		bound = defaultConfigBound
	}
	poll := min(time.Duration(configPollShare*float64(bound)), maxConfigPollInterval)
	timeout := poll + time.Duration(pollerSilenceShare*float64(bound))
	return configTiming{
		isShared: bound >= minSharedConfigBound, pollInterval: poll, pollerTimeout: timeout,
		maxTurnDelay: max(bound-timeout-configCallAllowance, 0),
	}
}

// pollerView is what a node knows of those that poll the configuration. Instants are 0 if there was no answer.
type pollerView struct {
	nodes     int              // reachable ones, this one included
	preceding int              // nodes that come before this one by name and do not leave
	newest    boottime.Instant // latest answer of the object API to one of the preceding nodes
	second    boottime.Instant // latest answer to another one of them
	own       boottime.Instant // latest answer to this node
	isPolling bool             // this node polls since its turn has come
}

// addPreceding adds a node that comes before this one, with the latest answer to it.
func (v *pollerView) addPreceding(answeredAt boottime.Instant) {
	v.preceding++
	if answeredAt > v.newest {
		v.newest, v.second = answeredAt, v.newest
	} else if answeredAt > v.second {
		v.second = answeredAt
	}
}

// mustPoll reports whether a node polls the configuration. A node counts as a poller by the age of its last answer, not by its
// name: one that has lost the object API is still heard by its peers. While one of the pollers is missing, the next node takes its
// place; while all are, the following ones begin one after the other, the last one maxTurnDelay later.
func (t configTiming) mustPoll(v pollerView, now boottime.Instant) bool {
	switch {
	case !t.isShared || v.preceding < configPollers:
		return true
	case now.Sub(v.second) <= t.pollerTimeout:
		return false
	case v.isPolling && now.Sub(v.own) <= t.pollerTimeout:
		return true // its own answers must not make it rest, since nobody else gets any
	case now.Sub(v.newest) <= t.pollerTimeout:
		return now.Sub(max(v.second, v.own)) > t.pollerTimeout+time.Duration(v.preceding-configPollers)*sparePollerDelay
	default:
		return now.Sub(max(v.newest, v.own)) > t.pollerTimeout+t.turnDelay(v)
	}
}

// watchWait returns how long the next watch of a node waits for a change, by when its last call was sent and its last answer came. A
// node that begins to poll needs an answer at once, before the others begin too; while calls are not answered, that would only
// make more of them.
func (t configTiming) watchWait(answeredAt, calledAt, now boottime.Instant) time.Duration {
	if answeredAt >= calledAt && now.Sub(answeredAt) > t.pollerTimeout {
		return firstPollWait
	}
	return t.pollInterval
}

// turnDelay returns how much later than the first node this one begins to poll while no node does. The first ones begin at once;
// the others leave them half of the time and are spread over the rest, so that they do not call at the same time.
func (t configTiming) turnDelay(v pollerView) time.Duration {
	rank := v.preceding - configPollers
	if rank < configPollers {
		return 0
	}
	rest := t.maxTurnDelay / 2
	return t.maxTurnDelay - rest + rest*time.Duration(rank)/time.Duration(max(v.nodes, rank+1))
}

// pollerView returns what this node knows of the pollers. Nodes that are not ready count too: while the object API is down none
// is, and if all nodes then took the place of the first ones, all would call it.
func (n *node) pollerView() pollerView {
	v := pollerView{nodes: 1}
	for _, m := range n.mesh.ReachableMembers() {
		v.nodes++
		if m.State == mesh.Draining || m.Node >= n.settings.Node {
			continue
		}
		answeredAt, _ := m.ConfigAnsweredAt()
		v.addPreceding(answeredAt)
	}
	n.configSync.mu.Lock()
	defer n.configSync.mu.Unlock()
	v.own, v.isPolling = n.configSync.answeredAt, n.configSync.isPolling
	return v
}
