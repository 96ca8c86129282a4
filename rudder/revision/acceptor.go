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
	// acceptWatch bounds one wait for changes. A connection that went silent delays acceptance by no more than this.
	acceptWatch = 4 * time.Second
	// readyInterval is how often the numbers of ready runners in statuses are brought up to date.
	readyInterval = 10 * time.Second
)

// Acceptor turns written objects into revisions. It runs under the lease LeaseName.
type Acceptor struct {
	Store objectapi.Store
	// Current is the snapshot in force on this node: new revisions get higher numbers also if the object API lost some.
	Current *Current
	// Ready returns the number of ready runners by deployment; nil or a missing entry means not known.
	Ready func() map[string]int
	// Node is the name of this node, and Published is called with each new snapshot after the pointer names it. Both may
	// be left out.
	Node      string
	Published func(Snapshot)
	Log       *slog.Logger
}

// acceptance is the state of an acceptor while it holds the lease.
type acceptance struct {
	*Acceptor
	check          func() error // whether the lease still holds
	fence          int64
	writers        int // status writes at the same time
	pointer        Pointer
	pointerVersion int64
	inForce        object.Set // objects of the snapshot that the pointer names
	inForceKey     string
	statuses       statuses
	decoded        map[string]written // what the last pass read, so that only changes are decoded
}

// Run accepts changes until ctx ends or the lease is lost. It is called by lease.Manager.Hold.
func (a *Acceptor) Run(ctx context.Context, l *lease.Lease) {
	s := &acceptance{Acceptor: a, check: l.Check, fence: l.Fence, writers: statusWriters}
	started := false
	var readyAt time.Time
	after := int64(-1)
	for ctx.Err() == nil && s.check() == nil {
		var err error
		if !started {
			err = s.start(ctx)
			started = err == nil
		}
		if err == nil && (after < 0 || time.Since(readyAt) >= readyInterval) {
			after, err = s.accept(ctx)
			readyAt = time.Now()
		}
		if err != nil {
			a.Log.Warn("Configuration could not be accepted.", "error", err)
			after = -1
			sleep.For(ctx, retryDelay)
			continue
		}
		if s.changed(ctx, &after) {
			after = -1
		}
	}
}

// changed waits for changes of the written objects for a bounded time.
func (a *acceptance) changed(ctx context.Context, after *int64) bool {
	watchCtx, cancel := context.WithTimeout(ctx, acceptWatch)
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
func (a *acceptance) start(ctx context.Context) error {
	if err := a.load(ctx); err != nil {
		return err
	}
	next := a.pointer
	next.Fence = a.fence
	if err := a.movePointer(ctx, next); err != nil {
		return err
	}
	if err := a.loadStatuses(ctx); err != nil {
		return err
	}
	return a.deleteOrphans(ctx)
}

// load reads the pointer and the snapshot that it names.
func (a *acceptance) load(ctx context.Context) error {
	pointer, version, err := readPointer(ctx, a.Store)
	if err != nil {
		return err
	}
	if pointer.Fence > a.fence {
		return errors.Wrapf(lease.ErrLost, "the pointer has fencing token %d, this acceptor %d", pointer.Fence, a.fence)
	}
	if a.inForce == nil || pointer.Key != a.inForceKey {
		snapshot, err := readSnapshot(ctx, a.Store, pointer.Key)
		if err != nil {
			return err
		}
		a.inForce, a.inForceKey = object.NewSet(snapshot.Objects), pointer.Key
	}
	a.pointer, a.pointerVersion = pointer, version
	return nil
}

func (a *acceptance) movePointer(ctx context.Context, next Pointer) error {
	if err := a.check(); err != nil {
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
func (a *acceptance) accept(ctx context.Context) (int64, error) {
	listing, err := a.Store.List(ctx, object.SpecPrefix)
	if err != nil {
		return -1, err
	}
	if err := a.load(ctx); err != nil {
		return -1, err
	}
	specs := map[string]written{}
	for _, o := range listing.Objects {
		id := strings.TrimPrefix(o.Key, object.SpecPrefix)
		known, found := a.decoded[id]
		if !found || known.version != o.Version {
			known = decodeWritten(o)
		}
		specs[id] = known
	}
	a.decoded = specs
	next, reasons := resolveWithin(maxSnapshotBytes, a.inForce, specs)
	previous := a.inForce
	if !sameObjects(previous, next) {
		if err := a.publish(ctx, next); err != nil {
			return -1, err
		}
	}
	return listing.Revision, a.writeStatuses(ctx, previous, specs, reasons)
}

// decodeWritten reads and validates an object. An object under a key of another name is wrong.
func decodeWritten(o objectapi.Object) written {
	id := strings.TrimPrefix(o.Key, object.SpecPrefix)
	spec, problems := object.DecodeJSON(o.Value)
	if len(problems) == 0 {
		problems = spec.Validate()
		if spec.ID() != id {
			problems = append(problems, object.Problem{Object: id, Field: "name", Value: spec.ID(), Allowed: "the name of its key, " + id})
		}
	}
	return written{version: o.Version, object: spec, problems: problems}
}

// publish writes an immutable snapshot and then moves the pointer to it. If it ends between the two, the snapshot stays
// behind until the next holder of the lease deletes it.
func (a *acceptance) publish(ctx context.Context, objects object.Set) error {
	snapshot := Snapshot{Number: max(a.pointer.Number, a.Current.Index().Number) + 1, Objects: objects.List()}
	key := fmt.Sprintf("%s%012d-%s", SnapshotPrefix, snapshot.Number, uuid.NewString()[:8])
	if err := a.check(); err != nil {
		return err
	}
	if _, err := a.Store.Put(ctx, key, snapshot, objectapi.AbsentVersion); err != nil {
		return err
	}
	next := Pointer{Number: snapshot.Number, Key: key, Node: a.Node, Fence: a.fence, Kept: append(slices.Clone(a.pointer.Kept), key)}
	var old []string
	if surplus := len(next.Kept) - keptSnapshots; surplus > 0 {
		old, next.Kept = next.Kept[:surplus], slices.Clone(next.Kept[surplus:])
	}
	if err := a.movePointer(ctx, next); err != nil {
		return err
	}
	a.inForce, a.inForceKey = objects, key
	a.Log.Info("Configuration is accepted.", "revision", snapshot.Number, "objects", len(snapshot.Objects))
	if a.Published != nil {
		a.Published(snapshot)
	}
	a.deleteSnapshots(ctx, old)
	return nil
}

// deleteOrphans deletes the snapshots that the pointer does not name. The pointer was written by this acceptor, so that
// no other one can still come to name them.
func (a *acceptance) deleteOrphans(ctx context.Context) error {
	listing, err := a.Store.List(ctx, SnapshotPrefix)
	if err != nil {
		return err
	}
	var orphans []string
	for _, o := range listing.Objects {
		if o.Key != CurrentKey && !slices.Contains(a.pointer.Kept, o.Key) {
			orphans = append(orphans, o.Key)
		}
	}
	a.deleteSnapshots(ctx, orphans)
	return nil
}

// deleteSnapshots deletes what it can; the rest is deleted as orphans by the next holder.
func (a *acceptance) deleteSnapshots(ctx context.Context, keys []string) {
	for _, key := range keys {
		if a.check() != nil {
			return
		}
		if err := a.Store.Delete(ctx, key, objectapi.AnyVersion); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			a.Log.Warn("Old snapshot could not be deleted.", "key", key, "error", err)
		}
	}
}

// readPointer returns the pointer and its version, a zero pointer if there is none.
func readPointer(ctx context.Context, store objectapi.Store) (Pointer, int64, error) {
	var pointer Pointer
	o, err := store.Get(ctx, CurrentKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return pointer, objectapi.AbsentVersion, nil
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
