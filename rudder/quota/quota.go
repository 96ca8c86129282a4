// Package quota holds organisations to limits that all nodes share. Every node keeps a token bucket for each organisation
// and takes from it what it admits and what its peers say they admitted; nobody is asked before a request is admitted.
package quota

import (
	"math"
	"sync"
	"time"

	"chestnutrudder.example/rudder/traffic"
)

// Usage is what one node says of one organisation.
type Usage struct {
	_     struct{} `cbor:",toarray"`
	Taken float64  // admitted since the node's start, in the unit of the limit
	Level float64  // what the node believes is left
}

const (
	// warmUpTime is how long after its start a node lowers its levels to those of its peers.
	warmUpTime = 2 * time.Second
	// maxDebtSeconds bounds how far below zero a bucket falls, in seconds of its rate, so that an organisation that was admitted
	// too much waits no longer than that.
	maxDebtSeconds = 2.0
	// restartLevelShare is the part of the burst that a node starts with that may follow others: if all nodes started anew, an
	// empty bucket would refuse what is within the limit.
	restartLevelShare = 0.05
	// usedOverageShare and usedSlackShare are the parts of the tolerance that nodes use up on purpose, so that the lag of what they
	// tell each other does not refuse what is within a limit. The rest covers what all admit during that lag.
	usedOverageShare = 0.4
	usedSlackShare   = 0.25
	// urgentLevelShare is the part of the burst below which what is admitted is told at once: what all nodes admit before they
	// hear of each other goes beyond the limit.
	urgentLevelShare = 0.5
)

// Tolerance is how far above a limit all nodes together may admit.
type Tolerance struct {
	Overage float64 // as a share of the limit
	Slack   float64 // beyond that, in the unit of the limit
}

// Ledger holds the buckets of one node. It is safe for concurrent use.
type Ledger struct {
	mu             sync.Mutex
	startedAt      time.Time
	startsFull     bool // buckets begin full
	tolerance      Tolerance
	reachableShare float64
	buckets        map[string]*bucket
	peers          map[string]*peerState // by incarnation
	now            func() time.Time
}

// peerState is what one incarnation of a peer has told.
type peerState struct {
	taken         map[string]float64 // by organisation
	reportedAt    time.Time
	hasFullReport bool // what it does not have in taken, it had not admitted when it was last heard
}

// peerRetention is how long a silent incarnation is remembered.
const peerRetention = time.Minute

type bucket struct {
	rate, burst  float64
	level        float64
	taken        float64
	reported     float64 // of taken
	refilledAt   time.Time
	hasPeerLevel bool // a peer's level was taken
}

// NewLedger returns a ledger. Its buckets begin full where no node can have admitted anything yet, and else low until
// peers have told theirs.
func NewLedger(startsFull bool, tolerance Tolerance, now func() time.Time) *Ledger {
	return &Ledger{startedAt: now(), startsFull: startsFull, tolerance: tolerance, reachableShare: 1, buckets: map[string]*bucket{}, peers: map[string]*peerState{}, now: now}
}

// bucket returns the bucket, filled up to now, with the organisation's present limit. The caller holds the lock.
func (l *Ledger) bucket(o *traffic.Organisation) *bucket {
	b, found := l.buckets[o.Name]
	if !found {
		// No peer has told of it since the start: what this node began with has filled up meanwhile.
		b = &bucket{refilledAt: l.startedAt, level: restartLevelShare * o.Burst}
		l.buckets[o.Name] = b
	}
	b.rate = o.RatePerSecond * (1 + usedOverageShare*l.tolerance.Overage)
	b.burst = o.Burst
	if o.CountsTokens {
		b.burst += usedSlackShare * l.tolerance.Slack
	}
	if !found && l.startsFull {
		b.level = b.burst
	}
	b.refill(l.now(), l.reachableShare)
	return b
}

func (b *bucket) refill(now time.Time, share float64) {
	b.level += max(0, now.Sub(b.refilledAt).Seconds()) * b.rate * share
	b.level = min(max(b.level, -maxDebtSeconds*b.rate), b.burst)
	b.refilledAt = now
}

// SetReachableShare tells which part of the known nodes this node hears, itself included. A node that is cut off from others
// admits only its part of a limit.
func (l *Ledger) SetReachableShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, b := range l.buckets {
		b.refill(now, l.reachableShare)
	}
	l.reachableShare = min(max(share, 0), 1)
}

// Shortage is a request that is over its organisation's limit.
type Shortage struct {
	Needed, Level, Rate float64 // in the unit of the limit; rate for each second
	RetryAfter          time.Duration
}

// Take takes an amount if it is there, else returns what is missing. An amount above the burst is taken from a full
// bucket, since it would never be admitted otherwise.
func (l *Ledger) Take(o *traffic.Organisation, amount float64) *Shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(o)
	need := min(amount, b.burst)
	if b.level < need {
		rate := max(b.rate*l.reachableShare, 1)
		return &Shortage{Needed: need, Level: b.level, Rate: rate, RetryAfter: time.Duration((need - b.level) / rate * float64(time.Second))}
	}
	b.level -= amount
	b.taken += amount
	return nil
}

// Return gives back what a request took that has not run.
func (l *Ledger) Return(o *traffic.Organisation, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.RatePerSecond <= 0 {
		return
	}
	b := l.bucket(o)
	b.level = min(b.level+amount, b.burst)
	b.taken -= amount
}

// FullReport returns what this node has admitted, for its peers.
func (l *Ledger) FullReport() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if l.now().Sub(p.reportedAt) > peerRetention {
			delete(l.peers, name)
		}
	}
	usages := map[string]Usage{}
	for name, b := range l.buckets {
		b.refill(l.now(), l.reachableShare)
		// Whole numbers take fewer bytes; the rounding of a total does not add up.
		usages[name] = Usage{Taken: math.Round(b.taken), Level: math.Round(b.level)}
		b.reported = b.taken
	}
	return usages
}

// UrgentReport returns what this node has admitted of organisations that are near their limits, if it has not told it yet.
func (l *Ledger) UrgentReport() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var usages map[string]Usage
	for name, b := range l.buckets {
		if b.taken <= b.reported || b.level >= urgentLevelShare*b.burst {
			continue
		}
		if usages == nil {
			usages = map[string]Usage{}
		}
		usages[name] = Usage{Taken: math.Round(b.taken), Level: math.Round(b.level)}
		b.reported = b.taken
	}
	return usages
}

// IsWarmingUp reports whether the node has started so lately that it may not have heard of all that was admitted before.
func (l *Ledger) IsWarmingUp() bool { return l.now().Sub(l.startedAt) < warmUpTime }

// PeerReport is what a peer tells of its ledger.
type PeerReport struct {
	IsWarmingUp bool // what IsWarmingUp says there
	IsPartial   bool // Usages holds some organisations only
	Usages      map[string]Usage
}

// ApplyPeerReport takes what a peer has admitted. incarnation names one start of its process. All that a young peer has admitted is
// new, also where it is heard for the first time; what another one had admitted by then is part of its level.
func (l *Ledger) ApplyPeerReport(incarnation string, report PeerReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, found := l.peers[incarnation]
	if !found {
		p = &peerState{taken: map[string]float64{}}
		l.peers[incarnation] = p
	}
	p.reportedAt = l.now()
	hadFullReport := p.hasFullReport
	p.hasFullReport = hadFullReport || !report.IsPartial
	adoptsPeerLevels := !l.startsFull && l.IsWarmingUp()
	for name, usage := range report.Usages {
		b, isKnown := l.buckets[name]
		if !isKnown {
			b = &bucket{refilledAt: l.now(), burst: usage.Level, level: usage.Level, hasPeerLevel: true}
			l.buckets[name] = b
			p.taken[name] = usage.Taken
			continue
		}
		if lastTaken, hasLast := p.taken[name]; hasLast || hadFullReport || report.IsWarmingUp {
			b.level -= usage.Taken - lastTaken
		}
		p.taken[name] = usage.Taken
		if adoptsPeerLevels && !report.IsWarmingUp && !b.hasPeerLevel {
			b.level, b.hasPeerLevel = usage.Level, true
		}
		if adoptsPeerLevels && !report.IsWarmingUp {
			b.level = min(b.level, usage.Level)
		}
	}
}
