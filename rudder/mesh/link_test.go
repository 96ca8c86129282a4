package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
)

const (
	// linkBytesPerSecond is the rate of the link of a small host, 10 Mbit/s.
	linkBytesPerSecond = 10e6 / 8
	// linkQueueBytes is the queue of that link: 50 ms of its rate. A datagram that finds it full is lost.
	linkQueueBytes = 62500
)

// linkNetwork carries datagrams between hosts that each have a slow link.
type linkNetwork struct {
	mu    sync.Mutex
	conns map[string]*linkConn // by address
}

// linkConn is the socket of one host.
type linkConn struct {
	net.PacketConn
	network *linkNetwork
	address string
	arrived chan datagram
	closed  chan struct{}
	idleAt  time.Time // when the link has sent all that is queued
	lost    int
}

func (n *linkNetwork) listen(address string) *linkConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &linkConn{network: n, address: address, arrived: make(chan datagram, 1<<12), closed: make(chan struct{})}
	n.conns[address] = c
	return c
}

func (c *linkConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	now := time.Now()
	if c.idleAt.Before(now) {
		c.idleAt = now
	}
	if c.idleAt.Sub(now).Seconds()*linkBytesPerSecond+float64(len(data)) > linkQueueBytes {
		c.lost++
		return len(data), nil
	}
	c.idleAt = c.idleAt.Add(time.Duration(float64(len(data)) / linkBytesPerSecond * float64(time.Second)))
	receiver, d := c.network.conns[to.String()], datagram{from: c.address, data: slices.Clone(data)}
	time.AfterFunc(c.idleAt.Sub(now), func() {
		select {
		case receiver.arrived <- d:
		default: // its socket buffer is full
		}
	})
	return len(data), nil
}

func (c *linkConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case <-c.closed:
		return 0, nil, net.ErrClosed
	case d := <-c.arrived:
		return copy(buffer, d.data), linkAddr(d.from), nil
	}
}

func (c *linkConn) Close() error {
	close(c.closed)
	return nil
}

// linkAddr is the address of a host of a linkNetwork.
type linkAddr string

func (a linkAddr) Network() string { return "udp4" }
func (a linkAddr) String() string  { return string(a) }

// largeDelta returns a change of the registry of about 4 kB.
func largeDelta() RegistryDelta {
	return RegistryDelta{Changes: []RegistryChange{{Server: backend.Entry{ID: strings.Repeat("x", 4000)}}}}
}

// TestHostsStayListedWhenDigestsExceedLinkQueue guards against hosts that drop living peers from their lists: the digests of
// a round, sent at once and always in the same order, overflowed the link, and the last recipients got none of them.
func TestHostsStayListedWhenDigestsExceedLinkQueue(t *testing.T) {
	for _, fleet := range []struct{ domains, hostsPerDomain int }{{3, 3}, {4, 15}, {5, 15}} {
		hosts := fleet.domains * fleet.hostsPerDomain
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				network := &linkNetwork{conns: map[string]*linkConn{}}
				var meshes []*Mesh
				var addresses []string
				for i := range hosts {
					domain := i / fleet.hostsPerDomain
					address := fmt.Sprintf("10.%d.0.%d:9100", domain+1, i%fleet.hostsPerDomain+1)
					digest := Digest{Node: fmt.Sprintf("n-%03d", i), Incarnation: 1, FailureDomain: fmt.Sprint("d", domain), State: Ready, Registry: largeDelta()}
					m := New(address, nil, func() Digest { return digest }, func(*Member) {}, slog.New(slog.DiscardHandler))
					m.FailureDomain, m.now = digest.FailureDomain, func() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }
					meshes, addresses = append(meshes, m), append(addresses, address)
					network.listen(address)
				}
				for i, m := range meshes {
					m.AddAddresses(addresses)
					go m.Run(ctx, network.conns[addresses[i]])
				}
				time.Sleep(3 * time.Second)
				for range 6 {
					time.Sleep(500 * time.Millisecond)
					for i, m := range meshes {
						if reached := len(m.ReachableMembers()); reached != hosts-1 {
							t.Errorf("host %s lists %d living peers, want %d; its link lost %d datagrams", addresses[i], reached, hosts-1, network.conns[addresses[i]].lost)
						}
					}
					if t.Failed() {
						break
					}
				}
				cancel()
				time.Sleep(2 * time.Second) // the last rounds end
			})
		})
	}
}
