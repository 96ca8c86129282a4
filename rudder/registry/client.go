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
	// callTimeout bounds the wait for one registry node, so that a paused one delays a keyed request by less than the
	// first-token target.
	callTimeout   = 300 * time.Millisecond
	checkInterval = 250 * time.Millisecond
	renewInterval = 30 * time.Second
	// maxParallel bounds the registrations that a node sends at one time after a membership change.
	maxParallel = 32
)

// Client registers and finds runs at the nodes that hold them.
type Client struct {
	Members *membership.Table
	Dial    func(address string) peerpbconnect.PeerServiceClient
	Local   *Table // places that this node holds itself
}

// Places returns the two nodes that hold a key: the best two by rendezvous hash in different failure domains, or the best two
// if there is only one failure domain.
func Places(key string, nodes []membership.Node) []membership.Node {
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

func runText(organisation, run string) string { return "run\x00" + organisation + "\x00" + run }

func keyText(organisation, key string) string { return "key\x00" + organisation + "\x00" + key }

// Claim registers the first place of a keyed run and returns nil, or returns the place of the run that already has the
// key. Registry nodes are asked in order, so that of two claims at the same time one finds the other. Without any
// reachable registry node the claim succeeds: a second run of an idempotent request is the lesser harm.
func (c *Client) Claim(ctx context.Context, place *peerpb.RunPlace) *peerpb.RunPlace {
	for _, n := range Places(keyText(place.Organisation, place.Key), c.Members.Live()) {
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

// Put registers a changed place at the nodes of the run and of the key.
func (c *Client) Put(ctx context.Context, place *peerpb.RunPlace) {
	c.each(ctx, c.holders(place, c.Members.Live()), &peerpb.RegisterRequest{Place: place})
}

// Release forgets a run that was not run, that failed or that was cancelled.
func (c *Client) Release(ctx context.Context, place *peerpb.RunPlace) {
	c.each(ctx, c.holders(place, c.reachable()), &peerpb.RegisterRequest{Place: place, Release: true})
}

// Find returns the newest known place of a run, by its identity or by the caller's key, and nil if there is none.
// Nodes that hold the key while draining nodes are counted are asked too, because a draining node holds places until
// they have been registered elsewhere.
func (c *Client) Find(ctx context.Context, organisation, key, run string) *peerpb.RunPlace {
	text := keyText(organisation, key)
	if run != "" {
		text = runText(organisation, run)
	}
	var newest *peerpb.RunPlace
	for _, n := range union(Places(text, c.Members.Live()), Places(text, c.reachable())) {
		place := c.lookup(ctx, n, &peerpb.LookupRequest{Organisation: organisation, Key: key, Run: run})
		if place != nil && (newest == nil || place.Sequence > newest.Sequence) {
			newest = place
		}
	}
	return newest
}

// Renew registers the places that holders return when the registry nodes change, and each renewInterval, until ctx
// ends.
func (c *Client) Renew(ctx context.Context, holders ...func() []*peerpb.RunPlace) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	last, renewed := "", time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		live := names(c.Members.Live())
		if live == last && time.Since(renewed) < renewInterval {
			continue
		}
		last, renewed = live, time.Now()
		c.putAll(ctx, holders)
	}
}

func (c *Client) putAll(ctx context.Context, holders []func() []*peerpb.RunPlace) {
	slots := make(chan struct{}, maxParallel)
	var all sync.WaitGroup
	for _, holder := range holders {
		for _, place := range holder() {
			slots <- struct{}{}
			all.Go(func() {
				defer func() { <-slots }()
				c.Put(ctx, place)
			})
		}
	}
	all.Wait()
}

func (c *Client) holders(place *peerpb.RunPlace, nodes []membership.Node) []membership.Node {
	holders := Places(runText(place.Organisation, place.Run), nodes)
	if place.Key != "" {
		holders = union(holders, Places(keyText(place.Organisation, place.Key), nodes))
	}
	return holders
}

// reachable returns the nodes that are not dead.
func (c *Client) reachable() []membership.Node {
	var nodes []membership.Node
	for _, n := range c.Members.All() {
		if n.State != membership.StateDead {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (c *Client) each(ctx context.Context, nodes []membership.Node, request *peerpb.RegisterRequest) {
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(func() { _, _ = c.register(ctx, n, request) })
	}
	all.Wait()
}

func (c *Client) register(ctx context.Context, n membership.Node, request *peerpb.RegisterRequest) (*peerpb.RegisterResponse, error) {
	if n.Name == c.Members.Self().Name {
		return c.Local.Register(request), nil
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
		return c.Local.Lookup(request).Place
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.Dial(n.PeerAddress).Lookup(ctx, connect.NewRequest(request))
	if err != nil {
		return nil
	}
	return reply.Msg.Place
}

func union(first, second []membership.Node) []membership.Node {
	nodes := append([]membership.Node(nil), first...)
	for _, n := range second {
		if !contains(nodes, n.Name) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func contains(nodes []membership.Node, name string) bool {
	for _, n := range nodes {
		if n.Name == name {
			return true
		}
	}
	return false
}

func names(nodes []membership.Node) string {
	text := ""
	for _, n := range nodes {
		text += n.Name + "\n"
	}
	return text
}
