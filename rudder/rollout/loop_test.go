package rollout

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

// unreachableFleet has one runner, which nothing listens for, so that rollouts end without an order.
type unreachableFleet struct{}

func (unreachableFleet) Hosts() []cloud.Host {
	return []cloud.Host{{Name: "h", Deployment: "d", Backend: object.BackendModel, Address: "http://127.0.0.1:1"}}
}

func (unreachableFleet) LeavingAt(string) (time.Time, bool) { return time.Time{}, false }

// TestRolloutStateSurvivesRestore guards against a rollout that starts again from an older state after the object API was
// restored, by the holder of the lease or its successor, and against nodes that keep the record of a lost state because the
// versions of the stored state went back.
func TestRolloutStateSurvivesRestore(t *testing.T) {
	for _, isNewHolder := range []bool{false, true} {
		ctx, store, records := context.Background(), objectapitest.NewMemoryStore(), membership.NewRecords()
		loop := &Loop{
			Store: store, Records: records, Fleet: unreachableFleet{}, Log: slog.New(slog.DiscardHandler),
			MinServing: func(string, object.DeploymentSpec) int { return 0 },
		}
		tracker := NewTracker(records)
		holder := &deploymentRollout{loop: loop, deployment: "d"}
		rollOut := func(version string) State {
			if err := holder.step(ctx, object.DeploymentSpec{ModelVersion: version}); err != nil {
				t.Fatal(err)
			}
			o, err := store.Get(ctx, StatePrefix+"d")
			if err != nil {
				t.Fatal(err)
			}
			var stored State
			if err := json.Unmarshal(o.Value, &stored); err != nil {
				t.Fatal(err)
			}
			if recorded := tracker.states["d"]; recorded != stored || stored.Target != version {
				t.Fatalf("new holder: %t, rollout of %s: the stored state is %+v, that in the record %+v", isNewHolder, version, stored, recorded)
			}
			return stored
		}
		rollOut("v1")
		oldCopy := store.Copy()
		rollOut("v2")
		before := rollOut("v3")
		store.Restore(oldCopy)
		records.AnnounceEpoch(1)
		if isNewHolder {
			holder = &deploymentRollout{loop: loop, deployment: "d"}
		}
		if after := rollOut("v3"); after != before {
			t.Errorf("new holder: %t, state after the restore: %+v, before: %+v", isNewHolder, after, before)
		}
		puts := store.CallCount("put")
		if rollOut("v3"); store.CallCount("put") != puts {
			t.Errorf("new holder: %t, an unchanged state was stored again", isNewHolder)
		}
		rollOut("v4")
		if o, _ := store.Get(ctx, StatePrefix+"d"); o.Version != (objectapi.Version{Epoch: 1, Number: 3}) {
			t.Errorf("new holder: %t, version %s after the restore, expected 1.3", isNewHolder, o.Version)
		}
	}
}
