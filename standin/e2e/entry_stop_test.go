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

// startSixRequests sends three streams and three JSON requests to a node.
func (b *testbed) startSixRequests(node *process.Node, maxTokens int) []<-chan askResult {
	var results []<-chan askResult
	for i := range 6 {
		results = append(results, b.ask(node, caller.Request{Content: fmt.Sprintf("dossier %d", i), MaxTokens: maxTokens, JSON: i%2 == 1}))
	}
	return results
}

// TestEntryNodeStopsGracefully guards against requests cut off by a planned stop, and against new work on a node that is
// leaving (H6).
func TestEntryNodeStopsGracefully(t *testing.T) {
	b := newTestbed(t, nil)
	drainingNode := b.cluster.Nodes[1]
	results := b.startSixRequests(drainingNode, 200)
	b.waitForRuns(6)
	b.must(drainingNode.Signal(syscall.SIGTERM))
	b.must(process.WaitFor("the node omitted from the addresses", func() bool {
		addresses, err := caller.New(b.user.Token, b.cluster.Nodes[0].Caller).Addresses(b.ctx)
		return err == nil && len(addresses.Addresses) == 2
	}))
	b.checkRefusesNewRequests(drainingNode)
	for _, r := range results {
		if answer := b.requireAnswer(r); answer.Sent != 1 || answer.Redirects != 0 {
			t.Errorf("answer took %d requests and %d redirects, expected 1 and 0", answer.Sent, answer.Redirects)
		}
	}
	if code := drainingNode.Wait(30 * time.Second); code != 0 {
		t.Errorf("node ended with code %d", code)
	}
}

// checkRefusesNewRequests checks that a draining node runs nothing new and names the other nodes.
func (b *testbed) checkRefusesNewRequests(node *process.Node) {
	b.t.Helper()
	body := map[string]any{"model": b.user.Model, "messages": []map[string]string{{"role": "user", "content": "late"}}, "max_tokens": 5}
	status, problem := b.postChat(node, b.user.Token, "", body)
	if status != http.StatusServiceUnavailable || problem.Run != "no" || len(problem.Addresses) != 2 {
		b.t.Errorf("draining node answered %d, run %q, %d addresses, expected 503, \"no\" and 2", status, problem.Run, len(problem.Addresses))
	}
}

// TestEntryNodeHandsOverRunsAtStopTimeout guards against answers cut off when requests last longer than the stop timeout (H1).
func TestEntryNodeHandsOverRunsAtStopTimeout(t *testing.T) {
	b := newTestbed(t, func(plan *process.Plan) { plan.NodeArgs = []string{"--stop-timeout", "3s"} })
	drainingNode := b.cluster.Nodes[1]
	results := b.startSixRequests(drainingNode, 700)
	b.waitForRuns(6)
	b.must(drainingNode.Signal(syscall.SIGTERM))
	for _, r := range results {
		if answer := b.requireAnswer(r); answer.Redirects == 0 {
			t.Errorf("answer to a handed-over request came without a redirect, after %d requests", answer.Sent)
		}
	}
	if code := drainingNode.Wait(30 * time.Second); code != 0 {
		t.Errorf("node ended with code %d", code)
	}
}

// TestDispatcherHandsOverRunsOnReclaim guards against tokens computed again when a dispatcher's host is reclaimed after notice (H1).
func TestDispatcherHandsOverRunsOnReclaim(t *testing.T) {
	b := newTestbed(t, withRunnersInFirstDomainOnly)
	results := b.startSixRequests(b.cluster.Nodes[1], 500)
	b.waitForRuns(6)
	b.must(b.drain(b.cluster.Nodes[0], 2))
	for _, r := range results {
		if answer := b.requireAnswer(r); answer.Sent != 1 {
			t.Errorf("caller sent %d requests, expected 1", answer.Sent)
		}
	}
	if code := b.cluster.Nodes[0].Wait(30 * time.Second); code != 0 {
		t.Errorf("node ended with code %d", code)
	}
	if runs := b.countEngineRuns(); runs != 6 {
		t.Errorf("engines started %d runs, expected 6", runs)
	}
}

func (b *testbed) drain(node *process.Node, deadlineSeconds float64) error {
	status, _ := b.postJSON("http://"+node.Admin+"/drain", "", "", map[string]float64{"deadline_seconds": deadlineSeconds})
	if status != http.StatusAccepted {
		return errors.Errorf("POST /drain: status %d", status)
	}
	return nil
}
