// Package quota enforces limits of organisations that all nodes share. Every node keeps a token bucket per organisation and
// takes from it what it admits and what its peers report to have admitted. A request is admitted without asking other nodes.
//
// What a node may admit before its peers have heard of it is bounded by the node's part of what is left. The parts of all
// nodes add up to one, so that the amounts that nodes admit without knowing of each other do not exceed what is left. The parts
// of peers that have been silent for some time are withheld until they are heard again. See docs/design/limits.md.
package quota

import (
	"math"
	"sync"
	"time"

	"chestnutrudder.example/rudder/traffic"
)

// Usage is what one node reports about one organisation.
type Usage struct {
	_     struct{} `cbor:",toarray"`
	Taken float64  // amount admitted since the node's start, in the unit of the limit
	Level float64  // level of the node's bucket: the amount it considers left
}

const (
	// warmUpTime is how long after its start a node adopts the levels of its peers: the first one reported, then lower ones.
	warmUpTime = 2 * time.Second
	// defaultSilenceLimit applies until SetNodes is called.
	defaultSilenceLimit = 1200 * time.Millisecond
)

// Tolerance is how far all nodes together may exceed a limit.
type Tolerance struct {
	Overage float64       // as a fraction of the limit
	Slack   float64       // in addition, in tokens
	Window  time.Duration // in which admitted amounts are summed up; 0 means defaultWindow
}

// Ledger holds the token buckets of one node. It is safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	startedAt    time.Time
	startsFull   bool // buckets are full at first
	tolerance    Tolerance
	nodeCount    int           // nodes that may serve, this one included
	silenceLimit time.Duration // of a peer, after which its part is withheld
	buckets      map[string]*bucket
	peers        map[string]*peerState // by incarnation
	sorted       []*peerState          // see sortedPeers
	heardAtValue time.Time             // result of heardAt at heardAtTime
	heardAtTime  time.Time
	now          func() time.Time
}

// NewLedger returns a ledger without buckets. With startsFull, for the first start of all nodes when nothing can have been
// admitted yet, buckets start full, else at a low level that follows the peers' reports.
func NewLedger(startsFull bool, tolerance Tolerance, now func() time.Time) *Ledger {
	if tolerance.Window <= 0 {
		tolerance.Window = defaultWindow
	}
	return &Ledger{
		startedAt: now(), startsFull: startsFull, tolerance: tolerance, nodeCount: 1, silenceLimit: defaultSilenceLimit,
		buckets: map[string]*bucket{}, peers: map[string]*peerState{}, now: now,
	}
}

// Nodes is what a node knows of the nodes that share the limits.
type Nodes struct {
	Count        int           // nodes that may serve, this one included; those that have never been heard count as silent
	SilenceLimit time.Duration // how long a peer may be silent before its part of the limits is withheld
}

// SetNodes sets what this node knows of the nodes that share the limits.
func (l *Ledger) SetNodes(n Nodes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n.Count = max(n.Count, 1)
	if l.nodeCount == n.Count && l.silenceLimit == n.SilenceLimit {
		return
	}
	l.nodeCount, l.silenceLimit = n.Count, n.SilenceLimit
	for _, b := range l.buckets {
		l.update(b)
	}
}

// bucket returns the bucket of an organisation with its current limit, refilled up to now. The caller holds the lock.
func (l *Ledger) bucket(o *traffic.Organisation) *bucket {
	b, found := l.buckets[o.Name]
	if !found {
		b = newBucket(o.Name, l.now(), l.tolerance.Window)
		l.buckets[o.Name] = b
	}
	isChanged := b.setLimit(o, l.tolerance)
	if !found {
		b.level = b.initialLevel(l.startsFull)
	}
	if isChanged {
		l.update(b)
	}
	if !found {
		// No peer has reported the organisation since the start, so the low initial level refills from the start on.
		b.refilledAt = l.startedAt
	}
	l.refresh(b)
	return b
}

// refresh brings a bucket up to now. The caller holds the lock.
func (l *Ledger) refresh(b *bucket) {
	if l.now().Sub(b.updatedAt) >= l.updateInterval() {
		l.update(b)
	}
	b.refill(l.now())
}

// Cause says why Take refused an amount.
type Cause string

// The causes of a refusal.
const (
	// AboveLimit means that the limit is used up.
	AboveLimit Cause = "limit"
	// Withheld means that the amount would be left but for the parts of silent peers.
	Withheld Cause = "withheld"
	// AheadOfReports means that the node has admitted its part of what is left and its peers may not know of it yet.
	AheadOfReports Cause = "ahead_of_reports"
)

// Shortage describes by how much a request exceeds its organisation's limit.
type Shortage struct {
	Needed, Level, Rate float64       // in the unit of the limit; Rate per second
	Withheld            float64       // part of the limit's level that is kept for silent peers; not included in Level
	RetryAfter          time.Duration // until the bucket probably has Needed
	Cause               Cause
}

// Take takes an amount from an organisation's bucket and returns nil, or takes nothing and returns the shortage. An amount
// above the burst needs only a full bucket, since it would otherwise never be admitted; the rest becomes debt.
func (l *Ledger) Take(o *traffic.Organisation, amount float64) *Shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(o)
	if !b.allows(amount) {
		return b.shortage(amount)
	}
	b.level -= amount
	b.taken += amount
	b.ahead += amount
	b.admitted.add(amount)
	return nil
}

// Return gives back the amount that Take took for a request that did not run.
func (l *Ledger) Return(o *traffic.Organisation, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.RatePerSecond <= 0 {
		return
	}
	b := l.bucket(o)
	b.level = min(b.level+amount, b.capacity)
	b.taken -= amount
	b.ahead = max(b.ahead-amount, 0)
	b.admitted.add(-amount)
}

// FullReport returns the usage of all organisations by name, for the peers. It also drops the state of peers that have been
// silent for peerRetention.
func (l *Ledger) FullReport() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSilentPeers()
	usages := map[string]Usage{}
	for name, b := range l.buckets {
		l.refresh(b)
		usages[name] = b.report(l.now().Add(sendSpread))
	}
	return usages
}

// UrgentReport returns the usage of organisations that are near their limits and for which this node has admitted requests
// since the last report, nil if there are none.
func (l *Ledger) UrgentReport() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var usages map[string]Usage
	for name, b := range l.buckets {
		if b.taken <= b.reported || !b.isNearLimit() {
			continue
		}
		if usages == nil {
			usages = map[string]Usage{}
		}
		usages[name] = b.report(l.now().Add(urgentSendSpread))
	}
	return usages
}

// report returns the usage for a report that is sent to all peers by the given time. Whole numbers take fewer bytes when encoded.
// Rounding errors do not accumulate since totals are reported.
func (b *bucket) report(sentBy time.Time) Usage {
	b.noteReport(sentBy)
	return Usage{Taken: math.Round(b.taken), Level: math.Round(b.level)}
}

// NearLimitOrganisations returns the organisations whose usage peers must learn at once.
func (l *Ledger) NearLimitOrganisations() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := map[string]bool{}
	for name, b := range l.buckets {
		if b.isNearLimit() {
			names[name] = true
		}
	}
	return names
}

// IsWarmingUp reports whether the node started so recently that it may not know all amounts that were admitted before.
func (l *Ledger) IsWarmingUp() bool { return l.now().Sub(l.startedAt) < warmUpTime }

// KnownNodes returns the number of nodes that this node knows itself, for its reports.
func (l *Ledger) KnownNodes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.nodeCount, 1+len(l.peers))
}

// WithheldShare returns the largest part of a limit that is withheld for silent peers, 0 to 1, and the number of these peers.
func (l *Ledger) WithheldShare() (share float64, silent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, p := range l.peers {
		if l.isSilent(p, now) {
			silent++
		}
	}
	for _, b := range l.buckets {
		l.refresh(b)
		share = max(share, b.silentShare)
	}
	return share, silent + max(l.assumedNodes(now)-1-len(l.peers), 0)
}
