package rollout

import (
	"encoding/json"
	"strings"
	"sync"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// Records carries the states of rollouts between nodes.
type Records interface {
	Put(key string, version int64, value any) error
	Watch(prefix string, notify func(*peerpb.Record))
}

// Tracker knows on each node which model versions are on trial. Dispatchers ask it when a runner crashes.
type Tracker struct {
	mu     sync.Mutex
	states map[string]State // by deployment
}

// NewTracker returns the trials that the records tell of.
func NewTracker(records Records) *Tracker {
	t := &Tracker{states: map[string]State{}}
	records.Watch(membership.RecordRollout, t.handleRecord)
	return t
}

func (t *Tracker) handleRecord(r *peerpb.Record) {
	var state State
	if json.Unmarshal(r.Value, &state) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[strings.TrimPrefix(r.Key, membership.RecordRollout)] = state
}

// IsRollingOut reports whether a version of a deployment is being rolled out over another one, or was found to fail.
func (t *Tracker) IsRollingOut(deployment, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.states[deployment]
	return state.Target == version && state.Previous != "" && state.Phase != PhaseDone
}
