package relaynode

import (
	"context"
	"net"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// drainServeTime is how long after the signal to stop a node may still accept new requests. Callers keep addresses for a while and
	// learn of other nodes only at their next lookup; what is accepted later may be cut at the end of the stop.
	drainServeTime = 3 * time.Second
	// maxSignalDelay is how long after its sending a signal is handled at most. A process that has used up its processor quota runs
	// again in the next period of 100 ms, and both the signal handler and the task that it wakes may have to wait for one.
	maxSignalDelay = 200 * time.Millisecond
	// shutdownMargin is the part of the stop timeout that is reserved at its end for closing connections.
	shutdownMargin = 500 * time.Millisecond
	// drainPollInterval is the pause between two checks whether the requests in progress have ended.
	drainPollInterval = 100 * time.Millisecond
)

// waitForStop returns when ctx ends or a task fails. Meanwhile it reloads the settings on request. The stop begins when ctx ends, even
// if the settings are being read then.
func (n *node) waitForStop(ctx context.Context, tasksDone <-chan struct{}) {
	defer context.AfterFunc(ctx, n.beginStop)()
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

// beginStop sets from when on requests are refused. It does nothing that may wait, since whoever stops the node counts from the signal.
func (n *node) beginStop() {
	n.stopOnce.Do(func() {
		n.stopBeganAt = boottime.Now()
		n.relay.RefuseRequestsFrom(n.refusesFrom())
		n.isDraining.Store(true)
		// Each connection ends with its next response. SetKeepAlivesEnabled(false) would close the idle ones at once, and
		// with them requests that are read but not handled yet.
		n.relay.Drain()
	})
}

// refusesFrom returns when a stopping node begins to refuse requests.
func (n *node) refusesFrom() boottime.Instant {
	return n.stopBeganAt.Add(min(drainServeTime, n.settings.StopTimeout/2) - maxSignalDelay)
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
	n.beginStop()
	n.log.Info("Node is stopping.", "requests", n.relay.InProgress(), "deadline_seconds", n.settings.StopTimeout.Seconds())
	go n.mesh.SendNow(meshConn) // in bursts with pauses
	go n.unregister()           // the object API may be slow
	deadline := n.stopBeganAt.Add(n.settings.StopTimeout - shutdownMargin)
	for now := boottime.Now(); now < n.refusesFrom() || n.relay.InProgress() > 0 && now < deadline; now = boottime.Now() {
		time.Sleep(drainPollInterval)
	}
	n.log.Info("Node closes its connections.", "requests_cut", n.relay.InProgress(), "after_ms", boottime.Since(n.stopBeganAt).Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), shutdownMargin/2)
	defer cancel()
	for _, server := range append(others, callers) {
		if err := server.Shutdown(ctx); err != nil {
			n.log.Warn("Connections were not idle at the end of the stop timeout and are closed.", "address", server.listener.Addr(), "error", err)
		}
	}
}
