package relaynode

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
)

const (
	// registryWatchTimeout is how long a watch of the registry waits for a change. Its answer also shows that the node
	// reaches the object API; the nodes that rely on it have to know this well within the time that a leaving server may
	// get new work (two seconds).
	registryWatchTimeout = 400 * time.Millisecond
	// registryBatchDelay is the pause after changes of the registry before the next watch, so that changes in short
	// succession cost one call. Entries change with each heartbeat of a server, so that a watch hardly ever waits.
	registryBatchDelay = 400 * time.Millisecond
	// passiveMaxAge is the age of a passive node's knowledge of the registry up to which it makes no calls. Each node
	// that precedes it adds passiveMaxAgeStep: nodes begin to call one after the other, so that the first ones can send
	// their changes to the others. passiveMaxAgeLimit bounds the sum.
	passiveMaxAge      = 800 * time.Millisecond
	passiveMaxAgeStep  = 25 * time.Millisecond
	passiveMaxAgeLimit = 1400 * time.Millisecond
	// passiveMaxAgeExtraStep is added to passiveMaxAgeLimit for each preceding node, so that hundreds of nodes do not begin
	// to call at the same time.
	passiveMaxAgeExtraStep = 4 * time.Millisecond
	// watcherTimeout is the age of its last call from which on a node no longer counts as a watcher of the registry.
	watcherTimeout = 1300 * time.Millisecond
	// wantedWatchers is the number of nodes that watch the registry, in different failure domains where there are
	// several.
	wantedWatchers = 2
	// changeRetention is how long a change is included in digests: four digests at the longest interval, since datagrams
	// get lost.
	changeRetention = 4 * time.Second
	// maxChangesPerDigest and maxChangeBytesPerDigest bound the changes in one digest, which must fit in a datagram. A node
	// that misses some asks the object API.
	maxChangesPerDigest     = 200
	maxChangeBytesPerDigest = 24 << 10
)

// registrySync keeps the table of backend servers in line with the platform's registry. Two nodes, the watchers, watch
// the registry and send its changes to the others in their digests; the others are passive. Each call to the object API
// is paid for: with a watch at each of 59 nodes, the calls cost 0.05 to 0.09 of the value of a day's operation.
type registrySync struct {
	node          *node
	log           *slog.Logger
	objectWatcher *objectapi.Watcher

	mu            sync.Mutex
	recentChanges []recentChange            // changes for digests, oldest first
	fromRevision  objectapi.Version         // recentChanges holds all changes after this revision
	revision      objectapi.Version         // up to and including this one
	lastCallAt    boottime.Instant          // when the last answered call was sent
	attemptedAt   boottime.Instant          // when the last watch was sent, answered or not
	currentAsOf   boottime.Instant          // all changes that the object API acknowledged before this time are known
	isListing     bool                      // a listing has been applied whose revision is not recorded yet
	isPassive     bool                      // result of the last updatePassive
	unsettled     map[string]unsettledEntry // by server ID; after the object API was restored
	lapsedAt      boottime.Instant          // when all of unsettled are settled at the latest
}

// recentChange is a change with the time at which this node learnt it. Its revision is zero until all changes of the answer
// that held it have been applied.
type recentChange struct {
	mesh.RegistryChange
	learntAt boottime.Instant
}

// encodedBytes returns about how much the change adds to a digest.
func (c *recentChange) encodedBytes() int {
	const numbersAndLengths = 48
	return numbersAndLengths + len(c.Server.ID) + len(c.Server.Service) + len(c.Server.Address) + len(c.Server.FailureDomain) + len(c.Server.SoftwareVersion)
}

func newRegistrySync(n *node) *registrySync {
	r := &registrySync{node: n, log: n.logger.Part("registry")}
	r.objectWatcher = &objectapi.Watcher{
		Store: n.platform.Store, Prefix: n.platform.ServerPrefix, Log: r.log,
		OnList: r.applyListing, OnChange: r.applyEvent, OnSync: r.recordAnswer,
		WatchTimeout: r.beginWatch,
		BatchDelay:   registryBatchDelay, IsSuspended: r.updatePassive,
	}
	return r
}

// beginWatch records that a watch is sent now and returns how long it waits for a change.
func (r *registrySync) beginWatch() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attemptedAt = boottime.Now()
	return registryWatchTimeout
}

// applyListing replaces the table of backend servers by a listing of the whole registry. The first listing after the object
// API was restored lacks what servers wrote in the lost time, until they have written it again; see settleEntries.
func (r *registrySync) applyListing(listing objectapi.Listing, _ boottime.Instant) {
	var entries []backend.Entry
	for _, o := range listing.Objects {
		entry, err := r.node.platform.DecodeServer(o)
		if err != nil {
			r.log.Warn("Decoding a registry entry failed; it is left out.", "key", abbreviate(o.Key), "error", err)
			continue
		}
		entries = append(entries, entry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	isRestored := !r.revision.IsZero() && listing.Revision.Epoch > r.revision.Epoch
	switch {
	case isRestored:
		r.log.Warn("The object API was restored from an older copy; the registry is read again.", "revision", r.revision, "restored_revision", listing.Revision)
		r.applyRestoredListing(entries)
	case boottime.Now() < r.lapsedAt:
		r.applyListingAfterRestored(entries)
	default:
		r.node.backends.Replace(entries)
	}
	r.recentChanges, r.isListing = nil, true // recordAnswer sets the revision
}

// applyEvent applies one change of the registry and keeps it for digests. An entry that cannot be decoded counts as
// removed.
func (r *registrySync) applyEvent(e objectapi.Event) {
	c := mesh.RegistryChange{Server: backend.Entry{ID: strings.TrimPrefix(e.Object.Key, r.node.platform.ServerPrefix)}, Removed: e.Deleted}
	if !e.Deleted {
		entry, err := r.node.platform.DecodeServer(e.Object)
		if err != nil {
			r.log.Warn("Decoding a registry entry failed; its server is removed.", "key", abbreviate(e.Object.Key), "error", err)
			c.Removed = true
		} else {
			c.Server = entry
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyChange(c)
	r.recentChanges = append(r.recentChanges, recentChange{RegistryChange: c, learntAt: boottime.Now()})
}

// maxLoggedKeyBytes bounds a key in a log line; another writer may choose a huge one.
const maxLoggedKeyBytes = 100

func abbreviate(key string) string { return key[:min(len(key), maxLoggedKeyBytes)] }

// applyChange puts a server into the table of backend servers or removes it. The caller holds the lock.
func (r *registrySync) applyChange(c mesh.RegistryChange) {
	delete(r.unsettled, c.Server.ID)
	if c.Removed {
		r.node.backends.Remove(c.Server.ID)
		return
	}
	r.node.backends.Put(c.Server)
}

// recordAnswer records that the answer to a call that was sent at the given time has been applied as a whole.
func (r *registrySync) recordAnswer(sentAt boottime.Instant, revision objectapi.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.recentChanges) == 0 {
		r.fromRevision = revision
	}
	r.isListing = false
	for i := range r.recentChanges {
		if r.recentChanges[i].Revision.IsZero() {
			r.recentChanges[i].Revision = revision
		}
	}
	r.revision, r.lastCallAt, r.currentAsOf = revision, sentAt, max(r.currentAsOf, sentAt)
	r.node.storeHistory.note(revision.Epoch)
	r.pruneChanges()
}

// pruneChanges drops changes that are older than changeRetention or exceed maxChangesPerDigest or maxChangeBytesPerDigest.
// The caller holds the lock.
func (r *registrySync) pruneChanges() {
	pruned, size := 0, 0
	for _, c := range r.recentChanges {
		size += c.encodedBytes()
	}
	for pruned < len(r.recentChanges) && !r.recentChanges[pruned].Revision.IsZero() &&
		(boottime.Since(r.recentChanges[pruned].learntAt) > changeRetention || len(r.recentChanges)-pruned > maxChangesPerDigest || size > maxChangeBytesPerDigest) {
		r.fromRevision = r.recentChanges[pruned].Revision
		size -= r.recentChanges[pruned].encodedBytes()
		pruned++
	}
	// The remaining changes of an answer are of no use once its first ones are dropped.
	for pruned < len(r.recentChanges) && !r.recentChanges[pruned].Revision.IsZero() && r.recentChanges[pruned].Revision == r.fromRevision {
		pruned++
	}
	r.recentChanges = r.recentChanges[pruned:]
}

// currentRevision returns the revision up to which this node knows the registry.
func (r *registrySync) currentRevision() objectapi.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// delta returns what this node's digest says of the registry.
func (r *registrySync) delta() mesh.RegistryDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentAsOf == 0 || r.isListing {
		return mesh.RegistryDelta{}
	}
	r.pruneChanges()
	delta := mesh.RegistryDelta{
		FromRevision: r.fromRevision, Revision: r.revision,
		CallAgeMillis: boottime.Since(r.lastCallAt).Milliseconds(), AgeMillis: boottime.Since(r.currentAsOf).Milliseconds(),
	}
	for _, c := range r.recentChanges {
		if !c.Revision.IsZero() {
			delta.Changes = append(delta.Changes, c.RegistryChange)
		}
	}
	return delta
}

// applyDelta applies the changes of the registry in a peer's digest if none is missing before them, and notes as of when
// the peer's knowledge was current. Those of another epoch than this node's show neither: a peer that has not heard of a
// restored object API knows the registry as it was before, and one that has may have numbered other changes alike.
func (r *registrySync) applyDelta(m *mesh.Member) {
	delta := m.Registry
	if delta.Revision.IsZero() {
		return
	}
	delta.Changes = withVersions(delta.Changes, m.ServerVersions)
	isUpToDate := r.objectWatcher.Advance(delta.FromRevision, delta.Revision, func(after objectapi.Version) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.applyLatestChanges(delta.Changes, after)
		r.recentChanges, r.fromRevision, r.revision = nil, delta.Revision, delta.Revision
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.storeHistory.note(delta.Revision.Epoch)
	if !isUpToDate || !m.HasReliableSentAt {
		return
	}
	r.currentAsOf = max(r.currentAsOf, m.SentAt.Add(-time.Duration(delta.AgeMillis)*time.Millisecond))
}

// versionsByID returns the software versions of the servers in changes of the registry, nil if there are none.
func versionsByID(changes []mesh.RegistryChange) map[string]string {
	var versions map[string]string
	for _, c := range changes {
		if c.Removed {
			continue
		}
		if versions == nil {
			versions = make(map[string]string, len(changes))
		}
		versions[c.Server.ID] = c.Server.SoftwareVersion
	}
	return versions
}

// withVersions returns changes of the registry with the software versions of their servers.
func withVersions(changes []mesh.RegistryChange, versions map[string]string) []mesh.RegistryChange {
	changes = slices.Clone(changes)
	for i := range changes {
		changes[i].Server.SoftwareVersion = versions[changes[i].Server.ID]
	}
	return changes
}

// applyLatestChanges applies the last change of each server after a revision. Earlier ones are skipped, since the sender
// may have learnt some of them together with changes that are known here: a server that has left since must not come back
// in between. The caller holds the lock.
func (r *registrySync) applyLatestChanges(changes []mesh.RegistryChange, after objectapi.Version) {
	latest := map[string]int{}
	for i, c := range changes {
		latest[c.Server.ID] = i
	}
	for i, c := range changes {
		if c.Revision.Compare(after) > 0 && latest[c.Server.ID] == i {
			r.applyChange(c)
		}
	}
}

// updatePassive decides anew whether this node is passive because peers keep it up to date, and logs a change. It returns
// the decision.
func (r *registrySync) updatePassive() bool {
	isPassive := r.canBePassive()
	r.mu.Lock()
	r.settleEntries(boottime.Now())
	hasChanged := r.isPassive != isPassive
	r.isPassive = isPassive
	r.mu.Unlock()
	if hasChanged && isPassive {
		r.log.Info("This node relies on peers that watch the registry.")
	}
	if hasChanged && !isPassive {
		r.log.Info("This node watches the registry.")
	}
	return isPassive
}

// canBePassive reports whether peers keep this node up to date, so that it need not call the object API.
func (r *registrySync) canBePassive() bool {
	r.mu.Lock()
	age, callAge, attemptedAt := boottime.Since(r.currentAsOf), boottime.Since(r.lastCallAt), r.attemptedAt
	r.mu.Unlock()
	preceding, watchers := r.countPrecedingNodes()
	switch {
	case preceding < wantedWatchers:
		return false
	case age > passiveMaxAgeLimit+time.Duration(preceding)*passiveMaxAgeExtraStep:
		return boottime.Since(attemptedAt) < outageCallInterval(preceding)
	case watchers >= wantedWatchers:
		return true
	}
	// A node that has taken the place of a watcher that does not call continues, so that the others can rely on it.
	return callAge > watcherTimeout && age < passiveMaxAge+time.Duration(preceding)*passiveMaxAgeStep
}

// isWatching reports whether this node watches the registry itself.
func (r *registrySync) isWatching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isPassive
}

// countPrecedingNodes returns how many nodes precede this one in the order in which nodes become watchers, and how
// many of these watch. Nodes that are not ready count too; see countPrecedingByName. The first nodes by name of all failure domains precede the second ones, so that the watchers are
// in different failure domains.
func (r *registrySync) countPrecedingNodes() (preceding, watchers int) {
	self := r.node.settings
	members := r.node.mesh.ReachableMembers() // sorted by name
	rank := 0                                 // of this node in its failure domain
	for _, m := range members {
		if m.State != mesh.Draining && m.FailureDomain == self.FailureDomain && m.Node < self.Node {
			rank++
		}
	}
	ranks := map[string]int{}
	for _, m := range members {
		if m.State == mesh.Draining {
			continue
		}
		ranks[m.FailureDomain]++
		peerRank := ranks[m.FailureDomain] - 1
		if peerRank > rank || peerRank == rank && m.FailureDomain >= self.FailureDomain {
			continue
		}
		preceding++
		lastCallAt := m.SentAt.Add(-time.Duration(m.Registry.CallAgeMillis) * time.Millisecond)
		if m.HasReliableSentAt && !m.Registry.Revision.IsZero() && boottime.Since(lastCallAt) < watcherTimeout {
			watchers++
		}
	}
	return preceding, watchers
}
