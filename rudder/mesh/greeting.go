package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"chestnutrudder.example/rudder/internal/turn"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// greetingPause is the pause between two batches of greetings.
	greetingPause = 50 * time.Millisecond
	// greetingsPerBatch bounds the greetings in a batch. Those of a starting node, with greetingAddresses, take about half of a
	// link of 10 Mbit/s.
	greetingsPerBatch = 16
	// greetingAddresses is the number of peer addresses in a greeting.
	greetingAddresses = 100
)

// noteNewAddress makes the mesh greet an address of a peer that it has not known before: when all nodes start, each must find
// the others faster than rounds of digests tell of them. The caller holds the lock.
func (m *Mesh) noteNewAddress(address string) {
	m.ungreeted = append(m.ungreeted, address)
	select {
	case m.greetingDue <- struct{}{}:
	default: // greetings are due already
	}
}

// greetNewPeers sends a digest to each new address, in batches, until ctx ends.
func (m *Mesh) greetNewPeers(ctx context.Context, conn net.PacketConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.greetingDue:
		}
		for sleep.For(ctx, greetingPause) && m.sendGreetings(conn) {
		}
	}
}

// sendGreetings sends one batch of greetings and reports whether there were any.
func (m *Mesh) sendGreetings(conn net.PacketConn) bool {
	batch := m.takeUngreeted()
	if len(batch) == 0 {
		return false
	}
	digest := m.ComposeDigest()
	direct, others := m.targets()
	digest.PeerAddresses = m.greetingAddresses(slices.Concat(direct, others))
	m.send(conn, digest, batch, greetingPause)
	return true
}

// takeUngreeted returns the next addresses to greet. Their order is random: nodes that many starting ones know must not all
// greet the same ones first.
func (m *Mesh) takeUngreeted() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	rand.Shuffle(len(m.ungreeted), func(i, j int) { m.ungreeted[i], m.ungreeted[j] = m.ungreeted[j], m.ungreeted[i] })
	batch := slices.Clone(m.ungreeted[:min(len(m.ungreeted), greetingsPerBatch)])
	m.ungreeted = slices.Delete(m.ungreeted, 0, len(batch))
	return batch
}

// greetingAddresses returns up to greetingAddresses of the given addresses. Successive calls go through all of them.
func (m *Mesh) greetingAddresses(targets []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addressRotation++
	return turn.Take(targets, m.addressRotation, greetingAddresses)
}

// dropUngreeted drops the addresses that get a digest now.
func (m *Mesh) dropUngreeted(targets []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ungreeted) == 0 {
		return
	}
	isTarget := make(map[string]bool, len(targets))
	for _, address := range targets {
		isTarget[address] = true
	}
	m.ungreeted = slices.DeleteFunc(m.ungreeted, func(address string) bool { return isTarget[address] })
}
