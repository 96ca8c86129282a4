// Package faultproxy is a TCP proxy that injects network faults: it closes, refuses, delays and silences connections.
// Integration tests and the soak run put it between two processes.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const copyBufferBytes = 32 << 10

// Proxy forwards TCP connections to one target. Its methods are safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu                 sync.Mutex
	forwardDelay       time.Duration // before each write, in both directions
	refusesConnections bool          // close new connections at once
	connections        map[*connection]bool
	isClosed           bool
}

// connection is a forwarded connection: the connection of a client and the one to the target.
type connection struct {
	clientConn, targetConn net.Conn
	mu                     sync.Mutex
	silenced               bool // discard data and keep both ends open
}

// New starts a proxy that listens on address and forwards to target, both IP:port. The caller closes the proxy.
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

// forward connects a client to the target and copies data in both directions until the connection ends. If new connections
// are refused or the target cannot be reached, it closes the client's connection.
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

// copy copies data from src to dst until either fails or src ends, and then closes both. If the connection is silenced, it
// discards the data, and leaves both open when src ends.
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

// SetTarget forwards new connections to another IP:port and closes the open ones.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.CloseConnections()
}

// SetDelay delays each write, in both directions; 0 ends the delay.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwardDelay = d
}

// SetRefuseConnections makes the proxy close new connections at once, or forward them again. Open ones are not affected.
func (p *Proxy) SetRefuseConnections(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusesConnections = refuse
}

// CloseConnections closes all open connections and returns their number. New ones are forwarded.
func (p *Proxy) CloseConnections() int {
	return p.forEachConnection(func(c *connection) { c.close() })
}

// SilenceConnections discards all further data of the open connections, which both ends still see as open, and returns their
// number. A silenced connection stays silenced. New ones are forwarded.
func (p *Proxy) SilenceConnections() int {
	return p.forEachConnection(func(c *connection) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silenced = true
	})
}

// forEachConnection calls apply for each open connection and returns their number.
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
