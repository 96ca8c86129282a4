package faultproxy

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Cut is what happens to the connections of a path.
type Cut string

// The kinds of cuts.
const (
	// CutHang loses all packets towards the server and holds back all data of the server: connections hang, and new ones are not
	// established. They go on when the cut ends.
	CutHang Cut = "hang"
	// CutReset resets the open connections and refuses new ones.
	CutReset Cut = "reset"
	// CutRefuse refuses new connections, while open ones live on.
	CutRefuse Cut = "refuse"
	// CutResetLater establishes new connections and resets them, and the open ones, at once.
	CutResetLater Cut = "reset-after-accept"
	// CutSilence establishes new connections, and holds back all data in both directions until the cut ends.
	CutSilence Cut = "silent-after-accept"
)

// Path is the network path from one client to one server, with an address of its own. Unlike Proxy, it treats connections as a
// network does: what is refused is refused in the handshake, and what is lost is sent again.
type Path struct {
	address string

	mu       sync.Mutex
	target   string
	listener *net.TCPListener // nil while connections are refused
	conns    map[*pathConn]bool
	cuts     []Cut // the last one counts
	changed  *sync.Cond
	isClosed bool
}

// pathConn is a connection on a path.
type pathConn struct {
	client, server *net.TCPConn
}

// NewPath opens a path that listens on address and leads to target, both IP:port. The caller closes it.
func NewPath(address, target string) (*Path, error) {
	p := &Path{address: address, target: target, conns: map[*pathConn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.listen()
}

// Address returns the IP:port that the client connects to.
func (p *Path) Address() string { return p.address }

// SetTarget leads new connections to another IP:port.
func (p *Path) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Begin begins a cut. Cuts may overlap: the one that began last counts.
func (p *Path) Begin(cut Cut) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.change(append(p.cuts, cut))
}

// End ends the latest cut of a kind.
func (p *Path) End(cut Cut) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.cuts) - 1; i >= 0; i-- {
		if p.cuts[i] == cut {
			return p.change(slices.Delete(p.cuts, i, i+1))
		}
	}
	return nil
}

// Close closes the path and its connections.
func (p *Path) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	for c := range p.conns {
		c.reset()
	}
	p.changed.Broadcast()
}

// cut returns the cut that counts, empty for none. The caller holds the lock.
func (p *Path) cut() Cut {
	if len(p.cuts) == 0 {
		return ""
	}
	return p.cuts[len(p.cuts)-1]
}

// change makes a list of cuts the active ones. The caller holds the lock.
func (p *Path) change(cuts []Cut) error {
	if p.isClosed {
		return nil
	}
	p.cuts = cuts
	cut := p.cut()
	if cut == CutReset || cut == CutResetLater {
		for c := range p.conns {
			c.reset()
		}
	}
	for c := range p.conns {
		if err := setLossy(c.client, cut == CutHang); err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	p.changed.Broadcast()
	if cut == CutReset || cut == CutRefuse {
		if p.listener != nil {
			_ = p.listener.Close()
			p.listener = nil
		}
		return nil
	}
	if p.listener == nil {
		if err := p.listen(); err != nil {
			return err
		}
	}
	return setLossy(p.listener, cut == CutHang)
}

// listen begins to accept connections. The caller holds the lock.
func (p *Path) listen() error {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets take no packet filters
	listener, err := config.Listen(context.Background(), "tcp4", p.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.address)
	}
	p.listener = listener.(*net.TCPListener)
	go p.accept(p.listener)
	return nil
}

func (p *Path) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward connects a client to the server and copies data in both directions until the connection ends.
func (p *Path) forward(client *net.TCPConn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &pathConn{client: client, server: server.(*net.TCPConn)}
	p.mu.Lock()
	if p.isClosed || p.cut() == CutReset || p.cut() == CutResetLater {
		c.reset()
	} else {
		_ = setLossy(client, p.cut() == CutHang)
	}
	p.conns[c] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, c.server, c.client) })
	copies.Go(func() { p.copy(c, c.client, c.server) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy copies data from src to dst until either fails or src ends, and then ends both: in order if src has ended in order, else
// by a reset. It holds back what the client should get while the path hangs or is silent, and what the server should while it is silent.
func (p *Path) copy(c *pathConn, dst, src *net.TCPConn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buffer)
		p.awaitPassage(dst == c.client)
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = c.client.Close()
			_ = c.server.Close()
			return
		}
		if err != nil {
			c.reset()
			return
		}
	}
}

// awaitPassage waits until the path lets data pass in a direction.
func (p *Path) awaitPassage(isTowardsClient bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for (p.cut() == CutHang && isTowardsClient || p.cut() == CutSilence) && !p.isClosed {
		p.changed.Wait()
	}
}

// reset ends both sides of the connection by a reset.
func (c *pathConn) reset() {
	for _, conn := range []*net.TCPConn{c.client, c.server} {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// setLossy makes a socket lose all packets that arrive, or none.
func setLossy(conn syscall.Conn, isLossy bool) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "get socket")
	}
	var filterErr error
	if err := raw.Control(func(fd uintptr) {
		if isLossy {
			dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // passes 0 bytes of a packet on
			filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
			return
		}
		filterErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		if filterErr == unix.ENOENT { // there was none
			filterErr = nil
		}
	}); err != nil {
		return err
	}
	return errors.Wrap(filterErr, "set packet filter of socket")
}
