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
	// settleTime is how long a new holder only watches: the host list does not yet show what the holder before it
	// started.
	settleTime = 15 * time.Second
	// startTimeout is how long a started host may take to appear in the host list before another one is started.
	startTimeout = 3 * time.Minute
	// peakWindow is how long a peak of busy slots counts.
	peakWindow = 2 * time.Minute
	// drainTimeout is how long a host that is given back may finish what runs on it.
	drainTimeout = 10 * time.Minute
	// minDrainInterval keeps drains apart, so that they are not taken for a reclaim wave.
	minDrainInterval = 40 * time.Second
	commandTimeout   = 2 * time.Second
)

// Cloud rents hosts.
type Cloud interface {
	Offers(ctx context.Context) ([]cloud.Offer, error)
	Start(ctx context.Context, r cloud.StartRequest) (cloud.Host, error)
	Release(ctx context.Context, host string) error
}

// Fleet knows the hosts of all deployments.
type Fleet interface {
	// Hosts returns every listed host, leaving ones too.
	Hosts() []cloud.Host
	LeavingAt(host string) (time.Time, bool)
	// Drain spreads a notice that the host goes away.
	Drain(host string, at time.Time)
}

// Loop rents hosts for all deployments whose lease this node holds.
type Loop struct {
	Cloud   Cloud
	Fleet   Fleet
	Current *revision.Current
	Leases  *lease.Manager
	// BusySlots returns the runs of a deployment in progress and waiting, false if that is not known.
	BusySlots func(deployment string) (float64, bool)
	// IsIdle reports whether nothing runs on a host.
	IsIdle       func(ctx context.Context, h cloud.Host) bool
	OnDemandOnly bool // rent on-demand hosts only
	Decisions    *decision.Recorder
	Log          *slog.Logger
}

// Run holds the lease of each deployment, when it gets it, and rents hosts until ctx ends. Deployments that appear later
// are taken up with the next look at the configuration.
func (l *Loop) Run(ctx context.Context) {
	names := func() []string { return slices.Collect(maps.Keys(l.Current.Index().Deployments)) }
	l.Leases.HoldEach(ctx, decisionInterval, "capacity-", names, l.manageDeployment)
}

// leaseHolder is the work of one lease.
type leaseHolder struct {
	loop            *Loop
	deployment      string
	lease           *lease.Lease
	refusalBackoffs *refusalBackoffs
	reclaimHistory  *reclaimHistory
	countedReclaims map[string]bool // hosts whose reclaim was counted
	drainedHosts    map[string]bool // hosts that this holder gives back
	pendingStarts   []pendingStart
	slotSamples     []slotSample
	surplusSince    time.Time
	startCount      int
}

type pendingStart struct {
	kind      HostKind
	hostName  string
	startedAt time.Time
}

type slotSample struct {
	busySlots float64
	at        time.Time
}

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
		spec, found := l.Current.Index().Deployments[deployment]
		if !found {
			return
		}
		if err := h.adjust(ctx, spec, time.Since(heldSince) > settleTime); err != nil {
			l.Log.Warn("Capacity could not be adjusted.", "deployment", deployment, "error", err)
		}
	}
}

// adjust decides once and acts. A holder that is not settled starts nothing unless the fleet is below the deployment's
// minimum.
func (h *leaseHolder) adjust(ctx context.Context, spec object.DeploymentSpec, isSettled bool) error {
	offers, err := h.loop.Cloud.Offers(ctx)
	if err != nil {
		return err
	}
	// A refused kind is replaced at once by the next best one, not with the next step.
	for range maxStarts * len(spec.FailureDomains) {
		wasRefused, err := h.adjustOnce(ctx, spec, offers, isSettled)
		if err != nil || !wasRefused {
			return err
		}
	}
	return nil
}

// adjustOnce makes one decision, acts, and reports whether a start was refused.
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

// rentableOffers keeps the on-demand offers only, if the loop rents no others.
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

func (h *leaseHolder) slotsPerRunner(spec object.DeploymentSpec) int {
	if version, found := h.loop.Current.Index().ModelVersions[spec.ModelVersion]; found {
		return version.Slots
	}
	return 1
}

// peakBusySlots returns the highest number of busy slots in the peak window.
func (h *leaseHolder) peakBusySlots(now time.Time) float64 {
	if slots, known := h.loop.BusySlots(h.deployment); known {
		h.slotSamples = append(h.slotSamples, slotSample{slots, now})
	}
	kept := h.slotSamples[:0]
	highest := 0.0
	for _, p := range h.slotSamples {
		if now.Sub(p.at) < peakWindow {
			kept = append(kept, p)
			highest = max(highest, p.busySlots)
		}
	}
	h.slotSamples = kept
	return highest
}

// execute carries out a decision and reports whether a start was refused. The lease is checked immediately before each
// command.
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

func (h *leaseHolder) startHost(ctx context.Context, spec object.DeploymentSpec, kind HostKind, d Decision, now time.Time) error {
	if err := h.lease.Check(); err != nil {
		return err
	}
	h.startCount++
	request := cloud.StartRequest{
		Request:       fmt.Sprintf("%s-%d-%d", h.deployment, h.lease.Fence, h.startCount),
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
	if errors.Is(err, cloud.ErrUnknown) {
		// The same request again starts no second host.
		host, err = h.loop.Cloud.Start(ctx, request)
	}
	switch {
	case errors.Is(err, cloud.ErrStartRefused):
		h.refusalBackoffs.recordRefusal(kind, now)
		h.loop.Decisions.Record("capacity", h.deployment, d.Reason, "start refused in "+kind.FailureDomain, nil, "reclaimable", kind.Reclaimable)
		return err
	case err != nil:
		// The start may have taken effect: it counts until the host list shows the host or startTimeout is over.
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
