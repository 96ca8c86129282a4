package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/entry"

	"chestnutrudder.example/standin/caller"
	standincloud "chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// pendingAnswers are requests in progress.
type pendingAnswers struct {
	t       *testing.T
	user    users.User
	cluster *process.Cluster
	tokens  int
	results chan chatResult
	count   int
}

type chatResult struct {
	content string
	answer  caller.Answer
	err     error
}

// averageTokensAfterPrefill: when runs have so many tokens on average, all have left the prefill.
const averageTokensAfterPrefill = 30

// startRequests sends requests with prompts of some words through the nodes and waits until all are in progress.
func startRequests(t *testing.T, cluster *process.Cluster, user users.User, nodes []*process.Node, count, words, tokens int) *pendingAnswers {
	t.Helper()
	a := &pendingAnswers{t: t, user: user, cluster: cluster, tokens: tokens, results: make(chan chatResult, count), count: count}
	for i := range count {
		content := fmt.Sprintf("dossier %d %s", i, strings.Repeat(fmt.Sprintf("w%d ", i), words))
		c := caller.New(user.Token)
		address := nodes[i%len(nodes)].Caller
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
			defer cancel()
			answer, err := c.Chat(ctx, address, user.Model, content, tokens, "")
			a.results <- chatResult{content, answer, err}
		}()
	}
	a.waitForEngines("all runs to be in progress", func(states []standincloud.EngineState) bool {
		decoded := int64(0)
		for _, s := range states {
			decoded += s.Stats.DecodedTokens
		}
		return len(a.runRecords()) >= count && decoded >= int64(count*min(tokens, averageTokensAfterPrefill))
	})
	return a
}

func (a *pendingAnswers) waitForEngines(what string, condition func([]standincloud.EngineState) bool) {
	a.t.Helper()
	err := process.WaitFor(what, func() bool {
		var states []standincloud.EngineState
		return process.Control(http.MethodGet, a.cluster.Cloud+"/control/engines", nil, &states) == nil && condition(states)
	})
	if err != nil {
		a.t.Fatal(err)
	}
}

// checkAnswers waits for all answers, which must be whole, and returns the tokens that engines computed for later attempts.
func (a *pendingAnswers) checkAnswers() int {
	a.t.Helper()
	for range a.count {
		r := <-a.results
		if r.err != nil {
			a.t.Errorf("answer failed: %v", r.err)
		} else if !slices.Equal(r.answer.Tokens, engine.Answer(caller.Prompt(r.content), a.tokens)) {
			a.t.Errorf("answer has %d tokens and differs from the expected one of %d", len(r.answer.Tokens), a.tokens)
		}
	}
	recomputed := 0
	for _, r := range a.runRecords() {
		if r.Generated > 0 {
			recomputed += r.Computed
		}
	}
	a.t.Logf("recomputed tokens: %d in %d answers", recomputed, a.count)
	return recomputed
}

func (a *pendingAnswers) runRecords() []engine.RunRecord {
	a.t.Helper()
	var records []engine.RunRecord
	if err := process.Control(http.MethodGet, a.cluster.Cloud+"/control/runs", nil, &records); err != nil {
		a.t.Fatal(err)
	}
	return records
}

func reclaimHosts(t *testing.T, cluster *process.Cluster, r standincloud.Reclaim) []string {
	t.Helper()
	var hosts []string
	if err := process.Control(http.MethodPost, cluster.Cloud+"/control/reclaim", r, &hosts); err != nil {
		t.Fatal(err)
	}
	return hosts
}

func putControl(t *testing.T, url string, body any) {
	t.Helper()
	if err := process.Control(http.MethodPut, url, body, nil); err != nil {
		t.Fatal(err)
	}
}

// busiestDomain returns the failure domain whose hosts have most runs.
func (a *pendingAnswers) busiestDomain() string {
	runs := map[string]int{}
	domain := ""
	a.waitForEngines("the engines", func(states []standincloud.EngineState) bool {
		for _, s := range states {
			runs[s.FailureDomain] += s.Running
			if domain == "" || runs[s.FailureDomain] > runs[domain] {
				domain = s.FailureDomain
			}
		}
		return domain != ""
	})
	return domain
}

// TestMembershipReclaimedFailureDomainLosesNoAnswer guards against answers that are cut off, and work that is done again, when all hosts of a
// failure domain are reclaimed on a few seconds' notice, with the object API up and down.
func TestMembershipReclaimedFailureDomainLosesNoAnswer(t *testing.T) {
	for _, objectAPIDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("object API down=%v", objectAPIDown), func(t *testing.T) {
			user := users.Zlato()
			cluster := startCluster(t, user, 2, nil)
			if objectAPIDown {
				putControl(t, cluster.ObjectAPI+"/control/faults", map[string]any{"down": true})
			}
			const count, words, tokens = 18, 300, 700
			a := startRequests(t, cluster, user, cluster.Nodes, count, words, tokens)
			domain := a.busiestDomain()
			recordsBefore := len(a.runRecords())
			reclaimedHosts := reclaimHosts(t, cluster, standincloud.Reclaim{FailureDomain: domain, OnDemandToo: true, NoticeMillis: 6000})
			movedRuns := 0
			for _, r := range a.runRecords()[:recordsBefore] {
				if slices.Contains(reclaimedHosts, r.Host) {
					movedRuns++
				}
			}
			recomputed := a.checkAnswers()
			if movedRuns == 0 {
				t.Fatal("no run was on a reclaimed host")
			}
			// Resumed by prefix, each run would compute its prompt again.
			if limit := movedRuns * words / 4; recomputed > limit {
				t.Errorf("%d tokens were recomputed for %d moved runs, expected at most %d", recomputed, movedRuns, limit)
			}
		})
	}
}

// TestMembershipStaleHostListDoesNotReviveHosts guards against new work on leaving hosts because the host list lags and shows them
// as live, with the object API down and the cloud's notices hidden from all but the engines.
func TestMembershipStaleHostListDoesNotReviveHosts(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 2, nil)
	putControl(t, cluster.ObjectAPI+"/control/faults", map[string]any{"down": true})
	putControl(t, cluster.Cloud+"/control/settings", map[string]any{"list_lag_ms": 60_000, "hide_notices": true})
	// The list goes back to its first state, which has only some of the hosts.
	reclaimedHosts := reclaimHosts(t, cluster, standincloud.Reclaim{FailureDomain: user.FailureDomains[0], OnDemandToo: true, NoticeMillis: 30_000})
	// H5 allows 3 s, and this is the time from the notice to the first request.
	time.Sleep(3 * time.Second)
	var listedHosts []cloud.Host
	if err := process.Control(http.MethodGet, cluster.Cloud+"/v1/hosts", nil, &listedHosts); err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(listedHosts, func(h cloud.Host) bool { return slices.Contains(reclaimedHosts, h.Name) && h.State == cloud.HostLive }) {
		t.Fatal("the host list does not lag, so that the test shows nothing")
	}
	a := startRequests(t, cluster, user, cluster.Nodes, 24, 10, 50)
	a.checkAnswers()
	for _, r := range a.runRecords() {
		if slices.Contains(reclaimedHosts, r.Host) {
			t.Errorf("run %s was placed on the leaving host %s", r.Run, r.Host)
		}
	}
}

// TestMembershipMoveTargetReclaimed guards against answers that are lost because the hosts that took over moved runs are
// reclaimed while the moves are in progress.
func TestMembershipMoveTargetReclaimed(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 2, nil)
	a := startRequests(t, cluster, user, cluster.Nodes, 12, 600, 500)
	firstDomain := a.busiestDomain()
	reclaimHosts(t, cluster, standincloud.Reclaim{FailureDomain: firstDomain, OnDemandToo: true, NoticeMillis: 3000})
	err := process.WaitFor("the first run to move", func() bool {
		return slices.ContainsFunc(a.runRecords(), func(r engine.RunRecord) bool { return r.Generated > 0 })
	})
	if err != nil {
		t.Fatal(err)
	}
	secondDomain := user.FailureDomains[0]
	if secondDomain == firstDomain {
		secondDomain = user.FailureDomains[1]
	}
	reclaimHosts(t, cluster, standincloud.Reclaim{FailureDomain: secondDomain, OnDemandToo: true, NoticeMillis: 1500})
	a.checkAnswers()
}

func knownAddresses(n *process.Node) []string {
	var got entry.Addresses
	_ = process.Control(http.MethodGet, "http://"+n.Caller+"/v1/addresses", nil, &got)
	var all []string
	for _, a := range got.Addresses {
		all = append(all, a.Address)
	}
	return all
}

// TestMembershipRoutesAroundLostNodes guards against answers lost with a killed or paused node, and against a resumed node
// that the others do not take back.
func TestMembershipRoutesAroundLostNodes(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 2, nil)
	pausedNode, killedNode, entryNodes := cluster.Nodes[0], cluster.Nodes[2], cluster.Nodes[4:]
	a := startRequests(t, cluster, user, entryNodes, 12, 50, 400)
	if err := pausedNode.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	killedNode.Kill()
	for _, n := range entryNodes {
		if err := process.WaitFor("the lost nodes to be left out", func() bool { return len(knownAddresses(n)) == 4 }); err != nil {
			t.Error(err)
		}
	}
	a.checkAnswers()
	startRequests(t, cluster, user, entryNodes, 6, 10, 50).checkAnswers()
	if err := pausedNode.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for _, n := range append(entryNodes, pausedNode) {
		if err := process.WaitFor("the resumed node to be taken back", func() bool {
			return len(knownAddresses(n)) == 5 && slices.Contains(knownAddresses(n), pausedNode.Caller)
		}); err != nil {
			t.Error(err)
		}
	}
	startRequests(t, cluster, user, []*process.Node{pausedNode}, 6, 10, 50).checkAnswers()
}

// TestMembershipStartsWithoutObjectAPI guards against a node that finds the others only through the object API.
func TestMembershipStartsWithoutObjectAPI(t *testing.T) {
	user := users.Zlato()
	cluster := startCluster(t, user, 1, nil)
	putControl(t, cluster.ObjectAPI+"/control/faults", map[string]any{"down": true})
	newNode, err := cluster.StartNode(user.FailureDomains[0], "--peers", cluster.Nodes[2].Peer)
	if err != nil {
		t.Fatal(err)
	}
	for _, existingNode := range cluster.Nodes {
		if err := process.WaitFor(existingNode.Name+" to know all nodes", func() bool { return len(knownAddresses(existingNode)) == 4 }); err != nil {
			t.Error(err)
		}
	}
	if got := knownAddresses(newNode); len(got) != 4 {
		t.Errorf("the new node knows %v", got)
	}
}
