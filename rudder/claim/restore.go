package claim

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/sleep"
)

// The object API may be restored from an older copy and lose claims. Whoever knows a lost claim writes it again: the
// coordinators those in the cached states of their buckets, the nodes that hold claims those that they were granted. Until
// they had the time to do so, no claim is granted. A claim is lost for good if no node that knows it still runs.

const (
	// restoreGrace is how long after a node has learned of a restore it grants no claims: longer than it takes until all
	// nodes have learned of it and have written the claims that they know.
	restoreGrace         = 4 * time.Second
	rewriteRetryDelay    = 2 * time.Second
	maxRewriteAttempts   = 60
	maxConcurrentRewrite = 16
)

// errRestored means that a write took effect in a later epoch of the object API than that of the state it was based on.
var errRestored = errors.Wrap(objectapi.ErrOutcomeUnknown, "the object API was restored")

// restoreTracker knows when this node learned of the last restore of the object API. It is safe for concurrent use.
type restoreTracker struct {
	now func() time.Time

	mu     sync.Mutex
	epoch  int64
	seenAt time.Time
}

// observe notes an epoch of the object API.
func (t *restoreTracker) observe(epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch > t.epoch {
		t.epoch, t.seenAt = epoch, t.now()
	}
}

// extend begins the time without grants anew, unless it is over: the object API did not answer, so that others could not write
// what they know either.
func (t *restoreTracker) extend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.now(); t.epoch > 0 && now.Sub(t.seenAt) < restoreGrace {
		t.seenAt = now
	}
}

func (t *restoreTracker) latestEpoch() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// mayGrant reports whether claims may be granted: the object API was never restored, or long enough ago.
func (t *restoreTracker) mayGrant() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch == 0 || t.now().Sub(t.seenAt) >= restoreGrace
}

// isSameAs reports whether two records are the same one.
func (r record) isSameAs(other record) bool {
	return r.Key == other.Key && r.Kind == other.Kind && r.Claimant == other.Claimant && r.UnixSeconds == other.UnixSeconds
}

// supersedes reports whether a lost record has to be written again over the present state of its key. A claimant's claim comes
// before what it settled. Of two claimants, the one that may have run its call keeps the key, in doubt the one whose record
// was lost: the other one may still release the key.
func (r record) supersedes(state record) bool {
	if r.Claimant == state.Claimant {
		return r.Kind != kindClaimed && state.Kind == kindClaimed
	}
	return r.Kind != kindReleased && state.Kind != kindDone
}

// beginEpoch notes that the log is that of a later epoch. What was known before may be lost.
func (b *bucket) beginEpoch(epoch int64) {
	if b.states == nil {
		b.states = map[string]record{}
	}
	for key, r := range b.lostRecords {
		if state, found := b.states[key]; !found || r.supersedes(state) {
			b.states[key] = r
		}
	}
	b.lostRecords, b.epoch = b.states, epoch
}

// writeLostRecords writes the records that the object API has lost again, unless the keys have a later state.
func (b *bucket) writeLostRecords(ctx context.Context) error {
	cutoff := b.now().Add(-Retention).Unix()
	var lost []record
	for _, key := range slices.Sorted(maps.Keys(b.lostRecords)) {
		r := b.lostRecords[key]
		if state, found := b.states[key]; r.UnixSeconds >= cutoff && (!found || r.supersedes(state)) {
			lost = append(lost, r)
		}
	}
	if len(lost) > 0 {
		b.log.Warn("The object API has lost claims, they are written again.", "bucket", b.number, "records", len(lost), "epoch", b.epoch)
	}
	for chunk := range slices.Chunk(lost, maxBatchOperations) {
		if err := b.append(ctx, chunk); err != nil {
			b.isLoaded = false
			return err
		}
	}
	b.lostRecords = nil
	return nil
}

// HandleEpoch writes again what an object API that was restored before this epoch has lost, as far as this node knows it. It
// returns when that is done or has failed for two minutes; later operations on a bucket try it again.
func (c *Coordinator) HandleEpoch(ctx context.Context, epoch int64) {
	c.restores.observe(epoch)
	for range maxRewriteAttempts {
		isComplete := true
		for _, b := range c.buckets {
			if b.hasStates.Load() && b.submit(ctx, &operation{kind: kindNone}).State == peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE {
				isComplete = false
			}
		}
		if isComplete || !sleep.For(ctx, rewriteRetryDelay) {
			return
		}
	}
}
