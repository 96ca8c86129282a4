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

// countCrashedRunners counts model runners whose engine does not answer.
func countCrashedRunners(t *testing.T, cluster *process.Cluster) int {
	t.Helper()
	var hosts []cloud.Host
	if err := process.Control(http.MethodGet, cluster.Cloud+"/v1/hosts", nil, &hosts); err != nil {
		t.Fatal(err)
	}
	crashed := 0
	for _, h := range hosts {
		if h.Backend == object.BackendModel && process.Control(http.MethodGet, h.Address+"/v1/load", nil, nil) != nil {
			crashed++
		}
	}
	return crashed
}

func checkAnswer(t *testing.T, content string, maxTokens int, answer caller.Answer, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("request %q: %v", content, err)
		return
	}
	if !slices.Equal(answer.Tokens, engine.Answer(caller.Prompt(content), maxTokens)) {
		t.Errorf("request %q: %d tokens, expected the whole answer of %d", content, len(answer.Tokens), maxTokens)
	}
}

// crashTestbed is a system with requests that run beside a crashing one.
type crashTestbed struct {
	t        *testing.T
	ctx      context.Context
	user     users.User
	cluster  *process.Cluster
	requests sync.WaitGroup
}

const (
	crashTestMaxTokens = 120
	crashingContent    = "please crash-the-engine now"
)

// newCrashTestbed starts the system and the innocent requests. Crashed engines stay down, so that they can be counted.
func newCrashTestbed(t *testing.T) *crashTestbed {
	c := &crashTestbed{t: t, user: users.Zlato()}
	c.cluster = startCluster(t, c.user, 1, nil)
	settings := map[string]int{"restart_ms": 0}
	if err := process.Control(http.MethodPut, c.cluster.Cloud+"/control/settings", settings, nil); err != nil {
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

func (c *crashTestbed) ask(nodeIndex int, content, key string) (caller.Answer, error) {
	address := c.cluster.Nodes[nodeIndex%len(c.cluster.Nodes)].Caller
	return caller.New(c.user.Tokens[0], address).Chat(c.ctx, address, c.user.Model, content, crashTestMaxTokens, key)
}

// countFirstAttemptDomains returns the number of failure domains whose runners ran a first attempt of the culprit. With one node in
// each, it is the number of dispatchers that ran a copy before they could know of a crash elsewhere.
func (c *crashTestbed) countFirstAttemptDomains() int {
	var records []engine.RunRecord
	if err := process.Control(http.MethodGet, c.cluster.Cloud+"/control/runs", nil, &records); err != nil {
		c.t.Fatal(err)
	}
	domains := map[string]bool{}
	for _, r := range records {
		if r.Prompt != engine.PromptHash(caller.Prompt(crashingContent)) || !strings.HasSuffix(r.Attempt, ".1") {
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

// TestCrashingRequestRepeatedByCaller guards against a request that takes down one runner after the other when its caller sends
// it again, under other keys and to other nodes, and against harm to requests that run beside it.
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

// TestConcurrentCopiesOfCrashingRequest guards against copies of a crashing request, sent by many callers at once, that take down
// more runners than one for each dispatcher that could not know yet, and one more that proves the culprit.
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
		t.Errorf("%d runners crashed, expected at most %d: one at each of %d dispatchers and one more", crashed, firstAttemptDomains+1, firstAttemptDomains)
	}
}

// checkUnprocessable expects status 422 and, unless it is empty, a statement whether the request was run.
func checkUnprocessable(t *testing.T, err error, wantRun string) {
	t.Helper()
	var failure *caller.Failure
	if !errors.As(err, &failure) || failure.Status != http.StatusUnprocessableEntity {
		t.Errorf("crashing request: %v, expected status 422", err)
		return
	}
	if wantRun != "" && failure.Run != wantRun {
		t.Errorf("crashing request: run %q, expected %q", failure.Run, wantRun)
	}
}
