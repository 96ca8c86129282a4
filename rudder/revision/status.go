package revision

import (
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

// maxConcurrentStatusWrites bounds the status writes in progress at the same time.
const maxConcurrentStatusWrites = 8

// statusCache holds the status objects as the acceptor last read or wrote them, by object ID.
type statusCache map[string]storedStatus

// storedStatus is a status object with its version in the object API.
type storedStatus struct {
	version objectapi.Version
	status  object.Status
}

// sameObjects reports whether two sets hold the same objects.
func sameObjects(a, b object.Set) bool { return reflect.DeepEqual(a, b) }

// loadStatuses reads all status objects, once when the acceptor gets the lease and again after a failed write.
func (a *acceptorSession) loadStatuses(ctx context.Context) error {
	listing, err := a.Store.List(ctx, object.StatusPrefix)
	if err != nil {
		return err
	}
	a.statuses = statusCache{}
	for _, o := range listing.Objects {
		s := storedStatus{version: o.Version}
		_ = json.Unmarshal(o.Value, &s.status) // an unreadable status is overwritten
		a.statuses[strings.TrimPrefix(o.Key, object.StatusPrefix)] = s
	}
	return nil
}

// writeStatuses writes the statuses that changed and deletes those of objects that no longer exist, with at most
// maxStatusWrites calls at a time.
func (a *acceptorSession) writeStatuses(ctx context.Context, previous object.Set, specs map[string]desiredObject, reasons map[string]string) error {
	if a.statuses == nil {
		if err := a.loadStatuses(ctx); err != nil {
			return err
		}
	}
	computed := a.computeStatuses(previous, specs, reasons)
	changedIDs := a.statuses.changedIDs(computed)
	versions := make([]objectapi.Version, len(changedIDs))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(a.maxStatusWrites)
	for i, id := range changedIDs {
		group.Go(func() error {
			var err error
			versions[i], err = a.writeStatus(groupCtx, id, computed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		a.statuses = nil
		return err
	}
	for i, id := range changedIDs {
		if status, found := computed[id]; found {
			a.statuses[id] = storedStatus{version: versions[i], status: status}
		} else {
			delete(a.statuses, id)
		}
	}
	return nil
}

// changedIDs returns the sorted IDs of the objects whose stored status differs from the computed one.
func (s statusCache) changedIDs(computed map[string]object.Status) []string {
	var ids []string
	for id, status := range computed {
		if stored, found := s[id]; !found || !reflect.DeepEqual(stored.status, status) {
			ids = append(ids, id)
		}
	}
	for id := range s {
		if _, found := computed[id]; !found {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// writeStatus writes or deletes one status on condition that its version is as last read, so that a former lease holder
// cannot overwrite a newer status. It returns the new version, objectapi.AbsentVersion after a deletion.
func (a *acceptorSession) writeStatus(ctx context.Context, id string, computed map[string]object.Status) (objectapi.Version, error) {
	if err := a.checkLease(); err != nil {
		return objectapi.AbsentVersion, err
	}
	key, version := object.StatusPrefix+id, a.statuses[id].version
	status, found := computed[id]
	if !found {
		err := a.Store.Delete(ctx, key, version)
		if errors.Is(err, objectapi.ErrNotFound) {
			err = nil
		}
		return objectapi.AbsentVersion, err
	}
	o, err := a.Store.Put(ctx, key, status, version)
	return o.Version, err
}

// computeStatuses returns the status of each object that operators have written or that is in force.
func (a *acceptorSession) computeStatuses(previous object.Set, specs map[string]desiredObject, reasons map[string]string) map[string]object.Status {
	var ready map[string]int
	if a.ReadyRunners != nil {
		ready = a.ReadyRunners()
	}
	ids := map[string]bool{}
	for id := range maps.Keys(specs) {
		ids[id] = true
	}
	for id := range a.acceptedObjects {
		ids[id] = true
	}
	computed := map[string]object.Status{}
	for id := range ids {
		status := object.Status{ObservedVersion: specs[id].version, Reason: reasons[id], Accepted: reasons[id] == ""}
		if o, found := a.acceptedObjects[id]; found {
			status.Revision = a.acceptedSince(id, o, previous, status)
			if count, known := ready[o.Name]; known && o.Deployment != nil {
				status.ReadyRunners = &count
			}
		}
		computed[id] = status
	}
	return computed
}

// acceptedSince returns the first revision that contains the version of an object that is in force. That revision is
// unknown if a former lease holder died before it wrote the status; the current revision is returned then.
func (a *acceptorSession) acceptedSince(id string, o object.Object, previous object.Set, status object.Status) int64 {
	stored := a.statuses[id].status
	before, found := previous[id]
	isUnchanged := found && reflect.DeepEqual(before, o)
	isSameVersion := stored.ObservedVersion == status.ObservedVersion && stored.Accepted
	if isUnchanged && stored.Revision > 0 && (isSameVersion || !status.Accepted) {
		return stored.Revision
	}
	return a.pointer.Number
}
