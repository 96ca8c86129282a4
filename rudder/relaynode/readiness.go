package relaynode

import (
	"net/http"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
)

// state returns the state that this node reports to its peers.
func (n *node) state() mesh.State {
	switch {
	case n.isDraining.Load():
		return mesh.Draining
	case n.notReadyReason() != "":
		return mesh.Starting
	default:
		return mesh.Ready
	}
}

// notReadyReason returns why callers should use other nodes, empty if this node is ready.
func (n *node) notReadyReason() string {
	switch {
	case n.isDraining.Load():
		return "node is stopping"
	case n.currentConfig.Config() == nil:
		return "no configuration is known"
	case n.currentConfig.IsOutdated():
		return "configuration is older than that of other nodes"
	case !n.backends.HasListing():
		return "backend servers are not known"
	case n.relay.StalenessLimits.Send > 0 && boottime.Since(n.currentConfig.ConfirmedAt()) > n.relay.StalenessLimits.Send:
		return "configuration is not proved to be the newest"
	case n.rollouts != nil && !n.rollouts.isInformed():
		return "rollouts of software versions are not known"
	default:
		return ""
	}
}

// serveReady answers the readiness check: with status 200 if the node is ready, else with 503 and the reason.
func (n *node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}
