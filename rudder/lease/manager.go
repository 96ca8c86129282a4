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
	// pollInterval is how often a node checks a lease that it does not hold, unless Manager.PollInterval is set.
	pollInterval = 2 * time.Second
	// releaseTimeout bounds the release of a lease. If the release fails, the successor waits until the lease expires.
	releaseTimeout = 2 * time.Second
)

// Manager acquires, renews and releases leases for this process.
type Manager struct {
	Store  objectapi.Store
	Node   string
	Timing Timing
	Log    *slog.Logger
	// ShouldContend reports whether this node should try to acquire a lease that it does not hold; nil means always. It
	// limits the reads of the object API; the safety of the lease does not depend on it.
	ShouldContend func(name string) bool
	// IsFirstStart tells that no process of the system has run before, so that a lease without a record is not held if Hold was
	// called a moment ago. Otherwise the record may have been lost with an object API that was restored from an older copy.
	IsFirstStart bool
	// PollInterval is how often a node checks a lease that it does not hold; 0 means 2 s.
	PollInterval time.Duration
	Clock        Clock // nil means SystemClock
}

func (m *Manager) pollInterval() time.Duration {
	if m.PollInterval > 0 {
		return m.PollInterval
	}
	return pollInterval
}

// Hold runs fn whenever this process holds the lease, until ctx is done. The context of fn ends when the lease is lost
// or ctx is done; fn must then return. The lease is released after fn has returned. If fn returns on its own, the lease
// is released too, and this process tries to acquire it again.
func (m *Manager) Hold(ctx context.Context, name string, fn func(ctx context.Context, lease *Lease)) {
	c := &contender{
		store: m.Store, clock: m.Clock, timing: m.Timing, holder: m.Node + "/" + uuid.NewString(), name: name,
	}
	if c.clock == nil {
		c.clock = SystemClock{}
	}
	if m.IsFirstStart {
		c.firstStartUntil = c.clock.Now().Add(m.Timing.Duration + m.Timing.MaxCommandDuration)
	}
	for ctx.Err() == nil {
		if m.ShouldContend == nil || m.ShouldContend(name) {
			if err := c.tryAcquireOrRenew(ctx); err != nil {
				m.Log.Warn("Failed to read or acquire the lease; retrying.", "lease", name, "error", err)
			}
		}
		if c.lease != nil {
			m.run(ctx, c, fn)
		}
		sleep.For(ctx, m.pollInterval())
	}
}

// HoldEach calls Hold for each name. The name of the lease is prefix followed by the name, and fn gets the name without
// the prefix. HoldEach looks for new names every interval until ctx is done, and returns when all calls of Hold have
// returned.
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

// run runs fn and renews the lease concurrently. It releases the lease after fn has returned.
func (m *Manager) run(ctx context.Context, c *contender, fn func(ctx context.Context, lease *Lease)) {
	lease := c.lease
	m.Log.Info("Acquired the lease.", "lease", lease.Name, "fence", lease.FencingToken)
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
		m.Log.Warn("Failed to release the lease; the successor waits until it expires.", "lease", lease.Name, "error", err)
	}
	m.Log.Info("Stopped acting as the lease holder.", "lease", lease.Name, "fence", lease.FencingToken)
}

// renewUntil renews the lease three times in each lease duration until it is lost, ctx is done or done is closed. A
// renewal must not outlast the lease, since fn has to learn of the end in time.
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
			m.Log.Warn("Lost the lease.", "lease", lease.Name, "fence", lease.FencingToken)
			return
		}
		if err != nil && ctx.Err() == nil {
			m.Log.Warn("Failed to renew the lease; retrying.", "lease", lease.Name, "error", err)
			sleep.For(ctx, min(time.Second, m.Timing.Duration/10))
		}
	}
}

// renewIfHeld renews the lease unless it has expired; it does not acquire it again.
func (c *contender) renewIfHeld(ctx context.Context) error {
	if err := c.lease.Check(); err != nil {
		c.lease = nil
		return errors.Cause(err)
	}
	return c.renew(ctx)
}
