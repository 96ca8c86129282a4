package traffic

import (
	"sync"
	"sync/atomic"

	"chestnutrudder.example/rudder/boottime"
)

// Current holds the newest configuration that this process has seen and the moment up to which it is proved to be the
// newest. The version never decreases.
type Current struct {
	config   atomic.Pointer[Config]
	provedAt atomic.Int64 // boottime.Instant
	mu       sync.Mutex
	changed  chan struct{}
}

// NewCurrent returns a holder without a configuration.
func NewCurrent() *Current { return &Current{changed: make(chan struct{})} }

// Config returns the configuration in force, nil before the first one.
func (c *Current) Config() *Config { return c.config.Load() }

// Apply takes a configuration unless a newer one is in force, and reports whether it took it.
func (c *Current) Apply(next *Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.config.Load(); now != nil && next.Version <= now.Version {
		return false
	}
	c.config.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Prove notes that a configuration of at least this version was the newest one at the given moment. A proof for a
// version that this process does not have yet is ignored.
func (c *Current) Prove(version int64, at boottime.Instant) {
	now := c.config.Load()
	if now == nil || now.Version < version {
		return
	}
	for {
		before := c.provedAt.Load()
		if int64(at) <= before || c.provedAt.CompareAndSwap(before, int64(at)) {
			return
		}
	}
}

// ProvedAt returns the moment up to which the configuration is proved to be the newest; 0 means never.
func (c *Current) ProvedAt() boottime.Instant { return boottime.Instant(c.provedAt.Load()) }

// Changed returns a channel that is closed by the next Apply that takes a configuration.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
