package e2e

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	ruddercloud "chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// testbed is a running system with callers for the tests of the callers' side.
type testbed struct {
	t       *testing.T
	ctx     context.Context
	user    users.User
	cluster *process.Cluster
}

type askResult struct {
	request caller.Request
	answer  caller.Answer
	err     error
}

func newTestbed(t *testing.T, changePlan func(*process.Plan)) *testbed {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	user := users.Zlato()
	return &testbed{t: t, ctx: ctx, user: user, cluster: startCluster(t, user, 1, changePlan)}
}

func (b *testbed) newCaller(node *process.Node) *caller.Caller {
	c := caller.New(b.user.Token, node.Caller)
	for _, n := range b.cluster.Nodes {
		c.Nodes = append(c.Nodes, n.Caller)
	}
	return c
}

// ask sends a request to a node; the answer arrives on the channel.
func (b *testbed) ask(node *process.Node, request caller.Request) <-chan askResult {
	request.Model = b.user.Model
	results := make(chan askResult, 1)
	go func() {
		answer, err := b.newCaller(node).Ask(b.ctx, node.Caller, request)
		results <- askResult{request, answer, err}
	}()
	return results
}

// requireAnswer waits for an answer and checks that it is the request's own and not cut, doubled or mixed up.
func (b *testbed) requireAnswer(results <-chan askResult) caller.Answer {
	b.t.Helper()
	got := <-results
	if got.err != nil {
		b.t.Fatalf("request %q: %v", got.request.Content, got.err)
	}
	expected := engine.Answer(caller.Prompt(got.request.Content), got.request.MaxTokens)
	if !slices.Equal(got.answer.Tokens, expected) {
		b.t.Fatalf("answer to %q has %d tokens and differs from the expected %d", got.request.Content, len(got.answer.Tokens), len(expected))
	}
	return got.answer
}

// waitForRuns waits until the engines have started a number of runs and returns the host with the most.
func (b *testbed) waitForRuns(runs int64) string {
	b.t.Helper()
	var busiest cloud.Busy
	b.must(process.WaitFor("runs in the engines", func() bool {
		return b.countEngineRuns() >= runs &&
			process.Control(http.MethodGet, b.cluster.Cloud+"/control/busiest", nil, &busiest) == nil && busiest.Runs > 0
	}))
	return busiest.Host
}

// waitForReplicatedPlace waits until every node that knows the run of a key knows its dispatcher, and at least two nodes do.
func (b *testbed) waitForReplicatedPlace(key string) {
	b.t.Helper()
	dialer := peer.NewDialer()
	defer dialer.Close()
	request := &peerpb.LookupRequest{Organisation: strings.TrimPrefix(b.user.Token, "example-token-"), Key: key}
	b.must(process.WaitFor("the place of "+key, func() bool {
		nodesWithRun, nodesWithDispatcher := 0, 0
		for _, n := range b.cluster.Nodes {
			reply, err := dialer.Client(n.Peer).Lookup(b.ctx, connect.NewRequest(request))
			if err != nil || reply.Msg.Place == nil {
				continue
			}
			nodesWithRun++
			if reply.Msg.Place.Dispatcher != "" {
				nodesWithDispatcher++
			}
		}
		return nodesWithRun >= 2 && nodesWithRun == nodesWithDispatcher
	}))
}

// dispatcherFor returns the node that dispatches to a host.
func (b *testbed) dispatcherFor(host string) *process.Node {
	b.t.Helper()
	var nodes []membership.Node
	byName := map[string]*process.Node{}
	domain := ""
	for _, n := range b.cluster.Nodes {
		nodes = append(nodes, membership.Node{Name: n.Name, FailureDomain: n.FailureDomain})
		byName[n.Name] = n
		if strings.Contains(host, "-"+n.FailureDomain+"-") {
			domain = n.FailureDomain
		}
	}
	dispatcher, _ := membership.DispatcherFor(host, domain, nodes)
	return byName[dispatcher.Name]
}

// withRunnersInFirstDomainOnly leaves model runners in the first failure domain only, so that its node dispatches all requests
// and the other nodes are entry nodes.
func withRunnersInFirstDomainOnly(plan *process.Plan) {
	plan.Groups = slices.DeleteFunc(slices.Clone(plan.Groups), func(g cloud.Group) bool {
		return g.Backend == object.BackendModel && g.FailureDomain != plan.FailureDomains[0]
	})
}

// countEngineRuns counts the runs that all engines have started.
func (b *testbed) countEngineRuns() int64 {
	b.t.Helper()
	var hosts []ruddercloud.Host
	b.must(process.Control(http.MethodGet, b.cluster.Cloud+"/v1/hosts", nil, &hosts))
	var total int64
	for _, h := range hosts {
		var stats engine.Stats
		if h.Backend == object.BackendModel && process.Control(http.MethodGet, h.Address+"/control/stats", nil, &stats) == nil {
			total += stats.Runs
		}
	}
	return total
}

func (b *testbed) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}
