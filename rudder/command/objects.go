package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

// readFiles decodes the objects in all files; "-" is standard input. Invalid objects of all files are returned together as
// object.Problems that name the file; an unreadable file ends the reading.
func (env *environment) readFiles(files []string) ([]object.Object, error) {
	if len(files) == 0 {
		return nil, usageError("--file: none given, allowed: one or more files, - for standard input")
	}
	var objects []object.Object
	var problems object.Problems
	for _, file := range files {
		fileObjects, err := env.readFile(file)
		var fileProblems object.Problems
		if errors.As(err, &fileProblems) {
			for _, p := range fileProblems {
				p.Object = file + ": " + p.Object
				problems = append(problems, p)
			}
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		objects = append(objects, fileObjects...)
	}
	return objects, problems.Err()
}

// readFile decodes the objects in one file; "-" is standard input.
func (env *environment) readFile(file string) ([]object.Object, error) {
	input := env.stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		input = f
	}
	raw, err := io.ReadAll(input)
	if err != nil {
		return nil, err
	}
	objects, err := object.Decode(bytes.NewReader(raw))
	var problems object.Problems
	if err != nil && !errors.As(err, &problems) {
		// Text that is neither YAML nor JSON is reported as an invalid object, not as an unreadable file.
		err = object.Problems{{Object: "document", Field: "text", Value: "unreadable", Allowed: "YAML or JSON: " + err.Error()}}
	}
	return objects, err
}

// storedObject is the spec of an object with its version in the object API.
type storedObject struct {
	Version objectapi.Version `json:"version"`
	Object  object.Object     `json:"object"`
	raw     json.RawMessage   // as stored; empty if the object does not exist or was not read
}

// readSpecs reads the specs of all objects and returns them by ID. A spec that cannot be decoded is kept with its kind and
// name only, so that it can be replaced or deleted.
func (env *environment) readSpecs(ctx context.Context) (map[string]storedObject, error) {
	if err := env.requireStore(); err != nil {
		return nil, err
	}
	listing, err := env.store.List(ctx, object.SpecPrefix)
	if err != nil {
		return nil, err
	}
	specs := map[string]storedObject{}
	for _, o := range listing.Objects {
		id := strings.TrimPrefix(o.Key, object.SpecPrefix)
		specs[id] = newStoredObject(id, o)
	}
	return specs, nil
}

// newStoredObject decodes a spec. If that fails or the spec has another ID, only its kind and name are set.
func newStoredObject(id string, o objectapi.Object) storedObject {
	s := storedObject{Version: o.Version, raw: o.Value}
	if err := json.Unmarshal(o.Value, &s.Object); err != nil || s.Object.ID() != id {
		kind, name, _ := strings.Cut(id, "/")
		s.Object = object.Object{Kind: object.Kind(kind), Name: name}
	}
	return s
}

// objectSet returns the objects without their versions.
func objectSet(specs map[string]storedObject) object.Set {
	set := object.Set{}
	for id, s := range specs {
		set[id] = s.Object
	}
	return set
}

// readStatuses returns the statuses of all objects by ID. Statuses that cannot be decoded are left out.
func (env *environment) readStatuses(ctx context.Context) (map[string]object.Status, error) {
	listing, err := env.store.List(ctx, object.StatusPrefix)
	if err != nil {
		return nil, err
	}
	statuses := map[string]object.Status{}
	for _, o := range listing.Objects {
		var status object.Status
		if json.Unmarshal(o.Value, &status) == nil {
			statuses[strings.TrimPrefix(o.Key, object.StatusPrefix)] = status
		}
	}
	return statuses, nil
}

// checkIDs returns a usage error for the first ID that is not of the form Kind/name.
func checkIDs(ids []string) error {
	for _, id := range ids {
		kind, name, _ := strings.Cut(id, "/")
		if !slices.Contains(object.Kinds, object.Kind(kind)) || name == "" {
			return usageError(fmt.Sprintf("object: value %q, allowed: Kind/name with kind Organisation, ModelVersion, Deployment or Route", id))
		}
	}
	return nil
}

// checkKind returns a usage error for an unknown kind; an empty one is valid.
func checkKind(kind string) error {
	if kind != "" && !slices.Contains(object.Kinds, object.Kind(kind)) {
		return usageError(fmt.Sprintf("kind: value %q, allowed: Organisation, ModelVersion, Deployment, Route", kind))
	}
	return nil
}
