package rollout

import (
	"slices"
	"time"

	"chestnutrudder.example/rudder/objectapi"
)

// TrafficOrder is an operator's order to move the traffic of a service to the servers of a software version.
type TrafficOrder struct {
	_              struct{} `cbor:",toarray"`
	Service        string   `json:"service"`
	To             string   `json:"to"`
	DurationMillis int64    `json:"duration_ms"`
	// ID is the first known revision of the order's object with this content. The status that this system writes may change the
	// object's revision.
	ID       objectapi.Version `json:"id"`
	Revision objectapi.Version `json:"revision"` // the latest known one of the object
	// StartedUnixMillis is when a node first saw the order, in the time on which the nodes agree.
	StartedUnixMillis int64 `json:"started_unix_ms"`
	IsWithdrawn       bool  `json:"is_withdrawn"` // the object was deleted
	// EndedAt is the revision at which an earlier order for the service had ended: what peers still tell of it does not count.
	EndedAt objectapi.Version `json:"ended_at"`
}

// Duration returns the time from the order to its deadline.
func (o *TrafficOrder) Duration() time.Duration {
	return time.Duration(o.DurationMillis) * time.Millisecond
}

// isSame reports whether two readings are of the same order.
func (o *TrafficOrder) isSame(other *TrafficOrder) bool {
	return o.To == other.To && o.DurationMillis == other.DurationMillis && !o.IsWithdrawn && !other.IsWithdrawn &&
		o.ID.Compare(other.EndedAt) > 0 && other.ID.Compare(o.EndedAt) > 0
}

// mergeOrders returns what is known of a service's order from two readings. hasChanged tells whether it is another order than
// the known one.
func mergeOrders(known, read TrafficOrder) (merged TrafficOrder, hasChanged bool) {
	if known.isSame(&read) {
		if read.ID.Compare(known.ID) < 0 {
			known.ID = read.ID
		}
		if read.Revision.Compare(known.Revision) > 0 {
			known.Revision = read.Revision
		}
		if read.EndedAt.Compare(known.EndedAt) > 0 {
			known.EndedAt = read.EndedAt
		}
		return known, false
	}
	if read.Revision.Compare(known.Revision) <= 0 {
		return known, false
	}
	isWithdrawal := read.IsWithdrawn && read.To == known.To && !known.IsWithdrawn
	if !isWithdrawal && known.Revision.Compare(read.EndedAt) > 0 {
		read.EndedAt = known.Revision
	}
	return read, !isWithdrawal
}

// Progress is how far an order has come, as the holder of the duty lease decided or a node found out.
type Progress struct {
	_     struct{}     `cbor:",toarray"`
	Order TrafficOrder `json:"order"`
	Phase Phase        `json:"phase"`
	Share float64      `json:"share"` // of the requests for the new version
	// Fence is the fencing token of the holder that decided, and Step counts its decisions.
	Fence  int64  `json:"fence"`
	Step   int64  `json:"step"`
	Reason string `json:"reason,omitempty"` // of a rollback
	// EndedUnixMillis is when a completed order ended, in the time on which the nodes agree; 0 if that is not known.
	EndedUnixMillis int64 `json:"ended_unix_ms,omitempty"`
	// Held are the versions of earlier orders that were not completed. They get no requests.
	Held []string `json:"held,omitempty"`
}

// maxHeldVersions bounds Progress.Held; the latest ones count.
const maxHeldVersions = 8

// phaseRanks orders the phases: a node that knows a later one is not set back.
var phaseRanks = map[Phase]int{PhaseRolling: 0, PhaseReversing: 1, PhaseReversed: 2, PhaseDone: 3}

// isAfter reports whether p is a later state of the same order.
func (p *Progress) isAfter(other *Progress) bool {
	switch a, b := phaseRanks[p.Phase], phaseRanks[other.Phase]; {
	case a != b:
		return a > b
	case p.Fence != other.Fence:
		return p.Fence > other.Fence
	}
	return p.Step > other.Step
}

// begin returns the progress of a new order that follows p.
func (p *Progress) begin(o TrafficOrder) Progress {
	next := Progress{Order: o, Phase: PhaseRolling, Held: slices.Clone(p.Held)}
	if p.Order.To != "" && p.Phase != PhaseDone && !slices.Contains(next.Held, p.Order.To) {
		next.Held = append(next.Held, p.Order.To)
	}
	next.Held = slices.DeleteFunc(next.Held, func(v string) bool { return v == o.To })
	next.Held = next.Held[max(len(next.Held)-maxHeldVersions, 0):]
	return next
}

// merge returns the later one of two states, of the same order or of two successive ones.
func (p *Progress) merge(other Progress) Progress {
	order, hasChanged := mergeOrders(p.Order, other.Order)
	merged := *p
	switch {
	case hasChanged && other.Phase != "":
		merged = other
		for _, v := range p.begin(order).Held {
			if !slices.Contains(merged.Held, v) {
				merged.Held = append(merged.Held, v)
			}
		}
		merged.Held = merged.Held[max(len(merged.Held)-maxHeldVersions, 0):]
	case hasChanged:
		merged = p.begin(order)
	case order.ID == other.Order.ID || p.Order.isSame(&other.Order) || order.IsWithdrawn && order.To == other.Order.To:
		if other.Phase != "" && other.isAfter(p) {
			merged = other
			order.StartedUnixMillis = other.Order.StartedUnixMillis // a node that has just started reads old orders as new ones
		}
	}
	merged.Order = order
	return merged
}

// VersionShares tells how the requests of a service are divided among its software versions.
type VersionShares struct {
	Target string  // the version of the order
	Share  float64 // of the requests for it
	// IsOnlyTarget is true if nothing may be sent to other versions, even if no server of the target serves.
	IsOnlyTarget bool
	// Excluded are versions that get no requests, even if no other server serves.
	Excluded []string
	// Held are versions that get no requests as long as others serve.
	Held []string
}

// Shares returns how a node divides the requests. isStale tells that the node has not heard of the holder for long: a version
// that is not proven then gets nothing from it. The second result is false if there is nothing to divide.
func (p *Progress) Shares(isStale bool) (VersionShares, bool) {
	s := VersionShares{Target: p.Order.To, Held: p.Held}
	switch {
	case p.Phase == PhaseDone:
		s.Share, s.IsOnlyTarget = 1, true
	case p.Order.IsWithdrawn: // the version gets requests again if no other serves
	case p.Phase == PhaseReversing || p.Phase == PhaseReversed:
		s.Excluded = []string{p.Order.To}
	case p.Phase == PhaseRolling:
		s.Share, s.IsOnlyTarget = p.Share, p.Share >= 1
		if isStale && p.Share < 1 {
			s.Share = 0
		}
	default:
		return s, false
	}
	return s, true
}
