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
		found, err := env.readFile(file)
		var mistakes object.Problems
		if errors.As(err, &mistakes) {
			for _, p := range mistakes {
				p.Object = file + ": " + p.Object
				problems = append(problems, p)
			}
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		objects = append(objects, found...)
	}
	return objects, problems.Err()
}

func (env *environment) readFile(file string) ([]object.Object, error) {
	in := env.stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	raw, err := io.ReadAll(in)
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

// stored is an object with its version in the object API.
type stored struct {
	Version int64         `json:"version"`
	Object  object.Object `json:"object"`
	raw     json.RawMessage
}

// specs reads all objects by ID. An object that cannot be decoded is kept with its kind and name only, so that it can
// be replaced or deleted.
func (env *environment) specs(ctx context.Context) (map[string]stored, error) {
	if err := env.requireStore(); err != nil {
		return nil, err
	}
	listing, err := env.store.List(ctx, object.SpecPrefix)
	if err != nil {
		return nil, err
	}
	specs := map[string]stored{}
	for _, o := range listing.Objects {
		id := strings.TrimPrefix(o.Key, object.SpecPrefix)
		specs[id] = storedFrom(id, o)
	}
	return specs, nil
}

func storedFrom(id string, o objectapi.Object) stored {
	s := stored{Version: o.Version, raw: o.Value}
	if err := json.Unmarshal(o.Value, &s.Object); err != nil || s.Object.ID() != id {
		kind, name, _ := strings.Cut(id, "/")
		s.Object = object.Object{Kind: object.Kind(kind), Name: name}
	}
	return s
}

func setOf(specs map[string]stored) object.Set {
	set := object.Set{}
	for id, s := range specs {
		set[id] = s.Object
	}
	return set
}

func (env *environment) statuses(ctx context.Context) (map[string]object.Status, error) {
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
