package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/revision"
)

const (
	decisionInterval = 2 * time.Second
	// settleTime is how long a new lease holder starts hosts only to reach the minimum of the deployment: the host list
	// may not show yet what the previous holder started.
	settleTime = 15 * time.Second
	// startTimeout is how long a started host may be missing from the host list before another one is started in its
	// place.
	startTimeout = 3 * time.Minute
	// peakWindow is how long a peak of busy slots determines the number of required runners.
	peakWindow = 2 * time.Minute
	// drainTimeout is how long the runs on a drained host may continue.
	drainTimeout = 10 * time.Minute
	// minDrainInterval keeps the drains of a deployment apart, so that they are not counted as a reclaim wave (see
	// fleet.Table.DomainsInWave).
	minDrainInterval = 40 * time.Second
	// commandTimeout bounds each call that starts or releases a host.
	commandTimeout = 2 * time.Second
)

// Cloud offers, starts and releases hosts.
type Cloud interface {
	// Offers returns the kinds of host that can be started now, with their prices.
	Offers(ctx context.Context) ([]cloud.Offer, error)
	// Start starts one host. Its error wraps cloud.ErrStartRefused if no host was started, and cloud.ErrOutcomeUnknown if
	// one may have been; the same request sent again then starts no second host.
	Start(ctx context.Context, r cloud.StartRequest) (cloud.Host, error)
	// Release ends the rental of a host. It is no error if the host no longer exists.
	Release(ctx context.Context, host string) error
}

// Fleet knows the hosts of all deployments and the notices of those that go away.
type Fleet interface {
	// Hosts returns every known host, including leaving ones.
	Hosts() []cloud.Host
	// LeavingAt returns when a host goes away, and false if it has no notice.
	LeavingAt(host string) (time.Time, bool)
	// Drain spreads a notice that the host goes away at the given time.
	Drain(host string, at time.Time)
}

// Loop starts and releases hosts for all deployments whose lease this node holds.
type Loop struct {
	Cloud           Cloud
	Fleet           Fleet
	CurrentSnapshot *revision.CurrentSnapshot
	Leases          *lease.Manager
	// BusySlots returns how many slots the runs of a deployment occupy or wait for, and false if that is not known.
	BusySlots func(deployment string) (float64, bool)
	// IsIdle reports whether nothing runs on a host.
	IsIdle       func(ctx context.Context, h cloud.Host) bool
	OnDemandOnly bool // start on-demand hosts only
	Decisions    *decision.Recorder
	Log          *slog.Logger
}

// Run contends for the lease of each deployment and adjusts the hosts of the deployments whose lease it holds, until ctx
// ends. It finds a deployment that is added later within decisionInterval.
func (l *Loop) Run(ctx context.Context) {
	names := func() []string { return slices.Collect(maps.Keys(l.CurrentSnapshot.Index().Deployments)) }
	l.Leases.HoldEach(ctx, decisionInterval, "capacity-", names, l.manageDeployment)
}

// leaseHolder adjusts the hosts of one deployment while this node holds the lease of the deployment.
type leaseHolder struct {
	loop            *Loop
	deployment      string
	lease           *lease.Lease
	refusalBackoffs *refusalBackoffs
	reclaimHistory  *reclaimHistory
	countedReclaims map[string]bool // names of the hosts whose reclaim is in reclaimHistory
	drainedHosts    map[string]bool // names of the hosts that this holder drains
	pendingStarts   []pendingStart
	slotSamples     []slotSample
	surplusSince    time.Time // zero if there is no surplus
	startCount      int       // number of start requests, part of their names
}

// pendingStart is a start whose host is not in the host list yet.
type pendingStart struct {
	kind      HostKind
	hostName  string // empty if the cloud did not answer the start
	startedAt time.Time
}

// slotSample is a measurement of the busy slots of a deployment.
type slotSample struct {
	busySlots float64
	at        time.Time
}

// manageDeployment adjusts the hosts of a deployment in each decisionInterval until ctx ends or the deployment is
// removed.
func (l *Loop) manageDeployment(ctx context.Context, deployment string, deploymentLease *lease.Lease) {
	h := &leaseHolder{
		loop: l, deployment: deployment, lease: deploymentLease, refusalBackoffs: newRefusalBackoffs(), reclaimHistory: newReclaimHistory(),
		countedReclaims: map[string]bool{}, drainedHosts: map[string]bool{},
	}
	heldSince := time.Now()
	ticker := time.NewTicker(decisionInterval)
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
		if err := h.adjust(ctx, spec, time.Since(heldSince) > settleTime); err != nil {
			l.Log.Warn("Failed to adjust the hosts of the deployment; retrying in the next interval.", "deployment", deployment, "error", err)
		}
	}
}

// adjust makes decisions and acts on them until the cloud refuses no start, at most maxStarts times for each failure
// domain. Before settleTime is over (isSettled is false) it starts hosts only if the deployment has fewer than its
// minimum.
func (h *leaseHolder) adjust(ctx context.Context, spec object.DeploymentSpec, isSettled bool) error {
	offers, err := h.loop.Cloud.Offers(ctx)
	if err != nil {
		return err
	}
	// A refused kind is replaced at once by the next best one, not in the next interval.
	for range maxStarts * len(spec.FailureDomains) {
		wasRefused, err := h.adjustOnce(ctx, spec, offers, isSettled)
		if err != nil || !wasRefused {
			return err
		}
	}
	return nil
}

// adjustOnce makes one decision, acts on it and reports whether the cloud refused a start.
func (h *leaseHolder) adjustOnce(ctx context.Context, spec object.DeploymentSpec, offers []cloud.Offer, isSettled bool) (wasRefused bool, err error) {
	now := time.Now()
	s := h.observe(ctx, spec, offers, now)
	d := Decide(s)
	if !d.HasSurplus {
		h.surplusSince = time.Time{}
	} else if h.surplusSince.IsZero() {
		h.surplusSince = now
	}
	if !isSettled && currentMix(s).Total() >= spec.MinRunners {
		d.Start = nil
	}
	return h.execute(ctx, spec, d, now)
}

// observe collects the state that the next decision is based on. It drops pending starts that the host list now shows or
// that exceed startTimeout.
func (h *leaseHolder) observe(ctx context.Context, spec object.DeploymentSpec, offers []cloud.Offer, now time.Time) DeploymentState {
	s := DeploymentState{Spec: spec, SlotsPerRunner: h.slotsPerRunner(spec), BusySlots: h.peakBusySlots(now)}
	listed := map[string]bool{}
	reclaimableHosts := map[string]int{}
	for _, host := range h.loop.Fleet.Hosts() {
		if host.Deployment != h.deployment {
			continue
		}
		listed[host.Name] = true
		if host.Reclaimable {
			reclaimableHosts[host.FailureDomain]++
		}
		s.Hosts = append(s.Hosts, h.hostState(ctx, host, now))
	}
	kept := h.pendingStarts[:0]
	for _, p := range h.pendingStarts {
		if !listed[p.hostName] && now.Sub(p.startedAt) < startTimeout {
			kept = append(kept, p)
			s.PendingHosts = append(s.PendingHosts, p.kind)
		}
	}
	h.pendingStarts = kept
	eligible := h.refusalBackoffs.eligibleOffers(offers, toSet(spec.FailureDomains), toSet(spec.HostClasses), now)
	s.Market = Market{Offers: h.rentableOffers(eligible), ReclaimsPerHour: h.reclaimHistory.ratesPerHour(reclaimableHosts, now)}
	if !h.surplusSince.IsZero() {
		s.SurplusDuration = now.Sub(h.surplusSince)
	}
	return s
}

// rentableOffers returns the offers that the loop may use: all, or the on-demand ones with OnDemandOnly.
func (h *leaseHolder) rentableOffers(offers []cloud.Offer) []cloud.Offer {
	if !h.loop.OnDemandOnly {
		return offers
	}
	var kept []cloud.Offer
	for _, o := range offers {
		if !o.Reclaimable {
			kept = append(kept, o)
		}
	}
	return kept
}

// hostState returns the state of a host, and records a reclaim if the host is leaving and was not drained by this
// holder. A leaving host is idle if its time is over or if nothing runs on its model runner.
func (h *leaseHolder) hostState(ctx context.Context, host cloud.Host, now time.Time) HostState {
	state := HostState{Host: host}
	var leavingAt time.Time
	leavingAt, state.IsLeaving = h.loop.Fleet.LeavingAt(host.Name)
	if !state.IsLeaving {
		return state
	}
	if !h.countedReclaims[host.Name] && !h.drainedHosts[host.Name] {
		h.countedReclaims[host.Name] = true
		h.reclaimHistory.record(host.FailureDomain, now)
	}
	state.IsIdle = now.After(leavingAt) || host.Backend == object.BackendModel && h.loop.IsIdle(ctx, host)
	return state
}

// slotsPerRunner returns the slots of the deployment's model version, or 1 if the deployment has none.
func (h *leaseHolder) slotsPerRunner(spec object.DeploymentSpec) int {
	if version, found := h.loop.CurrentSnapshot.Index().ModelVersions[spec.ModelVersion]; found {
		return version.Slots
	}
	return 1
}

// peakBusySlots measures the busy slots and returns the highest number within peakWindow.
func (h *leaseHolder) peakBusySlots(now time.Time) float64 {
	if slots, known := h.loop.BusySlots(h.deployment); known {
		h.slotSamples = append(h.slotSamples, slotSample{slots, now})
	}
	kept := h.slotSamples[:0]
	highest := 0.0
	for _, sample := range h.slotSamples {
		if now.Sub(sample.at) < peakWindow {
			kept = append(kept, sample)
			highest = max(highest, sample.busySlots)
		}
	}
	h.slotSamples = kept
	return highest
}

// execute carries out a decision and reports whether the cloud refused a start. The lease is checked immediately before
// each command.
func (h *leaseHolder) execute(ctx context.Context, spec object.DeploymentSpec, d Decision, now time.Time) (wasRefused bool, err error) {
	for _, kind := range d.Start {
		err := h.startHost(ctx, spec, kind, d, now)
		if errors.Is(err, cloud.ErrStartRefused) {
			wasRefused = true
			continue
		}
		if err != nil {
			return wasRefused, err
		}
	}
	for _, name := range d.Drain {
		if err := h.lease.Check(); err != nil {
			return wasRefused, err
		}
		h.drainedHosts[name] = true
		// With this value the next drain is due after minDrainInterval.
		h.surplusSince = now.Add(minDrainInterval - surplusDelay)
		h.loop.Fleet.Drain(name, now.Add(drainTimeout))
		h.loop.Decisions.Record("capacity", h.deployment, d.Reason, "drain "+name, nil)
	}
	for _, name := range d.Release {
		if err := h.lease.Check(); err != nil {
			return wasRefused, err
		}
		if err := h.releaseHost(ctx, name); err != nil {
			return wasRefused, err
		}
		h.loop.Decisions.Record("capacity", h.deployment, "nothing runs on it any more", "release "+name, nil)
	}
	return wasRefused, nil
}

func (h *leaseHolder) releaseHost(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return h.loop.Cloud.Release(ctx, name)
}

// startHost starts a host of the given kind. If the cloud does not answer, it sends the same request once more.
func (h *leaseHolder) startHost(ctx context.Context, spec object.DeploymentSpec, kind HostKind, d Decision, now time.Time) error {
	if err := h.lease.Check(); err != nil {
		return err
	}
	h.startCount++
	request := cloud.StartRequest{
		Request:       fmt.Sprintf("%s-%d-%d", h.deployment, h.lease.FencingToken, h.startCount),
		FailureDomain: kind.FailureDomain,
		Class:         kind.Class,
		Reclaimable:   kind.Reclaimable,
		Backend:       spec.Backend,
		Deployment:    h.deployment,
		ModelVersion:  spec.ModelVersion,
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	host, err := h.loop.Cloud.Start(ctx, request)
	if errors.Is(err, cloud.ErrOutcomeUnknown) {
		// The same request sent again starts no second host.
		host, err = h.loop.Cloud.Start(ctx, request)
	}
	switch {
	case errors.Is(err, cloud.ErrStartRefused):
		h.refusalBackoffs.recordRefusal(kind, now)
		h.loop.Decisions.Record("capacity", h.deployment, d.Reason, "start refused in "+kind.FailureDomain, nil, "reclaimable", kind.Reclaimable)
		return err
	case err != nil:
		// The start may have taken effect. The name of the host is unknown, so the start counts as pending until
		// startTimeout is over.
		h.pendingStarts = append(h.pendingStarts, pendingStart{kind, "", now})
		return err
	}
	h.refusalBackoffs.reset(kind)
	h.pendingStarts = append(h.pendingStarts, pendingStart{kind, host.Name, now})
	h.loop.Decisions.Record("capacity", h.deployment, d.Reason, "start "+host.Name, decision.OtherCandidates(len(d.Mix)-1),
		"failure_domain", kind.FailureDomain, "reclaimable", kind.Reclaimable)
	return nil
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}
