package daemon

import (
	"context"

	"chestnutrudder.example/rudder/capacity"
	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/revision"
	"chestnutrudder.example/rudder/rollout"
	"chestnutrudder.example/rudder/route"
	"chestnutrudder.example/rudder/settings"
	"chestnutrudder.example/rudder/telemetry"
)

// tokensPerQueuedRun converts queued tokens into queued runs. It is about the number of tokens of a run in a mixed load of
// short and long requests.
const tokensPerQueuedRun = 500

// controlLoops returns the loop that rolls out versions and, unless capacity control is off, the loop that rents hosts.
func controlLoops(s settings.Settings, store objectapi.Store, records *membership.Records, hosts *fleet.Table,
	currentSnapshot *revision.CurrentSnapshot, leases *lease.Manager, digests *route.DigestStore, decisions *decision.Recorder,
	logger *telemetry.Logger,
) []func(context.Context) {
	busySlots := func(deployment string) (float64, bool) { return sumBusySlots(digests, deployment) }
	rolloutLoop := &rollout.Loop{
		Store: store, Records: records, Fleet: hosts, CurrentSnapshot: currentSnapshot, Leases: leases, Decisions: decisions,
		Log: logger.Part("rollout"),
		MinServing: func(deployment string, spec object.DeploymentSpec) int {
			busy, _ := busySlots(deployment)
			return capacity.RequirementFor(busy, currentSnapshot.Index().ModelVersions[spec.ModelVersion].Slots, spec).AfterLargestLoss
		},
	}
	loops := []func(context.Context){rolloutLoop.Run}
	if s.Capacity == "off" {
		return loops
	}
	capacityLoop := &capacity.Loop{
		Cloud: cloud.NewAPI(s.CloudAPI), Fleet: hosts, CurrentSnapshot: currentSnapshot, Leases: leases, BusySlots: busySlots,
		IsIdle: isRunnerIdle, OnDemandOnly: s.Capacity == "on-demand", Decisions: decisions, Log: logger.Part("capacity"),
	}
	return append(loops, capacityLoop.Run)
}

// sumBusySlots returns the number of busy slots of a deployment according to its load digests, with one more for each queued
// run. It returns false if there are no digests.
func sumBusySlots(digests *route.DigestStore, deployment string) (float64, bool) {
	busy := 0.0
	deploymentDigests := digests.ForDeployment(deployment)
	for _, d := range deploymentDigests {
		busy += float64(d.Slots-d.FreeSlots) + float64(d.QueuedTokens)/tokensPerQueuedRun
	}
	return busy, len(deploymentDigests) > 0
}

// isRunnerIdle asks a model runner for its load and reports whether it has neither running nor waiting requests. A runner
// that does not respond does not count as idle, because it may be paused.
func isRunnerIdle(ctx context.Context, h cloud.Host) bool {
	load, err := engine.NewClient(h.Address).LoadReport(ctx)
	return err == nil && load.Running+load.Waiting == 0
}
