package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/process"
)

// startSixRequests sends six requests to a node, three of them for a stream and three for a JSON answer.
func (b *testbed) startSixRequests(node *process.Node, maxTokens int) []<-chan askResult {
	var results []<-chan askResult
	for i := range 6 {
		results = append(results, b.ask(node, caller.Request{Content: fmt.Sprintf("dossier %d", i), MaxTokens: maxTokens, JSON: i%2 == 1}))
	}
	return results
}

// TestEntryNodeStopsGracefully guards against requests that are interrupted by a planned stop of their entry node, and
// against new work on a node that is draining (invariant H6).
func TestEntryNodeStopsGracefully(t *testing.T) {
	b := newTestbed(t, nil)
	drainingNode := b.cluster.Nodes[1]
	results := b.startSixRequests(drainingNode, 200)
	b.waitForRuns(6)
	b.must(drainingNode.Signal(syscall.SIGTERM))
	b.must(process.WaitFor("removal of the draining node from the addresses", func() bool {
		addresses, err := caller.New(b.user.Token, b.cluster.Nodes[0].CallerAddress).FetchAddresses(b.ctx)
		return err == nil && len(addresses.Addresses) == 2
	}))
	b.checkRefusesNewRequests(drainingNode)
	for _, r := range results {
		if answer := b.requireAnswer(r); answer.RequestCount != 1 || answer.RedirectCount != 0 {
			t.Errorf("answer took %d requests and %d redirects of the caller, expected 1 and 0", answer.RequestCount, answer.RedirectCount)
		}
	}
	if code := drainingNode.Wait(30 * time.Second); code != 0 {
		t.Errorf("draining node exited with code %d, expected 0", code)
	}
}

// checkRefusesNewRequests checks that a draining node refuses a new request as not run and returns the addresses of the
// other nodes.
func (b *testbed) checkRefusesNewRequests(node *process.Node) {
	b.t.Helper()
	body := map[string]any{"model": b.user.Model, "messages": []map[string]string{{"role": "user", "content": "late"}}, "max_tokens": 5}
	status, problem := b.postChat(node, b.user.Token, "", body)
	if status != http.StatusServiceUnavailable || problem.Run != "no" || len(problem.Addresses) != 2 {
		b.t.Errorf("new request to a draining node: status %d, run %q, %d addresses, expected 503, \"no\" and 2",
			status, problem.Run, len(problem.Addresses))
	}
}

// TestEntryNodeHandsOverRunsAtStopTimeout guards against answers that are truncated when requests last longer than the stop
// timeout of their entry node (invariant H1).
func TestEntryNodeHandsOverRunsAtStopTimeout(t *testing.T) {
	b := newTestbed(t, func(clusterConfig *process.ClusterConfig) { clusterConfig.NodeArgs = []string{"--stop-timeout", "3s"} })
	drainingNode := b.cluster.Nodes[1]
	results := b.startSixRequests(drainingNode, 700)
	b.waitForRuns(6)
	b.must(drainingNode.Signal(syscall.SIGTERM))
	for _, r := range results {
		if answer := b.requireAnswer(r); answer.RedirectCount == 0 {
			t.Errorf("answer to a request that had to be handed over came without a redirect, after %d requests of the caller",
				answer.RequestCount)
		}
	}
	if code := drainingNode.Wait(30 * time.Second); code != 0 {
		t.Errorf("draining node exited with code %d, expected 0", code)
	}
}

// TestDispatcherHandsOverRunsOnReclaim guards against tokens that are computed again when the host of a dispatcher is
// reclaimed after a notice (invariant H1).
func TestDispatcherHandsOverRunsOnReclaim(t *testing.T) {
	b := newTestbed(t, withRunnersInFirstDomainOnly)
	results := b.startSixRequests(b.cluster.Nodes[1], 500)
	b.waitForRuns(6)
	b.must(b.drain(b.cluster.Nodes[0], 2))
	for _, r := range results {
		if answer := b.requireAnswer(r); answer.RequestCount != 1 {
			t.Errorf("caller sent %d requests, expected 1", answer.RequestCount)
		}
	}
	if code := b.cluster.Nodes[0].Wait(30 * time.Second); code != 0 {
		t.Errorf("draining node exited with code %d, expected 0", code)
	}
	if runs := b.countEngineRuns(); runs != 6 {
		t.Errorf("engines started %d runs, expected 6", runs)
	}
}

// drain asks a node to drain and stop before the deadline, as a reclaim notice for its host does.
func (b *testbed) drain(node *process.Node, deadlineSeconds float64) error {
	status, _ := b.postJSON("http://"+node.AdminAddress+"/drain", "", "", map[string]float64{"deadline_seconds": deadlineSeconds})
	if status != http.StatusAccepted {
		return errors.Errorf("POST /drain: status %d", status)
	}
	return nil
}
