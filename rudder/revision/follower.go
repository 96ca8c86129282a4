package revision

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
	"chestnutrudder.example/rudder/sleep"
)

const (
	pollInterval = time.Second // between two polls of the watcher of the failure domain
	pollTimeout  = time.Second
	// watcherTimeout is how long a node may be out of sync with the object API before the next node of its failure
	// domain watches in its place.
	watcherTimeout = 3 * time.Second
	// followerWatchTimeout bounds one watch call. The object API answers after one second at the latest, so that an
	// unresponsive connection is detected.
	followerWatchTimeout = 3 * time.Second
	// maxRetryDelay bounds the delay after failed watches, so that nodes notice the end of an outage soon.
	maxRetryDelay = 4 * time.Second
	// isolationTimeout is how long a node stays ready without an answer from the object API or another node.
	isolationTimeout = 30 * time.Second
)

// Members provides the follower with the nodes of the cluster.
type Members interface {
	Self() membership.Node
	Live() []membership.Node
}

// Follower keeps CurrentSnapshot at the newest revision. In each failure domain one node, the first by rendezvous hash,
// watches the object API. Its neighbours, the other nodes of the failure domain, poll it every second, and a membership
// record tells them of a new revision at once. A node whose neighbours are all out of sync with the object API watches
// it itself, and if that fails too, it polls nodes of all failure domains.
type Follower struct {
	Store           objectapi.Store
	CurrentSnapshot *CurrentSnapshot
	Members         Members
	Records         *membership.Records
	Dial            func(address string) peerpbconnect.PeerServiceClient
	Log             *slog.Logger

	mu        sync.Mutex
	startedAt time.Time
	// syncedAt is when this node last knew the newest revision of the object API, by its own watch or from another
	// node.
	syncedAt time.Time
	// lastContactAt is when the object API or another node last answered.
	lastContactAt     time.Time
	neighbourSyncedAt map[string]time.Time // syncedAt of the nodes of this failure domain, by name
	history           history
	wake              chan struct{}      // signals a new revision record
	cancelWatch       context.CancelFunc // nil while this node does not watch
	pollCount         int                // selects the next node in pollOthers
}

// recordValue is the value of the membership record RecordRevision. The version of the record is the revision number.
type recordValue struct {
	Node string `json:"node"` // a node that has the revision
}

// Start initialises the follower. It must be called before Run and before this node serves requests of other nodes.
func (f *Follower) Start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startedAt = time.Now()
	f.neighbourSyncedAt = map[string]time.Time{}
	f.wake = make(chan struct{}, 1)
	f.Records.Watch(membership.RecordRevision, func(*peerpb.Record) {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	})
}

// Run keeps CurrentSnapshot at the newest revision until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		f.syncOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// syncOnce polls the watcher of the failure domain, or makes this node the watcher. If this node then is behind or out
// of sync, it polls other nodes too.
func (f *Follower) syncOnce(ctx context.Context) {
	staleNodes, watcher := f.findWatcher()
	// The nodes ranked before the watcher are out of sync; polling them shows when one of them has recovered.
	for _, n := range staleNodes {
		go f.poll(ctx, n)
	}
	f.setWatching(ctx, watcher == nil)
	if watcher != nil {
		f.poll(ctx, *watcher)
	}
	if f.isBehind() || f.sinceSync() > watcherTimeout {
		f.pollOthers(ctx)
	}
}

// findWatcher returns the node of this failure domain that watches the object API, nil if it is this one, and the
// out-of-sync nodes that are ranked before it.
func (f *Follower) findWatcher() (staleNodes []membership.Node, watcher *membership.Node) {
	self := f.Members.Self()
	domainNodes := []membership.Node{self}
	for _, n := range f.Members.Live() {
		if n.FailureDomain == self.FailureDomain && n.Name != self.Name {
			domainNodes = append(domainNodes, n)
		}
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	// A node seen for the first time gets the full watcherTimeout to show that it watches. Departed nodes are removed.
	syncedAt := map[string]time.Time{}
	for _, n := range domainNodes {
		syncedAt[n.Name] = now
		if at, known := f.neighbourSyncedAt[n.Name]; known {
			syncedAt[n.Name] = at
		}
	}
	f.neighbourSyncedAt = syncedAt
	for _, n := range membership.Rank("watch/revision", domainNodes) {
		if n.Name == self.Name {
			return staleNodes, nil
		}
		if now.Sub(f.neighbourSyncedAt[n.Name]) <= watcherTimeout {
			return staleNodes, &n
		}
		staleNodes = append(staleNodes, n)
	}
	return staleNodes, nil
}

// poll applies the snapshot of another node if it is newer, and notes when that node was last in sync with the object
// API. It ignores a failed request; the next poll repeats it.
func (f *Follower) poll(ctx context.Context, n membership.Node) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := f.fetchAndApply(ctx, n, f.CurrentSnapshot.Index())
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContactAt = time.Now()
	if !reply.Known {
		return
	}
	syncedAt := sentAt.Add(-time.Duration(reply.AgeMs) * time.Millisecond)
	if syncedAt.After(f.syncedAt) {
		f.syncedAt = syncedAt
	}
	if syncedAt.After(f.neighbourSyncedAt[n.Name]) {
		f.neighbourSyncedAt[n.Name] = syncedAt
	}
}

// fetchAndApply requests what is newer than the current snapshot from a node and applies it. If a delta cannot be
// applied, it requests the whole snapshot.
func (f *Follower) fetchAndApply(ctx context.Context, n membership.Node, currentIndex *Index) (*peerpb.SnapshotResponse, error) {
	client := f.Dial(n.PeerAddress)
	reply, err := client.Snapshot(ctx, connect.NewRequest(&peerpb.SnapshotRequest{NewerThan: currentIndex.Number}))
	if err != nil {
		return nil, err
	}
	snapshot, err := snapshotFromReply(reply.Msg, currentIndex.Snapshot)
	if err != nil && len(reply.Msg.Delta) > 0 {
		f.Log.Warn("Failed to apply a delta from another node; requesting the whole snapshot.", "from", n.Name, "error", err)
		if reply, err = client.Snapshot(ctx, connect.NewRequest(&peerpb.SnapshotRequest{})); err != nil {
			return nil, err
		}
		snapshot, err = snapshotFromReply(reply.Msg, Snapshot{})
	}
	if err != nil {
		f.Log.Warn("Failed to decode a snapshot from another node.", "from", n.Name, "error", err)
		return nil, err
	}
	f.apply(snapshot, n.Name)
	return reply.Msg, nil
}

// pollOthers polls the node that the revision record names, if this node is behind it, and one of the other nodes in
// turn.
func (f *Follower) pollOthers(ctx context.Context) {
	self := f.Members.Self().Name
	var others []membership.Node
	recorded := f.recordedNode()
	for _, n := range f.Members.Live() {
		switch n.Name {
		case self:
		case recorded:
			f.poll(ctx, n)
		default:
			others = append(others, n)
		}
	}
	if len(others) > 0 {
		f.pollCount++
		f.poll(ctx, others[f.pollCount%len(others)])
	}
}

// newestRecord returns the membership record of the newest revision, nil if there is none.
func (f *Follower) newestRecord() *peerpb.Record {
	for _, r := range f.Records.List(membership.RecordRevision) {
		if r.Key == membership.RecordRevision {
			return r
		}
	}
	return nil
}

// NewestKnownNumber returns the number of the newest revision that is in force on this node or in the membership record.
func (f *Follower) NewestKnownNumber() int64 {
	number := f.CurrentSnapshot.Index().Number
	if r := f.newestRecord(); r != nil {
		number = max(number, r.Version)
	}
	return number
}

// isBehind reports whether the membership record has a higher revision number than the snapshot in force.
func (f *Follower) isBehind() bool {
	r := f.newestRecord()
	return r != nil && r.Version > f.CurrentSnapshot.Index().Number
}

// recordedNode returns the node that the membership record names, empty if this node is not behind.
func (f *Follower) recordedNode() string {
	var value recordValue
	if r := f.newestRecord(); r != nil && f.isBehind() {
		_ = json.Unmarshal(r.Value, &value)
	}
	return value.Node
}

// ApplyPublished puts a snapshot in force that the acceptor on this node has published. Other nodes can then get it
// from this node.
func (f *Follower) ApplyPublished(snapshot Snapshot) { f.apply(snapshot, "own acceptor") }

// apply puts a snapshot in force if it is newer, and announces it to the other nodes. from is the source of the
// snapshot for the log.
func (f *Follower) apply(snapshot Snapshot, from string) {
	if snapshot.Number <= f.CurrentSnapshot.Index().Number || !f.CurrentSnapshot.SetIfNewer(snapshot) {
		return
	}
	f.mu.Lock()
	err := f.history.add(snapshot)
	f.mu.Unlock()
	if err != nil {
		f.Log.Warn("Failed to encode the snapshot; other nodes cannot fetch it from this node.",
			"revision", snapshot.Number, "error", err)
	}
	f.Log.Info("Configuration is in force.", "revision", snapshot.Number, "objects", len(snapshot.Objects), "from", from)
	if err := f.Records.Put(membership.RecordRevision, snapshot.Number, recordValue{Node: f.Members.Self().Name}); err != nil {
		f.Log.Warn("Failed to announce the revision to other nodes.", "revision", snapshot.Number, "error", err)
	}
}

// HandleSnapshot implements peer.Snapshots. The response has the newest snapshot, or the delta to it, if it is newer than the
// caller's, and says how long ago this node was in sync with the object API.
func (f *Follower) HandleSnapshot(request *peerpb.SnapshotRequest) *peerpb.SnapshotResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &peerpb.SnapshotResponse{Revision: f.history.number, Known: !f.syncedAt.IsZero()}
	if reply.Known {
		reply.AgeMs = time.Since(f.syncedAt).Milliseconds()
	}
	if f.history.number > request.NewerThan {
		if reply.Delta = f.history.encodedDelta(request.NewerThan); reply.Delta == nil {
			reply.Snapshot = f.history.encoded
		}
	}
	return reply
}

// sinceSync returns the time since this node last knew the newest revision.
func (f *Follower) sinceSync() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.syncedAt)
}

// NotReadyReason returns why this node should get no new callers, empty if its configuration is usable. An isolated
// node keeps serving its existing callers.
func (f *Follower) NotReadyReason() string {
	if f.CurrentSnapshot.Index().Number == 0 {
		return "no configuration yet"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return isolationReason(time.Now(), f.startedAt, f.lastContactAt)
}

// isolationReason returns why a node counts as isolated, empty if it does not.
func isolationReason(now, startedAt, lastContactAt time.Time) string {
	last := startedAt
	if lastContactAt.After(last) {
		last = lastContactAt
	}
	if now.Sub(last) < isolationTimeout {
		return ""
	}
	return "neither the object API nor another node has answered for " + isolationTimeout.String()
}

// setWatching starts or stops the watch of the object API.
func (f *Follower) setWatching(ctx context.Context, shouldWatch bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case shouldWatch && f.cancelWatch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		f.cancelWatch = cancel
		go f.watch(watchCtx)
	case !shouldWatch && f.cancelWatch != nil:
		f.cancelWatch()
		f.cancelWatch = nil
	}
}

// watch follows the revision pointer until ctx is done.
func (f *Follower) watch(ctx context.Context) {
	f.Log.Info("Started watching the revision pointer.")
	defer f.Log.Info("Stopped watching the revision pointer.")
	after, delay := objectapi.UnknownRevision, retryDelay
	for ctx.Err() == nil {
		next, err := f.watchOnce(ctx, after)
		if err == nil {
			after, delay = next, retryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Log.Warn("Failed to watch the revision pointer; retrying.", "error", err)
		after = objectapi.UnknownRevision
		sleep.For(ctx, delay/2+rand.N(delay/2+1))
		delay = min(2*delay, maxRetryDelay)
	}
}

// watchOnce reads the pointer if after is objectapi.UnknownRevision, otherwise waits for its next change, and puts the snapshot that it
// names in force. It returns the revision of the object API from which to continue, or objectapi.UnknownRevision if the pointer has to be read
// again.
func (f *Follower) watchOnce(ctx context.Context, after objectapi.Version) (objectapi.Version, error) {
	var objects []objectapi.Object
	if after != objectapi.UnknownRevision {
		watchCtx, cancel := context.WithTimeout(ctx, followerWatchTimeout)
		defer cancel()
		changes, err := f.Store.Watch(watchCtx, PointerKey, after)
		if err != nil {
			return objectapi.UnknownRevision, err
		}
		if changes.Reset || changes.Revision.Compare(after) < 0 {
			return objectapi.UnknownRevision, nil // the history was lost, or the object API was replaced
		}
		for _, e := range changes.Events {
			objects = append(objects, e.Object)
		}
		after = changes.Revision
	} else {
		listing, err := f.Store.List(ctx, PointerKey)
		if err != nil {
			return objectapi.UnknownRevision, err
		}
		objects, after = listing.Objects, listing.Revision
	}
	receivedAt := time.Now()
	if err := f.applyNewest(ctx, objects); err != nil {
		return objectapi.UnknownRevision, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContactAt, f.syncedAt = receivedAt, receivedAt
	return after, nil
}

// applyNewest puts the snapshot that the newest pointer names in force. It ignores a pointer that is older than the
// snapshot in force: configuration never reverts.
func (f *Follower) applyNewest(ctx context.Context, objects []objectapi.Object) error {
	var newest Pointer
	for _, o := range objects {
		var pointer Pointer
		if err := json.Unmarshal(o.Value, &pointer); err != nil {
			return err
		}
		if pointer.Number > newest.Number {
			newest = pointer
		}
	}
	if newest.Number <= f.CurrentSnapshot.Index().Number {
		return nil
	}
	// A delta from the acceptor's node is smaller than the snapshot in the object API.
	for _, n := range f.Members.Live() {
		if n.Name == newest.Node && n.Name != f.Members.Self().Name {
			f.poll(ctx, n)
		}
	}
	if newest.Number <= f.CurrentSnapshot.Index().Number {
		return nil
	}
	snapshot, err := readSnapshot(ctx, f.Store, newest.SnapshotKey)
	if err != nil {
		return err
	}
	f.apply(snapshot, "object API")
	return nil
}
