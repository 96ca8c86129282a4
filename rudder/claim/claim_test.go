package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1") }

// faultyStore is an object API in memory. The next write can fail before it takes effect, lose its answer after it, or
// be held back and take effect later.
type faultyStore struct {
	mu            sync.Mutex
	objects       map[string]objectapi.Object
	versions      map[string]int64
	fault         string
	delayedWrites []func()
	writeCount    int
}

func newFaultyStore() *faultyStore {
	return &faultyStore{objects: map[string]objectapi.Object{}, versions: map[string]int64{}}
}

func (s *faultyStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.objects[key]; found {
		return o, nil
	}
	return objectapi.Object{}, objectapi.ErrNotFound
}

func (s *faultyStore) List(_ context.Context, prefix string) (objectapi.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == "down" {
		return objectapi.Listing{}, objectapi.ErrUnavailable
	}
	var listing objectapi.Listing
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			listing.Objects = append(listing.Objects, o)
		}
	}
	return listing, nil
}

func (s *faultyStore) Put(_ context.Context, key string, value any, expected int64) (objectapi.Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, err
	}
	if len(raw) > objectapi.MaxValueBytes {
		return objectapi.Object{}, fmt.Errorf("value of %d bytes", len(raw))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	if fault != "down" {
		s.fault = ""
	}
	switch fault {
	case "down", "refuse":
		return objectapi.Object{}, objectapi.ErrUnavailable
	case "late":
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.write(key, raw, expected) })
		return objectapi.Object{}, objectapi.ErrUnsettled
	}
	o, err := s.write(key, raw, expected)
	if err == nil && fault == "lose" {
		return objectapi.Object{}, objectapi.ErrUnsettled
	}
	return o, err
}

func (s *faultyStore) write(key string, raw []byte, expected int64) (objectapi.Object, error) {
	if expected != objectapi.Any && s.objects[key].Version != expected {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	s.versions[key]++
	s.writeCount++
	o := objectapi.Object{Key: key, Version: s.versions[key], Value: raw}
	s.objects[key] = o
	return o, nil
}

func (s *faultyStore) Delete(_ context.Context, key string, _ int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key)
	return nil
}

func (s *faultyStore) Watch(context.Context, string, int64) (objectapi.Changes, error) {
	return objectapi.Changes{}, objectapi.ErrUnavailable
}

func (s *faultyStore) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// applyDelayedWrites lets all held back writes take effect, if their condition still holds.
func (s *faultyStore) applyDelayedWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.delayedWrites {
		write()
	}
	s.delayedWrites = nil
}

func newTestCoordinator(store objectapi.Store) *Coordinator {
	return NewCoordinator(store, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// call is what the oracle knows of one call of a caller.
type call struct {
	claimant      string
	key           string
	isGranted     bool // sent, so it may have taken effect
	isReleased    bool // release sent to a keeper; never sent to the service
	isOutcomeSent bool // its answer was sent to a keeper
	isSettled     bool // its answer is durable for sure
}

// oracle knows the calls and nothing of the keepers.
type oracle struct {
	calls []*call
}

// mayGrant reports whether one more call of a key may be sent: none that was sent before may have the same key.
func (o *oracle) mayGrant(c *call) bool {
	for _, other := range o.calls {
		if other != c && other.key == c.key && other.isGranted {
			return false
		}
	}
	return true
}

func (o *oracle) settledCall(key string) *call {
	for _, c := range o.calls {
		if c.key == key && c.isSettled {
			return c
		}
	}
	return nil
}

// TestNoKeyIsGrantedTwice guards against a non-idempotent call that takes effect twice when writes fail, lose their
// answer or arrive late, nodes restart, and several nodes write to one bucket.
func TestNoKeyIsGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFaultyStore()
		coordinators := []*Coordinator{newTestCoordinator(store), newTestCoordinator(store), newTestCoordinator(store)}
		o := &oracle{}
		ctx := context.Background()
		drawCoordinator := func(t *rapid.T) *Coordinator { return coordinators[rapid.IntRange(0, 2).Draw(t, "keeper")] }
		sendClaim := func(t *rapid.T, c *call) {
			response := drawCoordinator(t).Claim(ctx, &peerpb.ClaimRequest{Organisation: "parish", Key: c.key, Fingerprint: c.key, Claimant: c.claimant})
			switch response.State {
			case peerpb.ClaimState_CLAIM_STATE_GRANTED:
				if !o.mayGrant(c) {
					t.Fatalf("key %s was granted to %s after another call of that key was sent", c.key, c.claimant)
				}
				if c.isReleased {
					t.Fatalf("key %s was granted to %s after it was released", c.key, c.claimant)
				}
				c.isGranted = true
			case peerpb.ClaimState_CLAIM_STATE_DONE:
				if !o.isOutcomeSent(c.key, string(response.Body)) {
					t.Fatalf("key %s: answer %q is not that of a call of this key", c.key, response.Body)
				}
			case peerpb.ClaimState_CLAIM_STATE_CLAIMED:
				if settled := o.settledCall(c.key); settled != nil {
					t.Fatalf("key %s is called unknown although the answer of %s is durable", c.key, settled.claimant)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"new call": func(t *rapid.T) {
				c := &call{claimant: fmt.Sprintf("call-%d", len(o.calls)), key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")}
				o.calls = append(o.calls, c)
				sendClaim(t, c)
			},
			"ask again": func(t *rapid.T) {
				c := drawCall(t, o, func(c *call) bool { return !c.isReleased && !c.isSettled })
				sendClaim(t, c)
			},
			"settle": func(t *rapid.T) {
				c := drawCall(t, o, func(c *call) bool { return c.isGranted })
				request := &peerpb.SettleRequest{Organisation: "parish", Key: c.key, Claimant: c.claimant, Outcome: peerpb.Outcome_OUTCOME_DONE, Status: 200, Body: []byte(c.claimant)}
				c.isOutcomeSent = true
				if drawCoordinator(t).Settle(ctx, request).Recorded {
					c.isSettled = true
				}
			},
			"give up": func(t *rapid.T) {
				c := drawCall(t, o, func(c *call) bool { return !c.isGranted && !c.isReleased })
				request := &peerpb.SettleRequest{Organisation: "parish", Key: c.key, Claimant: c.claimant, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN}
				// A claimant that releases never sends, whether or not it learns that the release is durable.
				c.isReleased = true
				drawCoordinator(t).Settle(ctx, request)
			},
			"restart": func(t *rapid.T) { coordinators[rapid.IntRange(0, 2).Draw(t, "restarted")] = newTestCoordinator(store) },
			"fault": func(t *rapid.T) {
				store.setFault(rapid.SampledFrom([]string{"", "refuse", "lose", "late", "down"}).Draw(t, "fault"))
			},
			"late write": func(*rapid.T) { store.applyDelayedWrites() },
		})
	})
}

// isOutcomeSent reports whether a claimant's answer was sent for recording. Its acknowledgement may have been lost.
func (o *oracle) isOutcomeSent(key, claimant string) bool {
	for _, c := range o.calls {
		if c.key == key && c.claimant == claimant && c.isOutcomeSent {
			return true
		}
	}
	return false
}

func drawCall(t *rapid.T, o *oracle, keep func(*call) bool) *call {
	var calls []*call
	for _, c := range o.calls {
		if keep(c) {
			calls = append(calls, c)
		}
	}
	if len(calls) == 0 {
		t.Skip("no such call")
	}
	return rapid.SampledFrom(calls).Draw(t, "call")
}

// TestBatchIsCommittedInOneWrite guards against a write of the object API for each claim.
func TestBatchIsCommittedInOneWrite(t *testing.T) {
	store := newFaultyStore()
	b := newTestCoordinator(store).buckets[0]
	var batch []*operation
	for i := range 40 {
		batch = append(batch, &operation{key: fmt.Sprint(i % 20), kind: kindClaimed, claimant: fmt.Sprint(i)})
	}
	responses, err := b.commit(batch)
	if err != nil {
		t.Fatal(err)
	}
	granted := 0
	for _, r := range responses {
		if r.State == peerpb.ClaimState_CLAIM_STATE_GRANTED {
			granted++
		}
	}
	if granted != 20 || store.writeCount != 1 {
		t.Errorf("%d claims granted with %d writes, expected 20 with 1", granted, store.writeCount)
	}
}

// TestClaimsSurviveSegmentSealing guards against claims that are forgotten when a segment is sealed, and against segments that
// outlive their retention.
func TestClaimsSurviveSegmentSealing(t *testing.T) {
	store := newFaultyStore()
	clock := time.Unix(1_000_000, 0)
	b := &bucket{store: store, now: func() time.Time { return clock }, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	commit := func(b *bucket, key string) peerpb.ClaimState {
		responses, err := b.commit([]*operation{{key: key, kind: kindClaimed, claimant: fmt.Sprint(store.writeCount)}})
		if err != nil {
			t.Fatal(err)
		}
		return responses[0].State
	}
	const claims = 1000
	for i := range claims {
		commit(b, fmt.Sprint(i))
	}
	if len(store.objects) < 2 {
		t.Fatalf("%d segments, expected more than one", len(store.objects))
	}
	other := &bucket{store: store, now: b.now, log: b.log}
	for i := range claims {
		if state := commit(other, fmt.Sprint(i)); state != peerpb.ClaimState_CLAIM_STATE_CLAIMED {
			t.Fatalf("claim %d is %s after a take-over", i, state)
		}
	}
	clock = clock.Add(Retention + time.Hour)
	for i := range claims {
		commit(other, fmt.Sprint("later", i))
	}
	var oldest segment
	for _, o := range store.objects {
		var s segment
		if err := json.Unmarshal(o.Value, &s); err != nil {
			t.Fatal(err)
		}
		if oldest.Records == nil || s.Records[0].UnixSeconds < oldest.Records[0].UnixSeconds {
			oldest = s
		}
	}
	if newestRecordTime(oldest) < clock.Add(-Retention).Unix() {
		t.Error("a segment older than the retention is still there")
	}
}
