package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// countCrashedRunners returns the number of model runners whose engine does not respond.
func countCrashedRunners(t *testing.T, cluster *process.Cluster) int {
	t.Helper()
	var hosts []cloud.Host
	if err := process.DoJSON(http.MethodGet, cluster.CloudURL+"/v1/hosts", nil, &hosts); err != nil {
		t.Fatal(err)
	}
	crashed := 0
	for _, h := range hosts {
		if h.Backend == object.BackendModel && process.DoJSON(http.MethodGet, h.Address+"/v1/load", nil, nil) != nil {
			crashed++
		}
	}
	return crashed
}

// checkAnswer checks that a request got its complete and correct answer of maxTokens tokens.
func checkAnswer(t *testing.T, content string, maxTokens int, answer caller.Answer, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("request %q: %v", content, err)
		return
	}
	if !slices.Equal(answer.Tokens, engine.Answer(caller.Prompt(content), maxTokens)) {
		t.Errorf("answer to request %q has %d tokens, expected the complete answer of %d", content, len(answer.Tokens), maxTokens)
	}
}

// crashTestbed is a running system with unrelated requests that are in progress while a crashing one is sent.
type crashTestbed struct {
	t        *testing.T
	ctx      context.Context
	user     users.User
	cluster  *process.Cluster
	requests sync.WaitGroup
}

const (
	crashTestMaxTokens = 120
	crashingContent    = "please crash-the-engine now" // crashes the engine stand-in that runs it
)

// newCrashTestbed starts the system and the unrelated requests. Crashed engines stay down, so that they can be counted.
func newCrashTestbed(t *testing.T) *crashTestbed {
	c := &crashTestbed{t: t, user: users.Zlato()}
	c.cluster = startCluster(t, c.user, 1, nil)
	settings := map[string]int{"restart_ms": 0}
	if err := process.DoJSON(http.MethodPut, c.cluster.CloudURL+"/control/settings", settings, nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	c.ctx = ctx
	const unrelatedRequests = 18
	for i := range unrelatedRequests {
		c.requests.Go(func() {
			content := fmt.Sprintf("dossier %d", i)
			answer, err := c.ask(i, content, "")
			checkAnswer(t, content, crashTestMaxTokens, answer, err)
		})
	}
	return c
}

// ask sends a request with an idempotency key, which may be empty, through a node and waits for the answer.
func (c *crashTestbed) ask(nodeIndex int, content, key string) (caller.Answer, error) {
	address := c.cluster.Nodes[nodeIndex%len(c.cluster.Nodes)].CallerAddress
	return caller.New(c.user.Tokens[0], address).Chat(c.ctx, address, c.user.Model, content, crashTestMaxTokens, key)
}

// countFirstAttemptDomains returns the number of failure domains whose runners ran a first attempt of the crashing
// request. With one node in each, it is the number of dispatchers that ran a copy before they could know of a crash
// elsewhere.
func (c *crashTestbed) countFirstAttemptDomains() int {
	var records []engine.RunRecord
	if err := process.DoJSON(http.MethodGet, c.cluster.CloudURL+"/control/runs", nil, &records); err != nil {
		c.t.Fatal(err)
	}
	domains := map[string]bool{}
	for _, r := range records {
		if r.PromptHash != engine.PromptHash(caller.Prompt(crashingContent)) || !strings.HasSuffix(r.AttemptID, ".1") {
			continue
		}
		for _, domain := range c.user.FailureDomains {
			if strings.Contains(r.Host, domain) {
				domains[domain] = true
			}
		}
	}
	return len(domains)
}

// TestCrashingRequestRepeatedByCaller guards against a request that crashes one runner after the other when its caller
// repeats it with other idempotency keys and at other nodes, and against unrelated requests that fail because of it.
func TestCrashingRequestRepeatedByCaller(t *testing.T) {
	c := newCrashTestbed(t)
	const repeats = 6
	for i := range repeats {
		_, err := c.ask(i, crashingContent, fmt.Sprintf("key-%d", i))
		checkUnprocessable(t, err, "")
	}
	c.requests.Wait()
	if crashed := countCrashedRunners(t, c.cluster); crashed < 1 || crashed > 2 {
		t.Errorf("%d runners crashed, expected 1 or 2", crashed)
	}
}

// TestConcurrentCopiesOfCrashingRequest guards against concurrent copies of a crashing request, sent by many callers, that
// crash too many runners. Allowed are one for each dispatcher that ran a copy before it could know of the crashes, and one
// more, whose crash confirms that the request is the cause.
func TestConcurrentCopiesOfCrashingRequest(t *testing.T) {
	c := newCrashTestbed(t)
	const copies = 9
	for i := range copies {
		c.requests.Go(func() {
			_, err := c.ask(i, crashingContent, fmt.Sprintf("key-%d", i))
			checkUnprocessable(t, err, "")
		})
	}
	c.requests.Wait()
	for i := range c.cluster.Nodes {
		_, err := c.ask(i, crashingContent, fmt.Sprintf("another-key-%d", i))
		checkUnprocessable(t, err, "no")
	}
	firstAttemptDomains := c.countFirstAttemptDomains()
	if crashed := countCrashedRunners(t, c.cluster); crashed < 1 || crashed > firstAttemptDomains+1 {
		t.Errorf("%d runners crashed, expected 1 to %d: one at each of %d dispatchers and one more",
			crashed, firstAttemptDomains+1, firstAttemptDomains)
	}
}

// checkUnprocessable checks that a request failed with status 422 and, unless wantRun is empty, that the problem document
// has this value in its field run, which says whether the request was run.
func checkUnprocessable(t *testing.T, err error, wantRun string) {
	t.Helper()
	var problemErr *caller.ProblemError
	if !errors.As(err, &problemErr) || problemErr.Status != http.StatusUnprocessableEntity {
		t.Errorf("crashing request got %v, expected status 422", err)
		return
	}
	if wantRun != "" && problemErr.Run != wantRun {
		t.Errorf("problem document of the crashing request has run %q, expected %q", problemErr.Run, wantRun)
	}
}
