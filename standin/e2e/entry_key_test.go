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

// postChat sends one chat request to a node and returns the status and, if it is 400 or more, the problem document.
func (b *testbed) postChat(node *process.Node, token, key string, body any) (int, entry.Problem) {
	b.t.Helper()
	return b.postJSON("http://"+node.CallerAddress+"/v1/chat/completions", token, key, body)
}

// postJSON sends one request with a JSON body, without the retries and redirects of the caller stand-in. An empty key sends
// no idempotency key.
func (b *testbed) postJSON(url, token, key string, body any) (int, entry.Problem) {
	b.t.Helper()
	raw, err := json.Marshal(body)
	b.must(err)
	request, err := http.NewRequestWithContext(b.ctx, http.MethodPost, url, bytes.NewReader(raw))
	b.must(err)
	return b.doRequest(request, token, key)
}

// doRequest sends a request with credentials and, unless it is empty, an idempotency key.
func (b *testbed) doRequest(request *http.Request, token, key string) (int, entry.Problem) {
	b.t.Helper()
	request.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	b.must(err)
	defer response.Body.Close()
	var problem entry.Problem
	if response.StatusCode >= http.StatusBadRequest {
		b.must(json.NewDecoder(response.Body).Decode(&problem))
	}
	return response.StatusCode, problem
}

// TestSameKeyOnSeveralNodes guards against a second run when a request is sent with the same idempotency key to several
// nodes at the same time, and against an answer to a request that reuses the key with other content.
func TestSameKeyOnSeveralNodes(t *testing.T) {
	b := newTestbed(t, nil)
	request := caller.Request{Content: "a dossier about an organ", MaxTokens: 150, IdempotencyKey: "organ"}
	var results []<-chan askResult
	for range 3 {
		for _, n := range b.cluster.Nodes {
			results = append(results, b.ask(n, request))
		}
	}
	run := ""
	for _, r := range results {
		answer := b.requireAnswer(r)
		if run == "" {
			run = answer.RunID
		}
		if answer.RunID != run {
			t.Errorf("answer comes from run %s, expected run %s as for the first request", answer.RunID, run)
		}
	}
	if runs := b.countEngineRuns(); runs != 1 {
		t.Errorf("engines started %d runs for one idempotency key, expected 1", runs)
	}
	otherBody := map[string]any{"model": b.user.Model, "messages": []map[string]string{{"role": "user", "content": "something else"}}}
	for _, n := range b.cluster.Nodes {
		if status, problem := b.postChat(n, b.user.Token, "organ", otherBody); status != http.StatusUnprocessableEntity ||
			problem.Run != "no" {
			t.Errorf("same idempotency key with other content: status %d, run %q, expected 422 and \"no\"", status, problem.Run)
		}
	}
}

// TestSameKeyOfTwoOrganisations guards against an organisation that finds another one's run by using the same idempotency
// key, or that reads or cancels it by its identifier (invariant H2).
func TestSameKeyOfTwoOrganisations(t *testing.T) {
	b := newTestbed(t, nil)
	secondOrganisation := &testbed{t: t, ctx: b.ctx, user: b.user, cluster: b.cluster}
	secondOrganisation.user.Token = b.user.Tokens[1]
	firstResults := b.ask(b.cluster.Nodes[0], caller.Request{Content: "a dossier about a statue", MaxTokens: 200, IdempotencyKey: "1"})
	secondResults := secondOrganisation.ask(b.cluster.Nodes[1],
		caller.Request{Content: "a short note", MaxTokens: 200, IdempotencyKey: "1"})
	firstAnswer, secondAnswer := b.requireAnswer(firstResults), b.requireAnswer(secondResults)
	if firstAnswer.RunID == secondAnswer.RunID {
		t.Errorf("both organisations got the answer of run %s", firstAnswer.RunID)
	}
	for _, n := range b.cluster.Nodes {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			request, err := http.NewRequestWithContext(b.ctx, method, "http://"+n.CallerAddress+"/v1/runs/"+firstAnswer.RunID, nil)
			b.must(err)
			if status, _ := b.doRequest(request, secondOrganisation.user.Token, ""); status != http.StatusNotFound {
				t.Errorf("%s of another organisation's run: status %d, expected 404", method, status)
			}
		}
	}
}
