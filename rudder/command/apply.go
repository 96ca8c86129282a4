package command

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

type applyArguments struct {
	File          []string           `arg:"-f,--file,separate" help:"file with objects, - for standard input; may be repeated"`
	ExpectVersion *objectapi.Version `arg:"--expect-version" help:"write only over this version (0: the object must not exist); for a single object"`
}

// objectResult is the outcome of the write or deletion of one object.
type objectResult struct {
	Object  string            `json:"object"`
	Action  string            `json:"action"`            // created, updated, unchanged, deleted, conflict or failed
	Version objectapi.Version `json:"version,omitzero"`  // the stored one, or the deleted one; after a failure, the expected one
	Changes []fieldChange     `json:"changes,omitempty"` // on a conflict
	Reason  string            `json:"reason,omitempty"`  // of a failure
}

// conflictError means that the stored version of an object is not the expected one, so that nothing was written.
type conflictError struct {
	id              string
	expectedVersion objectapi.Version
	currentVersion  objectapi.Version // 0 if the object does not exist
	changes         []fieldChange
}

func (e *conflictError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: version: value %s, allowed: %s (the present one); nothing was written", e.id, e.expectedVersion, e.currentVersion)
	for _, c := range e.changes {
		fmt.Fprintf(&text, "\n  %s: present %s, yours %s", c.Field, c.Current, c.Requested)
	}
	return text.String()
}

// run validates all objects and writes each with the version that it read before as the expected version, so that it does
// not overwrite a concurrent change. A conflict on one object does not prevent the writes of the others. run ends with the
// first write to an unavailable object API. It returns the first error of a write.
func (a *applyArguments) run(ctx context.Context, env *environment) error {
	objects, err := env.readFiles(a.File)
	if err != nil {
		return err
	}
	if a.ExpectVersion != nil && len(objects) != 1 {
		return usageError(fmt.Sprintf("--expect-version: given with %d objects, allowed: exactly one", len(objects)))
	}
	specs, err := env.readSpecs(ctx)
	if err != nil {
		return err
	}
	if err := object.ValidateAll(objects, objectSet(specs)).Err(); err != nil {
		return err
	}
	slices.SortStableFunc(objects, func(x, y object.Object) int {
		return slices.Index(object.Kinds, x.Kind) - slices.Index(object.Kinds, y.Kind)
	})
	var results []objectResult
	var firstErr error
	for _, o := range objects {
		base := specs[o.ID()]
		if a.ExpectVersion != nil && *a.ExpectVersion != base.Version {
			base = storedObject{Version: *a.ExpectVersion}
		}
		r, err := env.writeObject(ctx, o, base)
		results = append(results, r)
		if firstErr == nil {
			firstErr = err
		}
		if errors.Is(err, objectapi.ErrUnavailable) {
			break
		}
	}
	if err := env.printResults(results); err != nil {
		return err
	}
	return firstErr
}

// writeObject writes one object if the stored version is that of base. It writes nothing if the object equals base.
func (env *environment) writeObject(ctx context.Context, o object.Object, base storedObject) (objectResult, error) {
	r := objectResult{Object: o.ID(), Action: "updated", Version: base.Version}
	raw, err := json.Marshal(o)
	if err != nil {
		return r, errors.Wrapf(err, "encode %s", o.ID())
	}
	if len(base.raw) > 0 {
		changes, err := diffFields(base.raw, raw)
		if err == nil && len(changes) == 0 {
			r.Action = "unchanged"
			return r, nil
		}
	} else if base.Version == objectapi.AbsentVersion {
		r.Action = "created"
	}
	putResult, err := env.store.Put(ctx, o.SpecKey(), o, base.Version)
	if err == nil {
		r.Version = putResult.Version
		return r, nil
	}
	if errors.Is(err, objectapi.ErrConflict) {
		conflict, err := env.describeConflict(ctx, o.SpecKey(), o.ID(), raw, base.Version)
		if err != nil {
			r.Reason = "the present version could not be read: " + err.Error()
		}
		r.Action, r.Version, r.Changes = "conflict", conflict.currentVersion, conflict.changes
		return r, conflict
	}
	r.Action, r.Reason = "failed", err.Error()
	return r, err
}

// describeConflict reads the stored object and compares it with the rejected write. It returns a conflict with an error,
// too; the conflict then lacks the stored version or the changes.
func (env *environment) describeConflict(ctx context.Context, key, id string, requested []byte, expected objectapi.Version) (*conflictError, error) {
	conflict := &conflictError{id: id, expectedVersion: expected}
	current, err := env.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return conflict, err
	}
	if err == nil {
		conflict.currentVersion = current.Version
	}
	conflict.changes, err = diffFields(current.Value, requested)
	return conflict, err
}

// printResults prints one result per object, as a table or JSON.
func (env *environment) printResults(results []objectResult) error {
	if env.jsonOutput {
		return printJSON(env.stdout, results)
	}
	rows := make([][]string, len(results))
	for i, r := range results {
		rows[i] = []string{r.Object, r.Action, fmt.Sprint(r.Version)}
	}
	return printTable(env.stdout, []string{"OBJECT", "ACTION", "VERSION"}, rows)
}
