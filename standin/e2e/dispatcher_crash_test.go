package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// TestDispatcherCrashCausesNoRecomputation guards against a second prefill when the dispatcher of a run is killed while
// the engine continues the run.
func TestDispatcherCrashCausesNoRecomputation(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const tokens = 300
	for i := range 20 {
		content := fmt.Sprintf("a dossier about a chalice, part %d", i)
		decodedBefore := countDecodedTokens(t, cluster)
		runCtx, cancelRun := context.WithCancel(ctx)
		type result struct {
			answer caller.Answer
			err    error
		}
		results := make(chan result, 1)
		address := cluster.Nodes[0].CallerAddress
		go func() {
			answer, err := caller.New(user.Token, address).Chat(runCtx, address, user.Model, content, tokens, "")
			results <- result{answer, err}
		}()
		dispatcher := waitForDispatcher(t, cluster, decodedBefore)
		if dispatcher == cluster.Nodes[0] {
			// The entry node is also the dispatcher of this run. Another prompt may get another dispatcher.
			cancelRun()
			<-results
			waitForIdleEngines(t, cluster)
			continue
		}
		dispatcher.Kill()
		got := <-results
		cancelRun()
		checkAnswer(t, content, tokens, got.answer, got.err)
		if got.answer.Usage.Attempts != 2 || got.answer.Usage.RecomputedTokens != 0 {
			t.Errorf("usage is %+v, expected 2 attempts and no recomputed tokens", got.answer.Usage)
		}
		return
	}
	t.Fatal("the entry node was the dispatcher of all 20 runs, so that no other could be killed")
}

// engineStates returns the states of all engines.
func engineStates(t *testing.T, cluster *process.Cluster) []cloud.EngineState {
	t.Helper()
	var states []cloud.EngineState
	if err := process.DoJSON(http.MethodGet, cluster.CloudURL+"/control/engines", nil, &states); err != nil {
		t.Fatal(err)
	}
	return states
}

// countDecodedTokens returns the number of tokens that all engines have decoded.
func countDecodedTokens(t *testing.T, cluster *process.Cluster) int64 {
	t.Helper()
	var tokens int64
	for _, e := range engineStates(t, cluster) {
		tokens += e.Stats.DecodedTokens
	}
	return tokens
}

// waitForDispatcher waits until the only run in progress has decoded more than 5 tokens, and returns its dispatcher: with
// one node in each failure domain, this is the node in the failure domain of the engine. decodedBefore is the number of
// tokens that all engines had decoded before the run.
func waitForDispatcher(t *testing.T, cluster *process.Cluster, decodedBefore int64) *process.Node {
	t.Helper()
	var domain string
	err := process.WaitFor("a run in progress", func() bool {
		newTokens := countDecodedTokens(t, cluster) - decodedBefore
		for _, e := range engineStates(t, cluster) {
			if e.Running > 0 && newTokens > 5 {
				domain = e.FailureDomain
			}
		}
		return domain != ""
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range cluster.Nodes {
		if n.FailureDomain == domain {
			return n
		}
	}
	t.Fatalf("no node in failure domain %s", domain)
	return nil
}

// waitForIdleEngines waits until no engine has a run in progress.
func waitForIdleEngines(t *testing.T, cluster *process.Cluster) {
	t.Helper()
	err := process.WaitFor("engines without runs", func() bool {
		for _, e := range engineStates(t, cluster) {
			if e.Running > 0 {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
}
