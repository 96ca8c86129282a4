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
	askInterval = time.Second // between two questions to the watching neighbour
	askTimeout  = time.Second
	// silentAfter is how long a neighbour may be without news of the object API before another node watches.
	silentAfter = 3 * time.Second
	// followWatch bounds one wait at the object API: the answer comes after a second at the latest, so that a
	// connection that went silent is noticed.
	followWatch = 3 * time.Second
	// maxWatchPause bounds the pause after failed watches, so that an outage does not end with all nodes waiting.
	maxWatchPause = 4 * time.Second
	// cutOffAfter is how long a node may hear neither the object API nor another node and still be ready.
	cutOffAfter = 30 * time.Second
)

// Members are the nodes as the follower needs them.
type Members interface {
	Self() membership.Node
	Live() []membership.Node
}

// Follower keeps Current at the newest revision. In each failure domain one node, the first by rendezvous hash, watches
// the object API; its neighbours ask it every second, and are told of a new number by a membership record at once. A
// node whose neighbours have no news of the object API watches for itself, and where that fails too it asks any node.
type Follower struct {
	Store   objectapi.Store
	Current *Current
	Members Members
	Records *membership.Records
	Dial    func(address string) peerpbconnect.PeerServiceClient
	Log     *slog.Logger

	mu      sync.Mutex
	started time.Time
	// inStepAt is when this node last knew the newest revision of the object API, from itself or from another node.
	inStepAt time.Time
	// contactAt is when the object API or another node last answered.
	contactAt time.Time
	goodAt    map[string]time.Time // when a neighbour last had news of the object API
	history   history
	wake      chan struct{}
	stopWatch context.CancelFunc // nil while this node does not watch
	rotation  int
}

// recordValue is the value of the membership record RecordRevision; the number is the record's version.
type recordValue struct {
	Node string `json:"node"` // a node that has the revision
}

// Start prepares the follower. It is called before Run and before the first message of another node.
func (f *Follower) Start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = time.Now()
	f.goodAt = map[string]time.Time{}
	f.wake = make(chan struct{}, 1)
	f.Records.Watch(membership.RecordRevision, func(*peerpb.Record) {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	})
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		f.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// round asks the watching neighbour, or makes this node watch.
func (f *Follower) round(ctx context.Context) {
	before, watcher := f.neighbours()
	// The nodes before the watcher are silent; the question shows when one of them is back.
	for _, n := range before {
		go f.ask(ctx, n)
	}
	f.watchWhile(ctx, watcher == nil)
	if watcher != nil {
		f.ask(ctx, *watcher)
	}
	if f.behind() || f.inStepAge() > silentAfter {
		f.askAround(ctx)
	}
}

// neighbours returns the node of this failure domain that watches, nil if it is this one, and the silent nodes that
// would come first.
func (f *Follower) neighbours() (before []membership.Node, watcher *membership.Node) {
	self := f.Members.Self()
	local := []membership.Node{self}
	for _, n := range f.Members.Live() {
		if n.FailureDomain == self.FailureDomain && n.Name != self.Name {
			local = append(local, n)
		}
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	// A node seen for the first time gets the whole time to show that it watches; nodes that are gone are forgotten.
	goodAt := map[string]time.Time{}
	for _, n := range local {
		goodAt[n.Name] = now
		if at, known := f.goodAt[n.Name]; known {
			goodAt[n.Name] = at
		}
	}
	f.goodAt = goodAt
	for _, n := range membership.Rank("watch/revision", local) {
		if n.Name == self.Name {
			return before, nil
		}
		if now.Sub(f.goodAt[n.Name]) <= silentAfter {
			return before, &n
		}
		before = append(before, n)
	}
	return before, nil
}

// ask takes the snapshot of another node if it is newer, and its news of the object API.
func (f *Follower) ask(ctx context.Context, n membership.Node) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := f.fetch(ctx, n, f.Current.Index())
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactAt = time.Now()
	if !reply.Known {
		return
	}
	inStepAt := asked.Add(-time.Duration(reply.AgeMs) * time.Millisecond)
	if inStepAt.After(f.inStepAt) {
		f.inStepAt = inStepAt
	}
	if inStepAt.After(f.goodAt[n.Name]) {
		f.goodAt[n.Name] = inStepAt
	}
}

// fetch asks a node for what is newer than the snapshot in force and takes it. Changes that do not fit that snapshot
// are asked for again as a whole.
func (f *Follower) fetch(ctx context.Context, n membership.Node, present *Index) (*peerpb.SnapshotResponse, error) {
	client := f.Dial(n.PeerAddress)
	reply, err := client.Snapshot(ctx, connect.NewRequest(&peerpb.SnapshotRequest{NewerThan: present.Number}))
	if err != nil {
		return nil, err
	}
	snapshot, err := snapshotFrom(reply.Msg, present.Snapshot)
	if err != nil && len(reply.Msg.Delta) > 0 {
		f.Log.Warn("Changes from another node do not fit.", "from", n.Name, "error", err)
		if reply, err = client.Snapshot(ctx, connect.NewRequest(&peerpb.SnapshotRequest{})); err != nil {
			return nil, err
		}
		snapshot, err = snapshotFrom(reply.Msg, Snapshot{})
	}
	if err != nil {
		f.Log.Warn("Snapshot of another node cannot be read.", "from", n.Name, "error", err)
		return nil, err
	}
	f.adopt(snapshot, n.Name)
	return reply.Msg, nil
}

// askAround asks the node that a record names, if this node is behind it, and one other node, each time the next.
func (f *Follower) askAround(ctx context.Context) {
	self := f.Members.Self().Name
	var others []membership.Node
	source := f.source()
	for _, n := range f.Members.Live() {
		switch n.Name {
		case self:
		case source:
			f.ask(ctx, n)
		default:
			others = append(others, n)
		}
	}
	if len(others) > 0 {
		f.rotation++
		f.ask(ctx, others[f.rotation%len(others)])
	}
}

// record returns the record of the newest revision, nil if there is none.
func (f *Follower) record() *peerpb.Record {
	for _, r := range f.Records.List(membership.RecordRevision) {
		if r.Key == membership.RecordRevision {
			return r
		}
	}
	return nil
}

// behind reports whether a record names a higher number than the one in force.
func (f *Follower) behind() bool {
	r := f.record()
	return r != nil && r.Version > f.Current.Index().Number
}

// source returns the node that the record names, empty if this node is not behind.
func (f *Follower) source() string {
	var value recordValue
	if r := f.record(); r != nil && f.behind() {
		_ = json.Unmarshal(r.Value, &value)
	}
	return value.Node
}

// Published puts a snapshot that this node's acceptor has published in force, so that other nodes can get it here.
func (f *Follower) Published(snapshot Snapshot) { f.adopt(snapshot, "own acceptor") }

// adopt puts a newer snapshot in force and tells the other nodes.
func (f *Follower) adopt(snapshot Snapshot, from string) {
	if snapshot.Number <= f.Current.Index().Number || !f.Current.Adopt(snapshot) {
		return
	}
	f.mu.Lock()
	err := f.history.add(snapshot)
	f.mu.Unlock()
	if err != nil {
		f.Log.Warn("Snapshot cannot be passed on.", "revision", snapshot.Number, "error", err)
	}
	f.Log.Info("Configuration is in force.", "revision", snapshot.Number, "objects", len(snapshot.Objects), "from", from)
	if err := f.Records.Put(membership.RecordRevision, snapshot.Number, recordValue{Node: f.Members.Self().Name}); err != nil {
		f.Log.Warn("Revision could not be announced.", "revision", snapshot.Number, "error", err)
	}
}

// HandleSnapshot implements peer.Snapshots.
func (f *Follower) HandleSnapshot(request *peerpb.SnapshotRequest) *peerpb.SnapshotResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &peerpb.SnapshotResponse{Revision: f.history.number, Known: !f.inStepAt.IsZero()}
	if reply.Known {
		reply.AgeMs = time.Since(f.inStepAt).Milliseconds()
	}
	if f.history.number > request.NewerThan {
		if reply.Delta = f.history.delta(request.NewerThan); reply.Delta == nil {
			reply.Snapshot = f.history.raw
		}
	}
	return reply
}

func (f *Follower) inStepAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.inStepAt)
}

// NotReady returns why this node should get no new callers, empty if its configuration is fit for use. A node that is
// cut off keeps serving those that it has.
func (f *Follower) NotReady() string {
	if f.Current.Index().Number == 0 {
		return "no configuration yet"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return cutOff(time.Now(), f.started, f.contactAt)
}

// cutOff returns why a node counts as cut off, empty if it does not.
func cutOff(now, started, contactAt time.Time) string {
	last := started
	if contactAt.After(last) {
		last = contactAt
	}
	if now.Sub(last) < cutOffAfter {
		return ""
	}
	return "neither the object API nor another node has answered for " + cutOffAfter.String()
}

// watchWhile starts or stops watching the object API.
func (f *Follower) watchWhile(ctx context.Context, wanted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case wanted && f.stopWatch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		f.stopWatch = cancel
		go f.watch(watchCtx)
	case !wanted && f.stopWatch != nil:
		f.stopWatch()
		f.stopWatch = nil
	}
}

// watch follows the pointer until ctx ends.
func (f *Follower) watch(ctx context.Context) {
	f.Log.Info("Node watches the revision pointer.")
	defer f.Log.Info("Node has stopped watching the revision pointer.")
	after, pause := int64(-1), retryDelay
	for ctx.Err() == nil {
		next, err := f.watchOnce(ctx, after)
		if err == nil {
			after, pause = next, retryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Log.Warn("Revision pointer could not be read.", "error", err)
		after = -1
		sleep.For(ctx, pause/2+rand.N(pause/2+1))
		pause = min(2*pause, maxWatchPause)
	}
}

// watchOnce reads the pointer at the start (after < 0), else waits for its next change, and puts its snapshot in force.
func (f *Follower) watchOnce(ctx context.Context, after int64) (int64, error) {
	var objects []objectapi.Object
	if after >= 0 {
		watchCtx, cancel := context.WithTimeout(ctx, followWatch)
		defer cancel()
		changes, err := f.Store.Watch(watchCtx, CurrentKey, after)
		if err != nil {
			return 0, err
		}
		if changes.Reset || changes.Revision < after {
			return -1, nil // the history is lost, or that of another object API
		}
		for _, e := range changes.Events {
			objects = append(objects, e.Object)
		}
		after = changes.Revision
	} else {
		listing, err := f.Store.List(ctx, CurrentKey)
		if err != nil {
			return 0, err
		}
		objects, after = listing.Objects, listing.Revision
	}
	heard := time.Now()
	if err := f.takeNewest(ctx, objects); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactAt, f.inStepAt = heard, heard
	return after, nil
}

// takeNewest puts the snapshot of the newest pointer in force. A pointer that is older than the snapshot in force is
// passed over: configuration never reverts.
func (f *Follower) takeNewest(ctx context.Context, objects []objectapi.Object) error {
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
	if newest.Number <= f.Current.Index().Number {
		return nil
	}
	// The changes from the acceptor's node are smaller than the snapshot in the object API.
	for _, n := range f.Members.Live() {
		if n.Name == newest.Node && n.Name != f.Members.Self().Name {
			f.ask(ctx, n)
		}
	}
	if newest.Number <= f.Current.Index().Number {
		return nil
	}
	snapshot, err := readSnapshot(ctx, f.Store, newest.Key)
	if err != nil {
		return err
	}
	f.adopt(snapshot, "object API")
	return nil
}
