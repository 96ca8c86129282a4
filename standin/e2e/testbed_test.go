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

// testbed is a running system with callers, for tests of the interface to callers.
type testbed struct {
	t       *testing.T
	ctx     context.Context
	user    users.User
	cluster *process.Cluster
}

// askResult is a request with the answer or the error that it got.
type askResult struct {
	request caller.Request
	answer  caller.Answer
	err     error
}

// newTestbed starts a system with one node in each failure domain. changeConfig may be nil.
func newTestbed(t *testing.T, changeConfig func(*process.ClusterConfig)) *testbed {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	user := users.Zlato()
	return &testbed{t: t, ctx: ctx, user: user, cluster: startCluster(t, user, 1, changeConfig)}
}

// newCaller returns a caller that asks a node first and knows all nodes.
func (b *testbed) newCaller(node *process.Node) *caller.Caller {
	c := caller.New(b.user.Token, node.CallerAddress)
	for _, n := range b.cluster.Nodes {
		c.Nodes = append(c.Nodes, n.CallerAddress)
	}
	return c
}

// ask sends a request to a node in the background and returns the channel that receives its result.
func (b *testbed) ask(node *process.Node, request caller.Request) <-chan askResult {
	request.Model = b.user.Model
	results := make(chan askResult, 1)
	go func() {
		answer, err := b.newCaller(node).Do(b.ctx, node.CallerAddress, request)
		results <- askResult{request, answer, err}
	}()
	return results
}

// requireAnswer waits for a result and returns the answer. It fails the test unless the answer is complete and correct.
func (b *testbed) requireAnswer(results <-chan askResult) caller.Answer {
	b.t.Helper()
	got := <-results
	if got.err != nil {
		b.t.Fatalf("request %q: %v", got.request.Content, got.err)
	}
	expected := engine.Answer(caller.Prompt(got.request.Content), got.request.MaxTokens)
	if !slices.Equal(got.answer.Tokens, expected) {
		b.t.Fatalf("answer to %q has %d tokens and differs from the expected answer of %d tokens",
			got.request.Content, len(got.answer.Tokens), len(expected))
	}
	return got.answer
}

// waitForRuns waits until the engines have started at least the given number of runs, and returns the host with the most
// runs in progress.
func (b *testbed) waitForRuns(runs int64) string {
	b.t.Helper()
	var busiest cloud.BusiestHost
	b.must(process.WaitFor("started runs", func() bool {
		return b.countEngineRuns() >= runs &&
			process.DoJSON(http.MethodGet, b.cluster.CloudURL+"/control/busiest", nil, &busiest) == nil && busiest.Runs > 0
	}))
	return busiest.Host
}

// waitForReplicatedPlace waits until the place of the run of an idempotency key is known to at least two nodes, and all
// nodes that know it also know its dispatcher.
func (b *testbed) waitForReplicatedPlace(key string) {
	b.t.Helper()
	dialer := peer.NewDialer()
	defer dialer.Close()
	request := &peerpb.LookupRequest{Organisation: strings.TrimPrefix(b.user.Token, "example-token-"), Key: key}
	b.must(process.WaitFor("the replicated place of the run of key "+key, func() bool {
		nodesWithRun, nodesWithDispatcher := 0, 0
		for _, n := range b.cluster.Nodes {
			response, err := dialer.Client(n.PeerAddress).Lookup(b.ctx, connect.NewRequest(request))
			if err != nil || response.Msg.Place == nil {
				continue
			}
			nodesWithRun++
			if response.Msg.Place.Dispatcher != "" {
				nodesWithDispatcher++
			}
		}
		return nodesWithRun >= 2 && nodesWithRun == nodesWithDispatcher
	}))
}

// dispatcherFor returns the node that dispatches requests to a host.
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

// withRunnersInFirstDomainOnly removes the model runners from all failure domains but the first, so that the node there
// dispatches all requests and the other nodes are entry nodes only.
func withRunnersInFirstDomainOnly(clusterConfig *process.ClusterConfig) {
	clusterConfig.HostGroups = slices.DeleteFunc(slices.Clone(clusterConfig.HostGroups), func(g cloud.Group) bool {
		return g.Backend == object.BackendModel && g.FailureDomain != clusterConfig.FailureDomains[0]
	})
}

// countEngineRuns returns the number of runs that all engines have started. It leaves out engines that do not respond.
func (b *testbed) countEngineRuns() int64 {
	b.t.Helper()
	var hosts []ruddercloud.Host
	b.must(process.DoJSON(http.MethodGet, b.cluster.CloudURL+"/v1/hosts", nil, &hosts))
	var total int64
	for _, h := range hosts {
		var stats engine.Stats
		if h.Backend == object.BackendModel && process.DoJSON(http.MethodGet, h.Address+"/control/stats", nil, &stats) == nil {
			total += stats.Runs
		}
	}
	return total
}

// must fails the test on an error.
func (b *testbed) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}
