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

// readFiles decodes the objects of all files; "-" is standard input.
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
		// Text that is no YAML or JSON at all is a wrong object, not an unreadable file.
		err = object.Problems{{Object: "document", Field: "text", Value: "unreadable", Allowed: "YAML or JSON: " + err.Error()}}
	}
	return objects, err
}

// storedObject is an object with its version in the object API.
type storedObject struct {
	Version int64         `json:"version"`
	Object  object.Object `json:"object"`
	raw     json.RawMessage
}

// readSpecs reads all objects by ID. An object that cannot be decoded is kept with its kind and name only, so that it can
// be replaced or deleted.
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

func newStoredObject(id string, o objectapi.Object) storedObject {
	s := storedObject{Version: o.Version, raw: o.Value}
	if err := json.Unmarshal(o.Value, &s.Object); err != nil || s.Object.ID() != id {
		kind, name, _ := strings.Cut(id, "/")
		s.Object = object.Object{Kind: object.Kind(kind), Name: name}
	}
	return s
}

func objectSet(specs map[string]storedObject) object.Set {
	set := object.Set{}
	for id, s := range specs {
		set[id] = s.Object
	}
	return set
}

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

// checkIDs refuses arguments that are not Kind/name.
func checkIDs(ids []string) error {
	for _, id := range ids {
		kind, name, _ := strings.Cut(id, "/")
		if !slices.Contains(object.Kinds, object.Kind(kind)) || name == "" {
			return usageError(fmt.Sprintf("object: value %q, allowed: Kind/name with kind Organisation, ModelVersion, Deployment or Route", id))
		}
	}
	return nil
}

func checkKind(kind string) error {
	if kind != "" && !slices.Contains(object.Kinds, object.Kind(kind)) {
		return usageError(fmt.Sprintf("kind: value %q, allowed: Organisation, ModelVersion, Deployment, Route", kind))
	}
	return nil
}
