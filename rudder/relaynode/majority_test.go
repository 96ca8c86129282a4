package relaynode

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
)

// startMajorityNode returns a node that knows the seeds.
func startMajorityNode(t *testing.T, seeds ...string) *node {
	t.Helper()
	n := &node{startedAt: boottime.Now(), log: slog.New(slog.DiscardHandler)}
	n.mesh = startTestMesh(t, mesh.Digest{Node: "self", Incarnation: 1, FailureDomain: "a", State: mesh.Ready}, seeds...)
	return n
}

// startEndingPeer runs a peer that sends its digests until it is ended without notice.
func startEndingPeer(t *testing.T, name, peer string) (end context.CancelFunc) {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	compose := func() mesh.Digest {
		return mesh.Digest{Node: name, Incarnation: 1, FailureDomain: "a", State: mesh.Ready, BootClockMillis: time.Duration(boottime.Now()).Milliseconds()}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go mesh.New(conn.LocalAddr().String(), []string{peer}, compose, func(*mesh.Member) {}, slog.New(slog.DiscardHandler)).Run(ctx, conn)
	return cancel
}

// Guards against a holder of the duties that goes on with them, or takes them again, while most other nodes cannot hear what it does:
// they can report the same usage window later (review case 14), and cannot take the lease, which it renews.
func TestNodeOutsideMajorityGivesUpTheDuties(t *testing.T) {
	n := startMajorityNode(t)
	ends := []context.CancelFunc{startEndingPeer(t, "p1", n.mesh.SelfAddress), startEndingPeer(t, "p2", n.mesh.SelfAddress)}
	waitFor(t, 10*time.Second, "both peers are heard", func() bool { return len(n.mesh.ReachableMembers()) == 2 })
	isolated := make(chan struct{})
	go func() { defer close(isolated); n.awaitIsolation(t.Context()) }()
	ends[0]()
	waitFor(t, 10*time.Second, "one peer is silent", func() bool { return len(n.mesh.ReachableMembers()) == 1 })
	if !n.isInMajority() || !n.isLeaseContender(dutyLeaseName) {
		t.Error("a node that hears one of two peers does not contend for the duties")
	}
	select {
	case <-isolated:
		t.Error("a node that hears one of two peers gives up the duties")
	default:
	}
	ends[1]()
	waitFor(t, 10*time.Second, "the duties are given up", func() bool {
		select {
		case <-isolated:
			return true
		default:
			return false
		}
	})
	if n.isInMajority() || n.isLeaseContender(dutyLeaseName) {
		t.Error("a node that hears none of two peers contends for the duties")
	}
}

// Guards against a node that takes itself for the only one because it has started without a path to the others.
func TestStartedNodeWithUnheardPeersIsNoMajority(t *testing.T) {
	if n := startMajorityNode(t); !n.isInMajority() {
		t.Error("a node that knows no other one is no majority")
	}
	n := startMajorityNode(t, "127.0.0.1:2")
	if n.isInMajority() {
		t.Error("a node that has just started and has heard none of its seeds is a majority")
	}
	n.startedAt = n.startedAt.Add(-mesh.RemoveAfter)
	if !n.isInMajority() {
		t.Error("a node whose seeds have been silent for long is no majority")
	}
}

// The reporter is told what a majority has told and noted.
func TestUsagePeersCountAMajority(t *testing.T) {
	n := startMajorityNode(t)
	p := usagePeers{n}
	for i, c := range []struct {
		name    string
		through int64
		want    bool // a majority has noted window 7
	}{{"p1", 0, false}, {"p2", 7, true}, {"p3", 6, false}, {"p4", 8, true}} {
		startTestMesh(t, mesh.Digest{Node: c.name, Incarnation: 1, FailureDomain: "a", State: mesh.Ready, UsageFinalThrough: c.through}, n.mesh.SelfAddress)
		waitFor(t, 10*time.Second, "the peer is heard", func() bool { return len(n.mesh.ReachableMembers()) == i+1 })
		if got := p.HaveNoted(7); got != c.want {
			t.Errorf("with %s: a majority has noted the window: %t, want %t", c.name, got, c.want)
		}
	}
	if !p.HaveToldWithin(time.Hour) || p.HaveToldWithin(-time.Hour) {
		t.Error("peers that were heard are not counted as having told their state, or since a later moment")
	}
}
