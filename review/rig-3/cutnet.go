package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// cutNetwork carries the datagrams between nodes, so that single nodes can be cut off. Each node knows every other one by an address
// of the network only: a datagram that arrives at the address by which x knows y is passed on to y, from the address by which y
// knows its sender.
type cutNetwork struct {
	port  int
	nodes []netip.Addr // by number

	mu     sync.Mutex
	conns  map[[2]int]*net.UDPConn // by the numbers of x and y
	cutOff map[int]bool
}

// addressOf returns the address by which node x knows node y.
func (n *cutNetwork) addressOf(x, y int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+x, n.nodes[x].As4()[2], y+1)
}

func newCutNetwork(port int, nodes []netip.Addr) (*cutNetwork, error) {
	n := &cutNetwork{port: port, nodes: nodes, conns: map[[2]int]*net.UDPConn{}, cutOff: map[int]bool{}}
	for x := range nodes {
		for y := range nodes {
			if x == y {
				continue
			}
			conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(n.addressOf(x, y)), uint16(port))))
			if err != nil {
				n.close()
				return nil, err
			}
			n.conns[[2]int{x, y}] = conn
		}
	}
	for key, conn := range n.conns {
		go n.carry(conn, key[1])
	}
	return n, nil
}

// carry passes on the datagrams that arrive for node y at one address.
func (n *cutNetwork) carry(conn *net.UDPConn, y int) {
	buffer := make([]byte, 65536)
	for {
		size, source, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from := -1
		for i, address := range n.nodes {
			if address == source.Addr().Unmap() {
				from = i
			}
		}
		if from < 0 || from == y {
			continue
		}
		n.mu.Lock()
		isCut := n.cutOff[from] || n.cutOff[y]
		n.mu.Unlock()
		if !isCut {
			_, _ = n.conns[[2]int{y, from}].WriteToUDPAddrPort(buffer[:size], netip.AddrPortFrom(n.nodes[y], uint16(n.port)))
		}
	}
}

// setCutOff cuts a node off from all others, or connects it again.
func (n *cutNetwork) setCutOff(node int, isCutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[node] = isCutOff
}

func (n *cutNetwork) close() {
	for _, conn := range n.conns {
		_ = conn.Close()
	}
}
