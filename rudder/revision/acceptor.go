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

// LeaseName is the name of the lease under which the acceptor runs.
const LeaseName = "revision"

const (
	retryDelay = 500 * time.Millisecond // after a failed call of the object API
	// coalesceDelay is how long the acceptor waits after a change, so that a burst of changes results in one revision.
	coalesceDelay = 250 * time.Millisecond
	// acceptorWatchTimeout bounds one watch call, and thereby the time for which an unresponsive connection delays the
	// acceptance of a change.
	acceptorWatchTimeout = 4 * time.Second
	// readyRunnersInterval is how often the counts of ready runners in statuses are updated.
	readyRunnersInterval = 10 * time.Second
)

// Acceptor turns the objects that operators write into revisions. It runs only while this node holds the lease
// LeaseName.
type Acceptor struct {
	Store objectapi.Store
	// CurrentSnapshot holds the snapshot in force on this node. A new revision gets a higher number even if the object
	// API has lost revisions.
	CurrentSnapshot *CurrentSnapshot
	// NewestKnownNumber returns the number of the newest revision of which this node has heard. It is optional.
	NewestKnownNumber func() int64
	// ReadyRunners returns the number of ready runners by deployment. A nil function, a nil map or a missing entry
	// means that the number is unknown.
	ReadyRunners func() map[string]int
	// Node is the name of this node. OnPublish is called with each new snapshot after the pointer has been updated to
	// name it. Both are optional.
	Node      string
	OnPublish func(Snapshot)
	Log       *slog.Logger
}

// acceptorSession is the state of an acceptor while it holds the lease.
type acceptorSession struct {
	*Acceptor
	checkLease      func() error // returns an error once the lease is lost
	fencingToken    int64
	maxStatusWrites int // limit on concurrent status writes
	pointer         Pointer
	pointerVersion  objectapi.Version
	acceptedObjects object.Set // objects of the snapshot that the pointer names
	acceptedKey     string     // key of that snapshot
	statuses        statusCache
	decodedObjects  map[string]desiredObject // results of the last pass; only changed objects are decoded again
	missingSince    time.Time                // since when this node lacks a revision that the object API has lost
}

// Run accepts changes until ctx is done or the lease is lost. It is meant to be passed to lease.Manager.Hold.
func (a *Acceptor) Run(ctx context.Context, l *lease.Lease) {
	s := &acceptorSession{
		Acceptor: a, checkLease: l.Check, fencingToken: l.FencingToken, maxStatusWrites: maxConcurrentStatusWrites,
	}
	isStarted := false
	var acceptedAt time.Time
	after := objectapi.UnknownRevision
	for ctx.Err() == nil && s.checkLease() == nil {
		var err error
		if !isStarted {
			err = s.start(ctx)
			isStarted = err == nil
		}
		if err == nil && (after == objectapi.UnknownRevision || time.Since(acceptedAt) >= readyRunnersInterval) {
			after, err = s.accept(ctx)
			acceptedAt = time.Now()
		}
		if err != nil {
			a.Log.Warn("Failed to accept changes; retrying.", "error", err)
			after = objectapi.UnknownRevision
			sleep.For(ctx, retryDelay)
			continue
		}
		if s.waitForChange(ctx, &after) {
			after = objectapi.UnknownRevision
		}
	}
}

// waitForChange watches the objects that operators write for at most acceptorWatchTimeout. It returns true if they have
// to be read again: after a change, a failed watch or a loss of history in the object API. Otherwise it sets after to
// the revision of the object API up to which there was no change.
func (a *acceptorSession) waitForChange(ctx context.Context, after *objectapi.Version) bool {
	watchCtx, cancel := context.WithTimeout(ctx, acceptorWatchTimeout)
	defer cancel()
	changes, err := a.Store.Watch(watchCtx, object.SpecPrefix, *after)
	if err != nil {
		sleep.For(ctx, retryDelay)
		return true
	}
	if changes.Reset || changes.Revision.Compare(*after) < 0 || len(changes.Events) > 0 {
		sleep.For(ctx, coalesceDelay)
		return true
	}
	*after = changes.Revision
	return false
}

// start writes the pointer with the fencing token of this lease. This changes the version of the pointer, so that a
// paused former acceptor can no longer update it, and the snapshots that such an acceptor left behind can be deleted.
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

// loadPointer reads the pointer and the snapshot that it names. It returns lease.ErrLost if the pointer has a higher
// fencing token than this lease.
func (a *acceptorSession) loadPointer(ctx context.Context) error {
	pointer, version, err := readPointer(ctx, a.Store)
	if err != nil {
		return err
	}
	if pointer.FencingToken > a.fencingToken {
		return errors.Wrapf(lease.ErrLost, "load revision pointer: its fencing token is %d, that of this acceptor is %d",
			pointer.FencingToken, a.fencingToken)
	}
	if a.acceptedObjects == nil || pointer.SnapshotKey != a.acceptedKey {
		snapshot, err := readSnapshot(ctx, a.Store, pointer.SnapshotKey)
		if err != nil {
			return err
		}
		a.acceptedObjects, a.acceptedKey = object.NewSet(snapshot.Objects), pointer.SnapshotKey
	}
	if version.Epoch != a.pointerVersion.Epoch {
		a.statuses = nil
	}
	a.pointer, a.pointerVersion = pointer, version
	return nil
}

// updatePointer writes the pointer if the lease is still held and the version of the pointer is as last read.
func (a *acceptorSession) updatePointer(ctx context.Context, next Pointer) error {
	if err := a.checkLease(); err != nil {
		return err
	}
	o, err := a.Store.Put(ctx, PointerKey, next, a.pointerVersion)
	if err != nil {
		return err
	}
	a.pointer, a.pointerVersion = next, o.Version
	return nil
}

// accept decides which versions of the written objects are accepted, publishes a new revision if the accepted objects
// change, and writes the statuses. It returns the revision of the object API up to which it has read changes.
func (a *acceptorSession) accept(ctx context.Context) (objectapi.Version, error) {
	listing, err := a.Store.List(ctx, object.SpecPrefix)
	if err != nil {
		return objectapi.UnknownRevision, err
	}
	if err := a.loadPointer(ctx); err != nil {
		return objectapi.UnknownRevision, err
	}
	specs := a.decodeListing(listing)
	previous := a.acceptedObjects
	isLost := a.hasLostRevision()
	if isLost {
		if previous, err = a.recoverSpecs(ctx, specs); err != nil {
			return objectapi.UnknownRevision, err
		}
		if listing, err = a.Store.List(ctx, object.SpecPrefix); err != nil {
			return objectapi.UnknownRevision, err
		}
		specs = a.decodeListing(listing)
	}
	next, reasons := resolveWithinSize(maxSnapshotBytes, previous, specs)
	if isLost || !sameObjects(previous, next) {
		if err := a.publish(ctx, next); err != nil {
			return objectapi.UnknownRevision, err
		}
	}
	return listing.Revision, a.writeStatuses(ctx, previous, specs, reasons)
}

// decodeListing decodes the objects that operators have written. Only those that changed since the last pass are decoded again.
func (a *acceptorSession) decodeListing(listing objectapi.Listing) map[string]desiredObject {
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
	return specs
}

// decodeDesired decodes and validates an object. An object whose ID does not match its key is invalid.
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

// publish writes an immutable snapshot and then updates the pointer to name it. If the process ends between the two
// writes, the next holder of the lease deletes the snapshot.
func (a *acceptorSession) publish(ctx context.Context, objects object.Set) error {
	snapshot := Snapshot{Number: a.nextNumber(), Objects: objects.List()}
	key := fmt.Sprintf("%s%012d-%s", SnapshotPrefix, snapshot.Number, uuid.NewString()[:8])
	if err := a.checkLease(); err != nil {
		return err
	}
	if _, err := a.Store.Put(ctx, key, snapshot, objectapi.AbsentVersion); err != nil {
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
	a.Log.Info("Published a new revision.", "revision", snapshot.Number, "objects", len(snapshot.Objects))
	if a.OnPublish != nil {
		a.OnPublish(snapshot)
	}
	a.deleteSnapshots(ctx, surplusKeys)
	return nil
}

// deleteOrphanedSnapshots deletes the snapshots that the pointer does not name. This acceptor has written the pointer
// before, so that no other acceptor can make it name one of them any more.
func (a *acceptorSession) deleteOrphanedSnapshots(ctx context.Context) error {
	listing, err := a.Store.List(ctx, SnapshotPrefix)
	if err != nil {
		return err
	}
	if listing.Revision.Epoch != a.pointerVersion.Epoch {
		return errors.Wrapf(objectapi.ErrConflict, "list snapshots in epoch %d, the pointer is of epoch %d", listing.Revision.Epoch, a.pointerVersion.Epoch)
	}
	var orphans []string
	for _, o := range listing.Objects {
		if o.Key != PointerKey && !slices.Contains(a.pointer.RetainedKeys, o.Key) {
			orphans = append(orphans, o.Key)
		}
	}
	a.deleteSnapshots(ctx, orphans)
	return nil
}

// deleteSnapshots deletes as many of the snapshots as it can, unless the object API was restored since the pointer was read: the
// restored pointer may name one of them. The next holder of the lease deletes the rest as orphans.
func (a *acceptorSession) deleteSnapshots(ctx context.Context, keys []string) {
	version := objectapi.Version{Epoch: a.pointerVersion.Epoch, Number: 1} // a snapshot is written once
	for _, key := range keys {
		if a.checkLease() != nil {
			return
		}
		if err := a.Store.Delete(ctx, key, version); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			a.Log.Warn("Failed to delete an old snapshot; the next lease holder deletes it.", "key", key, "error", err)
		}
	}
}

// readPointer returns the pointer and its version. If there is none, it returns a zero pointer and
// objectapi.AbsentVersion.
func readPointer(ctx context.Context, store objectapi.Store) (Pointer, objectapi.Version, error) {
	var pointer Pointer
	o, err := store.Get(ctx, PointerKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return pointer, objectapi.AbsentVersion, nil
	}
	if err != nil {
		return pointer, objectapi.AbsentVersion, err
	}
	return pointer, o.Version, errors.Wrap(json.Unmarshal(o.Value, &pointer), "decode revision pointer")
}

// readSnapshot returns the snapshot stored under a key, or an empty snapshot if the key is empty.
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
