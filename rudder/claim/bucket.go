package claim

import (
	"context"
	"encoding/json"
	"log/slog"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	commitTimeout     = 5 * time.Second
	maxCommitAttempts = 4
	// maxCacheAge is the age at which a bucket's cached state is read again. A node with a cache older than Retention could
	// recreate a segment whose number was used and deleted meanwhile.
	maxCacheAge = 10 * time.Minute
)

// bucket caches the state of one bucket and commits operations to it, all pending ones together in one conditional write.
type bucket struct {
	number   int
	store    objectapi.Store
	now      func() time.Time
	log      *slog.Logger
	restores *restoreTracker

	hasStates atomic.Bool // the bucket has been read on this node

	mu           sync.Mutex
	pending      []*operation
	isCommitting bool

	// The fields below are used only by the goroutine that runs commitPending. They cache the log.
	isLoaded       bool
	loadedAt       time.Time
	epoch          int64             // of the object API when the log was read
	lostRecords    map[string]record // by key; states that the object API has lost and that are not written again yet
	states         map[string]record // by key
	lastSegment    segment           // the segment to append to
	lastNumber     int64             // number of lastSegment
	lastVersion    objectapi.Version // object version of lastSegment, AbsentVersion if it does not exist yet
	sealedSegments []sealedSegment
}

// sealedSegment holds what deleteExpiredSegments needs to know about a sealed segment.
type sealedSegment struct {
	number            int64
	version           objectapi.Version
	newestUnixSeconds int64 // time of the newest record
}

// submit queues an operation and waits until it has been committed or has failed. If ctx ends first, the response is
// CLAIM_STATE_UNAVAILABLE, but the operation may still be committed.
func (b *bucket) submit(ctx context.Context, op *operation) *peerpb.ClaimResponse {
	op.response = make(chan *peerpb.ClaimResponse, 1)
	b.mu.Lock()
	b.pending = append(b.pending, op)
	needsCommitter := !b.isCommitting
	b.isCommitting = true
	b.mu.Unlock()
	if needsCommitter {
		go b.commitPending()
	}
	select {
	case response := <-op.response:
		return response
	case <-ctx.Done():
		return unavailable("no answer in time")
	}
}

// commitPending commits batches until no operation is pending.
func (b *bucket) commitPending() {
	for {
		b.mu.Lock()
		batch := b.pending[:min(len(b.pending), maxBatchOperations)]
		b.pending = b.pending[len(batch):]
		if len(batch) == 0 {
			b.isCommitting = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		responses, err := b.commit(batch)
		for i, op := range batch {
			if err != nil {
				op.response <- unavailable(err.Error())
				continue
			}
			op.response <- responses[i]
		}
	}
}

// commit evaluates a batch against the bucket's state and makes the resulting records durable. After an error the batch is
// not known to be durable, but its records may have been written all the same.
func (b *bucket) commit(batch []*operation) ([]*peerpb.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	isFresh := false // whether the cached state was read in this commit
	for range maxCommitAttempts {
		if !b.isLoaded || b.now().Sub(b.loadedAt) > maxCacheAge || b.restores.latestEpoch() > b.epoch {
			err := b.load(ctx)
			if errors.Is(err, objectapi.ErrConflict) {
				continue
			}
			if err != nil {
				return nil, err
			}
			isFresh = true
		}
		records, responses := b.evaluate(batch)
		if len(records) == 0 {
			if isFresh || !needsFreshState(responses) {
				return responses, nil
			}
			// Another node may have changed the key since the cached state was read. Only a successful conditional write
			// proves that the cache is current.
			b.isLoaded = false
			continue
		}
		err := b.append(ctx, records)
		if err == nil {
			return responses, nil
		}
		if !errors.Is(err, objectapi.ErrUnavailable) {
			b.isLoaded = false
		}
		if errors.Is(err, errRestored) {
			return nil, err
		}
		if !errors.Is(err, objectapi.ErrConflict) {
			return nil, err
		}
	}
	return nil, errors.Errorf("claims bucket %d: other writers were always first", b.number)
}

// needsFreshState reports whether any of the responses is valid only if the cached state is current. The recorded response
// of a call that is done never changes.
func needsFreshState(responses []*peerpb.ClaimResponse) bool {
	for _, r := range responses {
		if r.State != peerpb.ClaimState_CLAIM_STATE_DONE {
			return true
		}
	}
	return false
}

// evaluate applies the operations of a batch in order, each to the state after those before it. It returns the records to
// append and the response to each operation.
func (b *bucket) evaluate(batch []*operation) ([]record, []*peerpb.ClaimResponse) {
	var records []record
	updates := map[string]record{}
	responses := make([]*peerpb.ClaimResponse, len(batch))
	for i, op := range batch {
		state, hasState := updates[op.key]
		if !hasState {
			state, hasState = b.states[op.key]
		}
		next, response := apply(state, hasState, op, b.now().Unix(), b.restores.mayGrant())
		responses[i] = response
		if next != nil {
			updates[op.key] = *next
			records = append(records, *next)
		}
	}
	return records, responses
}

// append writes records to the last segment and seals it if it has reached segmentSealBytes.
func (b *bucket) append(ctx context.Context, records []record) error {
	next := segment{Records: append(b.lastSegment.Records[:len(b.lastSegment.Records):len(b.lastSegment.Records)], records...)}
	next.Sealed = estimatedSize(next) >= segmentSealBytes
	written, err := b.store.Put(ctx, segmentKey(b.number, b.lastNumber), next, b.lastVersion)
	if err != nil {
		return err
	}
	if written.Version.Epoch != b.epoch {
		// Only a first write to a segment gets here. It does not prove that the cache is current.
		b.restores.observe(written.Version.Epoch)
		return errRestored
	}
	for _, r := range records {
		b.states[r.Key] = r
	}
	b.lastSegment, b.lastVersion = next, written.Version
	if next.Sealed {
		b.sealedSegments = append(b.sealedSegments, sealedSegment{b.lastNumber, b.lastVersion, newestRecordTime(next)})
		b.lastSegment, b.lastNumber, b.lastVersion = segment{}, b.lastNumber+1, objectapi.AbsentVersion
		b.deleteExpiredSegments(ctx)
	}
	return nil
}

// estimatedSize returns an estimate of a segment's encoded size in bytes; a body takes four thirds of its length.
func estimatedSize(s segment) int {
	const bytesPerRecord = 220
	size := 0
	for _, r := range s.Records {
		size += bytesPerRecord + len(r.Body)*4/3
	}
	return size
}

// newestRecordTime returns the time of the newest record in Unix seconds, or 0 if there is none.
func newestRecordTime(s segment) int64 {
	var at int64
	for _, r := range s.Records {
		at = max(at, r.UnixSeconds)
	}
	return at
}

// load reads all segments of the bucket and replaces the cached state. If the object API was restored from an older copy since
// the last time, it writes again what the cached state shows to be lost.
func (b *bucket) load(ctx context.Context) error {
	listing, err := b.store.List(ctx, bucketPrefix(b.number))
	if err != nil {
		b.restores.extend()
		return err
	}
	b.restores.observe(listing.Revision.Epoch)
	b.isLoaded = false
	switch {
	case listing.Revision.Epoch < b.epoch:
		return errors.Wrapf(objectapi.ErrUnavailable, "claims bucket %d is known of epoch %d, read of %d", b.number, b.epoch, listing.Revision.Epoch)
	case listing.Revision.Epoch > b.epoch:
		b.beginEpoch(listing.Revision.Epoch)
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Key < listing.Objects[j].Key })
	b.states = map[string]record{}
	b.sealedSegments = nil
	b.lastSegment, b.lastNumber, b.lastVersion = segment{}, 0, objectapi.AbsentVersion
	for i, o := range listing.Objects {
		if err := b.loadSegment(ctx, o, i == 0); err != nil {
			return err
		}
	}
	b.isLoaded = true
	b.loadedAt = b.now()
	b.hasStates.Store(true)
	return b.writeLostRecords(ctx)
}

// loadSegment adds a segment to the cached state.
func (b *bucket) loadSegment(ctx context.Context, o objectapi.Object, isFirst bool) error {
	number, err := strconv.ParseInt(strings.TrimPrefix(o.Key, bucketPrefix(b.number)), 10, 64)
	if err != nil {
		return errors.Wrapf(err, "segment key %q", o.Key)
	}
	var s segment
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return errors.Wrapf(err, "decode segment %q", o.Key)
	}
	for !isFirst && b.lastNumber < number {
		if err := b.sealLastSegment(ctx); err != nil {
			return err
		}
	}
	for _, r := range s.Records {
		b.states[r.Key] = r
		if b.lostRecords[r.Key].isSameAs(r) {
			delete(b.lostRecords, r.Key)
		}
	}
	if s.Sealed {
		b.sealedSegments = append(b.sealedSegments, sealedSegment{number, o.Version, newestRecordTime(s)})
		b.lastSegment, b.lastNumber, b.lastVersion = segment{}, number+1, objectapi.AbsentVersion
		return nil
	}
	b.lastSegment, b.lastNumber, b.lastVersion = s, number, o.Version
	return nil
}

// sealLastSegment seals the last segment, or creates it as a sealed one, because a later one exists: the latter was created by a
// node that did not know that a restored object API had lost the seal. No other node may append to the earlier one any more.
func (b *bucket) sealLastSegment(ctx context.Context) error {
	s := b.lastSegment
	s.Sealed = true
	written, err := b.store.Put(ctx, segmentKey(b.number, b.lastNumber), s, b.lastVersion)
	if err != nil {
		return err
	}
	if written.Version.Epoch != b.epoch {
		b.restores.observe(written.Version.Epoch)
		return errRestored
	}
	b.sealedSegments = append(b.sealedSegments, sealedSegment{b.lastNumber, written.Version, newestRecordTime(s)})
	b.lastSegment, b.lastNumber, b.lastVersion = segment{}, b.lastNumber+1, objectapi.AbsentVersion
	return nil
}

// deleteExpiredSegments deletes the sealed segments whose records are all older than Retention. The newest sealed segment is
// kept, so that the number of the next segment is always known.
func (b *bucket) deleteExpiredSegments(ctx context.Context) {
	cutoff := b.now().Add(-Retention).Unix()
	for len(b.sealedSegments) > 1 && b.sealedSegments[0].newestUnixSeconds < cutoff {
		s := b.sealedSegments[0]
		err := b.store.Delete(ctx, segmentKey(b.number, s.number), s.version)
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			b.log.Warn("Failed to delete an expired claims segment.", "bucket", b.number, "segment", s.number, "error", err)
			return
		}
		b.sealedSegments = b.sealedSegments[1:]
		for key, r := range b.states {
			if r.UnixSeconds < cutoff {
				delete(b.states, key)
			}
		}
	}
}
