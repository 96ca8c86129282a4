package traffic

import (
	"sync"
	"sync/atomic"

	"chestnutrudder.example/rudder/boottime"
)

// CurrentConfig holds the newest configuration that this process has received and the last time at which this was confirmed
// to be the newest published one. The version never decreases. It is safe for concurrent use.
type CurrentConfig struct {
	config      atomic.Pointer[Config]
	confirmedAt atomic.Int64 // boottime.Instant
	required    atomic.Int64 // see RequireVersion
	mu          sync.Mutex
	changed     chan struct{} // closed and replaced by Apply
}

// NewCurrentConfig returns a CurrentConfig that does not hold a configuration yet.
func NewCurrentConfig() *CurrentConfig { return &CurrentConfig{changed: make(chan struct{})} }

// Config returns the current configuration, nil before the first Apply.
func (c *CurrentConfig) Config() *Config { return c.config.Load() }

// Apply replaces the current configuration if next has a higher version, and reports whether it did.
func (c *CurrentConfig) Apply(next *Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !next.Supersedes(c.config.Load()) {
		return false
	}
	c.config.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// ConfirmNewest records that version was the newest published one at the given time. The call is ignored if this process
// holds another version: a later one shows that what is confirmed is outdated, or comes from a store that has lost the later
// one.
func (c *CurrentConfig) ConfirmNewest(version int64, at boottime.Instant) {
	current := c.config.Load()
	if current == nil || current.Version != version {
		return
	}
	for {
		previous := c.confirmedAt.Load()
		if int64(at) <= previous || c.confirmedAt.CompareAndSwap(previous, int64(at)) {
			return
		}
	}
}

// ConfirmedAt returns the last time at which the current configuration was confirmed to be the newest; 0 means never.
func (c *CurrentConfig) ConfirmedAt() boottime.Instant { return boottime.Instant(c.confirmedAt.Load()) }

// RequireVersion sets the version that has been in force elsewhere and cannot be had at present; 0 if there is none.
func (c *CurrentConfig) RequireVersion(version int64) { c.required.Store(version) }

// IsOutdated reports whether the current configuration is older than the version set by RequireVersion.
func (c *CurrentConfig) IsOutdated() bool {
	current := c.config.Load()
	return current != nil && current.Version < c.required.Load()
}

// Changed returns a channel that is closed when Apply next replaces the configuration.
func (c *CurrentConfig) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
