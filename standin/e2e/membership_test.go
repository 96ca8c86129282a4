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

// answers are requests in progress.
type answers struct {
	t       *testing.T
	user    users.User
	cluster *process.Cluster
	tokens  int
	results chan answered
	count   int
}

type answered struct {
	content string
	answer  caller.Answer
	err     error
}

// startedTokens: when runs have so many tokens on average, all have left the prefill.
const startedTokens = 30

// startAnswers sends requests with prompts of some words through the nodes and waits until all are in progress.
func startAnswers(t *testing.T, cluster *process.Cluster, user users.User, nodes []*process.Node, count, words, tokens int) *answers {
	t.Helper()
	a := &answers{t: t, user: user, cluster: cluster, tokens: tokens, results: make(chan answered, count), count: count}
	for i := range count {
		content := fmt.Sprintf("dossier %d %s", i, strings.Repeat(fmt.Sprintf("w%d ", i), words))
		c := caller.New(user.Token)
		address := nodes[i%len(nodes)].Caller
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
			defer cancel()
			answer, err := c.Chat(ctx, address, user.Model, content, tokens, "")
			a.results <- answered{content, answer, err}
		}()
	}
	a.waitFor("all runs to be in progress", func(states []standincloud.EngineState) bool {
		decoded := int64(0)
		for _, s := range states {
			decoded += s.Stats.DecodedTokens
		}
		return len(a.records()) >= count && decoded >= int64(count*min(tokens, startedTokens))
	})
	return a
}

func (a *answers) waitFor(what string, condition func([]standincloud.EngineState) bool) {
	a.t.Helper()
	err := process.WaitFor(what, func() bool {
		var states []standincloud.EngineState
		return process.Control(http.MethodGet, a.cluster.Cloud+"/control/engines", nil, &states) == nil && condition(states)
	})
	if err != nil {
		a.t.Fatal(err)
	}
}

// check waits for all answers, which must be whole, and returns the tokens that engines computed for later attempts.
func (a *answers) check() int {
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
	for _, r := range a.records() {
		if r.Generated > 0 {
			recomputed += r.Computed
		}
	}
	a.t.Logf("recomputed tokens: %d in %d answers", recomputed, a.count)
	return recomputed
}

func (a *answers) records() []engine.RunRecord {
	a.t.Helper()
	var records []engine.RunRecord
	if err := process.Control(http.MethodGet, a.cluster.Cloud+"/control/runs", nil, &records); err != nil {
		a.t.Fatal(err)
	}
	return records
}

func reclaim(t *testing.T, cluster *process.Cluster, r standincloud.ReclaimRequest) []string {
	t.Helper()
	var hosts []string
	if err := process.Control(http.MethodPost, cluster.Cloud+"/control/reclaim", r, &hosts); err != nil {
		t.Fatal(err)
	}
	return hosts
}

func control(t *testing.T, url string, body any) {
	t.Helper()
	if err := process.Control(http.MethodPut, url, body, nil); err != nil {
		t.Fatal(err)
	}
}

// busiestDomain returns the failure domain whose hosts have most runs.
func (a *answers) busiestDomain() string {
	runs := map[string]int{}
	domain := ""
	a.waitFor("the engines", func(states []standincloud.EngineState) bool {
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

// TestMembershipWaveLosesNoAnswer guards against answers that are cut off, and work that is done again, when all hosts of a
// failure domain are reclaimed on a few seconds' notice, with the object API up and down.
func TestMembershipWaveLosesNoAnswer(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("object API down=%v", down), func(t *testing.T) {
			user := users.Zlato()
			cluster := startUser(t, user, 2, nil)
			if down {
				control(t, cluster.ObjectAPI+"/control/faults", map[string]any{"down": true})
			}
			const count, words, tokens = 18, 300, 700
			a := startAnswers(t, cluster, user, cluster.Nodes, count, words, tokens)
			domain := a.busiestDomain()
			before := len(a.records())
			hosts := reclaim(t, cluster, standincloud.ReclaimRequest{FailureDomain: domain, OnDemandToo: true, NoticeMillis: 6000})
			moved := 0
			for _, r := range a.records()[:before] {
				if slices.Contains(hosts, r.Host) {
					moved++
				}
			}
			recomputed := a.check()
			if moved == 0 {
				t.Fatal("no run was on a reclaimed host")
			}
			// Resumed by prefix, each run would compute its prompt again.
			if limit := moved * words / 4; recomputed > limit {
				t.Errorf("%d tokens were recomputed for %d moved runs, expected at most %d", recomputed, moved, limit)
			}
		})
	}
}

// TestMembershipListNeverBringsHostBack guards against new work on leaving hosts because the host list lags and shows them
// as live, with the object API down and the cloud's notices hidden from all but the engines.
func TestMembershipListNeverBringsHostBack(t *testing.T) {
	user := users.Zlato()
	cluster := startUser(t, user, 2, nil)
	control(t, cluster.ObjectAPI+"/control/faults", map[string]any{"down": true})
	control(t, cluster.Cloud+"/control/settings", map[string]any{"list_lag_ms": 60_000, "hide_notices": true})
	// The list goes back to its first state, which has only some of the hosts.
	hosts := reclaim(t, cluster, standincloud.ReclaimRequest{FailureDomain: user.FailureDomains[0], OnDemandToo: true, NoticeMillis: 30_000})
	// H5 allows 3 s, and this is the time from the notice to the first request.
	time.Sleep(3 * time.Second)
	var listed []cloud.Host
	if err := process.Control(http.MethodGet, cluster.Cloud+"/v1/hosts", nil, &listed); err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(listed, func(h cloud.Host) bool { return slices.Contains(hosts, h.Name) && h.State == cloud.HostLive }) {
		t.Fatal("the host list does not lag, so that the test shows nothing")
	}
	a := startAnswers(t, cluster, user, cluster.Nodes, 24, 10, 50)
	a.check()
	for _, r := range a.records() {
		if slices.Contains(hosts, r.Host) {
			t.Errorf("run %s was placed on the leaving host %s", r.Run, r.Host)
		}
	}
}

// TestMembershipTargetIsReclaimedToo guards against answers that are lost because the hosts that took over moved runs are
// reclaimed while the moves are in progress.
func TestMembershipTargetIsReclaimedToo(t *testing.T) {
	user := users.Zlato()
	cluster := startUser(t, user, 2, nil)
	a := startAnswers(t, cluster, user, cluster.Nodes, 12, 600, 500)
	first := a.busiestDomain()
	reclaim(t, cluster, standincloud.ReclaimRequest{FailureDomain: first, OnDemandToo: true, NoticeMillis: 3000})
	err := process.WaitFor("the first run to move", func() bool {
		return slices.ContainsFunc(a.records(), func(r engine.RunRecord) bool { return r.Generated > 0 })
	})
	if err != nil {
		t.Fatal(err)
	}
	second := user.FailureDomains[0]
	if second == first {
		second = user.FailureDomains[1]
	}
	reclaim(t, cluster, standincloud.ReclaimRequest{FailureDomain: second, OnDemandToo: true, NoticeMillis: 1500})
	a.check()
}

func addresses(n *process.Node) []string {
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
	cluster := startUser(t, user, 2, nil)
	paused, killed, asked := cluster.Nodes[0], cluster.Nodes[2], cluster.Nodes[4:]
	a := startAnswers(t, cluster, user, asked, 12, 50, 400)
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	killed.Kill()
	for _, n := range asked {
		if err := process.WaitFor("the lost nodes to be left out", func() bool { return len(addresses(n)) == 4 }); err != nil {
			t.Error(err)
		}
	}
	a.check()
	startAnswers(t, cluster, user, asked, 6, 10, 50).check()
	if err := paused.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for _, n := range append(asked, paused) {
		if err := process.WaitFor("the resumed node to be taken back", func() bool {
			return len(addresses(n)) == 5 && slices.Contains(addresses(n), paused.Caller)
		}); err != nil {
			t.Error(err)
		}
	}
	startAnswers(t, cluster, user, []*process.Node{paused}, 6, 10, 50).check()
}

// TestMembershipStartsWithoutObjectAPI guards against a node that finds the others only through the object API.
func TestMembershipStartsWithoutObjectAPI(t *testing.T) {
	user := users.Zlato()
	cluster := startUser(t, user, 1, nil)
	control(t, cluster.ObjectAPI+"/control/faults", map[string]any{"down": true})
	n, err := cluster.StartNode(user.FailureDomains[0], "--peers", cluster.Nodes[2].Peer)
	if err != nil {
		t.Fatal(err)
	}
	for _, other := range cluster.Nodes {
		if err := process.WaitFor(other.Name+" to know all nodes", func() bool { return len(addresses(other)) == 4 }); err != nil {
			t.Error(err)
		}
	}
	if got := addresses(n); len(got) != 4 {
		t.Errorf("the new node knows %v", got)
	}
}
