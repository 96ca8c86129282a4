package relaynode

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/traffic"
)

// startTestMesh runs a mesh that sends the given digest to the peers.
func startTestMesh(t *testing.T, d mesh.Digest, peers ...string) *mesh.Mesh {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	compose := func() mesh.Digest {
		d.BootClockMillis = time.Duration(boottime.Now()).Milliseconds()
		return d
	}
	m := mesh.New(conn.LocalAddr().String(), peers, compose, func(*mesh.Member) {}, slog.New(slog.DiscardHandler))
	m.FailureDomain = d.FailureDomain
	go m.Run(t.Context(), conn)
	return m
}

// Requests are passed on to ready peers with a path only, at the address from which their digests come.
func TestDetourPeers(t *testing.T) {
	n := &node{currentConfig: traffic.NewCurrentConfig()}
	n.mesh = startTestMesh(t, mesh.Digest{Node: "self", Incarnation: 1, FailureDomain: "a", State: mesh.Ready})
	loads := map[string]backend.PeerLoad{"s1": {Running: 3}, "s2": {Running: 4}}
	good := startTestMesh(t, mesh.Digest{Node: "good", Incarnation: 1, FailureDomain: "b", State: mesh.Ready, Loads: loads, LostServices: []string{"other"}}, n.mesh.SelfAddress)
	for name, d := range map[string]mesh.Digest{
		"cut":      {State: mesh.Ready, LostServices: []string{"other", "s"}},
		"draining": {State: mesh.Draining},
		"starting": {State: mesh.Starting},
	} {
		d.Node, d.Incarnation, d.FailureDomain = name, 1, "a"
		startTestMesh(t, d, n.mesh.SelfAddress)
	}
	for end := time.Now().Add(5 * time.Second); len(n.mesh.ReachableMembers()) < 4; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not all peers were heard")
		}
	}
	peers := n.detourPeers("s")
	if len(peers) != 1 || peers[0].Node != "good" || peers[0].Address != good.SelfAddress || peers[0].FailureDomain != "b" || peers[0].Load != 7 {
		t.Errorf("peers are %+v, want the one that is ready and has a path, with 7 requests", peers)
	}
}

// Peers send longer heads than callers, and use idle connections for longer than callers may.
func TestDetourLimits(t *testing.T) {
	n := &node{currentConfig: traffic.NewCurrentConfig()}
	if l := n.detourLimits(); l.MaxHeaderBytes <= defaultMaxHeaderBytes || l.IdleTimeout != detourIdleTimeout {
		t.Errorf("limits are %+v, want longer heads than %d", l, defaultMaxHeaderBytes)
	}
	config := &traffic.Config{Version: 1, Limits: traffic.Limits{MaxHeaderBytes: 8 << 10, IdleTimeout: time.Second}}
	config.BuildIndex()
	n.currentConfig.Apply(config)
	if l := n.detourLimits(); l.MaxHeaderBytes <= 8<<10 || l.IdleTimeout != detourIdleTimeout {
		t.Errorf("limits are %+v, want longer heads than %d", l, 8<<10)
	}
}
