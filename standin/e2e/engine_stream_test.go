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

// TestEngineStreamIsResumed guards against a second prefill, or a request that hangs, when the connection to an engine is
// closed or stays open without carrying data while the engine continues the run.
func TestEngineStreamIsResumed(t *testing.T) {
	for _, fault := range []string{"silence", "cut"} {
		t.Run(fault, func(t *testing.T) {
			user := users.Zlato()
			cluster := startCluster(t, user, 1, withHostProxies)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			const tokens = 300
			content := "a dossier about a silent bell"
			address := cluster.Nodes[0].CallerAddress
			type result struct {
				answer caller.Answer
				err    error
			}
			results := make(chan result, 1)
			go func() {
				answer, err := caller.New(user.Token, address).Chat(ctx, address, user.Model, content, tokens, "")
				results <- result{answer, err}
			}()
			var busiest cloud.BusiestHost
			err := process.WaitFor("a busy host", func() bool {
				return process.DoJSON(http.MethodGet, cluster.CloudURL+"/control/busiest", nil, &busiest) == nil && busiest.Host != ""
			})
			if err != nil {
				t.Fatal(err)
			}
			if err := process.DoJSON(http.MethodPost, cluster.CloudURL+"/control/hosts/"+busiest.Host+"/"+fault, nil, nil); err != nil {
				t.Fatal(err)
			}
			got := <-results
			checkAnswer(t, content, tokens, got.answer, got.err)
			if got.answer.Usage.Attempts != 1 || got.answer.Usage.RecomputedTokens != 0 {
				t.Errorf("usage is %+v, expected 1 attempt and no recomputed tokens", got.answer.Usage)
			}
		})
	}
}

// withHostProxies puts a fault proxy before each host.
func withHostProxies(clusterConfig *process.ClusterConfig) {
	groups := append([]cloud.Group(nil), clusterConfig.HostGroups...)
	for i := range groups {
		groups[i].Proxied = true
	}
	clusterConfig.HostGroups = groups
}
