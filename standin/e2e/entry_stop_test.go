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

// askSix sends three streams and three JSON requests to a node.
func (b *bench) askSix(node *process.Node, maxTokens int) []<-chan asked {
	var results []<-chan asked
	for i := range 6 {
		results = append(results, b.ask(node, caller.Request{Content: fmt.Sprintf("dossier %d", i), MaxTokens: maxTokens, JSON: i%2 == 1}))
	}
	return results
}

// TestEntryNodeStopsGracefully guards against requests cut off by a planned stop, and against new work on a node that is
// leaving (H6).
func TestEntryNodeStopsGracefully(t *testing.T) {
	b := newBench(t, nil)
	leaving := b.cluster.Nodes[1]
	results := b.askSix(leaving, 200)
	b.busyRuns(6)
	b.must(leaving.Signal(syscall.SIGTERM))
	b.must(process.WaitFor("the node omitted from the addresses", func() bool {
		addresses, err := caller.New(b.user.Token, b.cluster.Nodes[0].Caller).FetchAddresses(b.ctx)
		return err == nil && len(addresses.Addresses) == 2
	}))
	b.refusesNewWork(leaving)
	for _, r := range results {
		if answer := b.whole(r); answer.RequestCount != 1 || answer.RedirectCount != 0 {
			t.Errorf("answer took %d requests and %d redirects, expected 1 and 0", answer.RequestCount, answer.RedirectCount)
		}
	}
	if code := leaving.Wait(30 * time.Second); code != 0 {
		t.Errorf("node ended with code %d", code)
	}
}

// refusesNewWork checks that a draining node runs nothing new and names the other nodes.
func (b *bench) refusesNewWork(node *process.Node) {
	b.t.Helper()
	body := map[string]any{"model": b.user.Model, "messages": []map[string]string{{"role": "user", "content": "late"}}, "max_tokens": 5}
	status, failure := b.post(node, b.user.Token, "", body)
	if status != http.StatusServiceUnavailable || failure.Run != "no" || len(failure.Addresses) != 2 {
		b.t.Errorf("draining node answered %d, run %q, %d addresses, expected 503, \"no\" and 2", status, failure.Run, len(failure.Addresses))
	}
}

// TestEntryNodeHandsOver guards against answers cut off when requests last longer than the stop timeout (H1).
func TestEntryNodeHandsOver(t *testing.T) {
	b := newBench(t, func(plan *process.Plan) { plan.NodeArgs = []string{"--stop-timeout", "3s"} })
	leaving := b.cluster.Nodes[1]
	results := b.askSix(leaving, 700)
	b.busyRuns(6)
	b.must(leaving.Signal(syscall.SIGTERM))
	for _, r := range results {
		if answer := b.whole(r); answer.RedirectCount == 0 {
			t.Errorf("answer to a handed-over request came without a redirect, after %d requests", answer.RequestCount)
		}
	}
	if code := leaving.Wait(30 * time.Second); code != 0 {
		t.Errorf("node ended with code %d", code)
	}
}

// TestDispatcherHandsOver guards against tokens computed again when a dispatcher's host is reclaimed after notice (H1).
func TestDispatcherHandsOver(t *testing.T) {
	b := newBench(t, runnersInFirstDomain)
	results := b.askSix(b.cluster.Nodes[1], 500)
	b.busyRuns(6)
	b.must(b.drain(b.cluster.Nodes[0], 2))
	for _, r := range results {
		if answer := b.whole(r); answer.RequestCount != 1 {
			t.Errorf("caller sent %d requests, expected 1", answer.RequestCount)
		}
	}
	if code := b.cluster.Nodes[0].Wait(30 * time.Second); code != 0 {
		t.Errorf("node ended with code %d", code)
	}
	if runs := b.engineRuns(); runs != 6 {
		t.Errorf("engines started %d runs, expected 6", runs)
	}
}

func (b *bench) drain(node *process.Node, deadlineSeconds float64) error {
	status, _ := b.postTo("http://"+node.Admin+"/drain", "", "", map[string]float64{"deadline_seconds": deadlineSeconds})
	if status != http.StatusAccepted {
		return errors.Errorf("POST /drain: status %d", status)
	}
	return nil
}
