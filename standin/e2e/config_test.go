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
	standinapi "chestnutrudder.example/standin/objectapi"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// longBound is for waits that include the take-over of a lease or the 30 s of a cut-off node. It only ends a test that
// would hang.
const longBound = 90 * time.Second

func eventually(t *testing.T, what string, bound time.Duration, condition func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > bound {
			t.Fatalf("%s: not seen within %s", what, bound)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started)
}

// organisationFile writes a file with one organisation.
func organisationFile(t *testing.T, name string, share int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), fmt.Sprintf("%s-%d.yaml", name, share))
	text := fmt.Sprintf("kind: Organisation\nname: %s\norganisation:\n  tokenSHA256: [\"%064x\"]\n  share: %d\n  maxInProgress: 5\n", name, len(name), share)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func apply(t *testing.T, cluster *process.Cluster, file string) {
	t.Helper()
	if out, err := cluster.Ctl("apply", "-f", file); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}

func setFaults(t *testing.T, cluster *process.Cluster, faults standinapi.Faults) {
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

// status returns the line of one object from rudderctl status.
func status(cluster *process.Cluster, id string) (line string, inForceSince int64) {
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

// waitInForce waits until the written version of an object is accepted and in force on all given nodes.
func waitInForce(t *testing.T, cluster *process.Cluster, id string, bound time.Duration, nodes []*process.Node) {
	t.Helper()
	eventually(t, id+" accepted", bound, func() bool { state, _ := status(cluster, id); return state == "accepted" })
	_, number := status(cluster, id)
	for _, n := range nodes {
		eventually(t, fmt.Sprintf("revision %d on %s", number, n.Name), bound, func() bool { return n.Revision() >= number })
	}
}

// watchRevisions reports a node whose revision decreases until the returned function is called.
func watchRevisions(t *testing.T, nodes []*process.Node) (stop func()) {
	done := make(chan struct{})
	var watching sync.WaitGroup
	for _, n := range nodes {
		watching.Add(1)
		go func() {
			defer watching.Done()
			highest := int64(0)
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if number := n.Revision(); number > 0 && number < highest {
					t.Errorf("%s went from revision %d to %d", n.Name, highest, number)
				} else {
					highest = max(highest, number)
				}
			}
		}()
	}
	return func() { close(done); watching.Wait() }
}

// TestConfigRacingOperators guards against a change of one operator that another overwrites unseen.
func TestConfigRacingOperators(t *testing.T) {
	cluster := startUser(t, users.Zlato(), 1, nil)
	apply(t, cluster, organisationFile(t, "guild", 1))
	type result struct {
		out  string
		code int
	}
	results := make([]result, 2)
	var operators sync.WaitGroup
	for i := range results {
		file := organisationFile(t, "guild", 10+i)
		operators.Add(1)
		go func() {
			defer operators.Done()
			out, err := cluster.Ctl("apply", "-f", file, "--expect-version", "1")
			results[i].out = out
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				results[i].code = exit.ExitCode()
			}
		}()
	}
	operators.Wait()
	winner, loser := results[0], results[1]
	if winner.code != command.ExitOK {
		winner, loser = loser, winner
	}
	if winner.code != command.ExitOK || loser.code != command.ExitConflict || !strings.Contains(loser.out, "organisation.share: present 1") {
		t.Errorf("results: %+v", results)
	}
	waitInForce(t, cluster, "Organisation/guild", longBound, cluster.Nodes)
}

// TestConfigLostAnswers guards against a write that is repeated, given up or left half done when its answer is lost.
func TestConfigLostAnswers(t *testing.T) {
	cluster := startUser(t, users.Zlato(), 1, nil)
	stop := watchRevisions(t, cluster.Nodes)
	defer stop()
	for share := 1; share <= 5; share++ {
		setFaults(t, cluster, standinapi.Faults{LoseAnswers: 2 * share})
		apply(t, cluster, organisationFile(t, "guild", share))
		waitInForce(t, cluster, "Organisation/guild", longBound, cluster.Nodes)
		out, err := cluster.Ctl("get", "Organisation/guild", "-o", "json")
		if want := fmt.Sprintf("\"version\": %d", share); err != nil || !strings.Contains(out, want) {
			t.Errorf("after change %d: error %v, expected %s in %s", share, err, want, out)
		}
	}
}

// TestConfigFromPeer guards against a node that cannot start during an outage of the object API although its neighbours
// have the configuration, and against one that is ready without any.
func TestConfigFromPeer(t *testing.T) {
	user := users.Zlato()
	cluster := startUser(t, user, 1, nil)
	apply(t, cluster, organisationFile(t, "guild", 1))
	waitInForce(t, cluster, "Organisation/guild", longBound, cluster.Nodes)
	number := cluster.Nodes[0].Revision()
	setFaults(t, cluster, standinapi.Faults{Down: true})
	ready := func(n *process.Node) bool {
		return process.Control(http.MethodGet, "http://"+n.Admin+"/ready", nil, nil) == nil
	}
	alone, err := cluster.StartNode(user.FailureDomains[0])
	if err != nil {
		t.Fatal(err)
	}
	informed, err := cluster.StartNode(user.FailureDomains[0], "--peers", cluster.Nodes[1].Peer)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "readiness with a snapshot from a peer", longBound, func() bool { return ready(informed) })
	if got := informed.Revision(); got != number {
		t.Errorf("revision %d from a peer, expected %d", got, number)
	}
	if ready(alone) || alone.Revision() != 0 {
		t.Error("a node without object API and peers is ready")
	}
	setFaults(t, cluster, standinapi.Faults{})
	eventually(t, "readiness after the outage", longBound, func() bool { return ready(alone) && alone.Revision() == number })
}

// TestConfigPausedAcceptor guards against an acceptor that blocks changes while it is paused, or that spoils the
// configuration when it resumes.
func TestConfigPausedAcceptor(t *testing.T) {
	cluster := startUser(t, users.Zlato(), 2, nil)
	apply(t, cluster, organisationFile(t, "guild", 1))
	waitInForce(t, cluster, "Organisation/guild", longBound, cluster.Nodes)
	var held struct {
		Holder string `json:"holder"`
	}
	readObject(t, cluster, "leases/revision", &held)
	var paused *process.Node
	var others []*process.Node
	for _, n := range cluster.Nodes {
		if strings.HasPrefix(held.Holder, n.Name+"/") {
			paused = n
		} else {
			others = append(others, n)
		}
	}
	if paused == nil {
		t.Fatalf("holder %q is no node", held.Holder)
	}
	stop := watchRevisions(t, others)
	defer stop()
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	apply(t, cluster, organisationFile(t, "guild", 2))
	waitInForce(t, cluster, "Organisation/guild", longBound, others)
	if err := paused.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	apply(t, cluster, organisationFile(t, "guild", 3))
	waitInForce(t, cluster, "Organisation/guild", longBound, cluster.Nodes)
	var pointer revision.Pointer
	readObject(t, cluster, revision.CurrentKey, &pointer)
	if pointer.FencingToken < 2 || len(pointer.RetainedKeys) > 5 {
		t.Errorf("pointer after the take-over: %+v", pointer)
	}
}

// TestConfigInForceEverywhere reports how long a change takes to be in force on all nodes, and guards against one that
// does not get there. Requirement H7 asks for 4 s; the bound only ends a test that would hang.
func TestConfigInForceEverywhere(t *testing.T) {
	cluster := startUser(t, users.Duwende(), 3, nil)
	for share := 1; share <= 5; share++ {
		started := time.Now()
		apply(t, cluster, organisationFile(t, "guild", share))
		waitInForce(t, cluster, "Organisation/guild", 20*time.Second, cluster.Nodes)
		t.Logf("change %d was in force on %d nodes after %s", share, len(cluster.Nodes), time.Since(started).Round(time.Millisecond))
	}
}

// TestConfigExplain guards against decisions that operators cannot find, and against a status without ready runners.
func TestConfigExplain(t *testing.T) {
	user := users.Zlato()
	cluster := startUser(t, user, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := caller.New(user.Token, cluster.Nodes[0].Caller).Chat(ctx, cluster.Nodes[0].Caller, user.Model, "a short question", 10, "")
	if err != nil {
		t.Fatal(err)
	}
	out, err := cluster.Ctl("explain", "run", answer.RunID, "-o", "json")
	var decisions []decision.Decision
	if err != nil || json.Unmarshal([]byte(out), &decisions) != nil {
		t.Fatalf("error %v, output %s", err, out)
	}
	parts := map[string]string{}
	for _, d := range decisions {
		parts[d.Part] = d.Choice
	}
	if parts["entry"] == "" || parts["dispatch"] == "" {
		t.Errorf("decisions about a run: %s", out)
	}
	if out, err = cluster.Ctl("explain", "host", parts["dispatch"]); err != nil || !strings.Contains(out, answer.RunID) {
		t.Errorf("decisions about its host: error %v, output %s", err, out)
	}
	eventually(t, "ready runners in the status", longBound, func() bool {
		out, err := cluster.Ctl("status", "Deployment/commission-service", "-o", "json")
		return err == nil && strings.Contains(out, `"readyRunners": 3`)
	})
}

// TestConfigCutOffNode guards against a cut-off node that stays ready for new callers or that stops serving.
func TestConfigCutOffNode(t *testing.T) {
	user := users.Zlato()
	user.FailureDomains = user.FailureDomains[:1]
	cluster := startUser(t, user, 1, func(plan *process.Plan) { plan.Proxies = true })
	node := cluster.Nodes[0]
	cluster.ObjectAPIProxy.SetRefuse(true)
	cluster.ObjectAPIProxy.Cut()
	ready := func() bool { return process.Control(http.MethodGet, "http://"+node.Admin+"/ready", nil, nil) == nil }
	after := eventually(t, "no readiness", longBound, func() bool { return !ready() })
	t.Logf("not ready after %s", after.Round(time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := caller.New(user.Token, node.Caller).Chat(ctx, node.Caller, user.Model, "a short question", 10, "")
	if err != nil || len(answer.Tokens) != 10 {
		t.Errorf("answer of a cut-off node: %d tokens, error %v", len(answer.Tokens), err)
	}
	cluster.ObjectAPIProxy.SetRefuse(false)
	eventually(t, "readiness after the outage", longBound, ready)
}
