package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

type watchArguments struct {
	Kind  string `arg:"positional" help:"only this kind"`
	Count int    `arg:"--count" help:"end after this many changes; 0: on interrupt"`
}

// event is a change of a spec or status, or its state when the watch begins.
type event struct {
	Type    string            `json:"type"`   // spec or status; empty for other keys
	Action  string            `json:"action"` // present, written or deleted
	Object  string            `json:"object"`
	Version objectapi.Version `json:"version"`
	Value   json.RawMessage   `json:"value"`
}

// run prints the stored specs and statuses and then each change, one line each, until the requested number of lines is
// printed or ctx ends.
func (a *watchArguments) run(ctx context.Context, env *environment) error {
	if err := checkKind(a.Kind); err != nil {
		return err
	}
	if err := env.requireStore(); err != nil {
		return err
	}
	printedCount := 0
	revision, printedVersions := objectapi.UnknownRevision, map[string]objectapi.Version{}
	for ctx.Err() == nil && !a.hasReachedCount(printedCount) {
		events, nextRevision, err := a.nextEvents(ctx, env, revision)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		revision = nextRevision
		for _, e := range events {
			if a.hasReachedCount(printedCount) || !a.matches(e) || printedVersions[e.Type+e.Object] == e.Version && e.Action != "deleted" {
				continue
			}
			printedVersions[e.Type+e.Object] = e.Version
			printedCount++
			if err := env.printEvent(e); err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *watchArguments) hasReachedCount(printedCount int) bool {
	return a.Count > 0 && printedCount >= a.Count
}

func (a *watchArguments) matches(e event) bool {
	return e.Type != "" && (a.Kind == "" || strings.HasPrefix(e.Object, a.Kind+"/"))
}

// watchPrefix is a prefix of both spec/ and status/: a single list returns a consistent state of both, and a single watch
// returns the changes of both in the order in which they were made.
const watchPrefix = "s"

// nextEvents waits for the changes after a revision and returns them with the revision to watch from next. If the revision
// is objectapi.UnknownRevision, or the object API no longer has the history since then, it returns all stored specs and statuses instead.
func (a *watchArguments) nextEvents(ctx context.Context, env *environment, revision objectapi.Version) ([]event, objectapi.Version, error) {
	var events []event
	if revision != objectapi.UnknownRevision {
		changes, err := env.store.Watch(ctx, watchPrefix, revision)
		if err != nil || !changes.Reset {
			for _, e := range changes.Events {
				events = append(events, newEvent(e))
			}
			if err != nil {
				return events, revision, err
			}
			return events, changes.Revision, nil
		}
	}
	listing, err := env.store.List(ctx, watchPrefix)
	for _, o := range listing.Objects {
		e := newEvent(objectapi.Event{Object: o})
		e.Action = "present"
		events = append(events, e)
	}
	return events, listing.Revision, err
}

// newEvent converts a change of the object API.
func newEvent(e objectapi.Event) event {
	out := event{Action: "written", Version: e.Object.Version, Value: e.Object.Value}
	if e.Deleted {
		out.Action = "deleted"
	}
	for eventType, prefix := range map[string]string{"spec": object.SpecPrefix, "status": object.StatusPrefix} {
		if id, found := strings.CutPrefix(e.Object.Key, prefix); found {
			out.Type, out.Object = eventType, id
		}
	}
	return out
}

// printEvent prints an event as one line of text or JSON.
func (env *environment) printEvent(e event) error {
	if env.jsonOutput {
		return json.NewEncoder(env.stdout).Encode(e)
	}
	text := ""
	switch e.Type {
	case "spec":
		var o object.Object
		_ = json.Unmarshal(e.Value, &o)
		text = summary(o)
	case "status":
		var s object.Status
		_ = json.Unmarshal(e.Value, &s)
		text = statusText(s)
	}
	_, err := fmt.Fprintf(env.stdout, "%-7s %-8s %s version %s: %s\n", e.Type, e.Action, e.Object, e.Version, text)
	return err
}
