package detour

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/upstream"
)

const (
	dialTimeout = 300 * time.Millisecond
	// maxIdleTime is how long a connection to a peer may have been idle to be used. Peers keep idle connections for longer, so that a
	// request and the end of a connection do not cross.
	maxIdleTime = 3 * time.Second
	// avoidTime is how long a peer gets no requests after a connection to it failed.
	avoidTime = time.Second
	// localPreference and localMargin bound the load up to which a peer of this node's failure domain goes before one of another, in
	// multiples of the load of that one and in requests.
	localPreference = 2
	localMargin     = 4
	// maxPools is the number of peers from which on those that were not used lately are forgotten.
	maxPools = 256
)

// keepAlive finds out within about two seconds that a peer from which a response is expected is cut off.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Peer is a node to which requests can be passed on.
type Peer struct {
	Node          string
	Address       string // IP:port at which it takes them
	FailureDomain string
	Load          int // requests in progress there, as it last reported
}

// Client passes requests on to peers. Set the exported fields before use.
type Client struct {
	Node          string // this node
	FailureDomain string // of this node
	// Peers returns the peers that are ready, can be reached and have a path to the servers of a service.
	Peers func(service string) []Peer

	mu    sync.Mutex
	pools map[string]*peerPool // by address
}

// peerPool holds the connections to one peer. The client's lock guards inFlight, avoidUntil and usedAt.
type peerPool struct {
	upstream.Pool
	inFlight   int // requests that this node has passed on and that have not ended
	avoidUntil time.Time
	usedAt     time.Time
}

// Passage is the passing of one request to a peer, from Choose to End.
type Passage struct {
	Peer
	client *Client
	pool   *peerPool
}

// HasPeer reports whether Choose finds a peer.
func (c *Client) HasPeer(service string, exclude map[string]bool) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	local, remote := c.candidates(service, exclude, time.Now())
	return len(local)+len(remote) > 0
}

// Choose returns a peer for a request for a service, nil if there is none. Peers are excluded by node name. A peer of this node's failure
// domain is chosen unless those of others have far less load; among each, the one with less load of two that are drawn.
func (c *Client) Choose(service string, exclude map[string]bool) *Passage {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	localPeers, remotePeers := c.candidates(service, exclude, now)
	chosen, local, remote := (*Peer)(nil), c.pick(localPeers), c.pick(remotePeers)
	switch {
	case local == nil && remote == nil:
		return nil
	case remote == nil || local != nil && c.load(local) <= localPreference*c.load(remote)+localMargin:
		chosen = local
	default:
		chosen = remote
	}
	pool := c.pool(chosen.Address, now)
	pool.inFlight++
	return &Passage{Peer: *chosen, client: c, pool: pool}
}

// candidates returns the peers that may be chosen. The caller holds the lock.
func (c *Client) candidates(service string, exclude map[string]bool, now time.Time) (local, remote []Peer) {
	for _, peer := range c.Peers(service) {
		if pool := c.pools[peer.Address]; exclude[peer.Node] || pool != nil && now.Before(pool.avoidUntil) {
			continue
		}
		if peer.FailureDomain == c.FailureDomain {
			local = append(local, peer)
		} else {
			remote = append(remote, peer)
		}
	}
	return local, remote
}

// pick returns the one with less load of two peers that are drawn; nil if there are none. The caller holds the lock.
func (c *Client) pick(peers []Peer) *Peer {
	if len(peers) == 0 {
		return nil
	}
	first := rand.IntN(len(peers))
	a := &peers[first]
	if len(peers) == 1 {
		return a
	}
	if b := &peers[(first+1+rand.IntN(len(peers)-1))%len(peers)]; c.load(b) < c.load(a) {
		return b
	}
	return a
}

// load returns the load of a peer as far as it is known. The caller holds the lock.
func (c *Client) load(p *Peer) int {
	if pool := c.pools[p.Address]; pool != nil {
		return p.Load + pool.inFlight
	}
	return p.Load
}

// pool returns the pool of a peer. The caller holds the lock.
func (c *Client) pool(address string, now time.Time) *peerPool {
	if c.pools == nil {
		c.pools = map[string]*peerPool{}
	}
	pool, found := c.pools[address]
	if !found {
		if len(c.pools) >= maxPools {
			c.dropUnused(now)
		}
		pool = &peerPool{Pool: upstream.Pool{Address: address, DialTimeout: dialTimeout, KeepAlive: keepAlive}}
		c.pools[address] = pool
	}
	pool.usedAt = now
	return pool
}

// dropUnused forgets the peers that were not used lately. The caller holds the lock.
func (c *Client) dropUnused(now time.Time) {
	for address, pool := range c.pools {
		if pool.inFlight == 0 && now.Sub(pool.usedAt) > 2*maxIdleTime {
			delete(c.pools, address)
		}
	}
}

// CloseIdle closes the connections that are not used any more.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	pools := make([]*peerPool, 0, len(c.pools))
	for _, pool := range c.pools {
		pools = append(pools, pool)
	}
	c.mu.Unlock()
	for _, pool := range pools {
		pool.CloseIdle(maxIdleTime)
	}
}

// End ends the passage. It must be called once.
func (p *Passage) End() {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.pool.inFlight--
}

// avoid lets the peer get no requests for a while.
func (p *Passage) avoid() {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.pool.avoidUntil = time.Now().Add(avoidTime)
}

// Response is the response of a peer.
type Response struct {
	*http.Response
	Error ErrorKind // empty for the response of a server
	conn  *upstream.Conn
	stop  func() bool
	sent  <-chan error // of a request that is still sent; nil if it was sent whole
}

// Send sends a request to the peer and reads the head of the response. The end of ctx resets the connection, with which the peer gives
// the request up. An error that wraps upstream.ErrNotSent means that no byte of the request was sent; after any other one the request
// may have run. With a silenceTimeout above 0, a peer that sends no head for so long counts as failed.
func (p *Passage) Send(ctx context.Context, request *http.Request, state State, silenceTimeout time.Duration) (*Response, error) {
	id := strconv.FormatUint(rand.Uint64(), 36)
	state.Node = p.client.Node
	if err := writeHead(request.Header, id, state); err != nil {
		return nil, errors.Wrap(upstream.ErrNotSent, err.Error())
	}
	conn, err := p.pool.Get(ctx, id, maxIdleTime)
	if err != nil {
		p.noteFailure(ctx)
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	var sent chan error
	var sendErr error
	if request.ContentLength > asyncBodyBytes {
		sent = make(chan error, 1)
		go func() { sent <- conn.Send(request) }() // the peer may respond before it has read all
	} else {
		sendErr = conn.Send(request)
	}
	var head *http.Response
	if sendErr == nil {
		if silenceTimeout > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(silenceTimeout))
		}
		head, sendErr = conn.Receive(request, headerID)
	}
	if sendErr == nil {
		sendErr = checkHead(head, id)
	}
	if sendErr != nil {
		stop()
		conn.Abort()
		p.noteFailure(ctx)
		return nil, errors.Wrapf(sendErr, "pass request on to %s", p.Node)
	}
	_ = conn.SetReadDeadline(time.Time{})
	r := &Response{Response: head, Error: ErrorKind(head.Header.Get(headerError)), conn: conn, stop: stop, sent: sent}
	head.Header.Del(headerID)
	head.Header.Del(headerError)
	return r, nil
}

// asyncBodyBytes is the body size from which on the request is sent in a goroutine while the response is read.
const asyncBodyBytes = 32 << 10

// checkHead returns an error unless a head is that of a peer and its framing shows where the body ends.
func checkHead(head *http.Response, id string) error {
	switch {
	case head.Header.Get(headerID) != id:
		return errors.Errorf("response header %s: value %.40q, allowed: that of the request", headerID, head.Header.Get(headerID))
	case head.ContentLength < 0 && len(head.TransferEncoding) == 0 && head.Body != http.NoBody:
		return errors.New("response has neither a length nor chunks")
	}
	return nil
}

// noteFailure avoids the peer unless the request was given up here.
func (p *Passage) noteFailure(ctx context.Context) {
	if ctx.Err() == nil {
		p.avoid()
	}
}

// Close ends the use of the response. The connection can carry another request only if the body was read to its end.
func (r *Response) Close(isRead bool) {
	if r.isSent() && isRead && r.stop() {
		r.conn.Release(r.Response)
		return
	}
	r.stop()
	r.conn.Abort()
}

// isSent reports whether the request was sent whole. A peer may respond before it has read a long body.
func (r *Response) isSent() bool {
	if r.sent == nil {
		return true
	}
	select {
	case err := <-r.sent:
		return err == nil
	default:
		return false
	}
}
