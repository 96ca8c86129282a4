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

// statusWriters bounds the status writes that are on their way at the same time.
const statusWriters = 8

// statuses are the status objects as the acceptor last read or wrote them, by object ID.
type statuses map[string]storedStatus

type storedStatus struct {
	version int64
	status  object.Status
}

// sameObjects reports whether two sets hold the same objects.
func sameObjects(a, b object.Set) bool { return reflect.DeepEqual(a, b) }

// loadStatuses reads all status objects, once for each holder of the lease and again after a failed write.
func (a *acceptance) loadStatuses(ctx context.Context) error {
	listing, err := a.Store.List(ctx, object.StatusPrefix)
	if err != nil {
		return err
	}
	a.statuses = statuses{}
	for _, o := range listing.Objects {
		s := storedStatus{version: o.Version}
		_ = json.Unmarshal(o.Value, &s.status) // an unreadable status is written anew
		a.statuses[strings.TrimPrefix(o.Key, object.StatusPrefix)] = s
	}
	return nil
}

// writeStatuses writes the statuses that changed, several at a time, and deletes those of objects that are gone.
func (a *acceptance) writeStatuses(ctx context.Context, previous object.Set, specs map[string]written, reasons map[string]string) error {
	if a.statuses == nil {
		if err := a.loadStatuses(ctx); err != nil {
			return err
		}
	}
	wanted := a.wantedStatuses(previous, specs, reasons)
	writes := a.statuses.changes(wanted)
	versions := make([]int64, len(writes))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(a.writers)
	for i, id := range writes {
		group.Go(func() error {
			var err error
			versions[i], err = a.writeStatus(groupCtx, id, wanted)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		a.statuses = nil
		return err
	}
	for i, id := range writes {
		if status, found := wanted[id]; found {
			a.statuses[id] = storedStatus{version: versions[i], status: status}
		} else {
			delete(a.statuses, id)
		}
	}
	return nil
}

// changes returns the IDs whose status differs from the wanted one.
func (s statuses) changes(wanted map[string]object.Status) []string {
	var ids []string
	for id, status := range wanted {
		if stored, found := s[id]; !found || !reflect.DeepEqual(stored.status, status) {
			ids = append(ids, id)
		}
	}
	for id := range s {
		if _, found := wanted[id]; !found {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// writeStatus writes or deletes one status on its known version, so that a former holder overwrites nothing.
func (a *acceptance) writeStatus(ctx context.Context, id string, wanted map[string]object.Status) (int64, error) {
	if err := a.check(); err != nil {
		return 0, err
	}
	key, version := object.StatusPrefix+id, a.statuses[id].version
	status, found := wanted[id]
	if !found {
		err := a.Store.Delete(ctx, key, version)
		if errors.Is(err, objectapi.ErrNotFound) {
			err = nil
		}
		return 0, err
	}
	o, err := a.Store.Put(ctx, key, status, version)
	return o.Version, err
}

// wantedStatuses returns the status of each object that is written or in force.
func (a *acceptance) wantedStatuses(previous object.Set, specs map[string]written, reasons map[string]string) map[string]object.Status {
	var ready map[string]int
	if a.Ready != nil {
		ready = a.Ready()
	}
	ids := map[string]bool{}
	for id := range maps.Keys(specs) {
		ids[id] = true
	}
	for id := range a.inForce {
		ids[id] = true
	}
	wanted := map[string]object.Status{}
	for id := range ids {
		status := object.Status{ObservedVersion: specs[id].version, Reason: reasons[id], Accepted: reasons[id] == ""}
		if o, found := a.inForce[id]; found {
			status.Revision = a.inForceSince(id, o, previous, status)
			if count, known := ready[o.Name]; known && o.Deployment != nil {
				status.ReadyRunners = &count
			}
		}
		wanted[id] = status
	}
	return wanted
}

// inForceSince returns the first revision with the version in force. A holder that died before it wrote the status
// leaves that unknown; the present revision is given then.
func (a *acceptance) inForceSince(id string, o object.Object, previous object.Set, status object.Status) int64 {
	stored := a.statuses[id].status
	before, found := previous[id]
	unchanged := found && reflect.DeepEqual(before, o)
	sameVersion := stored.ObservedVersion == status.ObservedVersion && stored.Accepted
	if unchanged && stored.Revision > 0 && (sameVersion || !status.Accepted) {
		return stored.Revision
	}
	return a.pointer.Number
}
