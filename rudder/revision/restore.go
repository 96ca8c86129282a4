package revision

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

// The object API may be restored from an older copy and lose revisions, with the objects that operators wrote for them. Nodes
// keep the newest revision that they have in force. The acceptor writes its objects again and publishes it under a new number.

// missingRevisionTimeout is how long the acceptor waits until its node has got a lost revision from another node.
const missingRevisionTimeout = 10 * time.Second

// errMissingRevision means that another node has a newer revision than this one and the object API.
var errMissingRevision = errors.New("revision is lost in the object API and not in force on this node yet")

// newestKnownNumber returns the number of the newest revision of which this node has heard.
func (a *acceptorSession) newestKnownNumber() int64 {
	number := a.CurrentSnapshot.Index().Number
	if a.NewestKnownNumber != nil {
		number = max(number, a.NewestKnownNumber())
	}
	return number
}

// nextNumber returns the number of the next revision. The numbers of an epoch of the object API are above those of all earlier
// ones, because a number that was lost may be in force on a node that this one cannot reach.
func (a *acceptorSession) nextNumber() int64 {
	return max(a.pointer.Number, a.newestKnownNumber(), objectapi.Version{Epoch: a.pointerVersion.Epoch}.Ordinal()) + 1
}

// hasLostRevision reports whether the object API was restored and lacks a revision of which this node has heard.
func (a *acceptorSession) hasLostRevision() bool {
	return a.pointerVersion.Epoch > 0 && a.pointer.Number < a.newestKnownNumber()
}

// recoverSpecs writes the objects of the revision in force again where the object API has lost them, and returns those objects.
// It returns errMissingRevision while another node has a newer revision, for missingRevisionTimeout.
func (a *acceptorSession) recoverSpecs(ctx context.Context, specs map[string]desiredObject) (object.Set, error) {
	index, newest := a.CurrentSnapshot.Index(), a.newestKnownNumber()
	if index.Number < newest {
		if a.missingSince.IsZero() {
			a.missingSince = time.Now()
		}
		if time.Since(a.missingSince) < missingRevisionTimeout {
			return nil, errors.Wrapf(errMissingRevision, "revision %d", newest)
		}
		a.Log.Warn("No node gives a revision that the object API has lost.", "revision", newest, "in_force", index.Number)
	}
	a.missingSince = time.Time{}
	if index.Number <= a.pointer.Number {
		return a.acceptedObjects, nil
	}
	if a.statuses == nil {
		if err := a.loadStatuses(ctx); err != nil {
			return nil, err
		}
	}
	inForce := object.NewSet(index.Snapshot.Objects)
	ids := lostChanges(a.acceptedObjects, inForce, specs, a.statuses)
	a.Log.Warn("The object API has lost a revision, it is written again.", "revision", index.Number, "stored_revision", a.pointer.Number, "objects", len(ids))
	for _, id := range ids {
		if err := a.writeSpec(ctx, id, inForce, specs[id].version); err != nil {
			return nil, err
		}
	}
	return inForce, nil
}

// lostChanges returns the sorted IDs of the objects whose change from the stored revision to the one in force is lost. An object
// that an operator has written since the copy was made is not among them: it is a change to the one in force.
func lostChanges(stored, inForce object.Set, specs map[string]desiredObject, statuses statusCache) []string {
	ids := map[string]bool{}
	for _, set := range []object.Set{stored, inForce} {
		for id := range maps.Keys(set) {
			ids[id] = true
		}
	}
	for id := range ids {
		before, isStored := stored[id]
		now, isInForce := inForce[id]
		desired, isWritten := specs[id]
		isChanged := isStored != isInForce || !reflect.DeepEqual(before, now)
		isAsStored := isWritten == isStored && (!isWritten || reflect.DeepEqual(desired.object, before))
		// The acceptor had seen this version before the copy was made, since later ones have higher numbers.
		wasObserved := isWritten && desired.version.Number <= statuses[id].status.ObservedVersion.Number
		if !isChanged || !isAsStored && !wasObserved {
			delete(ids, id)
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// writeSpec writes an object as it is in force, or deletes it, if its version is as read.
func (a *acceptorSession) writeSpec(ctx context.Context, id string, inForce object.Set, version objectapi.Version) error {
	if err := a.checkLease(); err != nil {
		return err
	}
	o, found := inForce[id]
	if !found {
		err := a.Store.Delete(ctx, object.SpecPrefix+id, version)
		if errors.Is(err, objectapi.ErrNotFound) {
			return nil
		}
		return err
	}
	_, err := a.Store.Put(ctx, object.SpecPrefix+id, o, version)
	return err
}
