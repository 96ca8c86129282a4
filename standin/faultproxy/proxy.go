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

const bufferBytes = 32 << 10

// Proxy forwards connections to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	delay   time.Duration // for each piece of data, in both directions
	refuse  bool          // close new connections at once
	links   map[*link]bool
	stopped bool
}

// link is one forwarded connection.
type link struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// New starts a proxy that listens on address and forwards to target, both IP:port.
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	p := &Proxy{target: target, listener: listener, links: map[*link]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the IP:port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(near)
	}
}

func (p *Proxy) connect(near net.Conn) {
	p.mu.Lock()
	refuse, target := p.refuse, p.target
	p.mu.Unlock()
	if refuse {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far}
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		l.close()
		return
	}
	p.links[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(l, far, near) }()
	go func() { defer both.Done(); p.copy(l, near, far) }()
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy forwards data until one side closes. A silent link swallows data and keeps both sides open.
func (p *Proxy) copy(l *link, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.isSilent() {
			p.wait()
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && l.isSilent() {
				return
			}
			break
		}
	}
	l.close()
}

func (p *Proxy) wait() {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

// SetTarget makes new connections go to another IP:port and closes the open ones.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.Cut()
}

// SetDelay delays each piece of data in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetRefuse makes the proxy close new connections at once, or accept them again.
func (p *Proxy) SetRefuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// Cut closes all open connections; new ones work.
func (p *Proxy) Cut() int {
	return p.each(func(l *link) { l.close() })
}

// Silence makes all open connections carry nothing for good while both ends see them as open; new ones work.
func (p *Proxy) Silence() int {
	return p.each(func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.silent = true
	})
}

func (p *Proxy) each(do func(*link)) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		do(l)
	}
	return len(p.links)
}

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Cut()
}
