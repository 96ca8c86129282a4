package relaynode

import (
	"context"
	"math"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/sleep"
)

// updateShares adapts the use of quotas to the number of known nodes and the time after which they count as silent, the share of the
// retry budget to
// the number of known nodes, and the shares of the limits of backend servers to the nodes that serve, until ctx ends.
func (n *node) updateShares(ctx context.Context) {
	for ctx.Err() == nil {
		_, known := n.mesh.CountNodes()
		n.quotas.SetNodes(quota.Nodes{Count: known + n.mesh.CountUnheardAddresses(), SilenceLimit: n.mesh.SilenceLimit()})
		n.logWithheldShare()
		n.relay.SetNodeCount(known)
		n.backends.SetNodes(n.settings.Node, n.servingNodes())
		sleep.For(ctx, mesh.BaseInterval)
	}
}

// withheldShareStep is the change of the withheld part of the limits that is logged.
const withheldShareStep = 0.05

// logWithheldShare logs when another part of the limits of organisations is withheld for nodes that are not heard. Only
// updateShares calls it.
func (n *node) logWithheldShare() {
	share, silent := n.quotas.WithheldShare()
	hasChanged := (share == 0) != (n.withheldShare == 0) || math.Abs(share-n.withheldShare) >= withheldShareStep
	if !hasChanged {
		return
	}
	n.withheldShare = share
	n.log.Info("Withheld part of the limits of organisations has changed.", "withheld", math.Round(100*share)/100, "silent_nodes", silent)
}

// servingNodes returns the living nodes that serve callers, this one included if it does. The limits of backend servers are
// divided among them, so that a node that is silent only to this one keeps its shares.
func (n *node) servingNodes() []backend.Node {
	var nodes []backend.Node
	if n.state() == mesh.Ready {
		nodes = append(nodes, backend.Node{Name: n.settings.Node, FailureDomain: n.settings.FailureDomain})
	}
	for _, m := range n.mesh.LivingMembers() {
		if m.State == mesh.Ready {
			nodes = append(nodes, backend.Node{Name: m.Node, FailureDomain: m.FailureDomain})
		}
	}
	return nodes
}
