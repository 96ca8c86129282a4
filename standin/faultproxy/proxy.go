// Package faultproxy is a TCP proxy that can cut, delay and silence connections. Integration tests and the soak run put
// it between two processes.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const copyBufferBytes = 32 << 10

// Proxy forwards connections to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu                 sync.Mutex
	forwardDelay       time.Duration // for each piece of data, in both directions
	refusesConnections bool          // close new connections at once
	connections        map[*connection]bool
	isClosed           bool
}

// connection is one forwarded connection.
type connection struct {
	clientConn, targetConn net.Conn
	mu                     sync.Mutex
	silenced               bool
}

// New starts a proxy that listens on address and forwards to target, both IP:port.
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	p := &Proxy{target: target, listener: listener, connections: map[*connection]bool{}}
	go p.acceptLoop()
	return p, nil
}

// Address returns the IP:port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) acceptLoop() {
	for {
		clientConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(clientConn)
	}
}

func (p *Proxy) forward(clientConn net.Conn) {
	p.mu.Lock()
	refusesConnections, target := p.refusesConnections, p.target
	p.mu.Unlock()
	if refusesConnections {
		_ = clientConn.Close()
		return
	}
	targetConn, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = clientConn.Close()
		return
	}
	c := &connection{clientConn: clientConn, targetConn: targetConn}
	p.mu.Lock()
	if p.isClosed {
		p.mu.Unlock()
		c.close()
		return
	}
	p.connections[c] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Add(2)
	go func() { defer copies.Done(); p.copy(c, targetConn, clientConn) }()
	go func() { defer copies.Done(); p.copy(c, clientConn, targetConn) }()
	copies.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// copy forwards data until one side closes. A silent connection swallows data and keeps both sides open.
func (p *Proxy) copy(c *connection, dst, src net.Conn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !c.isSilenced() {
			p.sleepForwardDelay()
			if _, err := dst.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && c.isSilenced() {
				return
			}
			break
		}
	}
	c.close()
}

func (p *Proxy) sleepForwardDelay() {
	p.mu.Lock()
	delay := p.forwardDelay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

func (c *connection) isSilenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silenced
}

func (c *connection) close() {
	_ = c.clientConn.Close()
	_ = c.targetConn.Close()
}

// SetTarget makes new connections go to another IP:port and closes the open ones.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.CloseConnections()
}

// SetDelay delays each piece of data in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwardDelay = d
}

// SetRefuseConnections makes the proxy close new connections at once, or accept them again.
func (p *Proxy) SetRefuseConnections(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusesConnections = refuse
}

// CloseConnections closes all open connections; new ones work.
func (p *Proxy) CloseConnections() int {
	return p.forEachConnection(func(c *connection) { c.close() })
}

// SilenceConnections makes all open connections carry nothing for good while both ends see them as open; new ones work.
func (p *Proxy) SilenceConnections() int {
	return p.forEachConnection(func(c *connection) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silenced = true
	})
}

func (p *Proxy) forEachConnection(apply func(*connection)) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		apply(c)
	}
	return len(p.connections)
}

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.isClosed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.CloseConnections()
}
