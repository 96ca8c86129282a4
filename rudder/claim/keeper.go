package claim

import (
	"context"
	"log/slog"
	"time"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// Keeper commits claims to the object API for all nodes. It answers package peer.
type Keeper struct {
	buckets [BucketCount]*bucket
}

var _ peer.Claims = (*Keeper)(nil)

// NewKeeper returns a keeper. now is the wall clock, for the age of records.
func NewKeeper(store objectapi.Store, now func() time.Time, log *slog.Logger) *Keeper {
	k := &Keeper{}
	for i := range k.buckets {
		k.buckets[i] = &bucket{number: i, store: store, now: now, log: log}
	}
	return k
}

// Claim grants the call to the first claimant of a key. A claimant that asks again is granted again, so that a lost
// answer is settled by asking once more.
func (k *Keeper) Claim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	op := &operation{
		key:         hashKey(request.Organisation, request.Key),
		kind:        kindClaimed,
		fingerprint: request.Fingerprint,
		claimant:    request.Claimant,
	}
	return k.buckets[Bucket(request.Organisation, request.Key)].submit(ctx, op)
}

// Settle records how a claimed call ended: done with its answer, or not run, which lets another call claim the key. An
// unknown outcome is not recorded: the claim stays. A claimant that settles with not run must never send the call, even
// if it does not learn that the release was recorded: the release may take effect late.
func (k *Keeper) Settle(ctx context.Context, request *peerpb.SettleRequest) *peerpb.SettleResponse {
	op := &operation{
		key:         hashKey(request.Organisation, request.Key),
		claimant:    request.Claimant,
		status:      request.Status,
		contentType: request.ContentType,
		body:        request.Body,
	}
	switch request.Outcome {
	case peerpb.Outcome_OUTCOME_DONE:
		op.kind = kindDone
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		op.kind = kindReleased
	default:
		return &peerpb.SettleResponse{}
	}
	response := k.buckets[Bucket(request.Organisation, request.Key)].submit(ctx, op)
	return &peerpb.SettleResponse{Recorded: response.State != peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE}
}

// operation is one claim or settlement on its way into the log.
type operation struct {
	key         string
	kind        kind
	fingerprint string
	claimant    string
	status      int32
	contentType string
	body        []byte
	done        chan *peerpb.ClaimResponse
}

// apply decides what an operation does to the state of its key. It returns the record to append, nil if none, and the
// answer that holds once that record is durable.
func apply(state record, known bool, op *operation, unixSeconds int64) (*record, *peerpb.ClaimResponse) {
	if op.kind == kindClaimed {
		return applyClaim(state, known, op, unixSeconds)
	}
	answer := &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_GRANTED}
	if !known && op.kind == kindReleased {
		// The claim may still be on its way to the object API. The record keeps it from being granted later.
		return &record{Key: op.key, Kind: kindReleased, Claimant: op.claimant, UnixSeconds: unixSeconds}, answer
	}
	if !known || state.Claimant != op.claimant || state.Kind != kindClaimed {
		return nil, answer
	}
	next := state
	next.Kind = op.kind
	next.UnixSeconds = unixSeconds
	if op.kind == kindDone {
		next.Status = op.status
		next.ContentType = op.contentType
		next.Body = op.body
		if len(op.body) > MaxBodyBytes {
			next.Body = nil
			next.BodyDropped = true
		}
	}
	return &next, answer
}

func applyClaim(state record, known bool, op *operation, unixSeconds int64) (*record, *peerpb.ClaimResponse) {
	granted := &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_GRANTED, Claimant: op.claimant}
	switch {
	case !known || state.Kind == kindReleased && state.Claimant != op.claimant:
		return &record{
			Key:         op.key,
			Kind:        kindClaimed,
			Fingerprint: op.fingerprint,
			Claimant:    op.claimant,
			UnixSeconds: unixSeconds,
		}, granted
	case state.Kind == kindReleased:
		// The claimant gave its claim up, so a late duplicate of its claim must not be granted.
		return nil, unavailable("the claim was released")
	case state.Fingerprint != op.fingerprint:
		return nil, &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_MISMATCH}
	case state.Kind == kindDone:
		return nil, doneResponse(state)
	case state.Claimant == op.claimant:
		return nil, granted
	default:
		return nil, &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_CLAIMED, Claimant: state.Claimant}
	}
}

func doneResponse(state record) *peerpb.ClaimResponse {
	response := &peerpb.ClaimResponse{
		State:       peerpb.ClaimState_CLAIM_STATE_DONE,
		Status:      state.Status,
		Body:        state.Body,
		ContentType: state.ContentType,
		Claimant:    state.Claimant,
	}
	if state.BodyDropped {
		response.Reason = "the answer was too long to be recorded"
	}
	return response
}

func unavailable(reason string) *peerpb.ClaimResponse {
	return &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, Reason: reason}
}
