package lease

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// pollInterval is how often a node that does not hold a lease looks at it, unless the manager says otherwise.
	pollInterval = 2 * time.Second
	// releaseTimeout bounds the release at a stop; without it the successor waits for the lease to run out.
	releaseTimeout = 2 * time.Second
)

// Manager holds leases for this process.
type Manager struct {
	Store  objectapi.Store
	Node   string
	Timing Timing
	Log    *slog.Logger
	// ShouldContend says whether this node should try to get a lease that it does not hold; nil means always. It bounds the
	// reads of the object API, the safety of the lease does not depend on it.
	ShouldContend func(name string) bool
	// PollInterval is how often a node that does not hold a lease looks at it; 0 means 2 s.
	PollInterval time.Duration
}

func (m *Manager) pollInterval() time.Duration {
	if m.PollInterval > 0 {
		return m.PollInterval
	}
	return pollInterval
}

// Hold runs fn whenever this process holds the lease, until ctx ends. The context of fn ends when the lease is lost or
// ctx ends; fn must then return. The lease is released after fn has returned. When fn returns by itself, the lease is
// released too and contended for again.
func (m *Manager) Hold(ctx context.Context, name string, fn func(ctx context.Context, lease *Lease)) {
	c := &contender{
		store: m.Store, clock: SystemClock{}, timing: m.Timing, holder: m.Node + "/" + uuid.NewString(), name: name,
	}
	for ctx.Err() == nil {
		if m.ShouldContend == nil || m.ShouldContend(name) {
			if err := c.tryAcquireOrRenew(ctx); err != nil {
				m.Log.Warn("Lease could not be read or written.", "lease", name, "error", err)
			}
		}
		if c.lease != nil {
			m.run(ctx, c, fn)
		}
		sleep.For(ctx, m.pollInterval())
	}
}

// HoldEach holds the lease of each name as Hold does, with the name passed to fn, and looks for new names each interval
// until ctx ends. It returns when all have ended.
func (m *Manager) HoldEach(ctx context.Context, interval time.Duration, prefix string, names func() []string, fn func(ctx context.Context, name string, lease *Lease)) {
	var holders sync.WaitGroup
	defer holders.Wait()
	known := map[string]bool{}
	for ctx.Err() == nil {
		for _, name := range names() {
			if !known[name] {
				known[name] = true
				holders.Go(func() {
					m.Hold(ctx, prefix+name, func(ctx context.Context, lease *Lease) { fn(ctx, name, lease) })
				})
			}
		}
		sleep.For(ctx, interval)
	}
}

// run runs fn and renews the lease beside it.
func (m *Manager) run(ctx context.Context, c *contender, fn func(ctx context.Context, lease *Lease)) {
	lease := c.lease
	m.Log.Info("Lease is held.", "lease", lease.Name, "fence", lease.FencingToken)
	fnCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		fn(fnCtx, lease)
	}()
	m.renewUntil(fnCtx, c, done)
	cancel()
	<-done
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	if err := c.release(releaseCtx); err != nil {
		m.Log.Warn("Lease could not be released.", "lease", lease.Name, "error", err)
	}
	m.Log.Info("Lease is given up.", "lease", lease.Name, "fence", lease.FencingToken)
}

// renewUntil renews the lease three times in each duration until it is lost, ctx ends or ended is closed. A renewal may
// not outlast the lease, since fn must hear of the end in time.
func (m *Manager) renewUntil(ctx context.Context, c *contender, done <-chan struct{}) {
	lease := c.lease
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case <-time.After(min(m.Timing.Duration/3, max(lease.remaining(), 0))):
		}
		stepCtx, cancel := context.WithTimeout(ctx, max(lease.remaining(), 0))
		err := c.renewIfHeld(stepCtx)
		cancel()
		if c.lease == nil {
			m.Log.Warn("Lease is lost.", "lease", lease.Name, "fence", lease.FencingToken)
			return
		}
		if err != nil && ctx.Err() == nil {
			m.Log.Warn("Lease could not be renewed.", "lease", lease.Name, "error", err)
			sleep.For(ctx, min(time.Second, m.Timing.Duration/10))
		}
	}
}

// renewIfHeld renews a lease that still lasts; it does not acquire it anew.
func (c *contender) renewIfHeld(ctx context.Context) error {
	if err := c.lease.Check(); err != nil {
		c.lease = nil
		return errors.Cause(err)
	}
	return c.renew(ctx)
}
