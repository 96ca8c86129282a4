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

// TestAnswerSurvivesRunnerCrash guards against an answer that is truncated, or has repeated or wrong tokens, after its
// model runner crashes and the run continues on another one.
func TestAnswerSurvivesRunnerCrash(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := caller.New(user.Token, cluster.Nodes[0].CallerAddress)
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
	var busiest struct {
		Host string `json:"host"`
	}
	err = process.WaitFor("a busy host", func() bool {
		return process.DoJSON(http.MethodGet, cluster.CloudURL+"/control/busiest", nil, &busiest) == nil && busiest.Host != ""
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := process.DoJSON(http.MethodPost, cluster.CloudURL+"/control/hosts/"+busiest.Host+"/crash", nil, nil); err != nil {
		t.Fatal(err)
	}
	got := <-results
	if got.err != nil {
		t.Fatal(got.err)
	}
	if !slices.Equal(got.answer.Tokens, engine.Answer(caller.Prompt(content), tokens)) {
		t.Errorf("answer has %d tokens and differs from the expected answer of %d tokens", len(got.answer.Tokens), tokens)
	}
	if got.answer.Usage.Attempts < 2 {
		t.Errorf("answer took %d attempts after the runner crashed, expected at least 2", got.answer.Usage.Attempts)
	}
}
