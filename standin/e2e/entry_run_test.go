package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"chestnutrudder.example/rudder/entry"
	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
)

// openStream sends a request for a stream, without the retries of the caller stand-in, and returns the response and a
// reader of its body. It fails the test unless the status is 200.
func (b *testbed) openStream(ctx context.Context, node *process.Node, content string, maxTokens int) (*http.Response, *bufio.Reader) {
	b.t.Helper()
	raw, err := json.Marshal(entry.ChatRequest{
		Model: b.user.Model, Messages: []entry.ChatMessage{{Role: "user", Content: content}}, MaxTokens: maxTokens, Stream: true,
	})
	b.must(err)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.CallerAddress+"/v1/chat/completions", bytes.NewReader(raw))
	b.must(err)
	request.Header.Set("Authorization", "Bearer "+b.user.Token)
	response, err := http.DefaultClient.Do(request)
	b.must(err)
	b.t.Cleanup(func() { _ = response.Body.Close() })
	if response.StatusCode != http.StatusOK {
		b.t.Fatalf("open stream: status %d, expected 200", response.StatusCode)
	}
	reader := bufio.NewReader(response.Body)
	return response, reader
}

// readTokens reads the tokens of a stream until it ends or at least minTokens tokens have arrived.
func readTokens(t *testing.T, reader *bufio.Reader, minTokens int) []string {
	t.Helper()
	var tokens []string
	for len(tokens) < minTokens {
		line, err := reader.ReadString('\n')
		if err != nil {
			return tokens
		}
		var delta entry.ChatDelta
		data, found := strings.CutPrefix(line, "data: ")
		if found && json.Unmarshal([]byte(data), &delta) == nil {
			tokens = append(tokens, delta.Tokens...)
		}
	}
	return tokens
}

// TestRunIsReadAndCancelledFromAnotherNode guards against a run that can be read or cancelled only at its entry node, and
// against a cancelled run that keeps its slot.
func TestRunIsReadAndCancelledFromAnotherNode(t *testing.T) {
	b := newTestbed(t, nil)
	const maxTokens, offset = 100, 7
	content := "a dossier about a lantern"
	response, _ := b.openStream(b.ctx, b.cluster.Nodes[0], content, maxTokens)
	run := response.Header.Get("X-Run")
	request, err := http.NewRequestWithContext(b.ctx, http.MethodGet, "http://"+b.cluster.Nodes[1].CallerAddress+"/v1/runs/"+run, nil)
	b.must(err)
	request.Header.Set("Authorization", "Bearer "+b.user.Token)
	request.Header.Set("Last-Event-ID", fmt.Sprintf("%s/%d", run, offset))
	resumed, err := http.DefaultClient.Do(request)
	b.must(err)
	defer resumed.Body.Close()
	tokens := readTokens(t, bufio.NewReader(resumed.Body), maxTokens)
	if expected := engine.Answer(caller.Prompt(content), maxTokens)[offset:]; !slices.Equal(tokens, expected) {
		t.Errorf("another node sent %d tokens from offset %d, expected the last %d of the answer",
			len(tokens), offset, len(expected))
	}
	// Unless it is cancelled, this run takes more than 30 s.
	response, reader := b.openStream(b.ctx, b.cluster.Nodes[0], "a long dossier", 3000)
	b.waitForRuns(2)
	request, err = http.NewRequestWithContext(b.ctx, http.MethodDelete,
		"http://"+b.cluster.Nodes[2].CallerAddress+"/v1/runs/"+response.Header.Get("X-Run"), nil)
	b.must(err)
	if status, _ := b.doRequest(request, b.user.Token, ""); status != http.StatusNoContent {
		t.Errorf("DELETE of the run at another node: status %d, expected 204", status)
	}
	b.waitForIdleEngines()
	var remainder bytes.Buffer
	_, err = reader.WriteTo(&remainder)
	b.must(err)
	if text := remainder.String(); !strings.Contains(text, "event: error") || !strings.Contains(text, `"run":"unknown"`) {
		t.Errorf("the cancelled stream ended with %q, expected an event error with run unknown", text[max(0, len(text)-300):])
	}
}

// TestRunCancelledWhenCallerDisconnects guards against a run without an idempotency key that continues to its end after
// its caller has closed the connection.
func TestRunCancelledWhenCallerDisconnects(t *testing.T) {
	b := newTestbed(t, nil)
	ctx, cancel := context.WithTimeout(b.ctx, time.Minute)
	b.openStream(ctx, b.cluster.Nodes[0], "a long dossier", 3000)
	b.waitForRuns(1)
	cancel()
	b.waitForIdleEngines()
}

// waitForIdleEngines waits until no engine has a run in progress.
func (b *testbed) waitForIdleEngines() {
	b.t.Helper()
	waitForIdleEngines(b.t, b.cluster)
}
