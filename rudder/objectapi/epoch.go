package objectapi

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

// EpochTracker keeps the latest epoch that the responses of an object API have named. It is safe for concurrent use.
type EpochTracker struct {
	latest atomic.Int64
}

// Observe records the epoch of a response. It returns an error that wraps ErrUnavailable if an earlier response named a later
// epoch: the response then was sent before the object API was restored, and what it says may have been lost.
func (t *EpochTracker) Observe(epoch int64) error {
	_, err := t.advance(epoch)
	return err
}

// advance is Observe, and reports whether the epoch is later than all earlier ones.
func (t *EpochTracker) advance(epoch int64) (isNew bool, err error) {
	for {
		latest := t.latest.Load()
		if epoch < latest {
			return false, errors.Wrapf(ErrUnavailable, "response of epoch %d arrived in epoch %d", epoch, latest)
		}
		if epoch == latest {
			return false, nil
		}
		if t.latest.CompareAndSwap(latest, epoch) {
			return true, nil
		}
	}
}

// IsOutdated reports whether v is of an earlier epoch than the latest one. A write that expects such a version must not be
// sent, since its number may have been given out again.
func (t *EpochTracker) IsOutdated(v Version) bool {
	return v != AbsentVersion && v != AnyVersion && v.Epoch < t.latest.Load()
}
