package command

import (
	"context"
	"fmt"

	"chestnutrudder.example/rudder/object"
)

type listArguments struct {
	Kind string `arg:"positional" help:"only this kind"`
}

// run lists the objects, sorted by ID, with their versions and summaries.
func (a *listArguments) run(ctx context.Context, env *environment) error {
	if err := checkKind(a.Kind); err != nil {
		return err
	}
	specs, err := env.readSpecs(ctx)
	if err != nil {
		return err
	}
	objects := []storedObject{}
	var rows [][]string
	for _, id := range objectSet(specs).IDs() {
		s := specs[id]
		if a.Kind != "" && s.Object.Kind != object.Kind(a.Kind) {
			continue
		}
		objects = append(objects, s)
		rows = append(rows, []string{string(s.Object.Kind), s.Object.Name, fmt.Sprint(s.Version), summary(s.Object)})
	}
	if env.jsonOutput {
		return printJSON(env.stdout, objects)
	}
	return printTable(env.stdout, []string{"KIND", "NAME", "VERSION", "SUMMARY"}, rows)
}

// summary returns the most important fields of an object as one line of text.
func summary(o object.Object) string {
	switch {
	case o.Organisation != nil:
		return fmt.Sprintf("share %d, at most %d in progress", o.Organisation.Share, o.Organisation.MaxInProgress)
	case o.ModelVersion != nil:
		return fmt.Sprintf("model %s version %s", o.ModelVersion.Model, o.ModelVersion.Version)
	case o.Deployment != nil:
		return fmt.Sprintf("%s, %d to %d runners", o.Deployment.Backend, o.Deployment.MinRunners, o.Deployment.MaxRunners)
	case o.Route != nil && o.Route.Service != "":
		return fmt.Sprintf("service %s to %s", o.Route.Service, o.Route.Deployment)
	case o.Route != nil:
		return fmt.Sprintf("model %s to %s", o.Route.Model, o.Route.Deployment)
	}
	return "unreadable"
}
