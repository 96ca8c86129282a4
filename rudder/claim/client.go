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
	// ownerTimeout is longer than a commit with one lost answer and shorter than a caller's patience.
	ownerTimeout      = 3 * time.Second
	maxOwners         = 2
	maxSettleAttempts = 10
	settleRetryDelay  = 500 * time.Millisecond
)

// Client asks the owner of a key's bucket: the first by rendezvous hash of the live nodes, else the second.
type Client struct {
	Members *membership.Table
	Local   *Coordinator // of this node
	Dial    func(address string) peerpbconnect.PeerServiceClient
}

// Claim asks for the right to send a call. CLAIM_STATE_UNAVAILABLE means that the claimant must not send; the claim may
// have been written, so the claimant releases it with Settle.
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
		return c.Local.Claim(ctx, request), nil
	}
	response, err := c.Dial(owner.PeerAddress).Claim(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Settle records how a call ended and reports whether that is durable. It tries for several seconds; the caller of a
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
		return c.Local.Settle(ctx, request).Recorded
	}
	response, err := c.Dial(owner.PeerAddress).Settle(ctx, connect.NewRequest(request))
	return err == nil && response.Msg.Recorded
}

func (c *Client) owners(organisation, key string) []membership.Node {
	ranked := membership.Rank(keyPrefix+strconv.Itoa(Bucket(organisation, key)), c.Members.Live())
	return ranked[:min(len(ranked), maxOwners)]
}
