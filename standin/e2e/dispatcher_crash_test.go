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

// TestDispatcherCrashCausesNoRecomputation guards against a second prefill when the dispatcher of a run dies while its engine
// goes on.
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
		address := cluster.Nodes[0].Caller
		go func() {
			answer, err := caller.New(user.Token, address).Chat(runCtx, address, user.Model, content, tokens, "")
			results <- result{answer, err}
		}()
		dispatcher := waitForDispatcher(t, cluster, decodedBefore)
		if dispatcher == cluster.Nodes[0] {
			// The entry node itself dispatches this run. Another prompt may have another dispatcher.
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
			t.Errorf("usage %+v, expected 2 attempts and nothing recomputed", got.answer.Usage)
		}
		return
	}
	t.Fatal("the entry node dispatched 20 runs out of 20")
}

func engineStates(t *testing.T, cluster *process.Cluster) []cloud.EngineState {
	t.Helper()
	var states []cloud.EngineState
	if err := process.Control(http.MethodGet, cluster.Cloud+"/control/engines", nil, &states); err != nil {
		t.Fatal(err)
	}
	return states
}

func countDecodedTokens(t *testing.T, cluster *process.Cluster) int64 {
	t.Helper()
	var tokens int64
	for _, e := range engineStates(t, cluster) {
		tokens += e.Stats.DecodedTokens
	}
	return tokens
}

// waitForDispatcher waits until the only run has made a few tokens more than were made before it and returns the node that dispatches to it: with one
// node in each failure domain the one of the engine's.
func waitForDispatcher(t *testing.T, cluster *process.Cluster, decodedBefore int64) *process.Node {
	t.Helper()
	var domain string
	err := process.WaitFor("a running engine", func() bool {
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

func waitForIdleEngines(t *testing.T, cluster *process.Cluster) {
	t.Helper()
	err := process.WaitFor("idle engines", func() bool {
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
