package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	rudderobjectapi "chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/rollout"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// TestFleetReplacesReclaimedHostsWithOnDemand guards against a deployment whose lost runners are not replaced when all
// reclaimable hosts of a failure domain are reclaimed at once and the cloud refuses to start new reclaimable hosts.
func TestFleetReplacesReclaimedHostsWithOnDemand(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 1, func(p *process.ClusterConfig) {
		// The fleet starts at the deployment's minimum of 6 runners, so that each lost one must be replaced.
		for i := range p.HostGroups {
			if p.HostGroups[i].Reclaimable {
				p.HostGroups[i].Count = 1
			}
		}
	})
	settings := map[string]any{"refusals": []map[string]any{{"reclaimable": true}}, "start_ms": 200}
	if err := process.DoJSON(http.MethodPut, cluster.CloudURL+"/control/settings", settings, nil); err != nil {
		t.Fatal(err)
	}
	reclaim := map[string]any{"failure_domain": user.FailureDomains[0], "notice_ms": 1000}
	if err := process.DoJSON(http.MethodPost, cluster.CloudURL+"/control/reclaim", reclaim, nil); err != nil {
		t.Fatal(err)
	}
	var onDemandHosts []string
	err := process.WaitFor("an on-demand replacement", func() bool {
		var hosts []cloud.Host
		if process.DoJSON(http.MethodGet, cluster.CloudURL+"/v1/hosts", nil, &hosts) != nil {
			return false
		}
		onDemandHosts = nil
		onDemandCount := 0
		for _, h := range hosts {
			if h.Deployment == user.HostGroups[0].Deployment && !h.Reclaimable && h.State == cloud.HostLive {
				onDemandCount++
				onDemandHosts = append(onDemandHosts, h.Name)
			}
		}
		return onDemandCount > len(user.FailureDomains)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("live on-demand hosts: %v", onDemandHosts)
	checkAnswerFromEachNode(t, user, cluster, 40)
}

// checkAnswerFromEachNode sends a request to each node and checks that each answer is complete and correct.
func checkAnswerFromEachNode(t *testing.T, user users.User, cluster *process.Cluster, tokens int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for i, n := range cluster.Nodes {
		content := fmt.Sprintf("a question to node %d", i)
		answer, err := caller.New(user.Token, n.CallerAddress).Chat(ctx, n.CallerAddress, user.Model, content, tokens, "")
		if err != nil {
			t.Errorf("request to node %s: %v", n.Name, err)
			continue
		}
		if !slices.Equal(answer.Tokens, engine.Answer(caller.Prompt(content), tokens)) {
			t.Errorf("node %s: the answer is incomplete or belongs to another request", n.Name)
		}
	}
}

// changeModelVersion applies the user's objects with their model version replaced by another.
func changeModelVersion(t *testing.T, user users.User, cluster *process.Cluster, newVersion string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "examples", user.Name, "objects.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	currentVersion := user.HostGroups[0].ModelVersion
	file := filepath.Join(t.TempDir(), "objects.yaml")
	changed := strings.ReplaceAll(string(raw), currentVersion, newVersion)
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := cluster.Rudderctl("apply", "-f", file); err != nil {
		t.Fatalf("rudderctl apply: %v: %s", err, out)
	}
}

// waitForRollout waits until the rollout of a deployment to the target version is done or reversed, and returns its state.
func waitForRollout(t *testing.T, cluster *process.Cluster, deployment, target string) rollout.State {
	t.Helper()
	store := rudderobjectapi.NewClient(cluster.ObjectAPIURL, nil)
	deadline := time.Now().Add(90 * time.Second)
	var state rollout.State
	for time.Now().Before(deadline) {
		o, err := store.Get(context.Background(), rollout.StatePrefix+deployment)
		if err == nil && json.Unmarshal(o.Value, &state) == nil && state.Target == target &&
			(state.Phase == rollout.PhaseDone || state.Phase == rollout.PhaseReversed) {
			return state
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatalf("rollout of %s to %s has not ended within 90 s: %+v", deployment, target, state)
	return state
}

// TestRolloutReversedWhenVersionFails guards against a model version that crashes its engines and yet reaches all runners,
// against answers that are lost during a rollout, and against a rollout that never ends.
func TestRolloutReversedWhenVersionFails(t *testing.T) {
	user := users.Zlato()
	deployment, initialVersion := user.HostGroups[0].Deployment, user.HostGroups[0].ModelVersion
	cluster := startCluster(t, user, 1, func(p *process.ClusterConfig) {
		for i := range p.HostGroups {
			p.HostGroups[i].Count = 1
		}
	})
	waitForRollout(t, cluster, deployment, initialVersion)
	stop := make(chan struct{})
	requestsDone := make(chan struct{})
	go func() {
		defer close(requestsDone)
		for {
			checkAnswerFromEachNode(t, user, cluster, 60)
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	changeModelVersion(t, user, cluster, "dossiers-good")
	if state := waitForRollout(t, cluster, deployment, "dossiers-good"); state.Phase != rollout.PhaseDone {
		t.Errorf("rollout of a working version ended in phase %s: %s", state.Phase, state.Reason)
	}
	faults := map[string]any{"faults": map[string]any{"crash_versions": []string{"dossiers-bad"}}}
	if err := process.DoJSON(http.MethodPut, cluster.CloudURL+"/control/engine-faults", faults, nil); err != nil {
		t.Fatal(err)
	}
	changeModelVersion(t, user, cluster, "dossiers-bad")
	state := waitForRollout(t, cluster, deployment, "dossiers-bad")
	if state.Phase != rollout.PhaseReversed {
		t.Errorf("rollout of a crashing version ended in phase %s, expected a reversal", state.Phase)
	}
	t.Logf("rollout was reversed: %s", state.Reason)
	close(stop)
	<-requestsDone
}
