package quota

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// peerRetention is how long the state of an incarnation is kept after its last report, and its part withheld.
	peerRetention = time.Minute
	// minUpdateInterval is the shortest time between two updates of the parts of a bucket, which go through all peers. Each peer
	// adds updateIntervalPerPeer: with 86 peers and 16 organisations, updates each 50 ms took 1% of a core, a tenth of what the
	// smallest hosts have.
	minUpdateInterval     = 50 * time.Millisecond
	updateIntervalPerPeer = 2 * time.Millisecond
	// recentUseTime is the time in which use that does not go on loses its influence on the parts of nodes.
	recentUseTime = 4 * time.Second
	// commonUseSeconds is the use, in seconds of the rate, that counts as if all nodes shared it alike, so that a node
	// without recent use has a part as well.
	commonUseSeconds = 1
	// partKeepingDivisor gives the part of the silence limit after which the part of a peer is kept as it is. The silence
	// limit is 4.8 digest intervals, and most digests arrive within 1.6.
	partKeepingDivisor = 3
	// untoldTime is how long a node that was killed may have admitted requests that it did not report: a digest interval. To
	// assume more, in case that it was cut off before, would refuse requests within the limit after each loss of many nodes.
	untoldTime = 500 * time.Millisecond
	// settlingTime is how long after a start, unless it is the first of all nodes, a node assumes that there are at least
	// settlingNodes nodes: it has not heard of all others yet, and they may have started at the same time. It goes on until it
	// has heard a peer: it may have started cut off.
	settlingTime  = 500 * time.Millisecond
	settlingNodes = 64
)

// peerState is what one incarnation of a peer has reported.
type peerState struct {
	uses          map[string]*peerUse // by organisation
	heardAt       time.Time           // when the latest report was sent or received
	isLeaving     bool
	knownNodes    int  // see PeerReport.KnownNodes
	hasFullReport bool // a full report was received, so organisations without a reported amount had none at the last report
}

// peerUse is what one incarnation of a peer has reported about one organisation.
type peerUse struct {
	taken          float64 // last reported amount
	isReported     bool
	reportedAt     time.Time
	recent         float64 // recent use, see recentUseTime
	weight         float64 // the peer's part of the limit
	levelAt        float64 // level of this node's bucket when the peer was last heard
	discardedAt    float64 // what the bucket had discarded then
	withheld       float64 // part of the level that is kept for the peer while it is silent
	isPlaced       bool    // weight and levelAt are set
	isSilent       bool    // the part of the peer is withheld
	withheldRefill float64 // what was not added to the level for the peer while it was silent
}

// PeerReport is a report of a peer's ledger.
type PeerReport struct {
	IsWarmingUp bool             // result of the peer's IsWarmingUp
	IsPartial   bool             // from UrgentReport, so not all organisations are in Usages
	IsLeaving   bool             // the peer is stopping; nothing is withheld for it
	Age         time.Duration    // of the report, as far as it is known
	KnownNodes  int              // result of the peer's KnownNodes; 0 if not told
	Usages      map[string]Usage // by organisation
}

// use returns what a peer has reported about an organisation.
func (p *peerState) use(organisation string) *peerUse {
	u, found := p.uses[organisation]
	if !found {
		u = &peerUse{}
		p.uses[organisation] = u
	}
	return u
}

// sortedPeers returns the peers by incarnation. Sums over them must not depend on the order of a map. The caller holds the lock.
func (l *Ledger) sortedPeers() []*peerState {
	if len(l.sorted) != len(l.peers) {
		l.sorted = l.sorted[:0]
		for _, incarnation := range slices.Sorted(maps.Keys(l.peers)) {
			l.sorted = append(l.sorted, l.peers[incarnation])
		}
	}
	return l.sorted
}

// isSilent reports whether the part of a peer is withheld.
func (l *Ledger) isSilent(p *peerState, now time.Time) bool {
	return now.Sub(p.heardAt) > l.silenceLimit
}

// dropSilentPeers forgets peers that have been silent for peerRetention, or for the silence limit when they were leaving. The
// caller holds the lock.
func (l *Ledger) dropSilentPeers() {
	now := l.now()
	for incarnation, p := range l.peers {
		if now.Sub(p.heardAt) > peerRetention || p.isLeaving && l.isSilent(p, now) {
			delete(l.peers, incarnation)
			l.sorted = nil
		}
	}
}

// unheardShare is the part of the peers that need not have been heard since a report for it to count as known: with many peers,
// some datagrams are always lost.
const unheardShare = 0.1

// With more peers than summarizedPeers, reports pass through summaries, which come later: to wait for more than half of the peers
// would leave 0.15 of the rate unused with 195 nodes.
const (
	summarizedPeers        = 96
	summarizedUnheardShare = 0.5
	summarizedPartFactor   = 2.0 // of what a node may be ahead
)

// heardAt returns the time since which all peers that are not silent, but for unheardShare, have been heard. The caller holds
// the lock.
func (l *Ledger) heardAt(now time.Time) time.Time {
	if now.Sub(l.heardAtTime) < l.updateInterval() && !l.heardAtTime.IsZero() {
		return l.heardAtValue
	}
	var times []time.Time
	for _, p := range l.peers {
		if !l.isSilent(p, now) {
			times = append(times, p.heardAt)
		}
	}
	l.heardAtTime, l.heardAtValue = now, now
	if len(times) > 0 {
		slices.SortFunc(times, time.Time.Compare)
		share := unheardShare
		if len(times) > summarizedPeers {
			share = summarizedUnheardShare
		}
		l.heardAtValue = times[int(share*float64(len(times)))]
	}
	return l.heardAtValue
}

// update brings the parts of all nodes in a bucket up to now. The part of a node follows its recent use; those of silent
// peers stay as they are, so that the parts on both sides of a cut add up to one. The caller holds the lock.
func (l *Ledger) update(b *bucket) {
	now := l.now()
	b.refill(now)
	elapsed := 0.0
	if !b.updatedAt.IsZero() {
		elapsed = now.Sub(b.updatedAt).Seconds()
	}
	decay := math.Exp(-elapsed / recentUseTime.Seconds())
	b.updatedAt = now
	nodes := l.assumedNodes(now)
	common := max(commonUseSeconds*b.rate, 1) / float64(nodes) // the rate is 0 until the first request of the organisation
	unheard := float64(nodes - 1 - len(l.peers))
	withheld := unheard / float64(nodes) * max(b.level, 0)
	b.recent *= decay
	b.countReports(now)
	b.releaseReports(l.heardAt(now))
	sum, keptShare, silentNodes, silentUse := b.recent+common, unheard/float64(nodes), unheard, unheard/float64(nodes)
	for _, p := range l.sortedPeers() {
		u := p.use(b.organisation)
		if !u.isPlaced {
			u.isPlaced, u.weight, u.levelAt, u.discardedAt = true, 1/float64(nodes), b.level, b.discarded
		}
		if l.keepsPart(p, now) {
			keptShare += u.weight
		} else {
			u.recent *= decay
			sum += u.recent + common
		}
		if l.isSilent(p, now) {
			if u.isSilent {
				u.withheldRefill += u.weight * b.silentScale * b.rate * elapsed
			}
			u.beginSilence(b, l.silenceLimit)
			silentNodes++
			silentUse += u.weight
			withheld += u.withheld
		}
	}
	// The parts by number add up to one on all sides of a cut. Those by recent use may differ between nodes while it changes
	// fast.
	b.silentShare, b.silentScale = min(max(silentUse, silentNodes/float64(nodes)), 1), 1
	if silentUse > 0 {
		b.silentScale = b.silentShare / silentUse
	}
	b.withheld = withheld * b.silentScale
	b.partFactor = 1
	if len(l.peers) > summarizedPeers {
		b.partFactor = summarizedPartFactor
	}
	shared := max(1-keptShare, 0) / sum
	b.weight = shared * (b.recent + common)
	for _, p := range l.sortedPeers() {
		if !l.keepsPart(p, now) {
			u := p.use(b.organisation)
			u.weight = shared * (u.recent + common)
		}
	}
}

// assumedNodes returns the number of nodes among which limits are divided.
func (l *Ledger) assumedNodes(now time.Time) int {
	nodes := max(l.nodeCount, 1+len(l.peers))
	for _, p := range l.peers {
		if !l.isSilent(p, now) {
			nodes = max(nodes, p.knownNodes)
		}
	}
	isSettling := now.Sub(l.startedAt) < settlingTime || len(l.peers) == 0 && l.nodeCount > 1
	if !l.startsFull && isSettling {
		nodes = max(nodes, settlingNodes)
	}
	return nodes
}

// keepsPart reports whether a peer was not heard lately, so that its part stays as it is: on both sides of a cut, the parts of
// the other side are then those from before the cut.
func (l *Ledger) keepsPart(p *peerState, now time.Time) bool {
	return now.Sub(p.heardAt) > l.silenceLimit/partKeepingDivisor
}

// beginSilence sets what is withheld for a silent peer unless it is set: its part of the level when it was last heard, and of
// what was added since.
func (u *peerUse) beginSilence(b *bucket, silenceLimit time.Duration) {
	if u.isSilent {
		return
	}
	u.isSilent, u.withheldRefill = true, 0
	u.withheld = u.possibleUse(b, silenceLimit)
}

// possibleUse returns what a peer that has not been heard for some time may have taken since: its part of what was left then and
// of what was added.
func (u *peerUse) possibleUse(b *bucket, silence time.Duration) float64 {
	return u.weight * max(max(u.levelAt, 0)+b.rate*silence.Seconds()-(b.discarded-u.discardedAt), 0)
}

// ApplyPeerReport subtracts what a peer has admitted since its last report from the buckets. The incarnation identifies one
// start of the peer's process: the node's name, a slash and the start. In the first report of a peer that is warming up, the
// whole amount counts as new; in that of any other peer, it is already part of the reported level.
func (l *Ledger) ApplyPeerReport(incarnation string, report PeerReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.refresh(b)
	}
	p, found := l.peers[incarnation]
	if !found {
		p = &peerState{uses: map[string]*peerUse{}}
		l.replaceOlderStart(incarnation)
		if !report.IsWarmingUp {
			l.subtractUnheardPart()
		}
		l.peers[incarnation] = p
		l.sorted = nil
	}
	sentAt := l.now().Add(-max(report.Age, 0))
	if sentAt.After(p.heardAt) {
		p.heardAt = sentAt
	}
	p.isLeaving = report.IsLeaving || report.IsPartial && p.isLeaving // urgent digests do not tell
	if report.KnownNodes > 0 {
		p.knownNodes = report.KnownNodes
	}
	hadFullReport := p.hasFullReport
	p.hasFullReport = hadFullReport || !report.IsPartial
	for name, usage := range report.Usages {
		l.applyUsage(name, p.use(name), usage, hadFullReport, report.IsWarmingUp)
	}
	if !l.isSilent(p, l.now()) {
		l.endSilence(p)
	}
	if !found {
		for _, b := range l.buckets {
			l.update(b)
		}
	}
}

// applyUsage applies what a peer has reported about one organisation. The caller holds the lock.
func (l *Ledger) applyUsage(name string, u *peerUse, usage Usage, hadFullReport, isPeerWarmingUp bool) {
	b, isKnown := l.buckets[name]
	if !isKnown {
		b = newBucket(name, l.now(), l.tolerance.Window)
		b.burst, b.capacity, b.level, b.hasPeerLevel = usage.Level, usage.Level, usage.Level, true
		l.buckets[name] = b
		u.taken, u.isReported = usage.Taken, true
		return
	}
	if u.isReported || hadFullReport || isPeerWarmingUp {
		b.level -= usage.Taken - u.taken
		b.admitted.add(usage.Taken - u.taken)
		u.addRecent(usage.Taken-u.taken, l.now())
	}
	u.taken, u.isReported, u.reportedAt = usage.Taken, true, l.now()
	if l.startsFull || !l.IsWarmingUp() || isPeerWarmingUp {
		return
	}
	if !b.hasPeerLevel {
		b.level, b.hasPeerLevel = usage.Level, true
	}
	b.level = min(b.level, usage.Level)
}

// addRecent adds to the recent use of a peer what it admitted since its last report. After a long silence, most of that is not
// recent, and neither is the use before it.
func (u *peerUse) addRecent(amount float64, now time.Time) {
	if silence := now.Sub(u.reportedAt).Seconds() / recentUseTime.Seconds(); !u.reportedAt.IsZero() && silence > 0.5 {
		decay := math.Exp(-silence)
		u.recent, amount = u.recent*decay, amount*(1-decay)/silence
	}
	u.recent = max(u.recent+amount, 0)
}

// endSilence notes that a peer is heard: what was withheld from the refill for it comes back, since the peer has reported what
// it took of that. The caller holds the lock.
func (l *Ledger) endSilence(p *peerState) {
	for name, b := range l.buckets {
		u := p.use(name)
		if u.isSilent {
			u.isSilent = false
			b.level += u.withheldRefill
			l.update(b)
		}
		u.levelAt, u.discardedAt = b.level, b.discarded
	}
}

// subtractUnheardPart subtracts the part of one node that counted as silent because it was never heard: what it used of that is
// not known from its first report. The caller holds the lock.
func (l *Ledger) subtractUnheardPart() {
	nodes := l.assumedNodes(l.now())
	if l.startsFull || l.IsWarmingUp() || nodes-1-len(l.peers) <= 0 {
		return
	}
	for _, b := range l.buckets {
		b.level -= max(b.level, 0) / float64(nodes)
	}
}

// replaceOlderStart forgets earlier starts of the node of an incarnation and subtracts what they may have admitted without
// reporting it. The caller holds the lock.
func (l *Ledger) replaceOlderStart(incarnation string) {
	node, _, _ := strings.Cut(incarnation, "/")
	for other, p := range l.peers {
		if otherNode, _, _ := strings.Cut(other, "/"); otherNode != node || other == incarnation || !strings.Contains(other, "/") {
			continue
		}
		for name, b := range l.buckets {
			u := p.use(name)
			b.level -= u.possibleUse(b, untoldTime)
		}
		l.endSilence(p)
		delete(l.peers, other)
		l.sorted = nil
	}
}

// updateInterval returns the shortest time between two updates of the parts of a bucket. The caller holds the lock.
func (l *Ledger) updateInterval() time.Duration {
	return max(minUpdateInterval, time.Duration(len(l.peers))*updateIntervalPerPeer)
}
