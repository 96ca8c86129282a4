package command

import (
	"context"
	"fmt"

	"chestnutrudder.example/rudder/object"
)

type validateArguments struct {
	File []string `arg:"-f,--file,separate" help:"file with objects, - for standard input; may be repeated"`
}

// run validates the objects in the files together, and also against those in the object API if its base URL is set.
func (a *validateArguments) run(ctx context.Context, env *environment) error {
	objects, err := env.readFiles(a.File)
	if err != nil {
		return err
	}
	existing := object.Set{}
	if env.store != nil {
		specs, err := env.readSpecs(ctx)
		if err != nil {
			return err
		}
		existing = objectSet(specs)
	}
	if err := object.ValidateAll(objects, existing).Err(); err != nil {
		return err
	}
	if env.jsonOutput {
		return printJSON(env.stdout, map[string]int{"valid": len(objects)})
	}
	fmt.Fprintf(env.stdout, "%d objects are valid\n", len(objects))
	return nil
}
