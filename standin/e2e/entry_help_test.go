package e2e

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	platform "chestnutrudder.example/rudder/cloud"
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

// bench is a running system with callers for the tests of the callers' side.
type bench struct {
	t       *testing.T
	ctx     context.Context
	user    users.User
	cluster *process.Cluster
}

type asked struct {
	request caller.Request
	answer  caller.Answer
	err     error
}

func newBench(t *testing.T, change func(*process.Plan)) *bench {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	user := users.Zlato()
	return &bench{t: t, ctx: ctx, user: user, cluster: startUser(t, user, 1, change)}
}

func (b *bench) caller(node *process.Node) *caller.Caller {
	c := caller.New(b.user.Token, node.Caller)
	for _, n := range b.cluster.Nodes {
		c.Nodes = append(c.Nodes, n.Caller)
	}
	return c
}

// ask sends a request to a node; the answer arrives on the channel.
func (b *bench) ask(node *process.Node, request caller.Request) <-chan asked {
	request.Model = b.user.Model
	results := make(chan asked, 1)
	go func() {
		answer, err := b.caller(node).Do(b.ctx, node.Caller, request)
		results <- asked{request, answer, err}
	}()
	return results
}

// whole waits for an answer and checks that it is the request's own and not cut, doubled or mixed up.
func (b *bench) whole(results <-chan asked) caller.Answer {
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

// busyRuns waits until the engines have started a number of runs and returns the host with the most.
func (b *bench) busyRuns(runs int64) string {
	b.t.Helper()
	var busy cloud.Busy
	b.must(process.WaitFor("runs in the engines", func() bool {
		return b.engineRuns() >= runs &&
			process.Control(http.MethodGet, b.cluster.Cloud+"/control/busiest", nil, &busy) == nil && busy.Runs > 0
	}))
	return busy.Host
}

// awaitPlace waits until every node that knows the run of a key knows its dispatcher, and at least two nodes do.
func (b *bench) awaitPlace(key string) {
	b.t.Helper()
	dialer := peer.NewDialer()
	defer dialer.Close()
	request := &peerpb.LookupRequest{Organisation: strings.TrimPrefix(b.user.Token, "example-token-"), Key: key}
	b.must(process.WaitFor("the place of "+key, func() bool {
		known, dispatched := 0, 0
		for _, n := range b.cluster.Nodes {
			reply, err := dialer.Client(n.Peer).Lookup(b.ctx, connect.NewRequest(request))
			if err != nil || reply.Msg.Place == nil {
				continue
			}
			known++
			if reply.Msg.Place.Dispatcher != "" {
				dispatched++
			}
		}
		return known >= 2 && known == dispatched
	}))
}

// dispatcher returns the node that dispatches to a host.
func (b *bench) dispatcher(host string) *process.Node {
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
	chosen, _ := membership.DispatcherFor(host, domain, nodes)
	return byName[chosen.Name]
}

// runnersInFirstDomain leaves model runners in the first failure domain only, so that its node dispatches all requests
// and the other nodes are entry nodes.
func runnersInFirstDomain(plan *process.Plan) {
	plan.Groups = slices.DeleteFunc(slices.Clone(plan.Groups), func(g cloud.Group) bool {
		return g.Backend == object.BackendModel && g.FailureDomain != plan.FailureDomains[0]
	})
}

// engineRuns counts the runs that all engines have started.
func (b *bench) engineRuns() int64 {
	b.t.Helper()
	var hosts []platform.Host
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

func (b *bench) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}
