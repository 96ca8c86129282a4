package traffic

import (
	"sync"
	"sync/atomic"

	"chestnutrudder.example/rudder/boottime"
)

// CurrentConfig holds the newest configuration that this process has seen and the moment up to which it is proved to be the
// newest. The version never decreases.
type CurrentConfig struct {
	config      atomic.Pointer[Config]
	confirmedAt atomic.Int64 // boottime.Instant
	mu          sync.Mutex
	changed     chan struct{}
}

// NewCurrentConfig returns a holder without a configuration.
func NewCurrentConfig() *CurrentConfig { return &CurrentConfig{changed: make(chan struct{})} }

// Config returns the configuration in force, nil before the first one.
func (c *CurrentConfig) Config() *Config { return c.config.Load() }

// Apply takes a configuration unless a newer one is in force, and reports whether it took it.
func (c *CurrentConfig) Apply(next *Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.config.Load(); current != nil && next.Version <= current.Version {
		return false
	}
	c.config.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// ConfirmNewest notes that a configuration of at least this version was the newest one at the given moment. A proof for a
// version that this process does not have yet is ignored.
func (c *CurrentConfig) ConfirmNewest(version int64, at boottime.Instant) {
	current := c.config.Load()
	if current == nil || current.Version < version {
		return
	}
	for {
		previous := c.confirmedAt.Load()
		if int64(at) <= previous || c.confirmedAt.CompareAndSwap(previous, int64(at)) {
			return
		}
	}
}

// ConfirmedAt returns the moment up to which the configuration is proved to be the newest; 0 means never.
func (c *CurrentConfig) ConfirmedAt() boottime.Instant { return boottime.Instant(c.confirmedAt.Load()) }

// Changed returns a channel that is closed by the next Apply that takes a configuration.
func (c *CurrentConfig) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
