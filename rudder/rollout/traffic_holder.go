package rollout

import (
	"maps"
	"slices"
	"time"
)

// Acknowledgement tells of a peer whether it has to confirm that nothing is sent to the old servers.
type Acknowledgement struct {
	// Peers are the incarnations of all nodes that may serve callers, except this one. They include those that are silent, as
	// long as they may be cut off and not ended.
	Peers []string
	// HasUnknown is true if there may be others.
	HasUnknown bool
}

// maxAcknowledgementAge is how old the report of a peer may be that confirms that nothing runs at the old servers.
const maxAcknowledgementAge = 2 * time.Second

// HolderStep is what the holder of the duty lease has decided about one order.
type HolderStep struct {
	Progress   Progress
	HasChanged bool // the phase or the share
	// IsFinished is true if the order can be reported as completed. Its phase changes with Complete.
	IsFinished bool
	Totals     []NodeTotals
	Rate       float64 // requests a second
}

// Progresses returns how far the orders of all services have come.
func (t *TrafficTracker) Progresses() []Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Progress
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		list = append(list, t.services[service].progress)
	}
	return list
}

// Decide decides about the order of a service as the holder of the duty lease with a fencing token. unixNow is the time on which
// the nodes agree.
func (t *TrafficTracker) Decide(service string, fence int64, unixNow time.Time, bounds Bounds, acks Acknowledgement, isUncertain bool) HolderStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return HolderStep{}
	}
	in := t.input(s, unixNow, bounds, acks)
	in.IsUncertain = isUncertain || !s.hasRate()
	d := DecideTraffic(in, &TrafficStrategy)
	before := s.progress
	isFinished := before.Phase == PhaseRolling && d.Phase == PhaseDone
	if isFinished {
		d.Phase = PhaseRolling
	}
	if s.progress.Order.IsWithdrawn && s.progress.Phase == PhaseRolling {
		d, isFinished = TrafficDecision{Phase: PhaseRolling}, false
	}
	hasChanged := d.Phase != before.Phase || before.Phase == PhaseRolling && d.Share != before.Share
	if hasChanged || before.Fence != fence {
		s.progress.Phase, s.progress.Share, s.progress.Fence = d.Phase, d.Share, fence
		s.progress.Step++
		if d.Reason != "" {
			s.progress.Reason = d.Reason
		}
	}
	s.directiveAt = t.Now()
	t.noteChange(s, &before)
	t.updateShares(s)
	return HolderStep{Progress: s.progress, HasChanged: hasChanged, IsFinished: isFinished, Totals: t.nodeTotals(s), Rate: in.Rate}
}

// Finish records that the end of an order is written where the operator sees it: its completion, after which its old servers are
// stopped whatever is found out later, or its rollback.
func (t *TrafficTracker) Finish(service string, order TrafficOrder, isCompleted bool, fence int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil || !s.progress.Order.isSame(&order) {
		return
	}
	before := s.progress
	next := PhaseReversed
	if isCompleted {
		next = PhaseDone
	}
	if next == before.Phase {
		return
	}
	s.progress.Phase, s.progress.Fence = next, fence
	s.progress.Step++
	t.noteChange(s, &before)
	t.updateShares(s)
}

// input returns what DecideTraffic depends on. The caller holds the lock.
func (t *TrafficTracker) input(s *tracked, unixNow time.Time, bounds Bounds, acks Acknowledgement) TrafficInput {
	now, p := t.Now(), &s.progress
	with, others := t.CountServers(p.Order.Service, p.Order.To)
	sum, total := s.totals()
	sent := sumCounts(sum.New)
	in := TrafficInput{
		Phase: p.Phase, Share: p.Share, Duration: p.Order.Duration(), Bounds: bounds,
		Elapsed: max(unixNow.Sub(time.UnixMilli(p.Order.StartedUnixMillis)), 0),
		Total:   max(total, s.knownTotal), Sent: max(sent.Sent, s.knownSent), Answers: sent.ended(),
		Evidence: s.evidence(with), OldServers: others,
	}
	in.Rate = max(s.rate(), float64(total)/max(in.Elapsed.Seconds(), 1))
	if s.fullSince > 0 {
		in.FullFor = now.Sub(s.fullSince)
	}
	in.IsOldIdle = s.fullSince > 0 && !acks.HasUnknown && t.CountRunning(p.Order.Service, p.Order.To) == 0
	for _, incarnation := range acks.Peers {
		peer, known := s.peers[incarnation]
		age := maxAcknowledgementAge + 1
		if known {
			age = now.Sub(peer.receivedAt)
		}
		in.CountLag = max(in.CountLag, min(age, maxAcknowledgementAge))
		in.IsOldIdle = in.IsOldIdle && known && age <= maxAcknowledgementAge && peer.report.OldRunning == 0 &&
			peer.report.Progress.Phase == PhaseRolling && peer.report.Progress.Share >= 1
	}
	return in
}

// rate returns the requests a second that reach the service, over the last rateTime.
func (s *tracked) rate() float64 {
	n := len(s.readings)
	if n < 2 {
		return 0
	}
	last := s.readings[n-1]
	first := s.readings[0]
	for _, r := range s.readings {
		if last.at.Sub(r.at) <= rateTime {
			break
		}
		first = r
	}
	elapsed := last.at.Sub(first.at).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(last.total-first.total) / elapsed
}

// hasRate reports whether the requests have been counted for long enough to know their rate.
func (s *tracked) hasRate() bool {
	n := len(s.readings)
	return n > 1 && s.readings[n-1].at.Sub(s.readings[0].at) >= rateTime
}
