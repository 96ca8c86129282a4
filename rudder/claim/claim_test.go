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
	mu       sync.Mutex
	objects  map[string]objectapi.Object
	versions map[string]int64
	fault    string
	late     []func()
	writes   int
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
		s.late = append(s.late, func() { _, _ = s.write(key, raw, expected) })
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	o, err := s.write(key, raw, expected)
	if err == nil && fault == "lose" {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	return o, err
}

func (s *faultyStore) write(key string, raw []byte, expected int64) (objectapi.Object, error) {
	if expected != objectapi.AnyVersion && s.objects[key].Version != expected {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	s.versions[key]++
	s.writes++
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

func (s *faultyStore) set(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// land lets all held back writes take effect, if their condition still holds.
func (s *faultyStore) land() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.late {
		write()
	}
	s.late = nil
}

func testKeeper(store objectapi.Store) *Keeper {
	return NewKeeper(store, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// call is what the oracle knows of one call of a caller.
type call struct {
	claimant string
	key      string
	granted  bool // sent, so it may have taken effect
	gaveUp   bool // release sent to a keeper; never sent to the service
	ended    bool // its answer was sent to a keeper
	settled  bool // its answer is durable for sure
}

// oracle knows the calls and nothing of the keepers.
type oracle struct {
	calls []*call
}

// mayGrant reports whether one more call of a key may be sent: none that was sent before may have the same key.
func (o *oracle) mayGrant(c *call) bool {
	for _, other := range o.calls {
		if other != c && other.key == c.key && other.granted {
			return false
		}
	}
	return true
}

func (o *oracle) doneCall(key string) *call {
	for _, c := range o.calls {
		if c.key == key && c.settled {
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
		keepers := []*Keeper{testKeeper(store), testKeeper(store), testKeeper(store)}
		o := &oracle{}
		ctx := context.Background()
		keeper := func(t *rapid.T) *Keeper { return keepers[rapid.IntRange(0, 2).Draw(t, "keeper")] }
		ask := func(t *rapid.T, c *call) {
			response := keeper(t).Claim(ctx, &peerpb.ClaimRequest{Organisation: "parish", Key: c.key, Fingerprint: c.key, Claimant: c.claimant})
			switch response.State {
			case peerpb.ClaimState_CLAIM_STATE_GRANTED:
				if !o.mayGrant(c) {
					t.Fatalf("key %s was granted to %s after another call of that key was sent", c.key, c.claimant)
				}
				if c.gaveUp {
					t.Fatalf("key %s was granted to %s after it was released", c.key, c.claimant)
				}
				c.granted = true
			case peerpb.ClaimState_CLAIM_STATE_DONE:
				if !o.ended(c.key, string(response.Body)) {
					t.Fatalf("key %s: answer %q is not that of a call of this key", c.key, response.Body)
				}
			case peerpb.ClaimState_CLAIM_STATE_CLAIMED:
				if done := o.doneCall(c.key); done != nil {
					t.Fatalf("key %s is called unknown although the answer of %s is durable", c.key, done.claimant)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"new call": func(t *rapid.T) {
				c := &call{claimant: fmt.Sprintf("call-%d", len(o.calls)), key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")}
				o.calls = append(o.calls, c)
				ask(t, c)
			},
			"ask again": func(t *rapid.T) {
				c := drawCall(t, o, func(c *call) bool { return !c.gaveUp && !c.settled })
				ask(t, c)
			},
			"settle": func(t *rapid.T) {
				c := drawCall(t, o, func(c *call) bool { return c.granted })
				request := &peerpb.SettleRequest{Organisation: "parish", Key: c.key, Claimant: c.claimant, Outcome: peerpb.Outcome_OUTCOME_DONE, Status: 200, Body: []byte(c.claimant)}
				c.ended = true
				if keeper(t).Settle(ctx, request).Recorded {
					c.settled = true
				}
			},
			"give up": func(t *rapid.T) {
				c := drawCall(t, o, func(c *call) bool { return !c.granted && !c.gaveUp })
				request := &peerpb.SettleRequest{Organisation: "parish", Key: c.key, Claimant: c.claimant, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN}
				// A claimant that releases never sends, whether or not it learns that the release is durable.
				c.gaveUp = true
				keeper(t).Settle(ctx, request)
			},
			"restart": func(t *rapid.T) { keepers[rapid.IntRange(0, 2).Draw(t, "restarted")] = testKeeper(store) },
			"fault": func(t *rapid.T) {
				store.set(rapid.SampledFrom([]string{"", "refuse", "lose", "late", "down"}).Draw(t, "fault"))
			},
			"late write": func(*rapid.T) { store.land() },
		})
	})
}

// ended reports whether a claimant's answer was sent for recording. Its acknowledgement may have been lost.
func (o *oracle) ended(key, claimant string) bool {
	for _, c := range o.calls {
		if c.key == key && c.claimant == claimant && c.ended {
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

// TestBatchIsOneWrite guards against a write of the object API for each claim.
func TestBatchIsOneWrite(t *testing.T) {
	store := newFaultyStore()
	b := testKeeper(store).buckets[0]
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
	if granted != 20 || store.writes != 1 {
		t.Errorf("%d claims granted with %d writes, expected 20 with 1", granted, store.writes)
	}
}

// TestClaimsSurviveRollover guards against claims that are forgotten when a segment is sealed, and against segments that
// outlive their retention.
func TestClaimsSurviveRollover(t *testing.T) {
	store := newFaultyStore()
	clock := time.Unix(1_000_000, 0)
	b := &bucket{store: store, now: func() time.Time { return clock }, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	commit := func(b *bucket, key string) peerpb.ClaimState {
		responses, err := b.commit([]*operation{{key: key, kind: kindClaimed, claimant: fmt.Sprint(store.writes)}})
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
	if newest(oldest) < clock.Add(-Retention).Unix() {
		t.Error("a segment older than the retention is still there")
	}
}
