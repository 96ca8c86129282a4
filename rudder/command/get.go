package command

import (
	"context"
	"fmt"
	"sort"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

type getArguments struct {
	Object []string `arg:"positional,required" help:"Kind/name"`
}

// run prints each object with its version, one field per row.
func (a *getArguments) run(ctx context.Context, env *environment) error {
	if err := checkIDs(a.Object); err != nil {
		return err
	}
	if err := env.requireStore(); err != nil {
		return err
	}
	var objects []storedObject
	for _, id := range a.Object {
		o, err := env.store.Get(ctx, object.SpecPrefix+id)
		if errors.Is(err, objectapi.ErrNotFound) {
			return errors.Wrap(objectapi.ErrNotFound, id)
		}
		if err != nil {
			return err
		}
		objects = append(objects, newStoredObject(id, o))
	}
	if env.jsonOutput {
		return printJSON(env.stdout, objects)
	}
	for i, s := range objects {
		if i > 0 {
			fmt.Fprintln(env.stdout)
		}
		if err := env.printObject(s); err != nil {
			return err
		}
	}
	return nil
}

// printObject prints the fields of an object as a table, sorted by path.
func (env *environment) printObject(s storedObject) error {
	leaves, err := flatten(s.raw)
	if err != nil {
		return errors.Wrap(err, s.Object.ID())
	}
	leaves["version"] = s.Version.String()
	rows := make([][]string, 0, len(leaves))
	for field, value := range leaves {
		rows = append(rows, []string{field, value})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
	return printTable(env.stdout, []string{"FIELD", "VALUE"}, rows)
}
