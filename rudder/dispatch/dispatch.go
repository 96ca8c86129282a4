// Package dispatch schedules model requests and service calls on backend servers. Each backend server is assigned to one
// dispatcher node at a time; only that node knows its queue and its limits. Entry nodes reach dispatchers through package
// peer.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/quarantine"
	"chestnutrudder.example/rudder/revision"
)

const (
	// heartbeatInterval is the time between heartbeats to a reader of a run.
	heartbeatInterval = 500 * time.Millisecond
	refreshInterval   = 250 * time.Millisecond
	// unreadRunGrace is how long a run continues, and how long a finished answer is kept, while nobody reads it.
	unreadRunGrace = 30 * time.Second
)

// Dispatcher holds the backend servers and the runs that are assigned to this node.
type Dispatcher struct {
	Members *membership.Table
	Fleet   *fleet.Table
	// CurrentSnapshot provides the shares and limits of organisations and the latency targets and preferences of
	// deployments; nil means defaults.
	CurrentSnapshot *revision.CurrentSnapshot
	Quarantine      *quarantine.List // nil disables the handling of requests that crash engines
	// Routing is the placement policy. "least-loaded" and "round-robin" are baselines; any other value predicts the first
	// token.
	Routing string
	Log     *slog.Logger
	// Decisions records and logs placement decisions; nil discards them.
	Decisions *decision.Recorder
	// IsRollingOut reports whether a model version of a deployment is being rolled out; nil means that none is.
	IsRollingOut func(deployment, version string) bool

	mu         sync.Mutex
	backends   map[string]*Backend
	schedulers map[string]*scheduler // by deployment
	runs       map[string]*Run
	fleetKnown bool // at the last refresh
	exportRate exportRate
}

// New returns a dispatcher without backend servers. Loop assigns them to it.
func New(members *membership.Table, hosts *fleet.Table, log *slog.Logger) *Dispatcher {
	return &Dispatcher{
		Members:    members,
		Fleet:      hosts,
		Log:        log,
		backends:   map[string]*Backend{},
		schedulers: map[string]*scheduler{},
		runs:       map[string]*Run{},
	}
}

var _ peer.Dispatcher = (*Dispatcher)(nil)

// Loop refreshes the assigned backend servers, polls their load, moves runs off leaving hosts and evicts old runs until ctx
// ends.
func (d *Dispatcher) Loop(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		d.refresh(ctx)
		d.reclaimLeavingHosts()
		d.evictFinishedRuns()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// IsReady reports whether the fleet is known and the load of every model runner of this node has been read.
func (d *Dispatcher) IsReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backends {
		if b.Engine != nil && b.loadRequestedAt.IsZero() {
			return false
		}
	}
	return d.fleetKnown
}

// organisationSpec returns the spec of an organisation, or the zero spec if there is none.
func (d *Dispatcher) organisationSpec(name string) object.OrganisationSpec {
	if d.CurrentSnapshot == nil {
		return object.OrganisationSpec{}
	}
	return d.CurrentSnapshot.Index().Organisations[name]
}

// evictFinishedRuns removes finished runs that nobody has read for unreadRunGrace.
func (d *Dispatcher) evictFinishedRuns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.runs {
		if since, isUnread := r.unreadSince(); isUnread && r.isFinished() && time.Since(since) > unreadRunGrace {
			delete(d.runs, id)
		}
	}
}
