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

	rudderapi "chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/rollout"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// TestFleetRecoversFromWaveWithRefusedStarts guards against a deployment that stays without runners when a failure
// domain's reclaimable hosts go at once and the cloud refuses to start reclaimable ones.
func TestFleetRecoversFromWaveWithRefusedStarts(t *testing.T) {
	user := users.Zlato()
	cluster := startUser(t, user, 1, func(p *process.ClusterConfig) {
		// The fleet starts at the deployment's minimum of 6, so that every loss must be replaced.
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
	var started []string
	err := process.WaitFor("an on-demand replacement", func() bool {
		var hosts []cloud.Host
		if process.DoJSON(http.MethodGet, cluster.CloudURL+"/v1/hosts", nil, &hosts) != nil {
			return false
		}
		started = nil
		onDemand := 0
		for _, h := range hosts {
			if h.Deployment == user.HostGroups[0].Deployment && !h.Reclaimable && h.State == cloud.HostLive {
				onDemand++
				started = append(started, h.Name)
			}
		}
		return onDemand > len(user.FailureDomains)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("on-demand hosts: %v", started)
	askWhole(t, user, cluster, 40)
}

// askWhole sends one message to each node and checks the answers.
func askWhole(t *testing.T, user users.User, cluster *process.Cluster, tokens int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for i, n := range cluster.Nodes {
		content := fmt.Sprintf("a question to node %d", i)
		answer, err := caller.New(user.Token, n.CallerAddress).Chat(ctx, n.CallerAddress, user.Model, content, tokens, "")
		if err != nil {
			t.Errorf("node %s: %v", n.Name, err)
			continue
		}
		if !slices.Equal(answer.Tokens, engine.Answer(caller.Prompt(content), tokens)) {
			t.Errorf("node %s: the answer is not its own or not whole", n.Name)
		}
	}
}

// changeModelVersion applies the user's objects with another model version.
func changeModelVersion(t *testing.T, user users.User, cluster *process.Cluster, version string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "examples", user.Name, "objects.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	old := user.HostGroups[0].ModelVersion
	file := filepath.Join(t.TempDir(), "objects.yaml")
	changed := strings.ReplaceAll(string(raw), old, version)
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := cluster.Rudderctl("apply", "-f", file); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}

// waitForRollout waits until the rollout of a deployment has ended with a version.
func waitForRollout(t *testing.T, cluster *process.Cluster, deployment, target string) rollout.State {
	t.Helper()
	store := rudderapi.NewClient(cluster.ObjectAPIURL, nil)
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
	t.Fatalf("rollout of %s to %s has not ended: %+v", deployment, target, state)
	return state
}

// TestRolloutIsReversedWhenVersionFails guards against a failing model version that reaches every runner, against answers
// that are lost while versions change, and against a rollout that never ends.
func TestRolloutIsReversedWhenVersionFails(t *testing.T) {
	user := users.Zlato()
	deployment, first := user.HostGroups[0].Deployment, user.HostGroups[0].ModelVersion
	cluster := startUser(t, user, 1, func(p *process.ClusterConfig) {
		for i := range p.HostGroups {
			p.HostGroups[i].Count = 1
		}
	})
	waitForRollout(t, cluster, deployment, first)
	stop := make(chan struct{})
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		for {
			askWhole(t, user, cluster, 60)
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	changeModelVersion(t, user, cluster, "dossiers-good")
	if state := waitForRollout(t, cluster, deployment, "dossiers-good"); state.Phase != rollout.PhaseDone {
		t.Errorf("rollout of a good version ended %s: %s", state.Phase, state.Reason)
	}
	faults := map[string]any{"faults": map[string]any{"crash_versions": []string{"dossiers-bad"}}}
	if err := process.DoJSON(http.MethodPut, cluster.CloudURL+"/control/engine-faults", faults, nil); err != nil {
		t.Fatal(err)
	}
	changeModelVersion(t, user, cluster, "dossiers-bad")
	state := waitForRollout(t, cluster, deployment, "dossiers-bad")
	if state.Phase != rollout.PhaseReversed {
		t.Errorf("rollout of a bad version ended %s", state.Phase)
	}
	t.Logf("reversed: %s", state.Reason)
	close(stop)
	<-asked
}
