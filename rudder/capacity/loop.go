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
	interval = 2 * time.Second
	// settleTime is how long a new holder only watches: the host list does not yet show what the holder before it
	// started.
	settleTime = 15 * time.Second
	// startTimeout is how long a started host may take to appear in the host list before another one is started.
	startTimeout = 3 * time.Minute
	// peakWindow is how long a peak of busy slots counts.
	peakWindow = 2 * time.Minute
	// drainTime is how long a host that is given back may finish what runs on it.
	drainTime = 10 * time.Minute
	// drainSpacing keeps drains apart, so that they are not taken for a reclaim wave.
	drainSpacing   = 40 * time.Second
	commandTimeout = 2 * time.Second
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
	// Idle reports whether nothing runs on a host.
	Idle      func(ctx context.Context, h cloud.Host) bool
	OnDemand  bool // rent on-demand hosts only
	Decisions *decision.Recorder
	Log       *slog.Logger
}

// Run holds the lease of each deployment, when it gets it, and rents hosts until ctx ends. Deployments that appear later
// are taken up with the next look at the configuration.
func (l *Loop) Run(ctx context.Context) {
	names := func() []string { return slices.Collect(maps.Keys(l.Current.Index().Deployments)) }
	l.Leases.HoldEach(ctx, interval, "capacity-", names, l.hold)
}

// holder is the work of one lease.
type holder struct {
	loop         *Loop
	deployment   string
	lease        *lease.Lease
	refusals     *refusals
	reclaims     *reclaims
	noticed      map[string]bool // hosts whose reclaim was counted
	drained      map[string]bool // hosts that this holder gives back
	pending      []pendingHost
	peaks        []peak
	surplusSince time.Time
	starts       int
}

type pendingHost struct {
	kind Kind
	name string
	at   time.Time
}

type peak struct {
	slots float64
	at    time.Time
}

func (l *Loop) hold(ctx context.Context, deployment string, held *lease.Lease) {
	h := &holder{
		loop: l, deployment: deployment, lease: held, refusals: newRefusals(), reclaims: newReclaims(),
		noticed: map[string]bool{}, drained: map[string]bool{},
	}
	since := time.Now()
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
		if err := h.step(ctx, spec, time.Since(since) > settleTime); err != nil {
			l.Log.Warn("Capacity could not be adjusted.", "deployment", deployment, "error", err)
		}
	}
}

// step decides once and acts. A holder that is not settled starts nothing unless the fleet is below the deployment's
// minimum.
func (h *holder) step(ctx context.Context, spec object.DeploymentSpec, settled bool) error {
	offers, err := h.loop.Cloud.Offers(ctx)
	if err != nil {
		return err
	}
	// A refused kind is replaced at once by the next best one, not with the next step.
	for range maxStarts * len(spec.FailureDomains) {
		refused, err := h.decide(ctx, spec, offers, settled)
		if err != nil || !refused {
			return err
		}
	}
	return nil
}

// decide makes one decision, acts, and reports whether a start was refused.
func (h *holder) decide(ctx context.Context, spec object.DeploymentSpec, offers []cloud.Offer, settled bool) (refused bool, err error) {
	now := time.Now()
	s := h.situation(ctx, spec, offers, now)
	d := Decide(s)
	if !d.Surplus {
		h.surplusSince = time.Time{}
	} else if h.surplusSince.IsZero() {
		h.surplusSince = now
	}
	if !settled && presentMix(s).Total() >= spec.MinRunners {
		d.Start = nil
	}
	return h.act(ctx, spec, d, now)
}

func (h *holder) situation(ctx context.Context, spec object.DeploymentSpec, offers []cloud.Offer, now time.Time) Situation {
	s := Situation{Spec: spec, SlotsPerRunner: h.slotsPerRunner(spec), BusySlots: h.peakSlots(now)}
	listed := map[string]bool{}
	reclaimable := map[string]int{}
	for _, host := range h.loop.Fleet.Hosts() {
		if host.Deployment != h.deployment {
			continue
		}
		listed[host.Name] = true
		if host.Reclaimable {
			reclaimable[host.FailureDomain]++
		}
		s.Hosts = append(s.Hosts, h.hostState(ctx, host, now))
	}
	kept := h.pending[:0]
	for _, p := range h.pending {
		if !listed[p.name] && now.Sub(p.at) < startTimeout {
			kept = append(kept, p)
			s.Pending = append(s.Pending, p.kind)
		}
	}
	h.pending = kept
	open := h.refusals.open(offers, setOf(spec.FailureDomains), setOf(spec.HostClasses), now)
	s.Market = Market{Offers: h.allowed(open), ReclaimsPerHour: h.reclaims.perHour(reclaimable, now)}
	if !h.surplusSince.IsZero() {
		s.SurplusFor = now.Sub(h.surplusSince)
	}
	return s
}

// allowed keeps the on-demand offers only, if the loop rents no others.
func (h *holder) allowed(offers []cloud.Offer) []cloud.Offer {
	if !h.loop.OnDemand {
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

func (h *holder) hostState(ctx context.Context, host cloud.Host, now time.Time) HostState {
	state := HostState{Host: host}
	var at time.Time
	at, state.Leaving = h.loop.Fleet.LeavingAt(host.Name)
	if !state.Leaving {
		return state
	}
	if !h.noticed[host.Name] && !h.drained[host.Name] {
		h.noticed[host.Name] = true
		h.reclaims.add(host.FailureDomain, now)
	}
	state.Idle = now.After(at) || host.Backend == object.BackendModel && h.loop.Idle(ctx, host)
	return state
}

func (h *holder) slotsPerRunner(spec object.DeploymentSpec) int {
	if version, found := h.loop.Current.Index().ModelVersions[spec.ModelVersion]; found {
		return version.Slots
	}
	return 1
}

// peakSlots returns the highest number of busy slots in the peak window.
func (h *holder) peakSlots(now time.Time) float64 {
	if slots, known := h.loop.BusySlots(h.deployment); known {
		h.peaks = append(h.peaks, peak{slots, now})
	}
	kept := h.peaks[:0]
	highest := 0.0
	for _, p := range h.peaks {
		if now.Sub(p.at) < peakWindow {
			kept = append(kept, p)
			highest = max(highest, p.slots)
		}
	}
	h.peaks = kept
	return highest
}

// act carries out a decision and reports whether a start was refused. The lease is checked immediately before each
// command.
func (h *holder) act(ctx context.Context, spec object.DeploymentSpec, d Decision, now time.Time) (refused bool, err error) {
	for _, kind := range d.Start {
		err := h.start(ctx, spec, kind, d, now)
		if errors.Is(err, cloud.ErrStartRefused) {
			refused = true
			continue
		}
		if err != nil {
			return refused, err
		}
	}
	for _, name := range d.Drain {
		if err := h.lease.Check(); err != nil {
			return refused, err
		}
		h.drained[name] = true
		h.surplusSince = now.Add(drainSpacing - surplusDelay)
		h.loop.Fleet.Drain(name, now.Add(drainTime))
		h.loop.Decisions.Record("capacity", h.deployment, d.Reason, "drain "+name, nil)
	}
	for _, name := range d.Release {
		if err := h.lease.Check(); err != nil {
			return refused, err
		}
		if err := h.release(ctx, name); err != nil {
			return refused, err
		}
		h.loop.Decisions.Record("capacity", h.deployment, "nothing runs on it any more", "release "+name, nil)
	}
	return refused, nil
}

func (h *holder) release(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return h.loop.Cloud.Release(ctx, name)
}

func (h *holder) start(ctx context.Context, spec object.DeploymentSpec, kind Kind, d Decision, now time.Time) error {
	if err := h.lease.Check(); err != nil {
		return err
	}
	h.starts++
	request := cloud.StartRequest{
		Request:       fmt.Sprintf("%s-%d-%d", h.deployment, h.lease.FencingToken, h.starts),
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
		// The same request again starts no second host.
		host, err = h.loop.Cloud.Start(ctx, request)
	}
	switch {
	case errors.Is(err, cloud.ErrStartRefused):
		h.refusals.refused(kind, now)
		h.loop.Decisions.Record("capacity", h.deployment, d.Reason, "start refused in "+kind.FailureDomain, nil, "reclaimable", kind.Reclaimable)
		return err
	case err != nil:
		// The start may have taken effect: it counts until the host list shows the host or startTimeout is over.
		h.pending = append(h.pending, pendingHost{kind, "", now})
		return err
	}
	h.refusals.started(kind)
	h.pending = append(h.pending, pendingHost{kind, host.Name, now})
	h.loop.Decisions.Record("capacity", h.deployment, d.Reason, "start "+host.Name, decision.OtherCandidates(len(d.Mix)-1),
		"failure_domain", kind.FailureDomain, "reclaimable", kind.Reclaimable)
	return nil
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}
