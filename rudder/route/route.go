// Package route selects the dispatcher node to which an entry node sends a request.
package route

import (
	"strconv"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/membership"
)

// maxKeyBlocks is the number of leading prompt blocks from which RendezvousKey is computed.
const maxKeyBlocks = 4

// Choice is a selected dispatcher node and the reason for the selection.
type Choice struct {
	Node          membership.Node
	Reason        string
	RejectedCount int // number of other candidates
}

// RendezvousKey returns the key for the rendezvous hash of a prompt. It is the same on all nodes and for all prompts with a
// common beginning, so that these reuse a cached prefix, and copies of a request that crashes backend servers go to one
// dispatcher.
func RendezvousKey(prompt string) string {
	blocks := engine.PrefixBlocks(engine.PromptTokens(prompt))
	if len(blocks) == 0 {
		return prompt
	}
	return strconv.FormatUint(blocks[min(maxKeyBlocks, len(blocks))-1], 16)
}

// Candidates returns the dispatcher nodes with at least one backend server of the deployment, ranked by the rendezvous
// hash of the key.
func Candidates(deployment, key string, hosts []cloud.Host, live []membership.Node) []membership.Node {
	seen := map[string]bool{}
	var nodes []membership.Node
	for _, h := range hosts {
		if h.Deployment != deployment {
			continue
		}
		n, found := membership.DispatcherFor(h.Name, h.FailureDomain, live)
		if found && !seen[n.Name] {
			seen[n.Name] = true
			nodes = append(nodes, n)
		}
	}
	return membership.Rank(key, nodes)
}

// Choose returns the first candidate that is not excluded; false if there is none.
func Choose(candidates []membership.Node, excluded map[string]bool) (Choice, bool) {
	for _, n := range candidates {
		if !excluded[n.Name] {
			return Choice{Node: n, Reason: "first by rendezvous hash", RejectedCount: len(candidates) - 1}, true
		}
	}
	return Choice{}, false
}
