package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// cutProxy is the link to a runner. While it is cut, it passes nothing on, in either direction, and answers no new connection;
// afterwards it passes on what was held up, the ends of connections too.
type cutProxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  bool
}

func newCutProxy(target string) (*cutProxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &cutProxy{listener: listener, target: target}
	p.healed = sync.NewCond(&p.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *cutProxy) address() string { return p.listener.Addr().String() }

func (p *cutProxy) setCut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
	p.healed.Broadcast()
}

func (p *cutProxy) awaitHealed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut {
		p.healed.Wait()
	}
}

func (p *cutProxy) serve(near *net.TCPConn) {
	p.awaitHealed()
	conn, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil { // refused by the host, as its kernel would
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	done := make(chan struct{})
	go func() { p.pass(far, near); close(done) }()
	p.pass(near, far)
	<-done
	_ = near.Close()
	_ = far.Close()
}

// pass passes bytes on until the sender ends its side, and then ends that of the receiver in the same way.
func (p *cutProxy) pass(from, to *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.awaitHealed()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
