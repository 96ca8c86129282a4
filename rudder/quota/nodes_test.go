package quota

import "time"

// setNodes passes on what a node knows of its peers, as package relaynode does.
func setNodes(l *Ledger, _, known int, silenceLimit time.Duration) {
	l.SetNodes(Nodes{Count: known, SilenceLimit: silenceLimit})
}

// fullReport returns the full report of a node.
func fullReport(l *Ledger) PeerReport {
	return PeerReport{IsWarmingUp: l.IsWarmingUp(), Usages: l.FullReport(), KnownNodes: l.KnownNodes()}
}
