package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// TestEngineStreamIsResumed guards against a second prefill, or a request that hangs, when the connection to an engine
// breaks or goes silent while the engine goes on.
func TestEngineStreamIsResumed(t *testing.T) {
	for _, fault := range []string{"silence", "cut"} {
		t.Run(fault, func(t *testing.T) {
			user := users.Zlato()
			cluster := startUser(t, user, 1, proxied)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			const tokens = 300
			content := "a dossier about a silent bell"
			address := cluster.Nodes[0].Caller
			type result struct {
				answer caller.Answer
				err    error
			}
			results := make(chan result, 1)
			go func() {
				answer, err := caller.New(user.Token, address).Chat(ctx, address, user.Model, content, tokens, "")
				results <- result{answer, err}
			}()
			var busy cloud.BusiestHost
			err := process.WaitFor("a busy host", func() bool {
				return process.Control(http.MethodGet, cluster.Cloud+"/control/busiest", nil, &busy) == nil && busy.Host != ""
			})
			if err != nil {
				t.Fatal(err)
			}
			if err := process.Control(http.MethodPost, cluster.Cloud+"/control/hosts/"+busy.Host+"/"+fault, nil, nil); err != nil {
				t.Fatal(err)
			}
			got := <-results
			checkWhole(t, content, tokens, got.answer, got.err)
			if got.answer.Usage.Attempts != 1 || got.answer.Usage.RecomputedTokens != 0 {
				t.Errorf("usage %+v, expected 1 attempt and nothing recomputed", got.answer.Usage)
			}
		})
	}
}

func proxied(plan *process.Plan) {
	groups := append([]cloud.Group(nil), plan.Groups...)
	for i := range groups {
		groups[i].Proxied = true
	}
	plan.Groups = groups
}
