package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/command"
	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/revision"

	"chestnutrudder.example/standin/caller"
	standinobjectapi "chestnutrudder.example/standin/objectapi"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// convergenceTimeout bounds waits that include the take-over of a lease, or the 30 s after which a node without the
// object API is no longer ready. It only ends a test that would hang.
const convergenceTimeout = 90 * time.Second

// eventually polls a condition until it holds and returns how long that took. It fails the test after the timeout.
func eventually(t *testing.T, description string, timeout time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			t.Fatalf("%s: not seen within %s", description, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// writeOrganisationFile writes an object file with one organisation and returns its path.
func writeOrganisationFile(t *testing.T, name string, share int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), fmt.Sprintf("%s-%d.yaml", name, share))
	text := fmt.Sprintf(
		"kind: Organisation\nname: %s\norganisation:\n  tokenSHA256: [\"%064x\"]\n  share: %d\n  maxInProgress: 5\n",
		name, len(name), share,
	)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// applyFile applies an object file with rudderctl.
func applyFile(t *testing.T, cluster *process.Cluster, file string) {
	t.Helper()
	if out, err := cluster.Rudderctl("apply", "-f", file); err != nil {
		t.Fatalf("rudderctl apply: %v: %s", err, out)
	}
}

// setObjectAPIFaults replaces the faults that the object API injects; the zero value ends them.
func setObjectAPIFaults(t *testing.T, cluster *process.Cluster, faults standinobjectapi.Faults) {
	t.Helper()
	if err := process.DoJSON(http.MethodPut, cluster.ObjectAPIURL+"/control/faults", faults, nil); err != nil {
		t.Fatal(err)
	}
}

// readObject decodes the value of a key from the object API into out.
func readObject(t *testing.T, cluster *process.Cluster, key string, out any) {
	t.Helper()
	var o objectapi.Object
	if err := process.DoJSON(http.MethodGet, cluster.ObjectAPIURL+"/v1/objects/"+key, nil, &o); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(o.Value, out); err != nil {
		t.Fatal(err)
	}
}

// objectStatus returns the state of an object and the first revision that contains its active version, as rudderctl
// status reports them; "" and 0 on an error.
func objectStatus(cluster *process.Cluster, id string) (state string, acceptedRevision int64) {
	out, err := cluster.Rudderctl("status", id, "-o", "json")
	var decoded struct {
		Objects []struct {
			State  string
			Status struct{ Revision int64 }
		}
	}
	if err != nil || json.Unmarshal([]byte(out), &decoded) != nil || len(decoded.Objects) != 1 {
		return "", 0
	}
	return decoded.Objects[0].State, decoded.Objects[0].Status.Revision
}

// waitUntilInForce waits until the written version of an object is accepted and in force on all given nodes.
func waitUntilInForce(t *testing.T, cluster *process.Cluster, id string, timeout time.Duration, nodes []*process.Node) {
	t.Helper()
	eventually(t, id+" accepted", timeout, func() bool { state, _ := objectStatus(cluster, id); return state == "accepted" })
	_, acceptedRevision := objectStatus(cluster, id)
	for _, n := range nodes {
		eventually(t, fmt.Sprintf("revision %d on %s", acceptedRevision, n.Name), timeout,
			func() bool { return n.Revision() >= acceptedRevision })
	}
}

// monitorRevisions polls the revisions of the nodes until stop is called, and fails the test if one decreases.
func monitorRevisions(t *testing.T, nodes []*process.Node) (stop func()) {
	done := make(chan struct{})
	var monitors sync.WaitGroup
	for _, n := range nodes {
		monitors.Add(1)
		go func() {
			defer monitors.Done()
			highest := int64(0)
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if current := n.Revision(); current > 0 && current < highest {
					t.Errorf("revision of %s decreased from %d to %d", n.Name, highest, current)
				} else {
					highest = max(highest, current)
				}
			}
		}()
	}
	return func() { close(done); monitors.Wait() }
}

// TestConfigConcurrentChangeConflicts guards against a lost update: two operators change an object at the same time, both
// expecting version 1. One change must be applied and the other must be refused as a conflict.
func TestConfigConcurrentChangeConflicts(t *testing.T) {
	cluster := startCluster(t, users.Zlato(), 1, nil)
	applyFile(t, cluster, writeOrganisationFile(t, "guild", 1))
	type result struct {
		output   string
		exitCode int
	}
	results := make([]result, 2)
	var operators sync.WaitGroup
	for i := range results {
		file := writeOrganisationFile(t, "guild", 10+i)
		operators.Add(1)
		go func() {
			defer operators.Done()
			out, err := cluster.Rudderctl("apply", "-f", file, "--expect-version", "1")
			results[i].output = out
			var exitErr *exec.ExitError
			if errors.As(err, &exitErr) {
				results[i].exitCode = exitErr.ExitCode()
			}
		}()
	}
	operators.Wait()
	winner, loser := results[0], results[1]
	if winner.exitCode != command.ExitOK {
		winner, loser = loser, winner
	}
	if winner.exitCode != command.ExitOK || loser.exitCode != command.ExitConflict ||
		!strings.Contains(loser.output, "organisation.share: present 1") {
		t.Errorf("concurrent applies ended with %+v, expected one success and one conflict", results)
	}
	waitUntilInForce(t, cluster, "Organisation/guild", convergenceTimeout, cluster.Nodes)
}

// TestConfigLostWriteResponses guards against a change that is applied twice, abandoned or left incomplete when the object
// API performs a write but its response is lost.
func TestConfigLostWriteResponses(t *testing.T) {
	cluster := startCluster(t, users.Zlato(), 1, nil)
	stop := monitorRevisions(t, cluster.Nodes)
	defer stop()
	for share := 1; share <= 5; share++ {
		setObjectAPIFaults(t, cluster, standinobjectapi.Faults{DropResponses: 2 * share})
		applyFile(t, cluster, writeOrganisationFile(t, "guild", share))
		waitUntilInForce(t, cluster, "Organisation/guild", convergenceTimeout, cluster.Nodes)
		out, err := cluster.Rudderctl("get", "Organisation/guild", "-o", "json")
		if want := fmt.Sprintf("\"version\": %d", share); err != nil || !strings.Contains(out, want) {
			t.Errorf("rudderctl get after change %d: error %v, expected %s in %s", share, err, want, out)
		}
	}
}

// TestConfigLoadedFromPeer guards against a node that cannot start during an outage of the object API although its peers
// have the configuration, and against a node that is ready without a configuration.
func TestConfigLoadedFromPeer(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 1, nil)
	applyFile(t, cluster, writeOrganisationFile(t, "guild", 1))
	waitUntilInForce(t, cluster, "Organisation/guild", convergenceTimeout, cluster.Nodes)
	currentRevision := cluster.Nodes[0].Revision()
	setObjectAPIFaults(t, cluster, standinobjectapi.Faults{Down: true})
	isReady := func(n *process.Node) bool {
		return process.DoJSON(http.MethodGet, "http://"+n.AdminAddress+"/ready", nil, nil) == nil
	}
	isolatedNode, err := cluster.StartNode(user.FailureDomains[0])
	if err != nil {
		t.Fatal(err)
	}
	peeredNode, err := cluster.StartNode(user.FailureDomains[0], "--peers", cluster.Nodes[1].PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "readiness with a snapshot from a peer", convergenceTimeout, func() bool { return isReady(peeredNode) })
	if got := peeredNode.Revision(); got != currentRevision {
		t.Errorf("node loaded revision %d from a peer, expected %d", got, currentRevision)
	}
	if isReady(isolatedNode) || isolatedNode.Revision() != 0 {
		t.Error("node without object API and peers is ready or has a revision")
	}
	setObjectAPIFaults(t, cluster, standinobjectapi.Faults{})
	eventually(t, "readiness after the outage", convergenceTimeout, func() bool {
		return isReady(isolatedNode) && isolatedNode.Revision() == currentRevision
	})
}

// TestConfigPausedAcceptor guards against an acceptor that blocks changes while its process is paused, or that overwrites
// newer configuration with its old lease when it resumes.
func TestConfigPausedAcceptor(t *testing.T) {
	cluster := startCluster(t, users.Zlato(), 2, nil)
	applyFile(t, cluster, writeOrganisationFile(t, "guild", 1))
	waitUntilInForce(t, cluster, "Organisation/guild", convergenceTimeout, cluster.Nodes)
	var leaseRecord struct {
		Holder string `json:"holder"`
	}
	readObject(t, cluster, "leases/revision", &leaseRecord)
	var pausedNode *process.Node
	var otherNodes []*process.Node
	for _, n := range cluster.Nodes {
		if strings.HasPrefix(leaseRecord.Holder, n.Name+"/") {
			pausedNode = n
		} else {
			otherNodes = append(otherNodes, n)
		}
	}
	if pausedNode == nil {
		t.Fatalf("lease holder %q is not a node of the cluster", leaseRecord.Holder)
	}
	stop := monitorRevisions(t, otherNodes)
	defer stop()
	if err := pausedNode.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	applyFile(t, cluster, writeOrganisationFile(t, "guild", 2))
	waitUntilInForce(t, cluster, "Organisation/guild", convergenceTimeout, otherNodes)
	if err := pausedNode.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	applyFile(t, cluster, writeOrganisationFile(t, "guild", 3))
	waitUntilInForce(t, cluster, "Organisation/guild", convergenceTimeout, cluster.Nodes)
	var pointer revision.Pointer
	readObject(t, cluster, revision.PointerKey, &pointer)
	if pointer.FencingToken < 2 || len(pointer.RetainedKeys) > 5 {
		t.Errorf("revision pointer after the take-over is %+v, expected a fencing token of at least 2 and at most 5 retained keys",
			pointer)
	}
}

// TestConfigPropagationTime logs how long a change takes to be in force on all nodes, and guards against a change that
// does not reach all of them. Requirement H7 asks for 4 s; the timeout only ends a test that would hang.
func TestConfigPropagationTime(t *testing.T) {
	cluster := startCluster(t, users.Duwende(), 3, nil)
	for share := 1; share <= 5; share++ {
		start := time.Now()
		applyFile(t, cluster, writeOrganisationFile(t, "guild", share))
		waitUntilInForce(t, cluster, "Organisation/guild", 20*time.Second, cluster.Nodes)
		t.Logf("change %d was in force on %d nodes after %s", share, len(cluster.Nodes), time.Since(start).Round(time.Millisecond))
	}
}

// TestExplainAndStatus guards against decisions that rudderctl explain does not find by run or host, and against a
// deployment status without the number of ready runners.
func TestExplainAndStatus(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := caller.New(user.Token, cluster.Nodes[0].CallerAddress).Chat(ctx, cluster.Nodes[0].CallerAddress, user.Model, "a short question", 10, "")
	if err != nil {
		t.Fatal(err)
	}
	out, err := cluster.Rudderctl("explain", "run", answer.RunID, "-o", "json")
	var decisions []decision.Decision
	if err != nil || json.Unmarshal([]byte(out), &decisions) != nil {
		t.Fatalf("rudderctl explain run: error %v, output %s", err, out)
	}
	choiceByPart := map[string]string{}
	for _, d := range decisions {
		choiceByPart[d.Part] = d.Choice
	}
	if choiceByPart["entry"] == "" || choiceByPart["dispatch"] == "" {
		t.Errorf("decisions about the run lack a choice of entry or dispatch: %s", out)
	}
	if out, err = cluster.Rudderctl("explain", "host", choiceByPart["dispatch"]); err != nil || !strings.Contains(out, answer.RunID) {
		t.Errorf("rudderctl explain host: error %v, expected the run in %s", err, out)
	}
	eventually(t, "ready runners in the status", convergenceTimeout, func() bool {
		out, err := cluster.Rudderctl("status", "Deployment/commission-service", "-o", "json")
		return err == nil && strings.Contains(out, `"readyRunners": 3`)
	})
}

// TestConfigObjectAPIUnreachable guards against a node that stays ready for new callers, or stops serving requests, while
// it cannot reach the object API.
func TestConfigObjectAPIUnreachable(t *testing.T) {
	user := users.Zlato()
	user.FailureDomains = user.FailureDomains[:1]
	cluster := startCluster(t, user, 1, func(clusterConfig *process.ClusterConfig) { clusterConfig.UseFaultProxies = true })
	node := cluster.Nodes[0]
	cluster.ObjectAPIProxy.SetRefuseConnections(true)
	cluster.ObjectAPIProxy.CloseConnections()
	isReady := func() bool {
		return process.DoJSON(http.MethodGet, "http://"+node.AdminAddress+"/ready", nil, nil) == nil
	}
	elapsed := eventually(t, "loss of readiness", convergenceTimeout, func() bool { return !isReady() })
	t.Logf("node was no longer ready %s after the object API became unreachable", elapsed.Round(time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := caller.New(user.Token, node.CallerAddress).Chat(ctx, node.CallerAddress, user.Model, "a short question", 10, "")
	if err != nil || len(answer.Tokens) != 10 {
		t.Errorf("answer of a node without the object API has %d tokens (error %v), expected 10", len(answer.Tokens), err)
	}
	cluster.ObjectAPIProxy.SetRefuseConnections(false)
	eventually(t, "readiness after the outage", convergenceTimeout, isReady)
}
