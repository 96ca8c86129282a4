package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"
)

// contender acquires and renews one lease for one process. It is not safe for concurrent use.
type contender struct {
	store  objectapi.Store
	clock  Clock
	timing Timing
	holder string
	name   string

	lease *Lease // nil while this process does not hold the lease
	// The record as this process last read or wrote it, and when it was first observed in this state.
	version     objectapi.Version
	record      record
	observedAt  time.Time
	hasObserved bool
	epoch       int64 // of the object API in that read or write
	// mayLackRecord is true if the record of a present holder may have been lost with a restored object API: this process has
	// seen that it was restored, or cannot tell.
	mayLackRecord bool
	// firstStartUntil is when a missing record begins to show nothing, since one may have been written and lost since the first
	// start of the system; zero at other starts. See Manager.IsFirstStart.
	firstStartUntil time.Time
	// pendingRecord is the last record that this process tried to write, and pendingSentAt is when it was first sent. A
	// repeated write keeps the first time, because the first one may have taken effect long before the second was
	// rejected.
	pendingRecord record
	pendingSentAt time.Time
}

// tryAcquireOrRenew acquires or renews the lease once. Afterwards c.lease is set if this process holds the lease. An
// error means that the record could not be read or that the effect of a write is unknown; the next call finds out.
func (c *contender) tryAcquireOrRenew(ctx context.Context) error {
	if c.lease != nil && c.lease.Check() != nil {
		c.lease = nil
	}
	if c.lease != nil {
		return c.renew(ctx)
	}
	return c.acquire(ctx)
}

// acquire takes the lease if it is free: never held, released, still recorded for this same process, or unchanged for
// long enough. In a record of an earlier epoch of the object API, only the last of these shows that it is free.
func (c *contender) acquire(ctx context.Context) error {
	if err := c.observe(ctx); err != nil {
		return err
	}
	isCurrent := c.record.Epoch == c.epoch
	isFree := isCurrent && (c.record == (record{}) || c.record.Released || c.record.Holder == c.holder) ||
		c.clock.Now().Sub(c.observedAt) >= c.takeoverDelay()
	if !isFree {
		return nil
	}
	next := record{
		Holder: c.holder, FencingToken: c.record.nextFencingToken(c.version, c.epoch), Epoch: c.epoch,
		DurationMilliseconds: c.timing.Duration.Milliseconds(), MaxCommandMilliseconds: c.timing.MaxCommandDuration.Milliseconds(),
	}
	sentAt, err := c.write(ctx, next)
	if err != nil {
		return ignoreConflict(err)
	}
	if c.epoch != next.Epoch { // the token may have been given out and lost with the restored object API
		return nil
	}
	c.lease = &Lease{
		Name: c.name, FencingToken: next.FencingToken, clock: c.clock,
		deadline: sentAt.Add(c.timing.Duration - c.timing.Margin),
	}
	return nil
}

// observe reads the record and notes since when it has been unchanged, counted from the end of the first read that
// returned it. A deleted record counts as changed but keeps its fencing token and duration, so that a manual deletion
// does not let a successor start early.
func (c *contender) observe(ctx context.Context) error {
	o, err := c.store.Get(ctx, Prefix+c.name)
	version, r := o.Version, c.record
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		version = objectapi.AbsentVersion
	case err != nil:
		return err
	}
	if c.hasObserved && version == c.version && o.Version.Epoch == c.epoch {
		return nil
	}
	if version != objectapi.AbsentVersion {
		if r, err = decodeRecord(o); err != nil {
			return err
		}
	}
	c.noteRecord(version, r, o.Version.Epoch)
	return nil
}

// noteRecord keeps the record as it was just read or written in an epoch of the object API.
func (c *contender) noteRecord(version objectapi.Version, r record, epoch int64) {
	if c.hasObserved {
		c.mayLackRecord = c.mayLackRecord || epoch != c.epoch
	} else {
		c.mayLackRecord = version == objectapi.AbsentVersion && epoch > 0 && !c.clock.Now().Before(c.firstStartUntil)
	}
	c.version, c.record, c.observedAt, c.hasObserved, c.epoch = version, r, c.clock.Now(), true, epoch
}

// takeoverDelay returns how long the record must be unchanged before this process may take the lease.
func (c *contender) takeoverDelay() time.Duration {
	if c.mayLackRecord {
		return max(c.record.takeoverDelay(), c.timing.Duration+c.timing.MaxCommandDuration)
	}
	return c.record.takeoverDelay()
}

// renew extends the lease, or finds that it is lost. The deadline counts from the time when the write that took effect
// was sent, because a successor may have observed the record from that time on.
func (c *contender) renew(ctx context.Context) error {
	next := c.record
	next.Renewal++
	next.Epoch = c.epoch
	sentAt, err := c.write(ctx, next)
	if err == nil {
		c.lease.extend(sentAt.Add(c.timing.Duration - c.timing.Margin))
		return nil
	}
	if errors.Is(err, objectapi.ErrUnavailable) {
		return err
	}
	// A conflict may also come from an earlier write of this process whose response was lost.
	if readErr := c.observe(ctx); readErr != nil {
		return err
	}
	switch {
	case c.record == c.pendingRecord:
		c.lease.extend(c.pendingSentAt.Add(c.timing.Duration - c.timing.Margin))
	case c.record.Holder != c.holder || c.record.FencingToken != c.lease.FencingToken:
		c.lease.markLost()
		c.lease = nil
	}
	return ignoreConflict(err)
}

// write writes the record on condition that its version is the one observed last, and returns when it was sent.
func (c *contender) write(ctx context.Context, next record) (time.Time, error) {
	sentAt := c.clock.Now()
	if next != c.pendingRecord {
		c.pendingRecord, c.pendingSentAt = next, sentAt
	}
	o, err := c.store.Put(ctx, Prefix+c.name, next, c.version)
	if err != nil {
		return sentAt, err
	}
	c.noteRecord(o.Version, next, o.Version.Epoch)
	return sentAt, nil
}

// release marks the lease as free, so that the successor need not wait. It must be called after the last command has
// ended.
func (c *contender) release(ctx context.Context) error {
	if c.lease == nil {
		return nil
	}
	c.lease.markLost()
	c.lease = nil
	next := c.record
	next.Released = true
	_, err := c.write(ctx, next)
	return ignoreConflict(err)
}

// ignoreConflict returns nil for a conflict, which is no failure: another process has written the record.
func ignoreConflict(err error) error {
	if errors.Is(err, objectapi.ErrConflict) {
		return nil
	}
	return err
}
