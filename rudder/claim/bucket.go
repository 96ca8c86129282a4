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
	commitTimeout = 5 * time.Second
	commitTries   = 4
	// maxIndexAge bounds how old a bucket's copy may be before it is read again. A copy older than Retention could
	// create a segment anew whose number was used and deleted meanwhile.
	maxIndexAge = 10 * time.Minute
)

// bucket commits the operations of one bucket, all that wait at a time in one conditional write.
type bucket struct {
	number int
	store  objectapi.Store
	now    func() time.Time
	log    *slog.Logger

	mu         sync.Mutex
	waiting    []*operation
	committing bool

	// The fields below belong to the goroutine that commits.
	loaded   bool
	loadedAt time.Time
	states   map[string]record // by key
	last     segment           // the segment to append to
	lastKey  int64             // its number
	version  int64             // its version, AbsentVersion if it is still to be created
	sealed   []sealedSegment
}

// sealedSegment is kept for the deletion of old segments.
type sealedSegment struct {
	number  int64
	version int64
	newest  int64 // unix seconds
}

// submit waits until an operation is committed or failed. If ctx ends before, the operation may still be committed.
func (b *bucket) submit(ctx context.Context, op *operation) *peerpb.ClaimResponse {
	op.done = make(chan *peerpb.ClaimResponse, 1)
	b.mu.Lock()
	b.waiting = append(b.waiting, op)
	start := !b.committing
	b.committing = true
	b.mu.Unlock()
	if start {
		go b.commitWaiting()
	}
	select {
	case response := <-op.done:
		return response
	case <-ctx.Done():
		return unavailable("no answer in time")
	}
}

// commitWaiting commits batches until nothing waits.
func (b *bucket) commitWaiting() {
	for {
		b.mu.Lock()
		batch := b.waiting[:min(len(b.waiting), maxBatch)]
		b.waiting = b.waiting[len(batch):]
		if len(batch) == 0 {
			b.committing = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		responses, err := b.commit(batch)
		for i, op := range batch {
			if err != nil {
				op.done <- unavailable(err.Error())
				continue
			}
			op.done <- responses[i]
		}
	}
}

// commit evaluates a batch against the bucket's state and makes its records durable. An error means that the batch is
// not durable as far as is known; a claim of it may still have been written.
func (b *bucket) commit(batch []*operation) ([]*peerpb.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	fresh := false // the copy was read or written in this commit
	for range commitTries {
		if !b.loaded || b.now().Sub(b.loadedAt) > maxIndexAge {
			if err := b.load(ctx); err != nil {
				return nil, err
			}
			fresh = true
		}
		records, responses := b.evaluate(batch)
		if len(records) == 0 {
			if fresh || !needsCurrent(responses) {
				return responses, nil
			}
			// Another node may have changed the key since this copy was read. Only a write proves a copy current.
			b.loaded = false
			continue
		}
		err := b.append(ctx, records)
		if err == nil {
			return responses, nil
		}
		if !errors.Is(err, objectapi.ErrUnavailable) {
			b.loaded = false
		}
		if !errors.Is(err, objectapi.ErrConflict) {
			return nil, err
		}
	}
	return nil, errors.Errorf("claims bucket %d: other writers were always first", b.number)
}

// needsCurrent reports whether a response holds only if the copy is current. A recorded answer never changes.
func needsCurrent(responses []*peerpb.ClaimResponse) bool {
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
	changed := map[string]record{}
	responses := make([]*peerpb.ClaimResponse, len(batch))
	for i, op := range batch {
		state, known := changed[op.key]
		if !known {
			state, known = b.states[op.key]
		}
		next, response := apply(state, known, op, b.now().Unix())
		responses[i] = response
		if next != nil {
			changed[op.key] = *next
			records = append(records, *next)
		}
	}
	return records, responses
}

// append writes records to the last segment, and seals it if it is full.
func (b *bucket) append(ctx context.Context, records []record) error {
	next := segment{Records: append(b.last.Records[:len(b.last.Records):len(b.last.Records)], records...)}
	next.Sealed = sizeOf(next) >= segmentBytes
	written, err := b.store.Put(ctx, segmentKey(b.number, b.lastKey), next, b.version)
	if err != nil {
		return err
	}
	for _, r := range records {
		b.states[r.Key] = r
	}
	b.last, b.version = next, written.Version
	if next.Sealed {
		b.sealed = append(b.sealed, sealedSegment{b.lastKey, b.version, newest(next)})
		b.last, b.lastKey, b.version = segment{}, b.lastKey+1, objectapi.AbsentVersion
		b.deleteOld(ctx)
	}
	return nil
}

// sizeOf estimates the encoded size; a body takes four thirds of its length.
func sizeOf(s segment) int {
	const perRecord = 220
	size := 0
	for _, r := range s.Records {
		size += perRecord + len(r.Body)*4/3
	}
	return size
}

func newest(s segment) int64 {
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
	b.sealed = nil
	b.last, b.lastKey, b.version = segment{}, 0, objectapi.AbsentVersion
	for _, o := range listing.Objects {
		if err := b.loadSegment(o); err != nil {
			return err
		}
	}
	b.loaded = true
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
		b.sealed = append(b.sealed, sealedSegment{number, o.Version, newest(s)})
		b.last, b.lastKey, b.version = segment{}, number+1, objectapi.AbsentVersion
		return nil
	}
	b.last, b.lastKey, b.version = s, number, o.Version
	return nil
}

// deleteOld deletes sealed segments past their retention. The newest sealed segment stays, so that the number of the
// next segment is always known.
func (b *bucket) deleteOld(ctx context.Context) {
	oldest := b.now().Add(-Retention).Unix()
	for len(b.sealed) > 1 && b.sealed[0].newest < oldest {
		s := b.sealed[0]
		err := b.store.Delete(ctx, segmentKey(b.number, s.number), s.version)
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			b.log.Warn("Old claims could not be deleted.", "bucket", b.number, "segment", s.number, "error", err)
			return
		}
		b.sealed = b.sealed[1:]
		for key, r := range b.states {
			if r.UnixSeconds < oldest {
				delete(b.states, key)
			}
		}
	}
}
