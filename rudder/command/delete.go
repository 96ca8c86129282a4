package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

type deleteArguments struct {
	Object        []string           `arg:"positional,required" help:"Kind/name"`
	ExpectVersion *objectapi.Version `arg:"--expect-version" help:"delete only this version; for a single object"`
}

// run deletes objects with the versions that it read before as the expected versions. It deletes nothing if an object does
// not exist or is referenced by an object that is not deleted by the same call. The first failed deletion ends it.
func (a *deleteArguments) run(ctx context.Context, env *environment) error {
	if err := checkIDs(a.Object); err != nil {
		return err
	}
	if a.ExpectVersion != nil && len(a.Object) != 1 {
		return usageError(fmt.Sprintf("--expect-version: given with %d objects, allowed: exactly one", len(a.Object)))
	}
	specs, err := env.readSpecs(ctx)
	if err != nil {
		return err
	}
	for _, id := range a.Object {
		if _, found := specs[id]; !found {
			return errors.Wrap(objectapi.ErrNotFound, id)
		}
	}
	if err := checkUnreferenced(a.Object, objectSet(specs)).Err(); err != nil {
		return err
	}
	var results []objectResult
	for _, id := range a.Object {
		version := specs[id].Version
		if a.ExpectVersion != nil {
			version = *a.ExpectVersion
		}
		r := objectResult{Object: id, Action: "deleted", Version: version}
		if err = env.deleteVersion(ctx, id, version); err != nil {
			r.Action, r.Reason = "failed", err.Error()
		}
		results = append(results, r)
		if err != nil {
			break
		}
	}
	if err := env.printResults(results); err != nil {
		return err
	}
	return err
}

// checkUnreferenced returns a problem for each reference from another object to one that is to be deleted. It removes the
// objects to be deleted from objects.
func checkUnreferenced(ids []string, objects object.Set) object.Problems {
	isDeleted := map[string]bool{}
	for _, id := range ids {
		delete(objects, id)
		isDeleted[id] = true
	}
	var problems object.Problems
	for _, o := range objects.List() {
		for _, r := range o.References() {
			if isDeleted[r.TargetID] {
				problems = append(problems, object.Problem{
					Object: r.TargetID, Field: "references", Value: o.ID() + " " + r.Field, Allowed: "none at deletion",
				})
			}
		}
	}
	return problems
}

// deleteVersion deletes an object if it has the given version. If the outcome is unknown because the response was lost, it
// reads the object: if there is none, the deletion has succeeded; if the version is still stored, the deletion is sent
// again, which is safe because versions are never reused.
func (env *environment) deleteVersion(ctx context.Context, id string, version objectapi.Version) error {
	key := object.SpecPrefix + id
	err := env.store.Delete(ctx, key, version)
	if errors.Is(err, objectapi.ErrOutcomeUnknown) {
		current, readErr := env.store.Get(ctx, key)
		switch {
		case errors.Is(readErr, objectapi.ErrNotFound):
			return nil
		case readErr == nil && current.Version == version:
			err = env.store.Delete(ctx, key, version)
		default:
			return err
		}
	}
	if !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	current, readErr := env.store.Get(ctx, key)
	if readErr != nil {
		return err
	}
	changes, _ := diffFields(current.Value, nil)
	return &conflictError{id: id, expectedVersion: version, currentVersion: current.Version, changes: changes}
}
