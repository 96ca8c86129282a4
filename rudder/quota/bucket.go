package quota

import (
	"time"

	"chestnutrudder.example/rudder/traffic"
)

const (
	// defaultWindow is the length of the windows for which the tolerance is given.
	defaultWindow = 8 * time.Second
	// usedOverageShare is the part of the relative tolerance that is added to the rate, so that rounding and the delay of
	// reports do not refuse requests within the limit.
	usedOverageShare = 0.2
	// usedReserveShare is the part of the remaining tolerance that is added to the capacity of the bucket. The rest covers
	// requests that run later than they were admitted, and requests that are larger than the node's part of what is left.
	usedReserveShare = 0.7
	// overrunReserveShare is the part of the reserve that must be left for a request that exceeds the node's part.
	overrunReserveShare = 0.25
	// secondOverrunShare is the part of the capacity that must be left for a second such request. With 195 nodes and requests
	// of about the size of a node's part, single ones used only 0.885 of the rate.
	secondOverrunShare = 0.5
	// restartBurstShare and restartReserveShare are the parts of the burst and of the reserve in the buckets of a node that
	// starts when others may have run before. After a restart of all nodes, empty buckets would refuse requests within the
	// limit.
	restartBurstShare   = 0.05
	restartReserveShare = 0.1
	// maxDebtSeconds bounds how far a bucket falls below zero, in seconds of its rate, so that an organisation that got more
	// than its limit waits no longer than that.
	maxDebtSeconds = 2.0
	// urgentLevelShare is the part of the capacity below which admitted amounts are reported at once: the sooner peers know
	// of them, the less they limit what this node may admit.
	urgentLevelShare = 0.75
	// urgentAheadShare is the part of what this node may admit unknown to its peers above which it reports at once.
	urgentAheadShare = 0.3
	// usedWindowShare is the part of what is allowed in a window that the nodes use up to, far from the limit, without
	// knowing of each other.
	usedWindowShare = 0.9
	// sendSpread and urgentSendSpread are the longest times from the composing of a report to its sending to the last peer: a
	// round is sent in three quarters of a digest interval, which is 0.52 s with 66 nodes, or of the pause between two urgent
	// ones, 0.21 s.
	sendSpread       = 400 * time.Millisecond
	urgentSendSpread = 160 * time.Millisecond
	// maxRetryAfter bounds the time after which a caller is asked to come back.
	maxRetryAfter = 10 * time.Second
)

// bucket is the token bucket of one organisation. Amounts are in the unit of its limit.
type bucket struct {
	organisation string
	limit        limitValues
	rate         float64 // per second
	capacity     float64 // burst and reserve
	reserve      float64 // part of the tolerance that is included in the capacity
	burst        float64
	allowed      float64 // in a window
	admitted     windowSum
	level        float64 // what is left, as far as this node knows; the parts of silent peers are included
	discarded    float64 // what exceeded the capacity, since the node's start
	taken        float64 // admitted by this node since its start
	reported     float64 // value of taken in the last report
	ahead        float64 // admitted by this node and possibly not known to all peers that are heard
	reports      []sentReport
	counted      float64 // value of taken up to which recent counts it
	released     float64 // value of taken up to which peers know it
	refilledAt   time.Time
	hasPeerLevel bool // level was set to that of a peer

	// The following values are set by Ledger.update.
	updatedAt   time.Time
	recent      float64 // this node's recent use that it has reported, see recentUseTime
	weight      float64 // this node's part of the limit
	partFactor  float64 // see summarizedPartFactor
	silentShare float64 // parts of silent peers, by number or by recent use, whichever is more
	silentScale float64 // silentShare divided by the parts of silent peers by recent use
	withheld    float64 // amount of the level that is kept for them
}

// limitValues are the values of the configuration from which a bucket's rate and capacity were computed.
type limitValues struct {
	rate, burst  float64
	countsTokens bool
}

// sentReport is the value of taken in one report.
type sentReport struct {
	sentBy time.Time // to all peers
	taken  float64
}

func newBucket(organisation string, at time.Time, window time.Duration) *bucket {
	return &bucket{organisation: organisation, refilledAt: at, weight: 1, partFactor: 1, admitted: newWindowSum(window)}
}

// setLimit sets the limit and reports whether it has changed.
func (b *bucket) setLimit(o *traffic.Organisation, t Tolerance) bool {
	values := limitValues{rate: o.RatePerSecond, burst: o.Burst, countsTokens: o.CountsTokens}
	if b.limit == values {
		return false
	}
	window := t.Window.Seconds()
	total := t.Overage * (o.RatePerSecond*window + o.Burst)
	if o.CountsTokens {
		total += t.Slack
	}
	extraRate := usedOverageShare * t.Overage * o.RatePerSecond
	b.limit, b.burst = values, o.Burst
	b.allowed = o.RatePerSecond*window + o.Burst + total
	b.rate = o.RatePerSecond + extraRate
	b.reserve = usedReserveShare * (total - extraRate*window)
	b.capacity = o.Burst + b.reserve
	return true
}

// initialLevel returns the level of a bucket at the start of its node.
func (b *bucket) initialLevel(isFull bool) float64 {
	if isFull {
		return b.capacity
	}
	return restartBurstShare*b.burst + restartReserveShare*b.reserve
}

// refill adds the rate since the last refill, without the parts of silent peers.
func (b *bucket) refill(now time.Time) {
	elapsed := max(0, now.Sub(b.refilledAt).Seconds())
	b.level = max(b.level+elapsed*b.rate*(1-b.silentShare), -maxDebtSeconds*b.rate)
	// What is withheld may exceed the parts of silent peers in a full bucket: they may have used what was added until their
	// silence was noticed. It must not take the parts of the others.
	if top := max(b.capacity, b.withheld+(1-b.silentShare)*b.capacity); b.level > top {
		b.discarded += b.level - top
		b.level = top
	}
	b.admitted.advance(now)
	b.refilledAt = now
}

// left returns what is left for the nodes that are heard.
func (b *bucket) left() float64 {
	return min(b.level-b.withheld, (1-b.silentShare)*b.capacity)
}

// part returns how much this node may admit that its peers may not know of: its part of what is left for the nodes that are
// heard, or, far from the limit, of what all nodes may still admit in the present window. What the node is ahead was not
// counted by its peers.
func (b *bucket) part() float64 {
	share := b.weight / max(1-b.silentShare, b.weight)
	inWindow := usedWindowShare*(1-b.silentShare)*b.allowed - b.admitted.sum
	return b.partFactor * share * max(b.left()+b.ahead, inWindow+b.ahead, 0)
}

// needed returns what must be left for an amount that exceeds the node's part.
func (b *bucket) needed(amount float64) float64 {
	return min(amount, b.burst*(1-b.silentShare)) + overrunReserveShare*b.reserve*(1-b.silentShare)
}

// allows reports whether an amount may be admitted: it is within the node's part of what is left, or it is the first one that
// exceeds the part while there is enough left, or the second one while half of the capacity is left.
func (b *bucket) allows(amount float64) bool {
	part, left := b.part(), b.left()
	if b.ahead+amount <= part && amount <= left {
		return true
	}
	if left >= secondOverrunShare*(1-b.silentShare)*b.capacity {
		part += amount
	}
	return b.ahead < part && left >= b.needed(amount)
}

// shortage describes why an amount is not admitted.
func (b *bucket) shortage(amount float64) *Shortage {
	rate := max(b.rate*(1-b.silentShare), 1)
	missing := b.needed(amount) - b.left()
	s := &Shortage{Needed: min(amount, b.burst), Level: b.left(), Rate: rate, Withheld: b.withheld, Cause: AboveLimit}
	switch {
	case missing > 0 && missing <= b.withheld:
		s.Cause = Withheld
	case missing <= 0:
		s.Cause = AheadOfReports
		missing, rate = b.ahead+amount-b.part(), max(b.rate*b.weight, 1)
	}
	s.RetryAfter = min(time.Duration(max(missing, 1)/rate*float64(time.Second)), maxRetryAfter)
	return s
}

// isNearLimit reports whether peers must learn of admitted amounts at once.
func (b *bucket) isNearLimit() bool {
	return b.left() < urgentLevelShare*b.capacity || b.ahead > urgentAheadShare*b.part()
}

// noteReport records that taken was reported to all peers by the given time.
func (b *bucket) noteReport(sentBy time.Time) {
	b.reported = b.taken
	if b.released < b.taken {
		b.reports = append(b.reports, sentReport{sentBy: sentBy, taken: b.taken})
	}
}

// countReports adds to the recent use what was sent to all peers by now, so that this node and its peers count it alike.
func (b *bucket) countReports(now time.Time) {
	for _, r := range b.reports {
		if !r.sentBy.After(now) && r.taken > b.counted {
			b.recent += r.taken - b.counted
			b.counted = r.taken
		}
	}
}

// releaseReports ends the counting as ahead of what was sent before heardAt, since peers that were heard at that time got it.
func (b *bucket) releaseReports(heardAt time.Time) {
	n := 0
	for n < len(b.reports) && b.reports[n].sentBy.Before(heardAt) {
		n++
	}
	if n == 0 {
		return
	}
	known := b.reports[n-1].taken
	b.reports = append(b.reports[:0], b.reports[n:]...)
	b.released = known
	b.ahead = min(b.ahead, max(b.taken-known, 0))
}
