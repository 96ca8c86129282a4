package mesh

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxBurstBytes bounds the datagrams that a node sends without a pause, unless one is larger. A round to all peers at
	// once overflows the queue of a slow link.
	maxBurstBytes = 16 << 10
	// minPaceBytesPerSecond is the rate at which a round is sent that does not need a higher one to end in time.
	minPaceBytesPerSecond = 512 << 10
	// roundShare is the part of a digest interval in which a round is sent.
	roundShare = 0.75
)

// roundDuration returns the time in which a round of full digests is sent.
func (m *Mesh) roundDuration(isShort bool) time.Duration {
	interval := m.currentInterval()
	if isShort {
		interval = min(interval, BaseInterval)
	}
	return time.Duration(roundShare * float64(interval))
}

// sendPaced sends a datagram to each target within the given time, in bursts of at most maxBurstBytes. The order changes
// with each round: what a full link loses must not hit the same peers each time.
func (m *Mesh) sendPaced(conn net.PacketConn, data []byte, targets []string, within time.Duration) {
	targets = slices.Clone(targets)
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	burst := max(maxBurstBytes/len(data), 1)
	pause := burstPause(burst*len(data), len(targets)*len(data), within)
	for i, target := range targets {
		if i > 0 && i%burst == 0 {
			m.sleep(pause)
		}
		address, err := netip.ParseAddrPort(target)
		if err != nil {
			continue // AddAddresses has logged a malformed one
		}
		// The next digest makes up for one that could not be sent.
		_, _ = conn.WriteTo(data, net.UDPAddrFromAddrPort(address))
	}
}

// burstPause returns the pause after each burst of a round.
func burstPause(burstBytes, roundBytes int, within time.Duration) time.Duration {
	rate := max(minPaceBytesPerSecond, float64(roundBytes)/within.Seconds())
	return time.Duration(float64(burstBytes) / rate * float64(time.Second))
}
