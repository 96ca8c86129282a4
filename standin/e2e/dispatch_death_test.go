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

// TestDispatcherDeathRecomputesNothing guards against a second prefill when the dispatcher of a run dies while its engine
// goes on.
func TestDispatcherDeathRecomputesNothing(t *testing.T) {
	user := users.Zlato()
	cluster := startUser(t, user, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const tokens = 300
	for i := range 20 {
		content := fmt.Sprintf("a dossier about a chalice, part %d", i)
		before := decoded(t, cluster)
		runCtx, stop := context.WithCancel(ctx)
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
		dispatcher := dispatcherOfRun(t, cluster, before)
		if dispatcher == cluster.Nodes[0] {
			// The entry node itself dispatches this run. Another prompt may have another dispatcher.
			stop()
			<-results
			waitIdle(t, cluster)
			continue
		}
		dispatcher.Kill()
		got := <-results
		stop()
		checkWhole(t, content, tokens, got.answer, got.err)
		if got.answer.Usage.Attempts != 2 || got.answer.Usage.RecomputedTokens != 0 {
			t.Errorf("usage %+v, expected 2 attempts and nothing recomputed", got.answer.Usage)
		}
		return
	}
	t.Fatal("the entry node dispatched 20 runs out of 20")
}

func engines(t *testing.T, cluster *process.Cluster) []cloud.EngineState {
	t.Helper()
	var states []cloud.EngineState
	if err := process.DoJSON(http.MethodGet, cluster.CloudURL+"/control/engines", nil, &states); err != nil {
		t.Fatal(err)
	}
	return states
}

func decoded(t *testing.T, cluster *process.Cluster) int64 {
	t.Helper()
	var tokens int64
	for _, e := range engines(t, cluster) {
		tokens += e.Stats.DecodedTokens
	}
	return tokens
}

// dispatcherOfRun waits until the only run has made a few tokens more than were made before it and returns the node that dispatches to it: with one
// node in each failure domain the one of the engine's.
func dispatcherOfRun(t *testing.T, cluster *process.Cluster, before int64) *process.Node {
	t.Helper()
	var domain string
	err := process.WaitFor("a running engine", func() bool {
		made := decoded(t, cluster) - before
		for _, e := range engines(t, cluster) {
			if e.Running > 0 && made > 5 {
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

func waitIdle(t *testing.T, cluster *process.Cluster) {
	t.Helper()
	err := process.WaitFor("idle engines", func() bool {
		for _, e := range engines(t, cluster) {
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
