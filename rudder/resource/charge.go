package resource

import (
	"sync/atomic"
	"time"
)

// minBytesPerSecond is the pace below which a caller that sends falls behind.
const minBytesPerSecond = 64 << 10

// Part is a part of what a connection takes.
type Part int

// The parts of a charge.
const (
	connectionPart Part = iota
	Head
	Body
	Request  // a request that is forwarded
	Response // a response that the caller has not read
	partCount
)

// RequestBytes is the memory of a request while it is forwarded: the goroutines and buffers of both connections.
const RequestBytes = 48 << 10

// Charge is what one connection of a caller takes. Its methods may be called on a nil Charge, which counts nothing.
type Charge struct {
	account   *Account
	port      *Port
	closeConn func()

	// awaitedSince and unreadSince are the times from which on the node waits for bytes of the caller, and for the caller to
	// read; 0 while it does not wait. See elapsed.
	awaitedSince, unreadSince atomic.Int64

	// Guarded by account.mu.
	bytes     int64
	parts     [partCount]int64
	isLeaving bool // closed to make room
	isClosed  bool
}

// Resize sets what a part takes. It returns ErrExhausted if there is no room for it to grow; then the part is unchanged.
func (c *Charge) Resize(part Part, bytes int64) error { return c.resize(part, bytes, false) }

// ForceResize sets what a part takes, also if there is no room.
func (c *Charge) ForceResize(part Part, bytes int64) { _ = c.resize(part, bytes, true) }

// Release sets parts to 0.
func (c *Charge) Release(parts ...Part) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	for _, part := range parts {
		c.add(part, -c.parts[part])
	}
}

func (c *Charge) resize(part Part, bytes int64, isForced bool) error {
	if c == nil {
		return nil
	}
	a := c.account
	a.mu.Lock()
	growth := bytes - c.parts[part]
	hasRoom := c.isClosed || growth <= 0
	switch {
	case hasRoom:
	case c.isLeaving:
		a.unlock()
		return ErrExhausted
	default:
		hasRoom = a.makeRoom(c, growth)
	}
	if hasRoom || isForced {
		c.add(part, growth)
	}
	a.unlock()
	if !hasRoom && !isForced {
		a.reports.count(RefusedMemory, c.port.name)
		return ErrExhausted
	}
	return nil
}

// add changes a part. The caller holds account.mu.
func (c *Charge) add(part Part, growth int64) {
	if c.isClosed {
		return
	}
	c.parts[part] += growth
	c.bytes += growth
	if c.isLeaving {
		c.account.leaving += growth
	} else {
		c.account.used += growth
	}
}

// Close ends the charge, after the connection and its goroutine have ended.
func (c *Charge) Close() {
	if c == nil {
		return
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.isClosed {
		return
	}
	c.isClosed = true
	c.port.open--
	if c.isLeaving {
		a.leaving -= c.bytes
		c.port.leaving--
	} else {
		a.used -= c.bytes
	}
	delete(a.charges, c)
	c.port.updateCrowded()
}

// IsCrowded reports whether there is hardly room for further connections at the port.
func (c *Charge) IsCrowded() bool { return c != nil && c.port.isCrowded.Load() }

// AwaitCaller records that the node waits for bytes of the caller from now on.
func (c *Charge) AwaitCaller() {
	if c != nil {
		c.awaitedSince.Store(int64(elapsed()))
	}
}

// EndAwait records that the node has what it waited for.
func (c *Charge) EndAwait() {
	if c != nil {
		c.awaitedSince.Store(0)
	}
}

// RecordArrival records that bytes have arrived. A caller that sends at minBytesPerSecond or faster is not behind; one that
// sends single bytes is as far behind as one that has stopped.
func (c *Charge) RecordArrival(bytes int) {
	if c == nil {
		return
	}
	if since := c.awaitedSince.Load(); since != 0 {
		credit := int64(bytes) * int64(time.Second) / minBytesPerSecond
		c.awaitedSince.CompareAndSwap(since, min(since+credit, int64(elapsed())))
	}
}

// BeginWrite records that the node writes to the caller, which may not read.
func (c *Charge) BeginWrite() {
	if c != nil {
		c.unreadSince.Store(int64(elapsed()))
	}
}

// EndWrite records that a write has ended.
func (c *Charge) EndWrite() {
	if c != nil {
		c.unreadSince.Store(0)
	}
}

// lag returns how far the caller is behind.
func (c *Charge) lag(now time.Duration) time.Duration {
	lag := time.Duration(0)
	for _, since := range []int64{c.awaitedSince.Load(), c.unreadSince.Load()} {
		if since != 0 {
			lag = max(lag, now-time.Duration(since))
		}
	}
	return lag
}
