package command

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/revision"
)

type statusArguments struct {
	Object []string `arg:"positional" help:"Kind/name; none: all"`
}

// objectStatus is the status of one object, printed as one row.
type objectStatus struct {
	Object  string            `json:"object"`
	Version objectapi.Version `json:"version"` // of the spec; 0 if the object was deleted but is still in force
	State   string            `json:"state"`   // accepted, refused, or pending if the version has no status yet
	Status  *object.Status    `json:"status,omitempty"`
}

// run prints for each object whether its stored version is accepted and the first revision that contains its version in
// force.
func (a *statusArguments) run(ctx context.Context, env *environment) error {
	if err := checkIDs(a.Object); err != nil {
		return err
	}
	specs, err := env.readSpecs(ctx)
	if err != nil {
		return err
	}
	statuses, err := env.readStatuses(ctx)
	if err != nil {
		return err
	}
	revisionNumber, err := env.currentRevision(ctx)
	if err != nil {
		return err
	}
	lines := statusLines(specs, statuses)
	for _, id := range a.Object {
		if !slices.ContainsFunc(lines, func(l objectStatus) bool { return l.Object == id }) {
			return errors.Wrap(objectapi.ErrNotFound, id)
		}
	}
	if len(a.Object) > 0 {
		lines = slices.DeleteFunc(lines, func(l objectStatus) bool { return !slices.Contains(a.Object, l.Object) })
	}
	if env.jsonOutput {
		return printJSON(env.stdout, map[string]any{"revision": revisionNumber, "objects": lines})
	}
	fmt.Fprintf(env.stdout, "revision %d\n", revisionNumber)
	return printTable(env.stdout, []string{"OBJECT", "VERSION", "STATE", "REVISION", "READY", "REASON"}, statusRows(lines))
}

// currentRevision returns the number of the newest accepted revision, or 0 if there is none.
func (env *environment) currentRevision(ctx context.Context) (int64, error) {
	o, err := env.store.Get(ctx, revision.PointerKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var pointer revision.Pointer
	return pointer.Number, errors.Wrap(json.Unmarshal(o.Value, &pointer), "decode revision pointer")
}

// statusLines returns the status of each object that has a spec or a status, sorted by ID.
func statusLines(specs map[string]storedObject, statuses map[string]object.Status) []objectStatus {
	ids := objectSet(specs).IDs()
	for id := range statuses {
		if _, found := specs[id]; !found {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	lines := make([]objectStatus, 0, len(ids))
	for _, id := range ids {
		line := objectStatus{Object: id, Version: specs[id].Version, State: "pending"}
		if status, found := statuses[id]; found {
			line.Status = &status
			if status.ObservedVersion == line.Version {
				line.State = "refused"
				if status.Accepted {
					line.State = "accepted"
				}
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// statusRows returns the rows of the status table.
func statusRows(lines []objectStatus) [][]string {
	rows := make([][]string, len(lines))
	for i, l := range lines {
		revisionText, readyRunners, reason := "-", "-", ""
		if l.Status != nil {
			revisionText, reason = fmt.Sprint(l.Status.Revision), l.Status.Reason
			if l.Status.ReadyRunners != nil {
				readyRunners = fmt.Sprint(*l.Status.ReadyRunners)
			}
		}
		rows[i] = []string{l.Object, fmt.Sprint(l.Version), l.State, revisionText, readyRunners, reason}
	}
	return rows
}

// statusText returns a status as one line of text.
func statusText(s object.Status) string {
	text := fmt.Sprintf("version %s accepted, in force since revision %d", s.ObservedVersion, s.Revision)
	if !s.Accepted {
		text = fmt.Sprintf("version %s refused: %s", s.ObservedVersion, s.Reason)
	}
	if s.ReadyRunners != nil {
		text += fmt.Sprintf(", %d ready runners", *s.ReadyRunners)
	}
	return text
}
