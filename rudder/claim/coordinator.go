package claim

import (
	"context"
	"log/slog"
	"time"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// Coordinator commits claims and outcomes to the object API on behalf of all nodes. It implements peer.Claims.
type Coordinator struct {
	buckets  [BucketCount]*bucket
	restores *restoreTracker
}

var _ peer.Claims = (*Coordinator)(nil)

// NewCoordinator returns a coordinator for all buckets. now is the wall clock; it gives records their time and age.
func NewCoordinator(store objectapi.Store, now func() time.Time, log *slog.Logger) *Coordinator {
	c := &Coordinator{restores: &restoreTracker{now: now}}
	for i := range c.buckets {
		c.buckets[i] = &bucket{number: i, store: store, now: now, log: log, restores: c.restores}
	}
	return c
}

// Claim grants the call to the first claimant of a key. The same claimant is granted it again when it repeats the request,
// so a claimant that did not receive the response can retry.
func (c *Coordinator) Claim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	op := &operation{
		key:         hashKey(request.Organisation, request.Key),
		kind:        kindClaimed,
		fingerprint: request.Fingerprint,
		claimant:    request.Claimant,
	}
	return c.buckets[Bucket(request.Organisation, request.Key)].submit(ctx, op)
}

// Settle records the outcome of a claimed call: done, with its response, or not run, which lets another call claim the key.
// With an unknown outcome the claim stays; it is recorded again if the object API has lost it. A claimant that settles with not run must never send the call,
// even if it does not learn that the release was recorded, because the release may still take effect later.
func (c *Coordinator) Settle(ctx context.Context, request *peerpb.SettleRequest) *peerpb.SettleResponse {
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
		op.kind = kindUnknown
	}
	response := c.buckets[Bucket(request.Organisation, request.Key)].submit(ctx, op)
	return &peerpb.SettleResponse{Recorded: response.State != peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE}
}

// operation is one claim or settlement that is to be committed to a bucket's log. kind is the state that it asks for.
type operation struct {
	key         string
	kind        kind
	fingerprint string
	claimant    string
	status      int32
	contentType string
	body        []byte
	response    chan *peerpb.ClaimResponse
}

// apply evaluates an operation against the state of its key; hasState is false if the key has none. It returns the record to
// append, nil if none, and the response that is valid once that record is durable. mayGrant is false while claims are not granted.
func apply(state record, hasState bool, op *operation, unixSeconds int64, mayGrant bool) (*record, *peerpb.ClaimResponse) {
	switch op.kind {
	case kindNone:
		return nil, &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_GRANTED}
	case kindClaimed:
		next, response := applyClaim(state, hasState, op, unixSeconds)
		if !mayGrant && response.State == peerpb.ClaimState_CLAIM_STATE_GRANTED {
			return nil, unavailable("claims may have been lost with a restored object API")
		}
		return next, response
	}
	return applySettlement(state, hasState, op, unixSeconds), &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_GRANTED}
}

// applySettlement evaluates a settlement; see apply.
func applySettlement(state record, hasState bool, op *operation, unixSeconds int64) *record {
	next := state
	switch {
	case !hasState && op.kind == kindReleased:
		// The write of the claim may still be in progress. This record keeps the claim from being granted later.
		return &record{Key: op.key, Kind: kindReleased, Claimant: op.claimant, UnixSeconds: unixSeconds}
	case op.kind != kindReleased && (!hasState || state.Claimant != op.claimant && state.Kind != kindDone):
		// The claim was granted, so a restored object API has lost it; see record.supersedes.
		next = record{Key: op.key, Kind: kindClaimed, Claimant: op.claimant}
	case state.Claimant != op.claimant || state.Kind != kindClaimed || op.kind == kindUnknown:
		return nil
	}
	next.UnixSeconds = unixSeconds
	switch op.kind {
	case kindReleased:
		next.Kind = kindReleased
	case kindDone:
		next.Kind = kindDone
		next.Status = op.status
		next.ContentType = op.contentType
		next.Body = op.body
		if len(op.body) > MaxBodyBytes {
			next.Body = nil
			next.BodyDropped = true
		}
	}
	return &next
}

// applyClaim evaluates a claim; see apply.
func applyClaim(state record, hasState bool, op *operation, unixSeconds int64) (*record, *peerpb.ClaimResponse) {
	grantedResponse := &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_GRANTED, Claimant: op.claimant}
	switch {
	case !hasState || state.Kind == kindReleased && state.Claimant != op.claimant:
		return &record{
			Key:         op.key,
			Kind:        kindClaimed,
			Fingerprint: op.fingerprint,
			Claimant:    op.claimant,
			UnixSeconds: unixSeconds,
		}, grantedResponse
	case state.Kind == kindReleased:
		// The claimant has released its claim, so a delayed duplicate of the claim must not be granted.
		return nil, unavailable("the claim was released")
	case state.Fingerprint != op.fingerprint && state.Fingerprint != "":
		return nil, &peerpb.ClaimResponse{State: peerpb.ClaimState_CLAIM_STATE_MISMATCH}
	case state.Kind == kindDone:
		return nil, doneResponse(state)
	case state.Claimant == op.claimant:
		return nil, grantedResponse
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
