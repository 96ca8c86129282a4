package resource

import (
	"log/slog"
	"sync"

	"chestnutrudder.example/rudder/telemetry"
)

// Reason tells what happened to connections or requests of callers.
type Reason string

// The reasons.
const (
	RefusedConnections Reason = "refused: too many connections" // a new connection was closed at once
	RefusedMemory      Reason = "refused: no memory"            // a new connection or a request was refused
	ClosedConnections  Reason = "closed: too many connections"  // a connection made room for others
	ClosedMemory       Reason = "closed: no memory"             // likewise
)

// reports counts events.
type reports struct {
	log *slog.Logger

	mu      sync.Mutex
	pending map[reportKey]int64 // not logged yet
	total   map[Reason]int64
}

type reportKey struct {
	reason Reason
	port   string
}

// count counts an event.
func (r *reports) count(reason Reason, port string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.total == nil {
		r.total, r.pending = map[Reason]int64{}, map[reportKey]int64{}
	}
	r.total[reason]++
	r.pending[reportKey{reason, port}]++
}

// Report logs the events since its last call, one line for each reason and port. Call it once a second.
func (a *Account) Report() {
	u := a.Usage()
	r := &a.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, count := range r.pending {
		r.log.Warn("Callers exceed the resources of the node.", "reason", string(key.reason), "port", key.port, "count", count,
			"memory_bytes", u.Bytes, "memory_limit_bytes", a.capacity, "connections", u.Connections)
	}
	clear(r.pending)
}

// Observe registers the metrics of the account.
func (a *Account) Observe(m *telemetry.Metrics) error {
	return m.ObserveCallerResources(func() telemetry.CallerResources {
		u := a.Usage()
		r := telemetry.CallerResources{Bytes: u.Bytes, Connections: int64(u.Connections), Events: map[string]int64{}}
		a.reports.mu.Lock()
		defer a.reports.mu.Unlock()
		for reason, n := range a.reports.total {
			r.Events[string(reason)] = n
		}
		return r
	})
}
