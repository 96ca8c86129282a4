package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// withLongQueue returns a change to a cluster configuration: one runner in each failure domain, and up to 600 requests in
// progress for the largest organisation. Requests may wait in the queue for a minute, so that none is refused because the
// test host is slow.
func withLongQueue(t *testing.T) func(*process.ClusterConfig) {
	return func(clusterConfig *process.ClusterConfig) {
		raw, err := os.ReadFile(clusterConfig.ObjectFiles[0])
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(string(raw), "longTokens: 512", "longTokens: 64\n  queueMilliseconds: 60000")
		text = strings.ReplaceAll(text, "maxInProgress: 300", "maxInProgress: 600")
		file := filepath.Join(t.TempDir(), "objects.yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		clusterConfig.ObjectFiles = []string{file}
		var groups []cloud.Group
		for _, g := range clusterConfig.HostGroups {
			if !g.Reclaimable {
				groups = append(groups, g)
			}
		}
		clusterConfig.HostGroups = groups
	}
}

// TestFairQueueingBetweenOrganisations guards against queueing in order of arrival, in which short requests of small
// organisations wait behind all requests that a large organisation has sent before.
func TestFairQueueingBetweenOrganisations(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 1, withLongQueue(t))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	const longRequests, slots, longTokens, shortTokens = 144, 48, 100, 10
	var answeredCount atomic.Int64
	var longCallers, shortCallers sync.WaitGroup
	for i := range longRequests {
		longCallers.Go(func() {
			content := fmt.Sprintf("dossier %d", i)
			address := cluster.Nodes[i%len(cluster.Nodes)].CallerAddress
			answer, err := caller.New(user.Tokens[0], address).Chat(ctx, address, user.Model, content, longTokens, "")
			answeredCount.Add(1)
			checkAnswer(t, content, longTokens, answer, err)
		})
	}
	err := process.WaitFor("runs in all slots", func() bool {
		var engines []cloud.EngineState
		running := 0
		if process.DoJSON(http.MethodGet, cluster.CloudURL+"/control/engines", nil, &engines) != nil {
			return false
		}
		for _, e := range engines {
			running += e.Running
		}
		return running == slots
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 24 {
		shortCallers.Go(func() {
			content := fmt.Sprintf("question %d", i)
			address := cluster.Nodes[i%len(cluster.Nodes)].CallerAddress
			answer, err := caller.New(user.Tokens[1+i%4], address).Chat(ctx, address, user.Model, content, shortTokens, "")
			checkAnswer(t, content, shortTokens, answer, err)
		})
	}
	shortCallers.Wait()
	// In order of arrival, the short requests would get slots only after the last long request has one. By then all long
	// requests but the last batch, one for each slot, have been answered.
	got := answeredCount.Load()
	t.Logf("%d of %d long requests were answered before the last short one", got, longRequests)
	if got >= longRequests-slots {
		t.Errorf("%d of %d long requests were answered before the last short one, expected fewer than %d",
			got, longRequests, longRequests-slots)
	}
	longCallers.Wait()
}
