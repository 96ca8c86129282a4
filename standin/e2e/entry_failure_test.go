package e2e

import (
	"net/http"
	"slices"
	"syscall"
	"testing"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
)

// TestEntryNodeKilled guards against an answer that is lost, or computed a second time, when its entry node dies.
func TestEntryNodeKilled(t *testing.T) {
	b := newBench(t, runnersInFirstDomain)
	stream := b.ask(b.cluster.Nodes[1], caller.Request{Content: "a dossier about an altar", MaxTokens: 300, IdempotencyKey: "altar"})
	document := b.ask(b.cluster.Nodes[1], caller.Request{Content: "a dossier about a chalice", MaxTokens: 300, IdempotencyKey: "chalice", JSON: true})
	b.awaitPlace("altar")
	b.awaitPlace("chalice")
	b.cluster.Nodes[1].Kill()
	for _, results := range []<-chan asked{stream, document} {
		if answer := b.whole(results); answer.RequestCount < 2 {
			t.Errorf("answer took %d requests, expected at least 2", answer.RequestCount)
		}
	}
	// Another caller finds the finished answers by key on the third node.
	again := b.whole(b.ask(b.cluster.Nodes[2], caller.Request{Content: "a dossier about an altar", MaxTokens: 300, IdempotencyKey: "altar"}))
	if len(again.Tokens) != 300 {
		t.Errorf("second answer has %d tokens", len(again.Tokens))
	}
	if runs := b.engineRuns(); runs != 2 {
		t.Errorf("engines started %d runs, expected one for each of 2 requests", runs)
	}
}

// TestDispatcherKilled guards against tokens computed again, or an answer cut off, when a dispatcher dies while the
// engine still holds the run.
func TestDispatcherKilled(t *testing.T) {
	b := newBench(t, runnersInFirstDomain)
	const maxTokens = 300
	content := "a dossier about a bell"
	_, reader := b.beginStream(b.ctx, b.cluster.Nodes[1], content, maxTokens)
	tokens := readTokens(b.t, reader, 1)
	b.cluster.Nodes[0].Kill()
	tokens = append(tokens, readTokens(b.t, reader, maxTokens)...)
	if expected := engine.Answer(caller.Prompt(content), maxTokens); !slices.Equal(tokens, expected) {
		t.Errorf("stream has %d tokens and differs from the expected %d", len(tokens), len(expected))
	}
	if runs := b.engineRuns(); runs != 1 {
		t.Errorf("engines started %d runs, expected the first to be resumed", runs)
	}
}

// TestEntryNodeAndDispatcherKilled guards against a caller that gets no answer when both nodes of its run die at once.
func TestEntryNodeAndDispatcherKilled(t *testing.T) {
	b := newBench(t, nil)
	results := b.ask(b.cluster.Nodes[1], caller.Request{Content: "a dossier about a portal", MaxTokens: 300, IdempotencyKey: "portal"})
	dispatcher := b.dispatcher(b.busyRuns(1))
	b.cluster.Nodes[1].Kill()
	dispatcher.Kill()
	b.whole(results)
}

// TestDispatcherPausedAndRunnerCrashed guards against a stream that hangs while its dispatcher is paused, and against
// tokens that the dispatcher sends late after it goes on.
func TestDispatcherPausedAndRunnerCrashed(t *testing.T) {
	b := newBench(t, nil)
	var results []<-chan asked
	for _, content := range []string{"a dossier about a fresco", "a dossier about a font"} {
		results = append(results, b.ask(b.cluster.Nodes[1], caller.Request{Content: content, MaxTokens: 500, IdempotencyKey: content}))
	}
	host := b.busyRuns(1)
	dispatcher := b.dispatcher(host)
	b.must(dispatcher.Signal(syscall.SIGSTOP))
	b.must(process.Control(http.MethodPost, b.cluster.Cloud+"/control/hosts/"+host+"/crash", nil, nil))
	if dispatcher == b.cluster.Nodes[1] {
		// The callers' own node is paused: they have to go elsewhere.
		t.Log("entry node and dispatcher are the same")
	}
	b.whole(results[0])
	b.must(dispatcher.Signal(syscall.SIGCONT))
	b.whole(results[1])
}

// TestPeerConnectionSilent guards against an attempt that is given up, and computed again, although only the connection
// to its dispatcher is silent.
func TestPeerConnectionSilent(t *testing.T) {
	b := newBench(t, func(plan *process.Plan) {
		runnersInFirstDomain(plan)
		plan.Proxies = true
	})
	results := b.ask(b.cluster.Nodes[1], caller.Request{Content: "a dossier about a gate", MaxTokens: 400})
	b.busyRuns(1)
	if links := b.cluster.Nodes[0].PeerProxy.Silence(); links == 0 {
		t.Fatal("no connection to the dispatcher")
	}
	answer := b.whole(results)
	if answer.Usage.Attempts != 1 || answer.RequestCount != 1 {
		t.Errorf("answer took %d attempts and %d requests, expected 1 and 1", answer.Usage.Attempts, answer.RequestCount)
	}
	if runs := b.engineRuns(); runs != 1 {
		t.Errorf("engines started %d runs, expected 1", runs)
	}
}
