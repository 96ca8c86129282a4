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
	// registryWatchTimeout is how long a watch of the registry waits. Its answer shows that the node is in touch with the object
	// API, which the nodes that rely on it have to know well within the time that a leaving server may get new work (two
	// seconds).
	registryWatchTimeout = 400 * time.Millisecond
	// registryBatchDelay collects changes of the registry, so that they cost one call.
	registryBatchDelay = 150 * time.Millisecond
	// passiveMaxAge is how long a node relies on what it last heard; nodes begin to call one after the other, passiveMaxAgeStep apart, so
	// that the first ones can tell the others. passiveMaxAgeLimit bounds it.
	passiveMaxAge      = 800 * time.Millisecond
	passiveMaxAgeStep  = 25 * time.Millisecond
	passiveMaxAgeLimit = 1400 * time.Millisecond
	// watcherTimeout is the age of its last call from which on a node is no longer taken to watch the registry.
	watcherTimeout = 1300 * time.Millisecond
	// wantedWatchers is how many nodes watch the registry, in different failure domains where there are several.
	wantedWatchers = 2
	// changeRetention is how long a change is told: four digests at the longest interval, since datagrams get lost.
	changeRetention = 4 * time.Second
	// maxChangesPerDigest bounds the changes in one digest. A node that misses some asks the object API.
	maxChangesPerDigest = 200
)

// registrySync keeps the table of backend servers up to date. Two nodes watch the outside registrySync and tell the others the
// changes in their digests, since each call to the object API is paid for: with a watch at every node of 59 the calls were
// 0.05 to 0.09 of the worth of a day.
type registrySync struct {
	node     *node
	log      *slog.Logger
	follower *objectapi.Follower

	mu            sync.Mutex
	recentChanges []recentChange // changes of the last while, oldest first
	fromRevision  int64          // all changes after this revision are among recentChanges
	revision      int64          // and up to this one
	lastCallAt    boottime.Instant
	currentAsOf   boottime.Instant // what was acknowledged before is known
	isPassive     bool
}

// recentChange is a change with when it was learnt. Its revision is 0 until the answer that told it is taken as a whole.
type recentChange struct {
	mesh.RegistryChange
	learntAt boottime.Instant
}

func newRegistrySync(n *node) *registrySync {
	r := &registrySync{node: n, log: n.logger.Part("registry")}
	r.follower = &objectapi.Follower{
		Store: n.platform.Store, Prefix: n.platform.ServerPrefix, Log: r.log,
		List: r.applyListing, Change: r.applyEvent, Seen: r.recordAnswer,
		Wait:  func() time.Duration { return registryWatchTimeout },
		Pause: registryBatchDelay, Rest: r.updatePassive,
	}
	return r
}

// applyListing takes a whole listing.
func (r *registrySync) applyListing(objects []objectapi.Object, _ boottime.Instant) {
	var entries []backend.Entry
	for _, o := range objects {
		entry, err := r.node.platform.DecodeServer(o)
		if err != nil {
			r.log.Warn("Registry entry names no backend server.", "key", o.Key, "error", err)
			continue
		}
		entries = append(entries, entry)
	}
	r.node.backends.Replace(entries)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentChanges, r.fromRevision = nil, 0 // recordAnswer sets the revision
}

// applyEvent takes one applyEvent.
func (r *registrySync) applyEvent(e objectapi.Event) {
	c := mesh.RegistryChange{Server: backend.Entry{ID: path.Base(e.Object.Key)}, Removed: e.Deleted}
	if !e.Deleted {
		entry, err := r.node.platform.DecodeServer(e.Object)
		if err != nil {
			r.log.Warn("Registry entry names no backend server.", "key", e.Object.Key, "error", err)
			c.Removed = true
		} else {
			c.Server = entry
		}
	}
	r.applyChange(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentChanges = append(r.recentChanges, recentChange{RegistryChange: c, learntAt: boottime.Now()})
}

func (r *registrySync) applyChange(c mesh.RegistryChange) {
	if c.Removed {
		r.node.backends.Remove(c.Server.ID)
		return
	}
	r.node.backends.Put(c.Server)
}

// recordAnswer notes that an answer was taken.
func (r *registrySync) recordAnswer(sentAt boottime.Instant, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.recentChanges) == 0 {
		r.fromRevision = revision
	}
	for i := range r.recentChanges {
		if r.recentChanges[i].Revision == 0 {
			r.recentChanges[i].Revision = revision
		}
	}
	r.revision, r.lastCallAt, r.currentAsOf = revision, sentAt, max(r.currentAsOf, sentAt)
	r.pruneChanges()
}

// pruneChanges drops changes that have been told long enough. The caller holds the lock.
func (r *registrySync) pruneChanges() {
	pruned := 0
	for pruned < len(r.recentChanges) && r.recentChanges[pruned].Revision > 0 && (boottime.Since(r.recentChanges[pruned].learntAt) > changeRetention || len(r.recentChanges)-pruned > maxChangesPerDigest) {
		r.fromRevision = r.recentChanges[pruned].Revision
		pruned++
	}
	// The rest of an answer whose first changes are dropped is of no use.
	for pruned < len(r.recentChanges) && r.recentChanges[pruned].Revision > 0 && r.recentChanges[pruned].Revision == r.fromRevision {
		pruned++
	}
	r.recentChanges = r.recentChanges[pruned:]
}

// delta is what this node's digest says of the registry.
func (r *registrySync) delta() mesh.RegistryDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentAsOf == 0 {
		return mesh.RegistryDelta{}
	}
	r.pruneChanges()
	delta := mesh.RegistryDelta{
		FromRevision: r.fromRevision, Revision: r.revision, CallAgeMillis: boottime.Since(r.lastCallAt).Milliseconds(), AgeMillis: boottime.Since(r.currentAsOf).Milliseconds(),
	}
	for _, c := range r.recentChanges {
		if c.Revision > 0 {
			delta.Changes = append(delta.Changes, c.RegistryChange)
		}
	}
	return delta
}

// applyDelta takes what a peer says of the registry.
func (r *registrySync) applyDelta(m mesh.Member) {
	delta := m.Registry
	if delta.Revision == 0 {
		return
	}
	isUpToDate := r.follower.Advance(delta.FromRevision, delta.Revision, func(after int64) {
		r.applyLatestChanges(delta.Changes, after)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.recentChanges, r.fromRevision, r.revision = nil, delta.Revision, delta.Revision
	})
	if !isUpToDate || !m.HasReliableSentAt {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentAsOf = max(r.currentAsOf, m.SentAt.Add(-time.Duration(delta.AgeMillis)*time.Millisecond))
}

// applyLatestChanges applies the last change of each server after a revision. The sender may have learnt some of these changes
// together with ones that are known here; a server that has left since must not come back between.
func (r *registrySync) applyLatestChanges(changes []mesh.RegistryChange, after int64) {
	latest := map[string]int{}
	for i, c := range changes {
		latest[c.Server.ID] = i
	}
	for i, c := range changes {
		if c.Revision > after && latest[c.Server.ID] == i {
			r.applyChange(c)
		}
	}
}

// updatePassive reports whether other nodes keep this one up to date.
func (r *registrySync) updatePassive() bool {
	isPassive := r.canBePassive()
	r.mu.Lock()
	hasChanged := r.isPassive != isPassive
	r.isPassive = isPassive
	r.mu.Unlock()
	if hasChanged && isPassive {
		r.log.Info("Peers watch the registry.")
	}
	if hasChanged && !isPassive {
		r.log.Info("This node watches the registry.")
	}
	return isPassive
}

func (r *registrySync) canBePassive() bool {
	r.mu.Lock()
	age, callAge := boottime.Since(r.currentAsOf), boottime.Since(r.lastCallAt)
	r.mu.Unlock()
	preceding, watchers := r.countPrecedingNodes()
	switch {
	case preceding < wantedWatchers || age > passiveMaxAgeLimit:
		return false
	case watchers >= wantedWatchers:
		return true
	}
	// A node that has taken the place of one that does not call goes on, so that the others can rely on it.
	return callAge > watcherTimeout && age < passiveMaxAge+time.Duration(preceding)*passiveMaxAgeStep
}

// isWatching reports whether this node isWatching the registry.
func (r *registrySync) isWatching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isPassive
}

// countPrecedingNodes returns how many nodes go countPrecedingNodes this one as watchers, and how many of them watch. The first nodes of all failure
// domains go countPrecedingNodes the second ones, so that the watchers are in different ones.
func (r *registrySync) countPrecedingNodes() (preceding, watchers int) {
	self := r.node.settings
	members := r.node.mesh.ReachableMembers() // by name
	rank := 0                                 // of this node in its failure domain
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
		peerRank := ranks[m.FailureDomain] - 1
		if peerRank > rank || peerRank == rank && m.FailureDomain >= self.FailureDomain {
			continue
		}
		preceding++
		lastCallAt := m.SentAt.Add(-time.Duration(m.Registry.CallAgeMillis) * time.Millisecond)
		if m.HasReliableSentAt && m.Registry.Revision > 0 && boottime.Since(lastCallAt) < watcherTimeout {
			watchers++
		}
	}
	return preceding, watchers
}
