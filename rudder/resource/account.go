package resource

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrExhausted means that there is no room, and that no other caller is far enough behind to give way.
var ErrExhausted = errors.New("memory or connections for callers are exhausted")

const (
	// ConnectionBytes is the memory of a connection with a small head: its goroutine, buffers and objects.
	ConnectionBytes = 28 << 10
	// ordinaryBytes is what one connection may take of the whole account; for more, reserveDivisor applies.
	ordinaryBytes = 256 << 10
	// reserveDivisor gives the part of the account that is kept for connections that take up to ordinaryBytes.
	reserveDivisor = 8
	// batchDivisor gives the part of the account, or of the connections, that is made free at a time. A search looks at all
	// connections; freeing many at once keeps searches rare.
	batchDivisor = 16
	// leavingDivisor gives the part of the account that closed connections may still hold. Beyond that, newcomers are refused
	// until the goroutines of these connections have ended.
	leavingDivisor = 4
	// minLag is how far a caller must be behind to give way. Ordinary callers on the links of the hosts are not.
	minLag = 100 * time.Millisecond
	// searchPause is the shortest time between a search that found no connection to close and the next one.
	searchPause = 20 * time.Millisecond
	// maxOpenWait is how long a new connection waits for room. It is longer than minLag, so that connections whose callers do
	// nothing can make room for it.
	maxOpenWait      = 250 * time.Millisecond
	openPollInterval = 5 * time.Millisecond
)

// Account is the account of a process. Create it with NewAccount.
type Account struct {
	capacity int64
	reports  reports

	mu      sync.Mutex
	used    int64 // by open connections
	leaving int64 // of connections that were closed to make room and whose goroutines have not ended
	charges map[*Charge]struct{}
	search  search   // for memory
	toClose []func() // close connections that give way; see unlock
}

// search remembers a search for connections to close.
type search struct {
	endedAt     time.Duration // see elapsed
	isFruitless bool          // it found none
}

// isTooSoon reports whether the last search found nothing a moment ago.
func (s *search) isTooSoon(now time.Duration) bool {
	return s.isFruitless && now-s.endedAt < searchPause
}

// NewAccount returns an account with the given memory for callers.
func NewAccount(bytes int64, log *slog.Logger) *Account {
	return &Account{capacity: bytes, reports: reports{log: log}, charges: map[*Charge]struct{}{}}
}

// Port counts the connections at one port.
type Port struct {
	account *Account
	name    string
	max     int

	isCrowded atomic.Bool // at the last opening or closing of a connection

	// refuseAtOnceUntil is set after a connection waited in vain: the next ones do not wait one after the other. Only Open uses
	// it. See elapsed.
	refuseAtOnceUntil time.Duration

	// Guarded by account.mu.
	open    int // connections, with those that are leaving
	leaving int // closed to make room, and their goroutines have not ended
	search  search
}

// NewPort returns a port with at most maxConnections open connections.
func (a *Account) NewPort(name string, maxConnections int) *Port {
	return &Port{account: a, name: name, max: maxConnections}
}

// Open charges a new connection. closeConn closes the connection if it must give way later; it may be called at any time, also
// after the end of the connection. Open waits a moment for room, while further connections wait in the kernel's queue, and
// returns ErrExhausted if there is none. Calls for one port must not be concurrent.
func (p *Port) Open(closeConn func()) (*Charge, error) {
	c := &Charge{account: p.account, port: p, closeConn: closeConn}
	for begin := elapsed(); ; time.Sleep(openPollInterval) {
		c.AwaitCaller()
		refusal := p.tryOpen(c)
		if refusal == "" {
			return c, nil
		}
		now := elapsed()
		if now-begin < maxOpenWait && now >= p.refuseAtOnceUntil {
			continue
		}
		if now >= p.refuseAtOnceUntil {
			p.refuseAtOnceUntil = now + maxOpenWait
		}
		p.account.reports.count(refusal, p.name)
		return nil, ErrExhausted
	}
}

// tryOpen charges a new connection if there is room, and else returns why there is none.
func (p *Port) tryOpen(c *Charge) Reason {
	a := p.account
	a.mu.Lock()
	defer a.unlock()
	if p.updateCrowded() {
		a.evictConnections(p)
	}
	switch {
	case p.open >= p.max:
		return RefusedConnections
	case !a.makeRoom(c, ConnectionBytes):
		return RefusedMemory
	}
	p.open++
	a.used += ConnectionBytes
	c.bytes, c.parts[connectionPart] = ConnectionBytes, ConnectionBytes
	a.charges[c] = struct{}{}
	return ""
}

// updateCrowded sets isCrowded and returns it. The caller holds account.mu.
func (p *Port) updateCrowded() bool {
	isCrowded := p.open-p.leaving >= p.max-p.max/batchDivisor
	p.isCrowded.Store(isCrowded)
	return isCrowded
}

// unlock unlocks mu and closes the connections that give way. Closing one waits until the goroutine that reads from it has
// noticed, which may take long on a busy host, so that others must not wait for it.
func (a *Account) unlock() {
	closers := a.toClose
	a.toClose = nil
	a.mu.Unlock()
	for _, closeConn := range closers {
		closeConn()
	}
}

// Usage is the state of an account.
type Usage struct {
	Bytes       int64 // charged, also for connections that are about to end
	Connections int
}

// Usage returns the present state.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Bytes: a.used + a.leaving, Connections: len(a.charges)}
}

// makeRoom reports whether a charge may grow by some bytes, and closes connections that are behind if that is necessary. The
// caller holds a.mu.
func (a *Account) makeRoom(c *Charge, growth int64) bool {
	limit := a.capacity
	if c.bytes+growth > ordinaryBytes {
		limit -= a.capacity / reserveDivisor
	}
	if a.used+growth <= limit {
		return true
	}
	a.evictMemory(c, a.used+growth-limit)
	return a.used+growth <= limit
}

var startedAt = time.Now()

// elapsed returns the time since the start of the process.
func elapsed() time.Duration { return time.Since(startedAt) }
