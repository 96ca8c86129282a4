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
	// Contends says whether this node should try to get a lease that it does not hold; nil means always. It bounds the
	// reads of the object API, the safety of the lease does not depend on it.
	Contends func(name string) bool
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
		if m.Contends == nil || m.Contends(name) {
			if err := c.step(ctx); err != nil {
				m.Log.Warn("Lease could not be read or written.", "lease", name, "error", err)
			}
		}
		if c.held != nil {
			m.run(ctx, c, fn)
		}
		sleep.For(ctx, m.pollInterval())
	}
}

// HoldEach holds the lease of each name as Hold does, with the name passed to fn, and looks for new names each interval
// until ctx ends. It returns when all have ended.
func (m *Manager) HoldEach(ctx context.Context, interval time.Duration, prefix string, names func() []string, fn func(ctx context.Context, name string, lease *Lease)) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	known := map[string]bool{}
	for ctx.Err() == nil {
		for _, name := range names() {
			if !known[name] {
				known[name] = true
				tasks.Go(func() {
					m.Hold(ctx, prefix+name, func(ctx context.Context, lease *Lease) { fn(ctx, name, lease) })
				})
			}
		}
		sleep.For(ctx, interval)
	}
}

// run runs fn and renews the lease beside it.
func (m *Manager) run(ctx context.Context, c *contender, fn func(ctx context.Context, lease *Lease)) {
	held := c.held
	m.Log.Info("Lease is held.", "lease", held.Name, "fence", held.Fence)
	fnCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		fn(fnCtx, held)
	}()
	m.renewUntil(fnCtx, c, ended)
	cancel()
	<-ended
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	if err := c.release(releaseCtx); err != nil {
		m.Log.Warn("Lease could not be released.", "lease", held.Name, "error", err)
	}
	m.Log.Info("Lease is given up.", "lease", held.Name, "fence", held.Fence)
}

// renewUntil renews the lease three times in each duration until it is lost, ctx ends or ended is closed. A renewal may
// not outlast the lease, since fn must hear of the end in time.
func (m *Manager) renewUntil(ctx context.Context, c *contender, ended <-chan struct{}) {
	held := c.held
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(min(m.Timing.Duration/3, max(held.remaining(), 0))):
		}
		stepCtx, cancel := context.WithTimeout(ctx, max(held.remaining(), 0))
		err := c.renewHeld(stepCtx)
		cancel()
		if c.held == nil {
			m.Log.Warn("Lease is lost.", "lease", held.Name, "fence", held.Fence)
			return
		}
		if err != nil && ctx.Err() == nil {
			m.Log.Warn("Lease could not be renewed.", "lease", held.Name, "error", err)
			sleep.For(ctx, min(time.Second, m.Timing.Duration/10))
		}
	}
}

// renewHeld renews a lease that still lasts; it does not acquire it anew.
func (c *contender) renewHeld(ctx context.Context) error {
	if err := c.held.Check(); err != nil {
		c.held = nil
		return errors.Cause(err)
	}
	return c.renew(ctx)
}
