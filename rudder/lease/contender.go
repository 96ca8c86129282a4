package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"
)

// contender is one process's view of one lease. It is used by one goroutine.
type contender struct {
	store  objectapi.Store
	clock  Clock
	timing Timing
	holder string
	name   string

	lease *Lease // nil while another process holds the lease
	// The record as this process saw it last, and since when it has stood unchanged.
	version     int64
	record      record
	observedAt  time.Time
	hasObserved bool
	// pendingRecord is the last record that this process tried to write, and pendingSentAt when it was sent first. A repeated write
	// keeps the first time, because the first one may have taken effect long before the second was refused.
	pendingRecord record
	pendingSentAt time.Time
}

// tryAcquireOrRenew acquires or renews the lease once. It leaves held set while this process holds the lease. An error means that
// the object API did not answer or the effect of a write is unknown; the next call finds out.
func (c *contender) tryAcquireOrRenew(ctx context.Context) error {
	if c.lease != nil && c.lease.Check() != nil {
		c.lease = nil
	}
	if c.lease != nil {
		return c.renew(ctx)
	}
	return c.acquire(ctx)
}

// acquire takes the lease if it is free: never held, released, left by this process itself, or unchanged for long
// enough.
func (c *contender) acquire(ctx context.Context) error {
	if err := c.observe(ctx); err != nil {
		return err
	}
	isFree := c.record == (record{}) || c.record.Released || c.record.Holder == c.holder ||
		c.clock.Now().Sub(c.observedAt) >= c.record.takeoverDelay()
	if !isFree {
		return nil
	}
	next := record{
		Holder: c.holder, FencingToken: c.record.FencingToken + 1,
		DurationMilliseconds: c.timing.Duration.Milliseconds(), MaxCommandMilliseconds: c.timing.MaxCommandDuration.Milliseconds(),
	}
	sentAt, err := c.write(ctx, next)
	if err != nil {
		return ignoreConflict(err)
	}
	c.lease = &Lease{Name: c.name, FencingToken: next.FencingToken, clock: c.clock, deadline: sentAt.Add(c.timing.Duration - c.timing.Margin)}
	return nil
}

// observe reads the record and notes since when it has stood unchanged, counted from the end of the first read that
// returned it. A record that was deleted counts as changed but keeps its fencing token and duration, so that a deletion
// by hand does not let a successor start early.
func (c *contender) observe(ctx context.Context) error {
	o, err := c.store.Get(ctx, Prefix+c.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		o, err = objectapi.Object{Version: objectapi.Absent}, nil
	}
	if err != nil {
		return err
	}
	if c.hasObserved && o.Version == c.version {
		return nil
	}
	r := c.record
	if o.Version != objectapi.Absent {
		if r, err = decodeRecord(o); err != nil {
			return err
		}
	}
	c.version, c.record, c.observedAt, c.hasObserved = o.Version, r, c.clock.Now(), true
	return nil
}

// renew extends the lease, or finds that it is lost. The deadline counts from the sending of the write that took
// effect, because a successor may have seen the record at that moment.
func (c *contender) renew(ctx context.Context) error {
	next := c.record
	next.Renewal++
	sentAt, err := c.write(ctx, next)
	if err == nil {
		c.lease.extend(sentAt.Add(c.timing.Duration - c.timing.Margin))
		return nil
	}
	if errors.Is(err, objectapi.ErrUnavailable) {
		return err
	}
	// A conflict too may come from an own earlier write whose answer was lost.
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

// write puts a record on the version seen last and returns when it was sent.
func (c *contender) write(ctx context.Context, next record) (time.Time, error) {
	sentAt := c.clock.Now()
	if next != c.pendingRecord {
		c.pendingRecord, c.pendingSentAt = next, sentAt
	}
	o, err := c.store.Put(ctx, Prefix+c.name, next, c.version)
	if err != nil {
		return sentAt, err
	}
	c.version, c.record, c.observedAt, c.hasObserved = o.Version, next, c.clock.Now(), true
	return sentAt, nil
}

// release marks the lease as free, so that the successor need not wait. It is called after the last command has ended.
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

func ignoreConflict(err error) error {
	if errors.Is(err, objectapi.ErrConflict) {
		return nil
	}
	return err
}
