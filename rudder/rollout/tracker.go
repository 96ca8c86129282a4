package rollout

import (
	"encoding/json"
	"strings"
	"sync"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// Records distributes rollout states to all nodes.
type Records interface {
	Put(key string, version int64, value any) error
	List(prefix string) []*peerpb.Record
	Watch(prefix string, notify func(*peerpb.Record))
	// Epoch returns the latest known epoch of the object API.
	Epoch() int64
}

// Tracker follows the rollout states on each node. When a runner crashes, the dispatcher asks it whether the runner's model
// version is being rolled out. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	states map[string]State // by deployment
}

// NewTracker returns a tracker that is kept up to date from records.
func NewTracker(records Records) *Tracker {
	t := &Tracker{states: map[string]State{}}
	records.Watch(membership.RecordRollout, t.handleRecord)
	return t
}

// handleRecord stores the state from a record. It ignores values that cannot be decoded.
func (t *Tracker) handleRecord(r *peerpb.Record) {
	var state State
	if json.Unmarshal(r.Value, &state) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[strings.TrimPrefix(r.Key, membership.RecordRollout)] = state
}

// IsRollingOut reports whether a version of a deployment is replacing a previous one, or has been or is being rolled back.
func (t *Tracker) IsRollingOut(deployment, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.states[deployment]
	return state.Target == version && state.Previous != "" && state.Phase != PhaseDone
}
