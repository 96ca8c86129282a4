// Package route decides which dispatcher node an entry node uses for a request.
package route

import (
	"strconv"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/membership"
)

// maxKeyBlocks is how much of a prompt decides where requests with a common beginning meet.
const maxKeyBlocks = 4

// Choice is a decision with its reason.
type Choice struct {
	Node          membership.Node
	Reason        string
	RejectedCount int // number of other candidates
}

// RendezvousKey returns what the rendezvous order of a prompt is computed from. The same prompt has the same key on all nodes, so
// that requests with a common beginning find its prefix cached, and copies of a request that crashes backend servers
// meet at one dispatcher.
func RendezvousKey(prompt string) string {
	blocks := engine.PrefixBlocks(engine.PromptTokens(prompt))
	if len(blocks) == 0 {
		return prompt
	}
	return strconv.FormatUint(blocks[min(maxKeyBlocks, len(blocks))-1], 16)
}

// Candidates returns the dispatcher nodes that have at least one backend server of the deployment, in the order of the
// rendezvous hash of the key.
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

// Choose returns the first candidate that is not excluded.
func Choose(candidates []membership.Node, excluded map[string]bool) (Choice, bool) {
	for _, n := range candidates {
		if !excluded[n.Name] {
			return Choice{Node: n, Reason: "first by rendezvous hash", RejectedCount: len(candidates) - 1}, true
		}
	}
	return Choice{}, false
}
