package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"chestnutrudder.example/rudder/entry"
	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/process"
)

func (b *bench) post(node *process.Node, token, key string, body any) (int, entry.Problem) {
	b.t.Helper()
	return b.postTo("http://"+node.Caller+"/v1/chat/completions", token, key, body)
}

// postTo sends one request without the care of the caller stand-in.
func (b *bench) postTo(url, token, key string, body any) (int, entry.Problem) {
	b.t.Helper()
	raw, err := json.Marshal(body)
	b.must(err)
	request, err := http.NewRequestWithContext(b.ctx, http.MethodPost, url, bytes.NewReader(raw))
	b.must(err)
	return b.do(request, token, key)
}

func (b *bench) do(request *http.Request, token, key string) (int, entry.Problem) {
	b.t.Helper()
	request.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	reply, err := http.DefaultClient.Do(request)
	b.must(err)
	defer reply.Body.Close()
	var problem entry.Problem
	if reply.StatusCode >= http.StatusBadRequest {
		b.must(json.NewDecoder(reply.Body).Decode(&problem))
	}
	return reply.StatusCode, problem
}

// TestSameKeyOnTwoNodes guards against a second run when a caller sends its key to two nodes at the same time, and
// against an answer under a key whose content differs.
func TestSameKeyOnTwoNodes(t *testing.T) {
	b := newBench(t, nil)
	request := caller.Request{Content: "a dossier about an organ", MaxTokens: 150, IdempotencyKey: "organ"}
	var results []<-chan asked
	for range 3 {
		for _, n := range b.cluster.Nodes {
			results = append(results, b.ask(n, request))
		}
	}
	run := ""
	for _, r := range results {
		answer := b.whole(r)
		if run == "" {
			run = answer.RunID
		}
		if answer.RunID != run {
			t.Errorf("run %s, expected %s as of the first caller", answer.RunID, run)
		}
	}
	if runs := b.engineRuns(); runs != 1 {
		t.Errorf("engines started %d runs for one key, expected 1", runs)
	}
	other := map[string]any{"model": b.user.Model, "messages": []map[string]string{{"role": "user", "content": "something else"}}}
	for _, n := range b.cluster.Nodes {
		if status, problem := b.post(n, b.user.Token, "organ", other); status != http.StatusUnprocessableEntity || problem.Run != "no" {
			t.Errorf("same key with other content: status %d, run %q, expected 422 and \"no\"", status, problem.Run)
		}
	}
}

// TestSameKeyOfTwoOrganisations guards against an organisation that reads, finds or cancels another one's run (H2).
func TestSameKeyOfTwoOrganisations(t *testing.T) {
	b := newBench(t, nil)
	second := &bench{t: t, ctx: b.ctx, user: b.user, cluster: b.cluster}
	second.user.Token = b.user.Tokens[1]
	first := b.ask(b.cluster.Nodes[0], caller.Request{Content: "a dossier about a statue", MaxTokens: 200, IdempotencyKey: "1"})
	other := second.ask(b.cluster.Nodes[1], caller.Request{Content: "a short note", MaxTokens: 200, IdempotencyKey: "1"})
	mine, theirs := b.whole(first), b.whole(other)
	if mine.RunID == theirs.RunID {
		t.Errorf("both organisations got run %s", mine.RunID)
	}
	for _, n := range b.cluster.Nodes {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			request, err := http.NewRequestWithContext(b.ctx, method, "http://"+n.Caller+"/v1/runs/"+mine.RunID, nil)
			b.must(err)
			if status, _ := b.do(request, second.user.Token, ""); status != http.StatusNotFound {
				t.Errorf("%s of another organisation's run: status %d, expected 404", method, status)
			}
		}
	}
}
