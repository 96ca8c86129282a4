package claim

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// TestLostClaimsAreWrittenAgain guards against a second run of a non-idempotent call whose claim the object API lost when it was
// restored from an older copy: while a coordinator that knows the claim runs, and while the node that was granted it runs.
func TestLostClaimsAreWrittenAgain(t *testing.T) {
	ctx := context.Background()
	claimOf := func(claimant string) *peerpb.ClaimRequest {
		return &peerpb.ClaimRequest{Organisation: "parish", Key: "k", Fingerprint: "f", Claimant: claimant}
	}
	for _, knows := range []string{"coordinator", "claimant"} {
		store := newFaultyStore()
		emptyObjects, emptyVersions := store.copyObjects()
		clock := time.Unix(1_000_000, 0)
		now := func() time.Time { return clock }
		owner, successor := newCoordinatorAt(store, now), newCoordinatorAt(store, now)
		claimant := &Client{Members: membership.NewTable(membership.Node{Name: "n"}), LocalCoordinator: owner}
		if state := claimant.Claim(ctx, claimOf("first")).State; state != peerpb.ClaimState_CLAIM_STATE_GRANTED {
			t.Fatalf("first claim: %s", state)
		}
		epoch := store.restore(emptyObjects, emptyVersions)
		if response := successor.Claim(ctx, claimOf("second")); response.State != peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE {
			t.Errorf("%s knows the lost claim and had no time to write it: the second one is %s", knows, response.State)
		}
		writes := store.writeCount
		for range 2 {
			if knows == "coordinator" {
				owner.HandleEpoch(ctx, epoch)
			} else {
				claimant.LocalCoordinator = successor
				claimant.RecordHeldClaims(ctx)
			}
		}
		if store.writeCount != writes+1 {
			t.Errorf("%s knows the lost claim: %d writes, expected 1", knows, store.writeCount-writes)
		}
		clock = clock.Add(restoreGrace)
		if response := successor.Claim(ctx, claimOf("second")); response.State != peerpb.ClaimState_CLAIM_STATE_CLAIMED {
			t.Errorf("%s knows the lost claim: the second one is %s, expected CLAIMED", knows, response.State)
		}
		settlement := &peerpb.SettleRequest{
			Organisation: "parish", Key: "k", Claimant: "first", Outcome: peerpb.Outcome_OUTCOME_DONE, Status: 200, Body: []byte("answer"),
		}
		if !claimant.Settle(ctx, settlement) {
			t.Errorf("%s knows the lost claim: its outcome was not recorded", knows)
		}
		if response := successor.Claim(ctx, claimOf("second")); string(response.Body) != "answer" {
			t.Errorf("%s knows the lost claim: the second one is %s with body %q, expected the answer", knows, response.State, response.Body)
		}
	}
}

// TestLostAnswerIsWrittenAgain guards against an unknown outcome of a repeated call although the node that has its answer runs.
func TestLostAnswerIsWrittenAgain(t *testing.T) {
	ctx, store, clock := context.Background(), newFaultyStore(), time.Unix(1_000_000, 0)
	emptyObjects, emptyVersions := store.copyObjects()
	now := func() time.Time { return clock }
	claimant := &Client{Members: membership.NewTable(membership.Node{Name: "n"}), LocalCoordinator: newCoordinatorAt(store, now)}
	claimant.Claim(ctx, &peerpb.ClaimRequest{Organisation: "parish", Key: "k", Fingerprint: "f", Claimant: "first"})
	answered := &peerpb.SettleRequest{
		Organisation: "parish", Key: "k", Claimant: "first", Outcome: peerpb.Outcome_OUTCOME_DONE, Status: 200, Body: []byte("answer"),
	}
	if !claimant.Settle(ctx, answered) {
		t.Fatal("the answer was not recorded")
	}
	store.restore(emptyObjects, emptyVersions)
	claimant.LocalCoordinator = newCoordinatorAt(store, now)
	claimant.RecordHeldClaims(ctx)
	clock = clock.Add(restoreGrace)
	repeated := &peerpb.ClaimRequest{Organisation: "parish", Key: "k", Fingerprint: "f", Claimant: "second"}
	if response := claimant.Claim(ctx, repeated); string(response.Body) != "answer" {
		t.Errorf("repeated call: %s with body %q, expected the answer", response.State, response.Body)
	}
}

// TestLostSealForksNoLog guards against two nodes that append to different segments of a bucket, and thereby grant a key twice:
// one of them sealed a segment, which the restored object API has lost, and creates the next one.
func TestLostSealForksNoLog(t *testing.T) {
	for _, isSegmentLost := range []bool{false, true} {
		store, clock := newFaultyStore(), time.Unix(1_000_000, 0)
		now := func() time.Time { return clock }
		owner, other := newCoordinatorAt(store, now).buckets[0], newCoordinatorAt(store, now).buckets[0]
		claimAt := func(b *bucket, key, claimant string) (peerpb.ClaimState, error) {
			responses, err := b.commit([]*operation{{key: key, kind: kindClaimed, claimant: claimant}})
			if err != nil {
				return peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, err
			}
			return responses[0].State, nil
		}
		isCopied := false
		copiedObjects, copiedVersions := store.copyObjects()
		for i := 0; owner.lastNumber < 2; i++ {
			if _, err := claimAt(owner, fmt.Sprint(i), fmt.Sprint(i)); err != nil {
				t.Fatal(err)
			}
			hasSegment := owner.lastVersion != objectapi.AbsentVersion
			if !isCopied && owner.lastNumber == 1 && (isSegmentLost || hasSegment) {
				isCopied = true
				copiedObjects, copiedVersions = store.copyObjects()
			}
		}
		store.restore(copiedObjects, copiedVersions)
		_, _ = claimAt(other, "k", "before")
		_, err := claimAt(owner, "x", "x")
		if !errors.Is(err, errRestored) {
			t.Fatalf("segment is lost: %t, first write after the restore: %v, expected %v", isSegmentLost, err, errRestored)
		}
		clock = clock.Add(restoreGrace)
		if state, err := claimAt(owner, "k", "first"); state != peerpb.ClaimState_CLAIM_STATE_GRANTED {
			t.Fatalf("segment is lost: %t, first claim: %s, %v", isSegmentLost, state, err)
		}
		if state, err := claimAt(other, "k", "second"); state != peerpb.ClaimState_CLAIM_STATE_CLAIMED {
			t.Errorf("segment is lost: %t, second claim: %s, %v, expected CLAIMED", isSegmentLost, state, err)
		}
	}
}

// TestOutageAfterRestoreDelaysGrants guards against a second run of a call whose claim could not be written again in time, because
// the object API went away once more after nodes had learned of the restore.
func TestOutageAfterRestoreDelaysGrants(t *testing.T) {
	ctx, store, clock := context.Background(), newFaultyStore(), time.Unix(1_000_000, 0)
	coordinator := newCoordinatorAt(store, func() time.Time { return clock })
	coordinator.HandleEpoch(ctx, store.restore(store.copyObjects()))
	claimAfter := func(d time.Duration, fault, claimant string) peerpb.ClaimState {
		clock = clock.Add(d)
		store.setFault(fault)
		return coordinator.Claim(ctx, &peerpb.ClaimRequest{Organisation: "parish", Key: "k", Claimant: claimant}).State
	}
	if state := claimAfter(restoreGrace-time.Second, "down", "a"); state != peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE {
		t.Errorf("claim during the outage: %s", state)
	}
	if state := claimAfter(restoreGrace-time.Second, "", "b"); state != peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE {
		t.Errorf("claim soon after the outage: %s", state)
	}
	if state := claimAfter(time.Second, "", "c"); state != peerpb.ClaimState_CLAIM_STATE_GRANTED {
		t.Errorf("claim when all nodes had the time to write: %s", state)
	}
}

// TestHeldClaimIsRecordedAfterOutage guards against a claim that is given up because the object API is away for longer than one
// settlement is tried.
func TestHeldClaimIsRecordedAfterOutage(t *testing.T) {
	ctx, store := context.Background(), newFaultyStore()
	claimant := &Client{
		Members: membership.NewTable(membership.Node{Name: "n"}), LocalCoordinator: newTestCoordinator(store), Log: slog.New(slog.DiscardHandler),
	}
	request := &peerpb.ClaimRequest{Organisation: "parish", Key: "k", Claimant: "first"}
	claimant.Claim(ctx, request)
	store.restore(map[string]objectapi.Object{}, map[string]int64{})
	claimant.LocalCoordinator = newTestCoordinator(store)
	store.failLists(maxSettleAttempts + 1)
	claimant.RecordHeldClaims(ctx)
	if listing, err := store.List(ctx, bucketPrefix(Bucket("parish", "k"))); err != nil || len(listing.Objects) != 1 {
		t.Errorf("%d segments after the outage, %v; expected the claim", len(listing.Objects), err)
	}
}
