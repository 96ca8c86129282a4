package relaynode

import (
	"context"
	"fmt"
	"math"
	"path"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/rollout"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// rolloutRecordPrefix is the key prefix of the records in the object API from which starting nodes learn how far orders have
	// come; the service follows.
	rolloutRecordPrefix = "rudder-rollouts/"
	// rolloutDecisionInterval is the pause between two decisions about an order.
	rolloutDecisionInterval = 200 * time.Millisecond
	// rolloutRecordInterval is the pause between two records of the counts of an order, and between two attempts to read them.
	rolloutRecordInterval = time.Second
	// rolloutTakeoverWait is how long a new holder of the duty lease extends nothing: nodes report to it meanwhile.
	rolloutTakeoverWait = 1500 * time.Millisecond
	// rolloutWriteInterval is the pause between two attempts to write a status.
	rolloutWriteInterval = 500 * time.Millisecond
	// resumedShareFactor allows for a higher rate than the recorded one in the time since the record.
	resumedShareFactor = 1.5
)

// rolloutRecord is the value of the record of an order.
type rolloutRecord struct {
	Progress          rollout.Progress     `json:"progress"`
	Totals            []rollout.NodeTotals `json:"totals"`
	Rate              float64              `json:"rate"` // requests a second
	WrittenUnixMillis int64                `json:"written_unix_ms"`
}

// loadRecords reads how far orders had come before this node started.
func (r *rolloutSync) loadRecords(ctx context.Context) error {
	listing, err := r.node.platform.Store.List(ctx, rolloutRecordPrefix)
	if err != nil {
		return err
	}
	for _, o := range listing.Objects {
		if err := r.applyRecord(o); err != nil {
			r.log.Warn("Decoding a recorded rollout failed; it is left out.", "key", abbreviate(o.Key), "error", err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasLoaded = true
	return nil
}

// applyRecord applies a record. What was sent since it was written is estimated: if all nodes ended, nobody knows it.
func (r *rolloutSync) applyRecord(o objectapi.Object) error {
	var record rolloutRecord
	if err := o.Decode(&record); err != nil {
		return errors.Wrapf(err, "decode rollout record %s", o.Key)
	}
	p := record.Progress
	if p.Order.Service != path.Base(o.Key) || p.Order.To == "" {
		return errors.Errorf("decode rollout record %s: service %.40q and version %.40q, allowed: those of an order", o.Key, p.Order.Service, p.Order.To)
	}
	r.tracker.Apply(p)
	age := max(r.node.mesh.MedianTime().UnixMilli()-record.WrittenUnixMillis, 0)
	since := resumedShareFactor * record.Rate * (time.Duration(age) * time.Millisecond).Seconds() * p.Share
	estimate := rollout.NodeTotals{Incarnation: fmt.Sprint("since the record of ", record.WrittenUnixMillis), Sent: int64(math.Ceil(since))}
	r.tracker.AddRecordedTotals(p.Order.Service, append(record.Totals, estimate))
	return nil
}

// heldOrder is what the holder of the duty lease remembers of an order.
type heldOrder struct {
	recordedAt boottime.Instant
	record     rollout.Progress // the last one that was recorded
	// version is that of the record if isVersionKnown.
	version        objectapi.Version
	isVersionKnown bool

	status  RolloutStatus    // the last one that was written or read
	triedAt boottime.Instant // when a status was last written or tried to
	epoch   int64            // of the object API when record and status were written
}

// hold decides about the orders until the lease is lost or ctx ends.
func (r *rolloutSync) hold(ctx context.Context, dutyLease *lease.Lease) {
	r.setFence(dutyLease.FencingToken)
	defer r.setFence(0)
	since := r.now()
	held := map[string]*heldOrder{}
	for sleep.For(ctx, rolloutDecisionInterval) {
		for _, p := range r.tracker.Progresses() {
			if dutyLease.Check() != nil {
				return
			}
			service := p.Order.Service
			if held[service] == nil || held[service].record.Order.ID != p.Order.ID {
				held[service] = &heldOrder{}
			}
			r.step(ctx, dutyLease, held[service], p.Order, r.now().Sub(since) < rolloutTakeoverWait)
		}
	}
}

func (r *rolloutSync) setFence(fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fence = fence
}

// step decides about one order, and writes its record and its status.
func (r *rolloutSync) step(ctx context.Context, dutyLease *lease.Lease, h *heldOrder, order rollout.TrafficOrder, isUncertain bool) {
	epoch := r.node.storeHistory.latestEpoch()
	isUncertain = isUncertain || order.Revision.Epoch < epoch
	s := r.tracker.Decide(order.Service, dutyLease.FencingToken, r.node.mesh.MedianTime(), r.node.settings.RolloutBounds, r.acknowledgement(), isUncertain)
	if h.epoch < epoch { // what was written may be lost
		*h = heldOrder{epoch: epoch}
	}
	r.record(ctx, h, s)
	want := RolloutStatus{State: RolloutRunning, To: order.To}
	switch {
	case s.IsFinished || s.Progress.Phase == rollout.PhaseDone:
		want.State = RolloutCompleted
	case s.Progress.Phase != rollout.PhaseRolling:
		want.State = RolloutRolledBack
	}
	if order.IsWithdrawn || isUncertain && want.State == RolloutRunning || dutyLease.Check() != nil || !r.putStatus(ctx, h, order, want) {
		return
	}
	if want.State != RolloutRunning {
		r.tracker.Finish(order.Service, order, want.State == RolloutCompleted, dutyLease.FencingToken)
	}
}

// acknowledgement returns the nodes that must confirm that they send nothing to old servers.
func (r *rolloutSync) acknowledgement() rollout.Acknowledgement {
	var a rollout.Acknowledgement
	for _, m := range r.node.mesh.KnownMembers() {
		a.Peers = append(a.Peers, incarnationID(m.Node, m.Incarnation))
	}
	return a
}

// record writes the record of an order if it has changed, or the counts in it are old.
func (r *rolloutSync) record(ctx context.Context, h *heldOrder, s rollout.HolderStep) {
	p := s.Progress
	isCounting := p.Phase == rollout.PhaseRolling && p.Share > 0
	isOther := p.Phase != h.record.Phase || p.Order.ID != h.record.Order.ID || p.Order.IsWithdrawn != h.record.Order.IsWithdrawn
	sinceLast := r.now().Sub(h.recordedAt)
	if h.recordedAt > 0 && !isOther && (!isCounting || sinceLast < rolloutRecordInterval) {
		return
	}
	if h.recordedAt > 0 && sinceLast < rolloutDecisionInterval {
		return
	}
	h.recordedAt = r.now()
	record := rolloutRecord{Progress: p, Totals: s.Totals, Rate: s.Rate, WrittenUnixMillis: r.node.mesh.MedianTime().UnixMilli()}
	if err := r.putRecord(ctx, h, record); err != nil {
		r.log.Warn("Recording a rollout failed; trying again.", "service", p.Order.Service, "phase", p.Phase, "error", err)
		return
	}
	h.record = p
}

// putRecord writes a record if nobody else has written it since this holder read it. A record of a later holder is applied
// instead.
func (r *rolloutSync) putRecord(ctx context.Context, h *heldOrder, record rolloutRecord) error {
	key := rolloutRecordPrefix + record.Progress.Order.Service
	if !h.isVersionKnown {
		o, err := r.node.platform.Store.Get(ctx, key)
		switch {
		case errors.Is(err, objectapi.ErrNotFound):
			h.version = objectapi.AbsentVersion
		case err != nil:
			return err
		default:
			h.version = o.Version
			var stored rolloutRecord
			if o.Decode(&stored) == nil && stored.Progress.Fence > record.Progress.Fence {
				return errors.Wrapf(objectapi.ErrConflict, "record of fencing token %d", stored.Progress.Fence)
			}
		}
		h.isVersionKnown = true
	}
	o, err := r.node.platform.Store.Put(ctx, key, record, h.version)
	if err != nil {
		h.isVersionKnown = false
		return err
	}
	h.version = o.Version
	return nil
}

// putStatus writes the status of an order unless that is known to be written. It reports whether the operator sees it.
func (r *rolloutSync) putStatus(ctx context.Context, h *heldOrder, order rollout.TrafficOrder, want RolloutStatus) bool {
	if h.status == want {
		return true
	}
	if h.triedAt > 0 && r.now().Sub(h.triedAt) < rolloutWriteInterval {
		return false
	}
	h.triedAt = r.now()
	o, err := r.node.platform.Store.Get(ctx, r.node.platform.RolloutPrefix+order.Service)
	if err != nil {
		if !errors.Is(err, objectapi.ErrNotFound) {
			r.log.Warn("Reading the order of a rollout failed; trying again.", "service", order.Service, "error", err)
		}
		return false
	}
	present, err := r.node.platform.DecodeRollout(o)
	if err != nil || present.To != order.To || present.Duration != order.Duration() {
		return false // another order, which the watch tells
	}
	if present.Status != want {
		if err := r.node.platform.PutRolloutStatus(ctx, order.Service, want, o.Version); err != nil {
			r.log.Warn("Writing the status of a rollout failed; trying again.", "service", order.Service, "state", want.State, "error", err)
			return false
		}
		r.log.Info("Wrote the status of a rollout.", "service", order.Service, "to", order.To, "state", want.State)
	}
	h.status = want
	return true
}
