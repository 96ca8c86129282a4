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
	// Prefix is the prefix of the rollout states in the object API.
	Prefix   = "rollouts/"
	interval = time.Second
	// maxPolls bounds the load reports that are read at a time.
	maxPolls = 16
)

// Fleet knows the hosts of all deployments.
type Fleet interface {
	Hosts() []cloud.Host
	LeavingAt(host string) (time.Time, bool)
}

// Loop rolls model versions out for all deployments whose lease this node holds.
type Loop struct {
	Store   objectapi.Store
	Records Records
	Fleet   Fleet
	Current *revision.Current
	Leases  *lease.Manager
	// Floor returns how many runners of a deployment must go on serving.
	Floor     func(deployment string, spec object.DeploymentSpec) int
	Decisions *decision.Recorder
	Log       *slog.Logger
}

// Run holds the lease of each model deployment, when it gets it, until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.Leases.HoldEach(ctx, interval, "rollout-", l.modelDeployments, l.hold)
}

// modelDeployments returns the names of the deployments of models.
func (l *Loop) modelDeployments() []string {
	var names []string
	for name, spec := range l.Current.Index().Deployments {
		if spec.Backend == object.BackendModel {
			names = append(names, name)
		}
	}
	return names
}

// runner is what the holder remembers of a model runner.
type runner struct {
	client    *engine.Client
	ordered   string
	orderedAt time.Time
	movedAt   time.Time
	epoch     int64 // of the process, when it was first seen with the ordered version
	restarted bool
}

// holder is the work of one lease.
type holder struct {
	loop       *Loop
	deployment string
	lease      *lease.Lease
	state      State
	version    int64 // of the state's object
	runners    map[string]*runner
}

func (l *Loop) hold(ctx context.Context, deployment string, held *lease.Lease) {
	h := &holder{loop: l, deployment: deployment, lease: held, runners: map[string]*runner{}}
	loaded := false
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		spec, found := l.Current.Index().Deployments[deployment]
		if !found {
			return
		}
		var err error
		if !loaded {
			err = h.load(ctx)
			loaded = err == nil
		}
		if err == nil {
			err = h.step(ctx, spec)
		}
		if err != nil {
			// After a conflict or a lost answer the state is read again.
			loaded = false
			l.Log.Warn("Rollout could not go on.", "deployment", deployment, "error", err)
		}
	}
}

func (h *holder) load(ctx context.Context) error {
	o, err := h.loop.Store.Get(ctx, Prefix+h.deployment)
	if errors.Is(err, objectapi.ErrNotFound) {
		h.state, h.version = State{}, objectapi.Absent
		return nil
	}
	if err != nil {
		return err
	}
	h.version = o.Version
	return errors.Wrapf(json.Unmarshal(o.Value, &h.state), "decode %q", o.Key)
}

// step decides once. The state is durable before the orders that follow from it are sent.
func (h *holder) step(ctx context.Context, spec object.DeploymentSpec) error {
	now := time.Now()
	in := Input{
		State:   h.state,
		Target:  spec.ModelVersion,
		Runners: h.observe(ctx, now),
		Floor:   h.loop.Floor(h.deployment, spec),
		Now:     now,
	}
	if len(in.Runners) == 0 {
		return nil
	}
	next, orders := Decide(in)
	if next != h.state {
		o, err := h.loop.Store.Put(ctx, Prefix+h.deployment, next, h.version)
		if err != nil {
			return err
		}
		if err := h.loop.Records.Put(membership.RecordRollout+h.deployment, o.Version, next); err != nil {
			return err
		}
		h.loop.Decisions.Record("rollout", h.deployment, next.Reason, string(next.Phase)+" "+next.Target, nil)
		h.state, h.version = next, o.Version
	}
	for _, order := range orders {
		if err := h.send(ctx, order, now); err != nil {
			return err
		}
	}
	return nil
}

// send checks the lease immediately before the order.
func (h *holder) send(ctx context.Context, order Order, now time.Time) error {
	if err := h.lease.Check(); err != nil {
		return err
	}
	r := h.runners[order.Host]
	h.loop.Decisions.Record("rollout", h.deployment, "runner has another version", "load "+order.Version+" on "+order.Host, nil)
	r.ordered, r.orderedAt, r.movedAt, r.restarted = order.Version, now, time.Time{}, false
	return r.client.SendOrder(ctx, engine.Order{
		Kind:         engine.OrderLoadVersion,
		ModelVersion: order.Version,
		WeightsKey:   h.loop.Current.Index().ModelVersions[order.Version].Weights,
		Fence:        h.lease.Fence,
	})
}

// observe reads the load reports of the deployment's runners.
func (h *holder) observe(ctx context.Context, now time.Time) []Runner {
	var hosts []cloud.Host
	for _, host := range h.loop.Fleet.Hosts() {
		if host.Deployment == h.deployment && host.Backend == object.BackendModel {
			hosts = append(hosts, host)
		}
	}
	present := map[string]*runner{}
	for _, host := range hosts {
		known, found := h.runners[host.Name]
		if !found {
			known = &runner{client: engine.NewClient(host.Address)}
		}
		present[host.Name] = known
	}
	h.runners = present
	reports := make([]Runner, len(hosts))
	var polls errgroup.Group
	polls.SetLimit(maxPolls)
	for i, host := range hosts {
		polls.Go(func() error {
			load, err := h.runners[host.Name].client.LoadReport(ctx)
			_, leaving := h.loop.Fleet.LeavingAt(host.Name)
			reports[i] = h.runners[host.Name].report(host.Name, load, err == nil, leaving, h.state, now)
			return nil
		})
	}
	_ = polls.Wait()
	return reports
}

// report joins what a runner says with what the holder remembers. A holder that took over finds runners that were moved
// before; it watches them as if they had been moved now.
func (r *runner) report(name string, load engine.LoadReport, answering, leaving bool, state State, now time.Time) Runner {
	isTarget := answering && load.ModelVersion == state.Target && load.LoadingVersion == ""
	if r.ordered == "" && isTarget && state.Phase == PhaseRolling {
		r.ordered, r.orderedAt = state.Target, now
	}
	switch {
	case !isTarget || r.ordered != state.Target:
	case r.movedAt.IsZero():
		r.movedAt, r.epoch = now, load.Epoch
	case load.Epoch != r.epoch:
		r.restarted = true
	}
	return Runner{
		Host:      name,
		Version:   load.ModelVersion,
		Loading:   load.LoadingVersion,
		Answering: answering,
		Leaving:   leaving,
		Runs:      load.Running + load.Waiting,
		Ordered:   r.ordered,
		OrderedAt: r.orderedAt,
		MovedAt:   r.movedAt,
		Restarted: r.restarted,
	}
}
