package claim

import (
	"context"
	"log/slog"
	"maps"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// ownerTimeout is longer than a commit in which one response is lost, and shorter than the time that callers wait.
	ownerTimeout      = 3 * time.Second
	maxOwners         = 2
	maxSettleAttempts = 10
	settleRetryDelay  = 500 * time.Millisecond
	// heldRetention is how long a granted claim is remembered, which is longer than a restored copy of the object API is old.
	heldRetention = 2 * time.Minute
	pruneInterval = 10 * time.Second
	// maxHeldBodyBytes is the size of the largest answer that is remembered with its claim.
	maxHeldBodyBytes = 1 << 10
)

// Client sends claims and outcomes to the owner of the key's bucket: the live node that is first by rendezvous hash or, if
// that one fails, the second.
type Client struct {
	Members          *membership.Table
	LocalCoordinator *Coordinator // serves the buckets that this node owns
	Dial             func(address string) peerpbconnect.PeerServiceClient
	Log              *slog.Logger

	mu       sync.Mutex
	held     map[string]heldClaim // by claimant
	prunedAt time.Time
}

// heldClaim is a claim that this node was granted.
type heldClaim struct {
	settlement *peerpb.SettleRequest // the outcome, unknown until the call is done
	grantedAt  time.Time
}

// Claim requests the right to send a call. CLAIM_STATE_UNAVAILABLE means that the claimant must not send the call; the claim
// may have been written all the same, so the claimant releases it with Settle.
func (c *Client) Claim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	response := unavailable("no live node")
	for _, owner := range c.owners(request.Organisation, request.Key) {
		ownerResponse, err := c.claimAt(ctx, owner, request)
		if err == nil {
			if ownerResponse.State == peerpb.ClaimState_CLAIM_STATE_GRANTED {
				c.hold(request)
			}
			return ownerResponse
		}
		response = unavailable(err.Error())
	}
	return response
}

func (c *Client) claimAt(ctx context.Context, owner membership.Node, request *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if owner.Name == c.Members.Self().Name {
		return c.LocalCoordinator.Claim(ctx, request), nil
	}
	response, err := c.Dial(owner.PeerAddress).Claim(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Settle records the outcome of a call and reports whether it is durable. It retries for several seconds, so a caller's
// request need not wait for it.
func (c *Client) Settle(ctx context.Context, request *peerpb.SettleRequest) bool {
	c.updateHeld(request)
	for range maxSettleAttempts {
		for _, owner := range c.owners(request.Organisation, request.Key) {
			if c.settleAt(ctx, owner, request) {
				return true
			}
		}
		if !sleep.For(ctx, settleRetryDelay) {
			return false
		}
	}
	return false
}

func (c *Client) settleAt(ctx context.Context, owner membership.Node, request *peerpb.SettleRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if owner.Name == c.Members.Self().Name {
		return c.LocalCoordinator.Settle(ctx, request).Recorded
	}
	response, err := c.Dial(owner.PeerAddress).Settle(ctx, connect.NewRequest(request))
	return err == nil && response.Msg.Recorded
}

// hold remembers a claim that this node was granted, and forgets those that were granted longer ago than heldRetention.
func (c *Client) hold(request *peerpb.ClaimRequest) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = map[string]heldClaim{}
	}
	if now.Sub(c.prunedAt) > pruneInterval {
		maps.DeleteFunc(c.held, func(_ string, h heldClaim) bool { return now.Sub(h.grantedAt) > heldRetention })
		c.prunedAt = now
	}
	settlement := &peerpb.SettleRequest{Organisation: request.Organisation, Key: request.Key, Claimant: request.Claimant}
	c.held[request.Claimant] = heldClaim{settlement, now}
}

// updateHeld notes the outcome of a call. A claim whose call was not run is forgotten before the key is released.
func (c *Client) updateHeld(request *peerpb.SettleRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, isHeld := c.held[request.Claimant]
	switch {
	case !isHeld:
	case request.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN:
		delete(c.held, request.Claimant)
	case request.Outcome == peerpb.Outcome_OUTCOME_DONE && len(request.Body) <= maxHeldBodyBytes:
		c.held[request.Claimant] = heldClaim{request, h.grantedAt}
	}
}

// RecordHeldClaims records the claims that this node was granted again, with the answers that it has, after the object API may have lost them and the owner
// of their bucket may have died.
func (c *Client) RecordHeldClaims(ctx context.Context) {
	c.mu.Lock()
	held := maps.Clone(c.held)
	c.mu.Unlock()
	var settlements errgroup.Group
	settlements.SetLimit(maxConcurrentRewrite)
	for _, h := range held {
		settlements.Go(func() error {
			for !c.Settle(ctx, h.settlement) && ctx.Err() == nil && time.Since(h.grantedAt) < heldRetention {
				c.Log.Warn("Failed to record a claim that the object API may have lost; retrying.", "claimant", h.settlement.Claimant)
			}
			return nil
		})
	}
	_ = settlements.Wait()
}

// owners returns the nodes to ask for a key, in order.
func (c *Client) owners(organisation, key string) []membership.Node {
	ranked := membership.Rank(keyPrefix+strconv.Itoa(Bucket(organisation, key)), c.Members.Live())
	return ranked[:min(len(ranked), maxOwners)]
}
