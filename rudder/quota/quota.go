// Package quota holds organisations to limits that all nodes share. Every node keeps a token bucket for each organisation
// and takes from it what it admits and what its peers say they admitted; nobody is asked before a request is admitted.
package quota

import (
	"math"
	"sync"
	"time"

	"chestnutrudder.example/rudder/traffic"
)

// Use is what one node says of one organisation.
type Use struct {
	_     struct{} `cbor:",toarray"`
	Taken float64  // admitted since the node's start, in the unit of the limit
	Level float64  // what the node believes is left
}

const (
	// settleTime is how long after its start a node lowers its levels to those of its peers.
	settleTime = 2 * time.Second
	// maxDebt bounds how far below zero a bucket falls, in seconds of its rate, so that an organisation that was admitted
	// too much waits no longer than that.
	maxDebt = 2.0
	// restartLevel is the part of the burst that a node starts with that may follow others: if all nodes started anew, an
	// empty bucket would refuse what is within the limit.
	restartLevel = 0.05
	// rateShare and slackShare are the parts of the tolerance that nodes use up on purpose, so that the lag of what they
	// tell each other does not refuse what is within a limit. The rest covers what all admit during that lag.
	rateShare  = 0.4
	slackShare = 0.25
	// urgentLevel is the part of the burst below which what is admitted is told at once: what all nodes admit before they
	// hear of each other goes beyond the limit.
	urgentLevel = 0.5
)

// Tolerance is how far above a limit all nodes together may admit.
type Tolerance struct {
	Overage float64 // as a share of the limit
	Slack   float64 // beyond that, in the unit of the limit
}

// Ledger holds the buckets of one node. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	started  time.Time
	full     bool // buckets begin full
	allowed  Tolerance
	share    float64
	accounts map[string]*account
	peers    map[string]*peer // by incarnation
	now      func() time.Time
}

// peer is what one incarnation of a peer has told.
type peer struct {
	taken    map[string]float64 // by organisation
	heardAt  time.Time
	heardAll bool // what it does not have in taken, it had not admitted when it was last heard
}

// peerMemory is how long a silent incarnation is remembered.
const peerMemory = time.Minute

type account struct {
	rate, burst float64
	level       float64
	taken       float64
	told        float64 // of taken
	at          time.Time
	settled     bool // a peer's level was taken
}

// NewLedger returns a ledger. Its buckets begin full where no node can have admitted anything yet, and else low until
// peers have told theirs.
func NewLedger(full bool, allowed Tolerance, now func() time.Time) *Ledger {
	return &Ledger{started: now(), full: full, allowed: allowed, share: 1, accounts: map[string]*account{}, peers: map[string]*peer{}, now: now}
}

// account returns the bucket, filled up to now, with the organisation's present limit. The caller holds the lock.
func (l *Ledger) account(o *traffic.Organisation) *account {
	a, found := l.accounts[o.Name]
	if !found {
		// No peer has told of it since the start: what this node began with has filled up meanwhile.
		a = &account{at: l.started, level: restartLevel * o.Burst}
		l.accounts[o.Name] = a
	}
	a.rate = o.RatePerSecond * (1 + rateShare*l.allowed.Overage)
	a.burst = o.Burst
	if o.CountsTokens {
		a.burst += slackShare * l.allowed.Slack
	}
	if !found && l.full {
		a.level = a.burst
	}
	a.fill(l.now(), l.share)
	return a
}

func (a *account) fill(now time.Time, share float64) {
	a.level += max(0, now.Sub(a.at).Seconds()) * a.rate * share
	a.level = min(max(a.level, -maxDebt*a.rate), a.burst)
	a.at = now
}

// SetShare tells which part of the known nodes this node hears, itself included. A node that is cut off from others
// admits only its part of a limit.
func (l *Ledger) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, a := range l.accounts {
		a.fill(now, l.share)
	}
	l.share = min(max(share, 0), 1)
}

// Shortage is a request that is over its organisation's limit.
type Shortage struct {
	Needed, Level, Rate float64 // in the unit of the limit; rate for each second
	Wait                time.Duration
}

// Take takes an amount if it is there, else returns what is missing. An amount above the burst is taken from a full
// bucket, since it would never be admitted otherwise.
func (l *Ledger) Take(o *traffic.Organisation, amount float64) *Shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(o)
	need := min(amount, a.burst)
	if a.level < need {
		rate := max(a.rate*l.share, 1)
		return &Shortage{Needed: need, Level: a.level, Rate: rate, Wait: time.Duration((need - a.level) / rate * float64(time.Second))}
	}
	a.level -= amount
	a.taken += amount
	return nil
}

// Return gives back what a request took that has not run.
func (l *Ledger) Return(o *traffic.Organisation, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.RatePerSecond <= 0 {
		return
	}
	a := l.account(o)
	a.level = min(a.level+amount, a.burst)
	a.taken -= amount
}

// Own returns what this node has admitted, for its peers.
func (l *Ledger) Own() map[string]Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if l.now().Sub(p.heardAt) > peerMemory {
			delete(l.peers, name)
		}
	}
	uses := map[string]Use{}
	for name, a := range l.accounts {
		a.fill(l.now(), l.share)
		// Whole numbers take fewer bytes; the rounding of a total does not add up.
		uses[name] = Use{Taken: math.Round(a.taken), Level: math.Round(a.level)}
		a.told = a.taken
	}
	return uses
}

// Urgent returns what this node has admitted of organisations that are near their limits, if it has not told it yet.
func (l *Ledger) Urgent() map[string]Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	var uses map[string]Use
	for name, a := range l.accounts {
		if a.taken <= a.told || a.level >= urgentLevel*a.burst {
			continue
		}
		if uses == nil {
			uses = map[string]Use{}
		}
		uses[name] = Use{Taken: math.Round(a.taken), Level: math.Round(a.level)}
		a.told = a.taken
	}
	return uses
}

// Young reports whether the node has started so lately that it may not have heard of all that was admitted before.
func (l *Ledger) Young() bool { return l.now().Sub(l.started) < settleTime }

// Told is what a peer tells of its ledger.
type Told struct {
	Young   bool // what Young says there
	Partial bool // Uses holds some organisations only
	Uses    map[string]Use
}

// Learn takes what a peer has admitted. incarnation names one start of its process. All that a young peer has admitted is
// new, also where it is heard for the first time; what another one had admitted by then is part of its level.
func (l *Ledger) Learn(incarnation string, t Told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, found := l.peers[incarnation]
	if !found {
		p = &peer{taken: map[string]float64{}}
		l.peers[incarnation] = p
	}
	p.heardAt = l.now()
	heardAll := p.heardAll
	p.heardAll = heardAll || !t.Partial
	settling := !l.full && l.Young()
	for name, use := range t.Uses {
		a, known := l.accounts[name]
		if !known {
			a = &account{at: l.now(), burst: use.Level, level: use.Level, settled: true}
			l.accounts[name] = a
			p.taken[name] = use.Taken
			continue
		}
		if last, counted := p.taken[name]; counted || heardAll || t.Young {
			a.level -= use.Taken - last
		}
		p.taken[name] = use.Taken
		if settling && !t.Young && !a.settled {
			a.level, a.settled = use.Level, true
		}
		if settling && !t.Young {
			a.level = min(a.level, use.Level)
		}
	}
}
