package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
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

// faultyStore is an in-memory object API with faults. The next write can fail before it takes effect ("refuse"), take effect
// but lose its response ("lose"), or be delayed ("late"). While it is "down", all writes and lists fail.
type faultyStore struct {
	mu            sync.Mutex
	objects       map[string]objectapi.Object // versions are stored without the epoch
	versions      map[string]int64
	epoch         int64
	fault         string
	delayedWrites []func()
	writeCount    int
	failingLists  int // number of lists that fail next
}

func newFaultyStore() *faultyStore {
	return &faultyStore{objects: map[string]objectapi.Object{}, versions: map[string]int64{}}
}

func (s *faultyStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.objects[key]; found {
		return s.stamp(o), nil
	}
	return objectapi.Object{}, objectapi.ErrNotFound
}

func (s *faultyStore) List(_ context.Context, prefix string) (objectapi.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingLists > 0 || s.fault == "down" {
		s.failingLists = max(s.failingLists-1, 0)
		return objectapi.Listing{}, objectapi.ErrUnavailable
	}
	listing := objectapi.Listing{Revision: objectapi.Version{Epoch: s.epoch}}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			listing.Objects = append(listing.Objects, s.stamp(o))
		}
	}
	return listing, nil
}

func (s *faultyStore) Put(_ context.Context, key string, value any, expected objectapi.Version) (objectapi.Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, err
	}
	if len(raw) > objectapi.MaxValueBytes {
		return objectapi.Object{}, fmt.Errorf("put object: value of %d bytes exceeds the size limit", len(raw))
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
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	o, err := s.write(key, raw, expected)
	if err == nil && fault == "lose" {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	return o, err
}

func (s *faultyStore) write(key string, raw []byte, expected objectapi.Version) (objectapi.Object, error) {
	current, found := s.objects[key]
	if found {
		current = s.stamp(current)
	}
	if expected != objectapi.AnyVersion && current.Version != expected {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	s.versions[key]++
	s.writeCount++
	o := objectapi.Object{Key: key, Version: objectapi.Version{Number: s.versions[key]}, Value: raw}
	s.objects[key] = o
	return s.stamp(o), nil
}

// stamp returns the object with the epoch in its version. The caller holds mu.
func (s *faultyStore) stamp(o objectapi.Object) objectapi.Object {
	o.Version.Epoch = s.epoch
	return o
}

// copyObjects returns a copy for restore.
func (s *faultyStore) copyObjects() (objects map[string]objectapi.Object, versions map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.objects), maps.Clone(s.versions)
}

// restore replaces the contents by a copy and returns the new epoch.
func (s *faultyStore) restore(objects map[string]objectapi.Object, versions map[string]int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.versions = maps.Clone(objects), maps.Clone(versions)
	s.epoch++
	return s.epoch
}

func (s *faultyStore) Delete(_ context.Context, key string, _ objectapi.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key)
	return nil
}

func (s *faultyStore) Watch(context.Context, string, objectapi.Version) (objectapi.Changes, error) {
	return objectapi.Changes{}, objectapi.ErrUnavailable
}

func (s *faultyStore) failLists(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingLists = count
}

func (s *faultyStore) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// applyDelayedWrites applies all delayed writes whose condition still holds.
func (s *faultyStore) applyDelayedWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.delayedWrites {
		write()
	}
	s.delayedWrites = nil
}

func newTestCoordinator(store objectapi.Store) *Coordinator { return newCoordinatorAt(store, time.Now) }

func newCoordinatorAt(store objectapi.Store, now func() time.Time) *Coordinator {
	return NewCoordinator(store, now, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// call is the state of one call as the oracle knows it.
type call struct {
	claimant      string
	key           string
	isGranted     bool // the call may have been sent and have taken effect
	isReleased    bool // a release was sent to a coordinator; the call is never sent
	isOutcomeSent bool // the response was sent to a coordinator
	isSettled     bool // a coordinator has confirmed that the response is durable
}

// oracle tracks the calls, independently of the state of the coordinators.
type oracle struct {
	calls []*call
}

// mayGrant reports whether a call may be granted: no other call with its key has been granted before.
func (o *oracle) mayGrant(c *call) bool {
	for _, other := range o.calls {
		if other != c && other.key == c.key && other.isGranted {
			return false
		}
	}
	return true
}

// settledCall returns the call of a key whose response is durable, or nil.
func (o *oracle) settledCall(key string) *call {
	for _, c := range o.calls {
		if c.key == key && c.isSettled {
			return c
		}
	}
	return nil
}

// TestNoKeyIsGrantedTwice guards against a non-idempotent call that takes effect twice when writes fail, are delayed or lose
// their response, nodes restart, several nodes write to the same bucket, and the object API is restored from an older copy.
// After a restore all claims are recorded again by one of those who know them: the coordinators, if none has restarted, else
// the nodes that were granted them.
func TestNoKeyIsGrantedTwice(t *testing.T) {
	restores, grants := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		store := newFaultyStore()
		clock := time.Unix(1_000_000, 0)
		now := func() time.Time { return clock }
		coordinators := []*Coordinator{newCoordinatorAt(store, now), newCoordinatorAt(store, now), newCoordinatorAt(store, now)}
		copiedObjects, copiedVersions := store.copyObjects()
		isRestoring, hasRestarted := false, false
		o := &oracle{}
		ctx := context.Background()
		drawCoordinator := func(t *rapid.T) *Coordinator { return coordinators[rapid.IntRange(0, 2).Draw(t, "coordinator")] }
		sendClaim := func(t *rapid.T, c *call) {
			response := drawCoordinator(t).Claim(ctx, &peerpb.ClaimRequest{Organisation: "parish", Key: c.key, Fingerprint: c.key, Claimant: c.claimant})
			switch response.State {
			case peerpb.ClaimState_CLAIM_STATE_GRANTED:
				if !o.mayGrant(c) {
					t.Fatalf("key %s was granted to %s after another call had been granted it", c.key, c.claimant)
				}
				if c.isReleased {
					t.Fatalf("key %s was granted to %s after that call had released it", c.key, c.claimant)
				}
				c.isGranted = true
				grants++
			case peerpb.ClaimState_CLAIM_STATE_DONE:
				if !o.isOutcomeSent(c.key, string(response.Body)) {
					t.Fatalf("key %s: response %q is not that of any settled call with this key", c.key, response.Body)
				}
			case peerpb.ClaimState_CLAIM_STATE_CLAIMED:
				if settled := o.settledCall(c.key); settled != nil {
					t.Fatalf("key %s is reported as claimed although the response of %s is durable", c.key, settled.claimant)
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
				// A claimant that has sent a release never sends the call, whether or not the release is confirmed.
				c.isReleased = true
				drawCoordinator(t).Settle(ctx, request)
			},
			"restart": func(t *rapid.T) {
				coordinators[rapid.IntRange(0, 2).Draw(t, "restarted")] = newCoordinatorAt(store, now)
				hasRestarted = true
			},
			"copy": func(*rapid.T) { copiedObjects, copiedVersions = store.copyObjects() },
			"restore": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rarity") > 0 {
					t.Skip("not restored now")
				}
				restores++
				isRestoring = true
				store.restore(copiedObjects, copiedVersions)
				for _, c := range o.calls {
					c.isSettled = false
				}
			},
			"recover": func(t *rapid.T) {
				if !isRestoring {
					t.Skip("nothing is lost")
				}
				isRestoring = false
				store.setFault("")
				if hasRestarted {
					for _, c := range o.calls {
						if c.isGranted {
							drawCoordinator(t).Settle(ctx, &peerpb.SettleRequest{Organisation: "parish", Key: c.key, Claimant: c.claimant})
						}
					}
				}
				for _, c := range coordinators {
					c.HandleEpoch(ctx, store.epoch)
				}
				clock = clock.Add(restoreGrace)
			},
			"wait": func(t *rapid.T) {
				if isRestoring {
					t.Skip("claims are being written again")
				}
				clock = clock.Add(restoreGrace)
			},
			"fault": func(t *rapid.T) {
				store.setFault(rapid.SampledFrom([]string{"", "refuse", "lose", "late", "down"}).Draw(t, "fault"))
			},
			"late write": func(*rapid.T) { store.applyDelayedWrites() },
		})
	})
	if restores == 0 || grants == 0 {
		t.Error("the object API was never restored or no claim was granted, so that the test has checked nothing")
	}
	t.Logf("%d claims granted, %d restores", grants, restores)
}

// isOutcomeSent reports whether the response of a claimant's call was sent to a coordinator. It need not be confirmed.
func (o *oracle) isOutcomeSent(key, claimant string) bool {
	for _, c := range o.calls {
		if c.key == key && c.claimant == claimant && c.isOutcomeSent {
			return true
		}
	}
	return false
}

// drawCall draws one of the calls that meet a condition, and skips the action if there is none.
func drawCall(t *rapid.T, o *oracle, keep func(*call) bool) *call {
	var calls []*call
	for _, c := range o.calls {
		if keep(c) {
			calls = append(calls, c)
		}
	}
	if len(calls) == 0 {
		t.Skip("no call meets the condition")
	}
	return rapid.SampledFrom(calls).Draw(t, "call")
}

// TestBatchIsCommittedInOneWrite guards against a separate write to the object API for each claim.
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

// TestClaimsSurviveSegmentSealing guards against claims that are lost when their segment is sealed, and against segments
// that are kept after their retention.
func TestClaimsSurviveSegmentSealing(t *testing.T) {
	store := newFaultyStore()
	clock := time.Unix(1_000_000, 0)
	now := func() time.Time { return clock }
	b := &bucket{store: store, now: now, log: slog.New(slog.NewTextHandler(io.Discard, nil)), restores: &restoreTracker{now: now}}
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
	other := &bucket{store: store, now: b.now, log: b.log, restores: b.restores}
	for i := range claims {
		if state := commit(other, fmt.Sprint(i)); state != peerpb.ClaimState_CLAIM_STATE_CLAIMED {
			t.Fatalf("claim %d is %s on another node, expected CLAIMED", i, state)
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
		t.Error("a segment older than the retention was not deleted")
	}
}
