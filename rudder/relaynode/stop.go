package relaynode

import (
	"context"
	"net"
	"time"
)

const (
	// drainServeTime is how long a stopping node continues to serve new requests: callers keep addresses for a while and
	// learn of other nodes only at their next lookup.
	drainServeTime = 3 * time.Second
	// shutdownMargin is the part of the stop timeout that is reserved at its end for closing connections.
	shutdownMargin = 500 * time.Millisecond
	// drainPollInterval is the pause between two checks whether the requests in progress have ended.
	drainPollInterval = 100 * time.Millisecond
)

// waitForStop returns when ctx ends or a task fails. Meanwhile it reloads the settings on request.
func (n *node) waitForStop(ctx context.Context, tasksDone <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-tasksDone:
			return
		case <-n.platform.ReloadRequests:
			n.reload()
		}
	}
}

// reload reads the settings again and adds the mesh seeds in them. All other settings, addresses among them, stay as they
// are until the next start.
func (n *node) reload() {
	s, err := n.platform.LoadSettings()
	if err != nil {
		n.log.Error("Reloading the settings failed; the old ones stay in force.", "error", err)
		return
	}
	n.log.Info("Added the mesh seeds of the reloaded settings.", "mesh_seeds", s.MeshSeeds)
	n.mesh.AddAddresses(s.MeshSeeds)
}

// stop lets requests in progress end: callers are first sent to other nodes while new requests are still served, then new
// requests are refused as not run. It returns within the stop timeout.
func (n *node) stop(callers *callerServer, meshConn net.PacketConn, others ...*callerServer) {
	startedAt := time.Now()
	n.isDraining.Store(true)
	// Each connection ends with its next response. SetKeepAlivesEnabled(false) would close the idle ones at once, and
	// with them requests that are read but not handled yet.
	n.relay.Drain()
	n.mesh.SendNow(meshConn)
	go n.unregister() // concurrently, since the object API may be slow
	n.log.Info("Node is stopping.", "requests", n.relay.InProgress(), "deadline_seconds", n.settings.StopTimeout.Seconds())
	time.Sleep(min(drainServeTime, n.settings.StopTimeout/2))
	n.relay.RefuseRequests()
	deadline := startedAt.Add(n.settings.StopTimeout - shutdownMargin)
	for n.relay.InProgress() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	n.log.Info("Node closes its connections.", "requests_cut", n.relay.InProgress(), "after_ms", time.Since(startedAt).Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), shutdownMargin/2)
	defer cancel()
	for _, server := range append(others, callers) {
		if err := server.Shutdown(ctx); err != nil {
			n.log.Warn("Connections were not idle at the end of the stop timeout and are closed.", "address", server.listener.Addr(), "error", err)
		}
	}
}
