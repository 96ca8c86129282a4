package registry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
)

const (
	// callTimeout bounds the wait for one registry node, so that a paused node delays a keyed request by less than the
	// first-token target.
	callTimeout             = 300 * time.Millisecond
	membershipCheckInterval = 250 * time.Millisecond
	renewInterval           = 30 * time.Second
	// maxParallelRegistrations bounds the registrations that a node sends at a time after a membership change.
	maxParallelRegistrations = 32
)

// Client registers and looks up run places at the registry nodes that store them.
type Client struct {
	Members    *membership.Table
	Dial       func(address string) peerpbconnect.PeerServiceClient
	LocalTable *Table // places that this node stores as a registry node
}

// ReplicaNodes returns the two registry nodes that store the place for a key: the first one by rendezvous hash and the
// next one in another failure domain, or the first two if there is only one failure domain. It returns fewer if there
// are fewer nodes.
func ReplicaNodes(key string, nodes []membership.Node) []membership.Node {
	ranked := membership.Rank(key, nodes)
	if len(ranked) <= 2 {
		return ranked
	}
	for _, n := range ranked[1:] {
		if n.FailureDomain != ranked[0].FailureDomain {
			return []membership.Node{ranked[0], n}
		}
	}
	return ranked[:2]
}

// runHashKey returns the rendezvous hash key of a run.
func runHashKey(organisation, run string) string { return "run\x00" + organisation + "\x00" + run }

// idempotencyHashKey returns the rendezvous hash key of a caller's idempotency key.
func idempotencyHashKey(organisation, key string) string {
	return "key\x00" + organisation + "\x00" + key
}

// Claim registers the first place of a run with an idempotency key and returns nil, or returns the place of the run that
// already has the key. The registry nodes are asked one after the other in the same order, so that of two concurrent
// claims one finds the other. If no registry node can be reached the claim succeeds: a second run of an idempotent
// request does less harm than a refused one.
func (c *Client) Claim(ctx context.Context, place *peerpb.RunPlace) *peerpb.RunPlace {
	for _, n := range ReplicaNodes(idempotencyHashKey(place.Organisation, place.Key), c.Members.Live()) {
		reply, err := c.register(ctx, n, &peerpb.RegisterRequest{Place: place, IfAbsent: true})
		if err != nil {
			continue
		}
		if existing := reply.Existing; existing != nil && existing.Run != place.Run {
			c.Release(ctx, place)
			return existing
		}
	}
	return nil
}

// Put registers a changed place at the registry nodes of the run and of its idempotency key.
func (c *Client) Put(ctx context.Context, place *peerpb.RunPlace) {
	c.registerAt(ctx, c.replicaNodesOf(place, c.Members.Live()), &peerpb.RegisterRequest{Place: place})
}

// Release removes the place of a run that was not run, that failed or that was cancelled.
func (c *Client) Release(ctx context.Context, place *peerpb.RunPlace) {
	c.registerAt(ctx, c.replicaNodesOf(place, c.reachableNodes()), &peerpb.RegisterRequest{Place: place, Release: true})
}

// Find returns the known place with the highest sequence for a run, by its ID or, if run is empty, by the caller's
// idempotency key; nil if there is none. It also asks the nodes that are chosen when draining nodes are counted, because
// a draining node stores places until they have been registered elsewhere.
func (c *Client) Find(ctx context.Context, organisation, key, run string) *peerpb.RunPlace {
	hashKey := idempotencyHashKey(organisation, key)
	if run != "" {
		hashKey = runHashKey(organisation, run)
	}
	var newest *peerpb.RunPlace
	for _, n := range unionOfNodes(ReplicaNodes(hashKey, c.Members.Live()), ReplicaNodes(hashKey, c.reachableNodes())) {
		place := c.lookup(ctx, n, &peerpb.LookupRequest{Organisation: organisation, Key: key, Run: run})
		if place != nil && (newest == nil || place.Sequence > newest.Sequence) {
			newest = place
		}
	}
	return newest
}

// Renew registers the places that the sources return, whenever the live nodes change and every renewInterval, until ctx
// ends.
func (c *Client) Renew(ctx context.Context, sources ...func() []*peerpb.RunPlace) {
	ticker := time.NewTicker(membershipCheckInterval)
	defer ticker.Stop()
	lastLive, renewedAt := "", time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		liveNames := joinNames(c.Members.Live())
		if liveNames == lastLive && time.Since(renewedAt) < renewInterval {
			continue
		}
		lastLive, renewedAt = liveNames, time.Now()
		c.registerAll(ctx, sources)
	}
}

// registerAll registers the places that the sources return and waits for the end of all registrations.
func (c *Client) registerAll(ctx context.Context, sources []func() []*peerpb.RunPlace) {
	semaphore := make(chan struct{}, maxParallelRegistrations)
	var registrations sync.WaitGroup
	for _, source := range sources {
		for _, place := range source() {
			semaphore <- struct{}{}
			registrations.Go(func() {
				defer func() { <-semaphore }()
				c.Put(ctx, place)
			})
		}
	}
	registrations.Wait()
}

// replicaNodesOf returns the registry nodes that store a place, for its run and for its idempotency key.
func (c *Client) replicaNodesOf(place *peerpb.RunPlace, nodes []membership.Node) []membership.Node {
	replicas := ReplicaNodes(runHashKey(place.Organisation, place.Run), nodes)
	if place.Key != "" {
		replicas = unionOfNodes(replicas, ReplicaNodes(idempotencyHashKey(place.Organisation, place.Key), nodes))
	}
	return replicas
}

// reachableNodes returns the live and the draining nodes.
func (c *Client) reachableNodes() []membership.Node {
	var nodes []membership.Node
	for _, n := range c.Members.All() {
		if n.State != membership.StateDead {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// registerAt sends a request to all given nodes in parallel. It ignores errors: Renew repeats registrations, and a place
// that is not registered again expires.
func (c *Client) registerAt(ctx context.Context, nodes []membership.Node, request *peerpb.RegisterRequest) {
	var registrations sync.WaitGroup
	for _, n := range nodes {
		registrations.Go(func() { _, _ = c.register(ctx, n, request) })
	}
	registrations.Wait()
}

func (c *Client) register(ctx context.Context, n membership.Node, request *peerpb.RegisterRequest) (*peerpb.RegisterResponse, error) {
	if n.Name == c.Members.Self().Name {
		return c.LocalTable.Register(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.Dial(n.PeerAddress).Register(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

func (c *Client) lookup(ctx context.Context, n membership.Node, request *peerpb.LookupRequest) *peerpb.RunPlace {
	if n.Name == c.Members.Self().Name {
		return c.LocalTable.Lookup(request).Place
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.Dial(n.PeerAddress).Lookup(ctx, connect.NewRequest(request))
	if err != nil {
		return nil
	}
	return reply.Msg.Place
}

func unionOfNodes(first, second []membership.Node) []membership.Node {
	nodes := append([]membership.Node(nil), first...)
	for _, n := range second {
		if !containsNode(nodes, n.Name) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func containsNode(nodes []membership.Node, name string) bool {
	for _, n := range nodes {
		if n.Name == name {
			return true
		}
	}
	return false
}

// joinNames returns the names of the nodes as one string, to compare two lists of nodes.
func joinNames(nodes []membership.Node) string {
	joined := ""
	for _, n := range nodes {
		joined += n.Name + "\n"
	}
	return joined
}
