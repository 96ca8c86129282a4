package e2e

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// TestAnswerSurvivesRunnerCrash guards against an answer that is cut off, doubled or mixed up when its runner dies.
func TestAnswerSurvivesRunnerCrash(t *testing.T) {
	user := users.Zlato()
	cluster := startUser(t, user, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := caller.New(user.Token, cluster.Nodes[0].Caller)
	addresses, err := c.FetchAddresses(ctx)
	if err != nil {
		t.Fatal(err)
	}
	const tokens = 200
	content := "a dossier about a cracked bowl"
	type result struct {
		answer caller.Answer
		err    error
	}
	results := make(chan result, 1)
	go func() {
		answer, err := c.Chat(ctx, addresses.Addresses[0].Address, user.Model, content, tokens, "")
		results <- result{answer, err}
	}()
	var busy struct {
		Host string `json:"host"`
	}
	err = process.WaitFor("a busy host", func() bool {
		return process.Control(http.MethodGet, cluster.Cloud+"/control/busiest", nil, &busy) == nil && busy.Host != ""
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Control(http.MethodPost, cluster.Cloud+"/control/hosts/"+busy.Host+"/crash", nil, nil); err != nil {
		t.Fatal(err)
	}
	got := <-results
	if got.err != nil {
		t.Fatal(got.err)
	}
	if !slices.Equal(got.answer.Tokens, engine.Answer(caller.Prompt(content), tokens)) {
		t.Errorf("answer differs from the expected one: %d tokens, expected %d", len(got.answer.Tokens), tokens)
	}
	if got.answer.Usage.Attempts < 2 {
		t.Errorf("answer took %d attempts, expected at least 2 after a crash", got.answer.Usage.Attempts)
	}
}
