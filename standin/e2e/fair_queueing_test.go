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

// withLongQueue makes a plan with one runner in each failure domain, in which requests may wait for a minute, so that nothing is
// refused because the machine is slow, and the largest organisation may have 600 requests in progress.
func withLongQueue(t *testing.T) func(*process.Plan) {
	return func(plan *process.Plan) {
		raw, err := os.ReadFile(plan.ObjectFiles[0])
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(string(raw), "longTokens: 512", "longTokens: 64\n  queueMilliseconds: 60000")
		text = strings.ReplaceAll(text, "maxInProgress: 300", "maxInProgress: 600")
		file := filepath.Join(t.TempDir(), "objects.yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		plan.ObjectFiles = []string{file}
		var groups []cloud.Group
		for _, g := range plan.Groups {
			if !g.Reclaimable {
				groups = append(groups, g)
			}
		}
		plan.Groups = groups
	}
}

// TestFairQueueingBetweenOrganisations guards against short questions of small organisations that wait behind all requests
// that a large one has sent before.
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
			address := cluster.Nodes[i%len(cluster.Nodes)].Caller
			answer, err := caller.New(user.Tokens[0], address).Chat(ctx, address, user.Model, content, longTokens, "")
			answeredCount.Add(1)
			checkAnswer(t, content, longTokens, answer, err)
		})
	}
	err := process.WaitFor("all slots busy", func() bool {
		var engines []cloud.EngineState
		running := 0
		if process.Control(http.MethodGet, cluster.Cloud+"/control/engines", nil, &engines) != nil {
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
			address := cluster.Nodes[i%len(cluster.Nodes)].Caller
			answer, err := caller.New(user.Tokens[1+i%4], address).Chat(ctx, address, user.Model, content, shortTokens, "")
			checkAnswer(t, content, shortTokens, answer, err)
		})
	}
	shortCallers.Wait()
	// In the order of arrival the questions get slots after the last long request has one, which is when all others but
	// one batch have been answered.
	got := answeredCount.Load()
	t.Logf("%d of %d long requests were answered before the last question", got, longRequests)
	if got >= longRequests-slots {
		t.Errorf("%d of %d long requests were answered before the last question, expected fewer than %d", got, longRequests, longRequests-slots)
	}
	longCallers.Wait()
}
