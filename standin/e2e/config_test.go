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

// convergenceTimeout is for waits that include the take-over of a lease or the 30 s of a cut-off node. It only ends a test that
// would hang.
const convergenceTimeout = 90 * time.Second

func eventually(t *testing.T, what string, timeout time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			t.Fatalf("%s: not seen within %s", what, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// writeOrganisationFile writes a file with one organisation.
func writeOrganisationFile(t *testing.T, name string, share int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), fmt.Sprintf("%s-%d.yaml", name, share))
	text := fmt.Sprintf("kind: Organisation\nname: %s\norganisation:\n  tokenSHA256: [\"%064x\"]\n  share: %d\n  maxInProgress: 5\n", name, len(name), share)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func applyFile(t *testing.T, cluster *process.Cluster, file string) {
	t.Helper()
	if out, err := cluster.Ctl("apply", "-f", file); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}

func setObjectAPIFaults(t *testing.T, cluster *process.Cluster, faults standinobjectapi.Faults) {
	t.Helper()
	if err := process.Control(http.MethodPut, cluster.ObjectAPI+"/control/faults", faults, nil); err != nil {
		t.Fatal(err)
	}
}

func readObject(t *testing.T, cluster *process.Cluster, key string, out any) {
	t.Helper()
	var o objectapi.Object
	if err := process.Control(http.MethodGet, cluster.ObjectAPI+"/v1/objects/"+key, nil, &o); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(o.Value, out); err != nil {
		t.Fatal(err)
	}
}

// objectStatus returns the line of one object from rudderctl status.
func objectStatus(cluster *process.Cluster, id string) (state string, acceptedRevision int64) {
	out, err := cluster.Ctl("status", id, "-o", "json")
	var answer struct {
		Objects []struct {
			State  string
			Status struct{ Revision int64 }
		}
	}
	if err != nil || json.Unmarshal([]byte(out), &answer) != nil || len(answer.Objects) != 1 {
		return "", 0
	}
	return answer.Objects[0].State, answer.Objects[0].Status.Revision
}

// waitUntilInForce waits until the written version of an object is accepted and in force on all given nodes.
func waitUntilInForce(t *testing.T, cluster *process.Cluster, id string, timeout time.Duration, nodes []*process.Node) {
	t.Helper()
	eventually(t, id+" accepted", timeout, func() bool { state, _ := objectStatus(cluster, id); return state == "accepted" })
	_, acceptedRevision := objectStatus(cluster, id)
	for _, n := range nodes {
		eventually(t, fmt.Sprintf("revision %d on %s", acceptedRevision, n.Name), timeout, func() bool { return n.Revision() >= acceptedRevision })
	}
}

// monitorRevisions reports a node whose revision decreases until the returned function is called.
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
					t.Errorf("%s went from revision %d to %d", n.Name, highest, current)
				} else {
					highest = max(highest, current)
				}
			}
		}()
	}
	return func() { close(done); monitors.Wait() }
}

// TestConfigConcurrentChangeConflicts guards against a change of one operator that another overwrites unseen.
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
			out, err := cluster.Ctl("apply", "-f", file, "--expect-version", "1")
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
	if winner.exitCode != command.ExitOK || loser.exitCode != command.ExitConflict || !strings.Contains(loser.output, "organisation.share: present 1") {
		t.Errorf("results: %+v", results)
	}
	waitUntilInForce(t, cluster, "Organisation/guild", convergenceTimeout, cluster.Nodes)
}

// TestConfigLostWriteResponses guards against a write that is repeated, given up or left half done when its answer is lost.
func TestConfigLostWriteResponses(t *testing.T) {
	cluster := startCluster(t, users.Zlato(), 1, nil)
	stop := monitorRevisions(t, cluster.Nodes)
	defer stop()
	for share := 1; share <= 5; share++ {
		setObjectAPIFaults(t, cluster, standinobjectapi.Faults{LoseAnswers: 2 * share})
		applyFile(t, cluster, writeOrganisationFile(t, "guild", share))
		waitUntilInForce(t, cluster, "Organisation/guild", convergenceTimeout, cluster.Nodes)
		out, err := cluster.Ctl("get", "Organisation/guild", "-o", "json")
		if want := fmt.Sprintf("\"version\": %d", share); err != nil || !strings.Contains(out, want) {
			t.Errorf("after change %d: error %v, expected %s in %s", share, err, want, out)
		}
	}
}

// TestConfigLoadedFromPeer guards against a node that cannot start during an outage of the object API although its neighbours
// have the configuration, and against one that is ready without any.
func TestConfigLoadedFromPeer(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 1, nil)
	applyFile(t, cluster, writeOrganisationFile(t, "guild", 1))
	waitUntilInForce(t, cluster, "Organisation/guild", convergenceTimeout, cluster.Nodes)
	currentRevision := cluster.Nodes[0].Revision()
	setObjectAPIFaults(t, cluster, standinobjectapi.Faults{Down: true})
	isReady := func(n *process.Node) bool {
		return process.Control(http.MethodGet, "http://"+n.Admin+"/ready", nil, nil) == nil
	}
	isolatedNode, err := cluster.StartNode(user.FailureDomains[0])
	if err != nil {
		t.Fatal(err)
	}
	peeredNode, err := cluster.StartNode(user.FailureDomains[0], "--peers", cluster.Nodes[1].Peer)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "readiness with a snapshot from a peer", convergenceTimeout, func() bool { return isReady(peeredNode) })
	if got := peeredNode.Revision(); got != currentRevision {
		t.Errorf("revision %d from a peer, expected %d", got, currentRevision)
	}
	if isReady(isolatedNode) || isolatedNode.Revision() != 0 {
		t.Error("a node without object API and peers is ready")
	}
	setObjectAPIFaults(t, cluster, standinobjectapi.Faults{})
	eventually(t, "readiness after the outage", convergenceTimeout, func() bool { return isReady(isolatedNode) && isolatedNode.Revision() == currentRevision })
}

// TestConfigPausedAcceptor guards against an acceptor that blocks changes while it is paused, or that spoils the
// configuration when it resumes.
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
		t.Fatalf("holder %q is no node", leaseRecord.Holder)
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
	readObject(t, cluster, revision.CurrentKey, &pointer)
	if pointer.FencingToken < 2 || len(pointer.RetainedKeys) > 5 {
		t.Errorf("pointer after the take-over: %+v", pointer)
	}
}

// TestConfigPropagationTime reports how long a change takes to be in force on all nodes, and guards against one that
// does not get there. Requirement H7 asks for 4 s; the bound only ends a test that would hang.
func TestConfigPropagationTime(t *testing.T) {
	cluster := startCluster(t, users.Duwende(), 3, nil)
	for share := 1; share <= 5; share++ {
		start := time.Now()
		applyFile(t, cluster, writeOrganisationFile(t, "guild", share))
		waitUntilInForce(t, cluster, "Organisation/guild", 20*time.Second, cluster.Nodes)
		t.Logf("change %d was in force on %d nodes after %s", share, len(cluster.Nodes), time.Since(start).Round(time.Millisecond))
	}
}

// TestExplainAndStatus guards against decisions that operators cannot find, and against a status without ready runners.
func TestExplainAndStatus(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := caller.New(user.Token, cluster.Nodes[0].Caller).Chat(ctx, cluster.Nodes[0].Caller, user.Model, "a short question", 10, "")
	if err != nil {
		t.Fatal(err)
	}
	out, err := cluster.Ctl("explain", "run", answer.Run, "-o", "json")
	var decisions []decision.Decision
	if err != nil || json.Unmarshal([]byte(out), &decisions) != nil {
		t.Fatalf("error %v, output %s", err, out)
	}
	choiceByPart := map[string]string{}
	for _, d := range decisions {
		choiceByPart[d.Part] = d.Choice
	}
	if choiceByPart["entry"] == "" || choiceByPart["dispatch"] == "" {
		t.Errorf("decisions about a run: %s", out)
	}
	if out, err = cluster.Ctl("explain", "host", choiceByPart["dispatch"]); err != nil || !strings.Contains(out, answer.Run) {
		t.Errorf("decisions about its host: error %v, output %s", err, out)
	}
	eventually(t, "ready runners in the status", convergenceTimeout, func() bool {
		out, err := cluster.Ctl("status", "Deployment/commission-service", "-o", "json")
		return err == nil && strings.Contains(out, `"readyRunners": 3`)
	})
}

// TestConfigObjectAPIUnreachable guards against a cut-off node that stays ready for new callers or that stops serving.
func TestConfigObjectAPIUnreachable(t *testing.T) {
	user := users.Zlato()
	user.FailureDomains = user.FailureDomains[:1]
	cluster := startCluster(t, user, 1, func(plan *process.Plan) { plan.Proxies = true })
	node := cluster.Nodes[0]
	cluster.ObjectAPIProxy.SetRefuse(true)
	cluster.ObjectAPIProxy.Cut()
	isReady := func() bool { return process.Control(http.MethodGet, "http://"+node.Admin+"/ready", nil, nil) == nil }
	elapsed := eventually(t, "no readiness", convergenceTimeout, func() bool { return !isReady() })
	t.Logf("not ready after %s", elapsed.Round(time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := caller.New(user.Token, node.Caller).Chat(ctx, node.Caller, user.Model, "a short question", 10, "")
	if err != nil || len(answer.Tokens) != 10 {
		t.Errorf("answer of a cut-off node: %d tokens, error %v", len(answer.Tokens), err)
	}
	cluster.ObjectAPIProxy.SetRefuse(false)
	eventually(t, "readiness after the outage", convergenceTimeout, isReady)
}
