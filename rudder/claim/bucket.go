package claim

import (
	"context"
	"encoding/json"
	"log/slog"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	commitTimeout     = 5 * time.Second
	maxCommitAttempts = 4
	// maxCacheAge bounds how old a bucket's copy may be before it is read again. A copy older than Retention could
	// create a segment anew whose number was used and deleted meanwhile.
	maxCacheAge = 10 * time.Minute
)

// bucket commits the operations of one bucket, all that wait at a time in one conditional write.
type bucket struct {
	number int
	store  objectapi.Store
	now    func() time.Time
	log    *slog.Logger

	mu           sync.Mutex
	pending      []*operation
	isCommitting bool

	// The fields below belong to the goroutine that commits.
	isLoaded       bool
	loadedAt       time.Time
	states         map[string]record // by key
	lastSegment    segment           // the segment to append to
	lastNumber     int64             // its number
	lastVersion    int64             // its version, Absent if it is still to be created
	sealedSegments []sealedSegment
}

// sealedSegment is kept for the deletion of old segments.
type sealedSegment struct {
	number            int64
	version           int64
	newestUnixSeconds int64 // unix seconds
}

// submit waits until an operation is committed or failed. If ctx ends before, the operation may still be committed.
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

// commitPending commits batches until nothing waits.
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

// commit evaluates a batch against the bucket's state and makes its records durable. An error means that the batch is
// not durable as far as is known; a claim of it may still have been written.
func (b *bucket) commit(batch []*operation) ([]*peerpb.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	isFresh := false // the copy was read or written in this commit
	for range maxCommitAttempts {
		if !b.isLoaded || b.now().Sub(b.loadedAt) > maxCacheAge {
			if err := b.load(ctx); err != nil {
				return nil, err
			}
			isFresh = true
		}
		records, responses := b.evaluate(batch)
		if len(records) == 0 {
			if isFresh || !needFreshState(responses) {
				return responses, nil
			}
			// Another node may have changed the key since this copy was read. Only a write proves a copy current.
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
		if !errors.Is(err, objectapi.ErrConflict) {
			return nil, err
		}
	}
	return nil, errors.Errorf("claims bucket %d: other writers were always first", b.number)
}

// needFreshState reports whether a response holds only if the copy is current. A recorded answer never changes.
func needFreshState(responses []*peerpb.ClaimResponse) bool {
	for _, r := range responses {
		if r.State != peerpb.ClaimState_CLAIM_STATE_DONE {
			return true
		}
	}
	return false
}

// evaluate applies a batch in order, each operation seeing those before it.
func (b *bucket) evaluate(batch []*operation) ([]record, []*peerpb.ClaimResponse) {
	var records []record
	updates := map[string]record{}
	responses := make([]*peerpb.ClaimResponse, len(batch))
	for i, op := range batch {
		state, hasState := updates[op.key]
		if !hasState {
			state, hasState = b.states[op.key]
		}
		next, response := apply(state, hasState, op, b.now().Unix())
		responses[i] = response
		if next != nil {
			updates[op.key] = *next
			records = append(records, *next)
		}
	}
	return records, responses
}

// append writes records to the last segment, and seals it if it is full.
func (b *bucket) append(ctx context.Context, records []record) error {
	next := segment{Records: append(b.lastSegment.Records[:len(b.lastSegment.Records):len(b.lastSegment.Records)], records...)}
	next.Sealed = estimatedSize(next) >= segmentSealBytes
	written, err := b.store.Put(ctx, segmentKey(b.number, b.lastNumber), next, b.lastVersion)
	if err != nil {
		return err
	}
	for _, r := range records {
		b.states[r.Key] = r
	}
	b.lastSegment, b.lastVersion = next, written.Version
	if next.Sealed {
		b.sealedSegments = append(b.sealedSegments, sealedSegment{b.lastNumber, b.lastVersion, newestRecordTime(next)})
		b.lastSegment, b.lastNumber, b.lastVersion = segment{}, b.lastNumber+1, objectapi.Absent
		b.deleteExpiredSegments(ctx)
	}
	return nil
}

// estimatedSize estimates the encoded size; a body takes four thirds of its length.
func estimatedSize(s segment) int {
	const bytesPerRecord = 220
	size := 0
	for _, r := range s.Records {
		size += bytesPerRecord + len(r.Body)*4/3
	}
	return size
}

func newestRecordTime(s segment) int64 {
	var at int64
	for _, r := range s.Records {
		at = max(at, r.UnixSeconds)
	}
	return at
}

// load reads all segments of the bucket.
func (b *bucket) load(ctx context.Context) error {
	listing, err := b.store.List(ctx, bucketPrefix(b.number))
	if err != nil {
		return err
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Key < listing.Objects[j].Key })
	b.states = map[string]record{}
	b.sealedSegments = nil
	b.lastSegment, b.lastNumber, b.lastVersion = segment{}, 0, objectapi.Absent
	for _, o := range listing.Objects {
		if err := b.loadSegment(o); err != nil {
			return err
		}
	}
	b.isLoaded = true
	b.loadedAt = b.now()
	return nil
}

func (b *bucket) loadSegment(o objectapi.Object) error {
	number, err := strconv.ParseInt(strings.TrimPrefix(o.Key, bucketPrefix(b.number)), 10, 64)
	if err != nil {
		return errors.Wrapf(err, "segment key %q", o.Key)
	}
	var s segment
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return errors.Wrapf(err, "decode segment %q", o.Key)
	}
	for _, r := range s.Records {
		b.states[r.Key] = r
	}
	if s.Sealed {
		b.sealedSegments = append(b.sealedSegments, sealedSegment{number, o.Version, newestRecordTime(s)})
		b.lastSegment, b.lastNumber, b.lastVersion = segment{}, number+1, objectapi.Absent
		return nil
	}
	b.lastSegment, b.lastNumber, b.lastVersion = s, number, o.Version
	return nil
}

// deleteExpiredSegments deletes sealed segments past their retention. The newest sealed segment stays, so that the number of the
// next segment is always known.
func (b *bucket) deleteExpiredSegments(ctx context.Context) {
	cutoff := b.now().Add(-Retention).Unix()
	for len(b.sealedSegments) > 1 && b.sealedSegments[0].newestUnixSeconds < cutoff {
		s := b.sealedSegments[0]
		err := b.store.Delete(ctx, segmentKey(b.number, s.number), s.version)
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			b.log.Warn("Old claims could not be deleted.", "bucket", b.number, "segment", s.number, "error", err)
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
