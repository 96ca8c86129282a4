package claim

import (
	"context"
	"strconv"
	"time"

	"connectrpc.com/connect"

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
)

// Client sends claims and outcomes to the owner of the key's bucket: the live node that is first by rendezvous hash or, if
// that one fails, the second.
type Client struct {
	Members          *membership.Table
	LocalCoordinator *Coordinator // serves the buckets that this node owns
	Dial             func(address string) peerpbconnect.PeerServiceClient
}

// Claim requests the right to send a call. CLAIM_STATE_UNAVAILABLE means that the claimant must not send the call; the claim
// may have been written all the same, so the claimant releases it with Settle.
func (c *Client) Claim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	response := unavailable("no live node")
	for _, owner := range c.owners(request.Organisation, request.Key) {
		ownerResponse, err := c.claimAt(ctx, owner, request)
		if err == nil {
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

// owners returns the nodes to ask for a key, in order.
func (c *Client) owners(organisation, key string) []membership.Node {
	ranked := membership.Rank(keyPrefix+strconv.Itoa(Bucket(organisation, key)), c.Members.Live())
	return ranked[:min(len(ranked), maxOwners)]
}
