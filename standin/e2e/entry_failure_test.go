package e2e

import (
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
)

// TestEntryNodeKilled guards against an answer that is lost, or computed a second time, when its entry node is killed.
func TestEntryNodeKilled(t *testing.T) {
	b := newTestbed(t, withRunnersInFirstDomainOnly)
	streamResults := b.ask(b.cluster.Nodes[1], caller.Request{Content: "a dossier about an altar", MaxTokens: 300, IdempotencyKey: "altar"})
	jsonResults := b.ask(b.cluster.Nodes[1],
		caller.Request{Content: "a dossier about a chalice", MaxTokens: 300, IdempotencyKey: "chalice", JSON: true})
	b.waitForReplicatedPlace("altar")
	b.waitForReplicatedPlace("chalice")
	b.cluster.Nodes[1].Kill()
	for _, results := range []<-chan askResult{streamResults, jsonResults} {
		if answer := b.requireAnswer(results); answer.RequestCount < 2 {
			t.Errorf("caller sent %d requests for the answer, expected at least 2", answer.RequestCount)
		}
	}
	// Another caller finds a finished answer by its idempotency key on the third node.
	repeated := b.requireAnswer(b.ask(b.cluster.Nodes[2],
		caller.Request{Content: "a dossier about an altar", MaxTokens: 300, IdempotencyKey: "altar"}))
	if len(repeated.Tokens) != 300 {
		t.Errorf("answer to the repeated request has %d tokens, expected 300", len(repeated.Tokens))
	}
	if runs := b.countEngineRuns(); runs != 2 {
		t.Errorf("engines started %d runs, expected one for each of 2 requests", runs)
	}
}

// TestDispatcherKilled guards against tokens that are computed again, or an answer that is truncated, when a dispatcher is
// killed while the engine still has the run.
func TestDispatcherKilled(t *testing.T) {
	b := newTestbed(t, withRunnersInFirstDomainOnly)
	const maxTokens = 300
	content := "a dossier about a bell"
	_, reader := b.openStream(b.ctx, b.cluster.Nodes[1], content, maxTokens)
	tokens := readTokens(b.t, reader, 1)
	b.cluster.Nodes[0].Kill()
	tokens = append(tokens, readTokens(b.t, reader, maxTokens)...)
	if expected := engine.Answer(caller.Prompt(content), maxTokens); !slices.Equal(tokens, expected) {
		t.Errorf("stream has %d tokens and differs from the expected answer of %d tokens", len(tokens), len(expected))
	}
	if runs := b.countEngineRuns(); runs != 1 {
		t.Errorf("engines started %d runs, expected 1, which is resumed", runs)
	}
}

// TestEntryNodeAndDispatcherKilled guards against a caller that gets no answer when the entry node and the dispatcher of
// its run are killed at once.
func TestEntryNodeAndDispatcherKilled(t *testing.T) {
	b := newTestbed(t, nil)
	results := b.ask(b.cluster.Nodes[1], caller.Request{Content: "a dossier about a portal", MaxTokens: 300, IdempotencyKey: "portal"})
	dispatcher := b.dispatcherFor(b.waitForRuns(1))
	b.cluster.Nodes[1].Kill()
	dispatcher.Kill()
	b.requireAnswer(results)
}

// TestDispatcherPausedAndRunnerCrashed guards against a stream that hangs while its dispatcher is paused and its model
// runner has crashed, and against wrong tokens in an answer because the resumed dispatcher sends some late.
func TestDispatcherPausedAndRunnerCrashed(t *testing.T) {
	b := newTestbed(t, nil)
	var results []<-chan askResult
	for _, content := range []string{"a dossier about a fresco", "a dossier about a font"} {
		results = append(results, b.ask(b.cluster.Nodes[1], caller.Request{Content: content, MaxTokens: 500, IdempotencyKey: content}))
	}
	host := b.waitForRuns(1)
	dispatcher := b.dispatcherFor(host)
	t.Logf("pausing %s (process %d) at %s", dispatcher.Name, dispatcher.PID(), time.Now().Format(time.RFC3339Nano))
	b.must(dispatcher.Signal(syscall.SIGSTOP))
	b.must(process.DoJSON(http.MethodPost, b.cluster.CloudURL+"/control/hosts/"+host+"/crash", nil, nil))
	if dispatcher == b.cluster.Nodes[1] {
		// The paused node is also the entry node, so that the callers must retry at another node.
		t.Log("the paused dispatcher is also the entry node")
	}
	b.requireAnswer(results[0])
	t.Logf("resuming %s at %s", dispatcher.Name, time.Now().Format(time.RFC3339Nano))
	b.must(dispatcher.Signal(syscall.SIGCONT))
	b.requireAnswer(results[1])
}

// TestPeerConnectionSilent guards against an attempt that is abandoned, and computed again, although only the connection
// to its dispatcher carries no data any more.
func TestPeerConnectionSilent(t *testing.T) {
	b := newTestbed(t, func(clusterConfig *process.ClusterConfig) {
		withRunnersInFirstDomainOnly(clusterConfig)
		clusterConfig.UseFaultProxies = true
	})
	results := b.ask(b.cluster.Nodes[1], caller.Request{Content: "a dossier about a gate", MaxTokens: 400})
	b.waitForRuns(1)
	if connections := b.cluster.Nodes[0].PeerProxy.SilenceConnections(); connections == 0 {
		t.Fatal("no node had a connection to the dispatcher")
	}
	answer := b.requireAnswer(results)
	if answer.Usage.Attempts != 1 || answer.RequestCount != 1 {
		t.Errorf("answer took %d attempts and %d requests of the caller, expected 1 and 1", answer.Usage.Attempts, answer.RequestCount)
	}
	if runs := b.countEngineRuns(); runs != 1 {
		t.Errorf("engines started %d runs, expected 1", runs)
	}
}
