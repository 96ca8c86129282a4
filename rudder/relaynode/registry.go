package relaynode

import (
	"log/slog"
	"path"
	"sync"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
)

const (
	// registryWait is how long a watch of the registry waits. Its answer shows that the node is in touch with the object
	// API, which the nodes that rely on it have to know well within the time that a leaving server may get new work (two
	// seconds).
	registryWait = 400 * time.Millisecond
	// registryPause collects changes of the registry, so that they cost one call.
	registryPause = 150 * time.Millisecond
	// restTime is how long a node relies on what it last heard; nodes begin to call one after the other, restStep apart, so
	// that the first ones can tell the others. longestRest bounds it.
	restTime    = 800 * time.Millisecond
	restStep    = 25 * time.Millisecond
	longestRest = 1400 * time.Millisecond
	// watcherSilence is the age of its last call from which on a node is no longer taken to watch the registry.
	watcherSilence = 1300 * time.Millisecond
	// wantedWatchers is how many nodes watch the registry, in different failure domains where there are several.
	wantedWatchers = 2
	// toldFor is how long a change is told: four digests at the longest interval, since datagrams get lost.
	toldFor = 4 * time.Second
	// maxTold bounds the changes in one digest. A node that misses some asks the object API.
	maxTold = 200
)

// registry keeps the table of backend servers up to date. Two nodes watch the outside registry and tell the others the
// changes in their digests, since each call to the object API is paid for: with a watch at every node of 59 the calls were
// 0.05 to 0.09 of the worth of a day.
type registry struct {
	node     *node
	log      *slog.Logger
	follower *objectapi.Follower

	mu       sync.Mutex
	told     []toldChange // changes of the last while, oldest first
	from     int64        // all changes after this revision are among told
	revision int64        // and up to this one
	calledAt boottime.Instant
	seenAt   boottime.Instant // what was acknowledged before is known
	resting  bool
}

// toldChange is a change with when it was learnt. Its revision is 0 until the answer that told it is taken as a whole.
type toldChange struct {
	mesh.RegistryChange
	at boottime.Instant
}

func newRegistry(n *node) *registry {
	r := &registry{node: n, log: n.logger.Part("registry")}
	r.follower = &objectapi.Follower{
		Store: n.outside.Store, Prefix: n.outside.ServersPrefix, Log: r.log,
		List: r.replace, Change: r.change, Seen: r.seen,
		Wait:  func() time.Duration { return registryWait },
		Pause: registryPause, Rest: r.rests,
	}
	return r
}

// replace takes a whole listing.
func (r *registry) replace(objects []objectapi.Object, _ boottime.Instant) {
	var entries []backend.Entry
	for _, o := range objects {
		entry, err := r.node.outside.DecodeServer(o)
		if err != nil {
			r.log.Warn("Registry entry names no backend server.", "key", o.Key, "error", err)
			continue
		}
		entries = append(entries, entry)
	}
	r.node.backends.Replace(entries)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told, r.from = nil, 0 // seen sets the revision
}

// change takes one change.
func (r *registry) change(e objectapi.Event) {
	c := mesh.RegistryChange{Server: backend.Entry{ID: path.Base(e.Object.Key)}, Removed: e.Deleted}
	if !e.Deleted {
		entry, err := r.node.outside.DecodeServer(e.Object)
		if err != nil {
			r.log.Warn("Registry entry names no backend server.", "key", e.Object.Key, "error", err)
			c.Removed = true
		} else {
			c.Server = entry
		}
	}
	r.apply(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, toldChange{RegistryChange: c, at: boottime.Now()})
}

func (r *registry) apply(c mesh.RegistryChange) {
	if c.Removed {
		r.node.backends.Remove(c.Server.ID)
		return
	}
	r.node.backends.Put(c.Server)
}

// seen notes that an answer was taken.
func (r *registry) seen(sent boottime.Instant, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.told) == 0 {
		r.from = revision
	}
	for i := range r.told {
		if r.told[i].Revision == 0 {
			r.told[i].Revision = revision
		}
	}
	r.revision, r.calledAt, r.seenAt = revision, sent, max(r.seenAt, sent)
	r.forget()
}

// forget drops changes that have been told long enough. The caller holds the lock.
func (r *registry) forget() {
	old := 0
	for old < len(r.told) && r.told[old].Revision > 0 && (boottime.Since(r.told[old].at) > toldFor || len(r.told)-old > maxTold) {
		r.from = r.told[old].Revision
		old++
	}
	// The rest of an answer whose first changes are dropped is of no use.
	for old < len(r.told) && r.told[old].Revision > 0 && r.told[old].Revision == r.from {
		old++
	}
	r.told = r.told[old:]
}

// news is what this node's digest says of the registry.
func (r *registry) news() mesh.Registry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seenAt == 0 {
		return mesh.Registry{}
	}
	r.forget()
	news := mesh.Registry{
		From: r.from, Revision: r.revision, CallAge: boottime.Since(r.calledAt).Milliseconds(), Age: boottime.Since(r.seenAt).Milliseconds(),
	}
	for _, c := range r.told {
		if c.Revision > 0 {
			news.Changes = append(news.Changes, c.RegistryChange)
		}
	}
	return news
}

// take takes what a peer says of the registry.
func (r *registry) take(m mesh.Member) {
	news := m.Registry
	if news.Revision == 0 {
		return
	}
	known := r.follower.Advance(news.From, news.Revision, func(after int64) {
		r.applyNewest(news.Changes, after)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.told, r.from, r.revision = nil, news.Revision, news.Revision
	})
	if !known || !m.Dated {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seenAt = max(r.seenAt, m.SentAt.Add(-time.Duration(news.Age)*time.Millisecond))
}

// applyNewest applies the last change of each server after a revision. The sender may have learnt some of these changes
// together with ones that are known here; a server that has left since must not come back between.
func (r *registry) applyNewest(changes []mesh.RegistryChange, after int64) {
	newest := map[string]int{}
	for i, c := range changes {
		newest[c.Server.ID] = i
	}
	for i, c := range changes {
		if c.Revision > after && newest[c.Server.ID] == i {
			r.apply(c)
		}
	}
}

// rests reports whether other nodes keep this one up to date.
func (r *registry) rests() bool {
	resting := r.mayRest()
	r.mu.Lock()
	changed := r.resting != resting
	r.resting = resting
	r.mu.Unlock()
	if changed && resting {
		r.log.Info("Peers watch the registry.")
	}
	if changed && !resting {
		r.log.Info("This node watches the registry.")
	}
	return resting
}

func (r *registry) mayRest() bool {
	r.mu.Lock()
	age, callAge := boottime.Since(r.seenAt), boottime.Since(r.calledAt)
	r.mu.Unlock()
	before, watchers := r.before()
	switch {
	case before < wantedWatchers || age > longestRest:
		return false
	case watchers >= wantedWatchers:
		return true
	}
	// A node that has taken the place of one that does not call goes on, so that the others can rely on it.
	return callAge > watcherSilence && age < restTime+time.Duration(before)*restStep
}

// watches reports whether this node watches the registry.
func (r *registry) watches() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.resting
}

// before returns how many nodes go before this one as watchers, and how many of them watch. The first nodes of all failure
// domains go before the second ones, so that the watchers are in different ones.
func (r *registry) before() (before, watchers int) {
	self := r.node.settings
	members := r.node.mesh.Members() // by name
	rank := 0                        // of this node in its failure domain
	for _, m := range members {
		if m.State == mesh.Ready && m.FailureDomain == self.FailureDomain && m.Node < self.Node {
			rank++
		}
	}
	ranks := map[string]int{}
	for _, m := range members {
		if m.State != mesh.Ready {
			continue
		}
		ranks[m.FailureDomain]++
		inDomain := ranks[m.FailureDomain] - 1
		if inDomain > rank || inDomain == rank && m.FailureDomain >= self.FailureDomain {
			continue
		}
		before++
		called := m.SentAt.Add(-time.Duration(m.Registry.CallAge) * time.Millisecond)
		if m.Dated && m.Registry.Revision > 0 && boottime.Since(called) < watcherSilence {
			watchers++
		}
	}
	return before, watchers
}
