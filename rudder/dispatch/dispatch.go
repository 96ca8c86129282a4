// Package dispatch admits work to backend servers. Each backend server has one dispatcher node at a time, which alone
// knows its queue and its limit. Entry nodes reach it through package peer.
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
	heartbeatInterval = 500 * time.Millisecond
	refreshInterval   = 250 * time.Millisecond
	// unreadRunGrace is how long a run goes on and a finished answer is kept while nobody reads it.
	unreadRunGrace = 30 * time.Second
)

// Dispatcher holds the backend servers and the runs of this node.
type Dispatcher struct {
	Members    *membership.Table
	Fleet      *fleet.Table
	Current    *revision.Current // shares, limits and targets; nil takes defaults
	Quarantine *quarantine.List  // nil disables the handling of crashing requests
	Routing    string            // "least-loaded" and "round-robin" are baselines, everything else predicts
	Log        *slog.Logger
	// Decisions logs and keeps placement decisions; nil drops them.
	Decisions *decision.Recorder
	// IsRollingOut reports whether a model version is being rolled out; nil means none.
	IsRollingOut func(deployment, version string) bool

	mu         sync.Mutex
	backends   map[string]*Backend
	schedulers map[string]*scheduler // by deployment
	runs       map[string]*Run
	fleetKnown bool // the fleet was known at the last refresh
	exportRate exportRate
}

// New returns a dispatcher without backend servers.
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

// Loop follows the fleet, polls loads and drops old runs until ctx ends.
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

// Ready reports whether the load of every backend server of this node has been read.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backends {
		if b.Engine != nil && b.loadRequestedAt.IsZero() {
			return false
		}
	}
	return d.fleetKnown
}

// organisationSpec returns the spec of an organisationSpec, the zero spec if there is none.
func (d *Dispatcher) organisationSpec(name string) object.OrganisationSpec {
	if d.Current == nil {
		return object.OrganisationSpec{}
	}
	return d.Current.Index().Organisations[name]
}

func (d *Dispatcher) evictFinishedRuns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.runs {
		if since, isUnread := r.unreadSince(); isUnread && r.isFinished() && time.Since(since) > unreadRunGrace {
			delete(d.runs, id)
		}
	}
}
