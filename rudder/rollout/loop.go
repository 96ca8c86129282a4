package rollout

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/revision"
)

const (
	// StatePrefix is the key prefix of the rollout states in the object API; the deployment name follows.
	StatePrefix  = "rollouts/"
	pollInterval = time.Second
	// maxConcurrentPolls limits the load requests to runners of a deployment that are in progress at a time.
	maxConcurrentPolls = 16
)

// Fleet provides the hosts of all deployments.
type Fleet interface {
	Hosts() []cloud.Host
	// LeavingAt returns when a host will be taken away, and whether there is a reclaim notice for it.
	LeavingAt(host string) (time.Time, bool)
}

// Loop is the control loop that rolls out model versions in all deployments whose lease this node holds.
type Loop struct {
	Store           objectapi.Store
	Records         Records
	Fleet           Fleet
	CurrentSnapshot *revision.CurrentSnapshot
	Leases          *lease.Manager
	// MinServing returns how many runners of a deployment must keep serving during a rollout.
	MinServing func(deployment string, spec object.DeploymentSpec) int
	Decisions  *decision.Recorder
	Log        *slog.Logger
}

// Run competes for the lease of each model deployment and runs the rollouts of those that it holds, until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.Leases.HoldEach(ctx, pollInterval, "rollout-", l.modelDeployments, l.runDeployment)
}

// modelDeployments returns the names of the deployments with model runners.
func (l *Loop) modelDeployments() []string {
	var names []string
	for name, spec := range l.CurrentSnapshot.Index().Deployments {
		if spec.Backend == object.BackendModel {
			names = append(names, name)
		}
	}
	return names
}

// trackedRunner is the state of a model runner that the lease holder keeps in memory between steps.
type trackedRunner struct {
	client         *engine.Client
	orderedVersion string
	orderedAt      time.Time
	onTargetSince  time.Time
	epoch          int64 // process epoch at onTargetSince; another one means that the process has restarted
	hasRestarted   bool
}

// deploymentRollout runs the rollouts of one deployment while this node holds its lease.
type deploymentRollout struct {
	loop          *Loop
	deployment    string
	lease         *lease.Lease
	state         State
	objectVersion objectapi.Version // version of the stored state in the object API
	isStateLoaded bool
	epoch         int64 // of the object API when the state was read
	isStateLost   bool  // the object API has lost the state, which must be stored again
	runners       map[string]*trackedRunner
}

// runDeployment runs a step each pollInterval until ctx ends or the deployment is deleted.
func (l *Loop) runDeployment(ctx context.Context, deployment string, rolloutLease *lease.Lease) {
	d := &deploymentRollout{loop: l, deployment: deployment, lease: rolloutLease, runners: map[string]*trackedRunner{}}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		spec, found := l.CurrentSnapshot.Index().Deployments[deployment]
		if !found {
			return
		}
		if err := d.step(ctx, spec); err != nil {
			// After a conflict or a write with unknown outcome the stored state must be read again.
			d.isStateLoaded = false
			l.Log.Warn("Rollout step failed, it will be retried.", "deployment", deployment, "error", err)
		}
	}
}

// loadState reads the stored state. A deployment without one starts with the zero State. If the object API was restored from an
// older copy and lacks the state that the nodes know, the known one counts.
func (d *deploymentRollout) loadState(ctx context.Context) error {
	o, err := d.loop.Store.Get(ctx, StatePrefix+d.deployment)
	stored, version := State{}, objectapi.AbsentVersion
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
	case err != nil:
		return err
	default:
		version = o.Version
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			return errors.Wrapf(err, "decode rollout state %q", o.Key)
		}
	}
	known, isStateLost := d.findLostState(o.Version)
	if isStateLost {
		d.loop.Log.Warn("The object API has lost the state of the rollout, it is stored again.", "deployment", d.deployment, "phase", known.Phase, "target", known.Target)
		stored = known
	}
	d.state, d.objectVersion, d.epoch, d.isStateLost, d.isStateLoaded = stored, version, o.Version.Epoch, isStateLost, true
	return nil
}

// findLostState returns the state in the record of the deployment if it was stored in an earlier epoch than that of the stored
// version, and after that version.
func (d *deploymentRollout) findLostState(stored objectapi.Version) (state State, found bool) {
	key := membership.RecordRollout + d.deployment
	for _, r := range d.loop.Records.List(key) {
		version := objectapi.VersionOfOrdinal(r.Version)
		if r.Key == key && version.Epoch < stored.Epoch && version.Number > stored.Number {
			return state, json.Unmarshal(r.Value, &state) == nil
		}
	}
	return state, false
}

// step observes the runners, decides, stores the next state and sends the orders. The state is always stored before the
// orders that follow from it are sent. It reads the stored state first if it is not known, or the object API was restored.
func (d *deploymentRollout) step(ctx context.Context, spec object.DeploymentSpec) error {
	if !d.isStateLoaded || d.loop.Records.Epoch() > d.epoch {
		if err := d.loadState(ctx); err != nil {
			return err
		}
	}
	now := time.Now()
	in := Input{
		State:      d.state,
		Target:     spec.ModelVersion,
		Runners:    d.observe(ctx, now),
		MinServing: d.loop.MinServing(d.deployment, spec),
		Now:        now,
	}
	if len(in.Runners) == 0 {
		return nil
	}
	next, orders := Decide(in)
	if next != d.state || d.isStateLost {
		o, err := d.loop.Store.Put(ctx, StatePrefix+d.deployment, next, d.objectVersion)
		if err != nil {
			return err
		}
		if err := d.loop.Records.Put(membership.RecordRollout+d.deployment, o.Version.Ordinal(), next); err != nil {
			return err
		}
		d.loop.Decisions.Record("rollout", d.deployment, next.Reason, string(next.Phase)+" "+next.Target, nil)
		d.state, d.objectVersion, d.isStateLost = next, o.Version, false
	}
	for _, order := range orders {
		if err := d.sendOrder(ctx, order, now); err != nil {
			return err
		}
	}
	return nil
}

// sendOrder sends an order to a runner if the lease is still valid immediately before.
func (d *deploymentRollout) sendOrder(ctx context.Context, order Order, now time.Time) error {
	if err := d.lease.Check(); err != nil {
		return err
	}
	r := d.runners[order.Host]
	d.loop.Decisions.Record("rollout", d.deployment, "runner has another version", "load "+order.Version+" on "+order.Host, nil)
	r.orderedVersion, r.orderedAt, r.onTargetSince, r.hasRestarted = order.Version, now, time.Time{}, false
	return r.client.SendOrder(ctx, engine.Order{
		Kind:         engine.OrderLoadVersion,
		ModelVersion: order.Version,
		WeightsKey:   d.loop.CurrentSnapshot.Index().ModelVersions[order.Version].Weights,
		Fence:        d.lease.FencingToken,
	})
}

// observe reads the load reports of all runners of the deployment. It starts to track new runners and forgets those whose
// host is no longer in the fleet.
func (d *deploymentRollout) observe(ctx context.Context, now time.Time) []Runner {
	var hosts []cloud.Host
	for _, host := range d.loop.Fleet.Hosts() {
		if host.Deployment == d.deployment && host.Backend == object.BackendModel {
			hosts = append(hosts, host)
		}
	}
	tracked := map[string]*trackedRunner{}
	for _, host := range hosts {
		runner, found := d.runners[host.Name]
		if !found {
			runner = &trackedRunner{client: engine.NewClient(host.Address)}
		}
		tracked[host.Name] = runner
	}
	d.runners = tracked
	runners := make([]Runner, len(hosts))
	var polls errgroup.Group
	polls.SetLimit(maxConcurrentPolls)
	for i, host := range hosts {
		polls.Go(func() error {
			load, err := d.runners[host.Name].client.LoadReport(ctx)
			_, isLeaving := d.loop.Fleet.LeavingAt(host.Name)
			runners[i] = d.runners[host.Name].update(host.Name, load, err == nil, isLeaving, d.state, now)
			return nil
		})
	}
	_ = polls.Wait()
	return runners
}

// update updates the tracked state from a load report and returns the combined view. A new lease holder finds runners that
// were updated to the target version before; it treats them as if they had reached the version now.
func (r *trackedRunner) update(name string, load engine.LoadReport, isReachable, isLeaving bool, state State, now time.Time) Runner {
	isOnTarget := isReachable && load.ModelVersion == state.Target && load.LoadingVersion == ""
	if r.orderedVersion == "" && isOnTarget && state.Phase == PhaseRolling {
		r.orderedVersion, r.orderedAt = state.Target, now
	}
	switch {
	case !isOnTarget || r.orderedVersion != state.Target:
	case r.onTargetSince.IsZero():
		r.onTargetSince, r.epoch = now, load.Epoch
	case load.Epoch != r.epoch:
		r.hasRestarted = true
	}
	return Runner{
		Host:           name,
		Version:        load.ModelVersion,
		LoadingVersion: load.LoadingVersion,
		IsReachable:    isReachable,
		IsLeaving:      isLeaving,
		ActiveRuns:     load.Running + load.Waiting,
		OrderedVersion: r.orderedVersion,
		OrderedAt:      r.orderedAt,
		OnTargetSince:  r.onTargetSince,
		HasRestarted:   r.hasRestarted,
	}
}
