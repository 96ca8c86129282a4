package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/sleep"
)

// LeaseName is the name of the lease that the acceptor runs under.
const LeaseName = "revision"

const (
	retryDelay = 500 * time.Millisecond
	// coalesceDelay is how long the acceptor waits after a change for more of the same burst.
	coalesceDelay = 250 * time.Millisecond
	// acceptorWatchTimeout bounds one wait for changes. A connection that went silent delays acceptance by no more than this.
	acceptorWatchTimeout = 4 * time.Second
	// readyRunnersInterval is how often the numbers of ready runners in statuses are brought up to date.
	readyRunnersInterval = 10 * time.Second
)

// Acceptor turns written objects into revisions. It runs under the lease LeaseName.
type Acceptor struct {
	Store objectapi.Store
	// Current is the snapshot in force on this node: new revisions get higher numbers also if the object API lost some.
	Current *Current
	// ReadyRunners returns the number of ready runners by deployment; nil or a missing entry means not known.
	ReadyRunners func() map[string]int
	// Node is the name of this node, and OnPublish is called with each new snapshot after the pointer names it. Both may
	// be left out.
	Node      string
	OnPublish func(Snapshot)
	Log       *slog.Logger
}

// acceptorSession is the state of an acceptor while it holds the lease.
type acceptorSession struct {
	*Acceptor
	checkLease      func() error // whether the lease still holds
	fencingToken    int64
	maxStatusWrites int // status writes at the same time
	pointer         Pointer
	pointerVersion  int64
	acceptedObjects object.Set // objects of the snapshot that the pointer names
	acceptedKey     string
	statuses        statusCache
	decodedObjects  map[string]desiredObject // what the last pass read, so that only changes are decoded
}

// Run accepts changes until ctx ends or the lease is lost. It is called by lease.Manager.Hold.
func (a *Acceptor) Run(ctx context.Context, l *lease.Lease) {
	s := &acceptorSession{Acceptor: a, checkLease: l.Check, fencingToken: l.FencingToken, maxStatusWrites: maxConcurrentStatusWrites}
	isStarted := false
	var acceptedAt time.Time
	after := int64(-1)
	for ctx.Err() == nil && s.checkLease() == nil {
		var err error
		if !isStarted {
			err = s.start(ctx)
			isStarted = err == nil
		}
		if err == nil && (after < 0 || time.Since(acceptedAt) >= readyRunnersInterval) {
			after, err = s.accept(ctx)
			acceptedAt = time.Now()
		}
		if err != nil {
			a.Log.Warn("Configuration could not be accepted.", "error", err)
			after = -1
			sleep.For(ctx, retryDelay)
			continue
		}
		if s.waitForChange(ctx, &after) {
			after = -1
		}
	}
}

// waitForChange waits for changes of the written objects for a bounded time.
func (a *acceptorSession) waitForChange(ctx context.Context, after *int64) bool {
	watchCtx, cancel := context.WithTimeout(ctx, acceptorWatchTimeout)
	defer cancel()
	changes, err := a.Store.Watch(watchCtx, object.SpecPrefix, *after)
	if err != nil {
		sleep.For(ctx, retryDelay)
		return true
	}
	if changes.Reset || changes.Revision < *after || len(changes.Events) > 0 {
		sleep.For(ctx, coalesceDelay)
		return true
	}
	*after = changes.Revision
	return false
}

// start writes the pointer with the fencing token of this lease. That changes its version, so that a paused former
// acceptor cannot move it any more, and the snapshots that it left can be deleted.
func (a *acceptorSession) start(ctx context.Context) error {
	if err := a.loadPointer(ctx); err != nil {
		return err
	}
	next := a.pointer
	next.FencingToken = a.fencingToken
	if err := a.updatePointer(ctx, next); err != nil {
		return err
	}
	if err := a.loadStatuses(ctx); err != nil {
		return err
	}
	return a.deleteOrphanedSnapshots(ctx)
}

// loadPointer reads the pointer and the snapshot that it names.
func (a *acceptorSession) loadPointer(ctx context.Context) error {
	pointer, version, err := readPointer(ctx, a.Store)
	if err != nil {
		return err
	}
	if pointer.FencingToken > a.fencingToken {
		return errors.Wrapf(lease.ErrLost, "the pointer has fencing token %d, this acceptor %d", pointer.FencingToken, a.fencingToken)
	}
	if a.acceptedObjects == nil || pointer.SnapshotKey != a.acceptedKey {
		snapshot, err := readSnapshot(ctx, a.Store, pointer.SnapshotKey)
		if err != nil {
			return err
		}
		a.acceptedObjects, a.acceptedKey = object.NewSet(snapshot.Objects), pointer.SnapshotKey
	}
	a.pointer, a.pointerVersion = pointer, version
	return nil
}

func (a *acceptorSession) updatePointer(ctx context.Context, next Pointer) error {
	if err := a.checkLease(); err != nil {
		return err
	}
	o, err := a.Store.Put(ctx, CurrentKey, next, a.pointerVersion)
	if err != nil {
		return err
	}
	a.pointer, a.pointerVersion = next, o.Version
	return nil
}

// accept decides about the written objects, makes a new revision if that changes what is in force, and writes the
// statuses. It returns the revision of the object API up to which changes are seen.
func (a *acceptorSession) accept(ctx context.Context) (int64, error) {
	listing, err := a.Store.List(ctx, object.SpecPrefix)
	if err != nil {
		return -1, err
	}
	if err := a.loadPointer(ctx); err != nil {
		return -1, err
	}
	specs := map[string]desiredObject{}
	for _, o := range listing.Objects {
		id := strings.TrimPrefix(o.Key, object.SpecPrefix)
		desired, found := a.decodedObjects[id]
		if !found || desired.version != o.Version {
			desired = decodeDesired(o)
		}
		specs[id] = desired
	}
	a.decodedObjects = specs
	next, reasons := resolveWithinSize(maxSnapshotBytes, a.acceptedObjects, specs)
	previous := a.acceptedObjects
	if !sameObjects(previous, next) {
		if err := a.publish(ctx, next); err != nil {
			return -1, err
		}
	}
	return listing.Revision, a.writeStatuses(ctx, previous, specs, reasons)
}

// decodeDesired reads and validates an object. An object under a key of another name is wrong.
func decodeDesired(o objectapi.Object) desiredObject {
	id := strings.TrimPrefix(o.Key, object.SpecPrefix)
	spec, problems := object.DecodeJSON(o.Value)
	if len(problems) == 0 {
		problems = spec.Validate()
		if spec.ID() != id {
			problems = append(problems, object.Problem{Object: id, Field: "name", Value: spec.ID(), Allowed: "the name of its key, " + id})
		}
	}
	return desiredObject{version: o.Version, object: spec, problems: problems}
}

// publish writes an immutable snapshot and then moves the pointer to it. If it ends between the two, the snapshot stays
// behind until the next holder of the lease deletes it.
func (a *acceptorSession) publish(ctx context.Context, objects object.Set) error {
	snapshot := Snapshot{Number: max(a.pointer.Number, a.Current.Index().Number) + 1, Objects: objects.List()}
	key := fmt.Sprintf("%s%012d-%s", SnapshotPrefix, snapshot.Number, uuid.NewString()[:8])
	if err := a.checkLease(); err != nil {
		return err
	}
	if _, err := a.Store.Put(ctx, key, snapshot, objectapi.Absent); err != nil {
		return err
	}
	next := Pointer{
		Number: snapshot.Number, SnapshotKey: key, Node: a.Node, FencingToken: a.fencingToken,
		RetainedKeys: append(slices.Clone(a.pointer.RetainedKeys), key),
	}
	var surplusKeys []string
	if surplus := len(next.RetainedKeys) - maxRetainedSnapshots; surplus > 0 {
		surplusKeys, next.RetainedKeys = next.RetainedKeys[:surplus], slices.Clone(next.RetainedKeys[surplus:])
	}
	if err := a.updatePointer(ctx, next); err != nil {
		return err
	}
	a.acceptedObjects, a.acceptedKey = objects, key
	a.Log.Info("Configuration is accepted.", "revision", snapshot.Number, "objects", len(snapshot.Objects))
	if a.OnPublish != nil {
		a.OnPublish(snapshot)
	}
	a.deleteSnapshots(ctx, surplusKeys)
	return nil
}

// deleteOrphanedSnapshots deletes the snapshots that the pointer does not name. The pointer was written by this acceptor, so that
// no other one can still come to name them.
func (a *acceptorSession) deleteOrphanedSnapshots(ctx context.Context) error {
	listing, err := a.Store.List(ctx, SnapshotPrefix)
	if err != nil {
		return err
	}
	var orphans []string
	for _, o := range listing.Objects {
		if o.Key != CurrentKey && !slices.Contains(a.pointer.RetainedKeys, o.Key) {
			orphans = append(orphans, o.Key)
		}
	}
	a.deleteSnapshots(ctx, orphans)
	return nil
}

// deleteSnapshots deletes what it can; the rest is deleted as orphans by the next holder.
func (a *acceptorSession) deleteSnapshots(ctx context.Context, keys []string) {
	for _, key := range keys {
		if a.checkLease() != nil {
			return
		}
		if err := a.Store.Delete(ctx, key, objectapi.Any); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			a.Log.Warn("Old snapshot could not be deleted.", "key", key, "error", err)
		}
	}
}

// readPointer returns the pointer and its version, a zero pointer if there is none.
func readPointer(ctx context.Context, store objectapi.Store) (Pointer, int64, error) {
	var pointer Pointer
	o, err := store.Get(ctx, CurrentKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return pointer, objectapi.Absent, nil
	}
	if err != nil {
		return pointer, 0, err
	}
	return pointer, o.Version, errors.Wrap(json.Unmarshal(o.Value, &pointer), "decode revision pointer")
}

// readSnapshot returns the snapshot of a key, an empty one if key is empty.
func readSnapshot(ctx context.Context, store objectapi.Store, key string) (Snapshot, error) {
	var snapshot Snapshot
	if key == "" {
		return snapshot, nil
	}
	o, err := store.Get(ctx, key)
	if err != nil {
		return snapshot, err
	}
	return snapshot, errors.Wrapf(json.Unmarshal(o.Value, &snapshot), "decode snapshot %q", key)
}
