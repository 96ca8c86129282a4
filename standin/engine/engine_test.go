package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"chestnutrudder.example/rudder/engine"
)

const prompt = "user: which red for a small cap and which green for the coat of the second one in the row\n"

func fastConfig() Config {
	c := DefaultConfig()
	c.DecodeBase, c.DecodePerRun = time.Millisecond, 0
	c.ModelVersion = "v1"
	c.ExportTokensPerSecond, c.ImportTokensPerSecond = 1e6, 1e6
	c.Ledger = &RunLedger{}
	return c
}

func startEngine(t *testing.T, c Config) (*Engine, string) {
	t.Helper()
	e := New(c)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.Crash()
		server.CloseClientConnections()
		server.Close()
	})
	return e, server.URL
}

func newRequest(runID string, maxTokens int) engine.RunRequest {
	return engine.RunRequest{RunID: runID, AttemptID: runID + ".1", ModelVersion: "v1", Prompt: prompt, MaxTokens: maxTokens}
}

// readAllChunks starts a run and returns its chunks, the last of which has End.
func readAllChunks(t *testing.T, baseURL string, request engine.RunRequest) []engine.Chunk {
	t.Helper()
	stream, err := engine.NewClient(baseURL).Run(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var chunks []engine.Chunk
	for {
		chunk, err := stream.Next()
		if err != nil {
			t.Fatal(err)
		}
		chunks = append(chunks, chunk)
		if chunk.End {
			return chunks
		}
	}
}

func postJSON(t *testing.T, url string, in, out any) int {
	t.Helper()
	encoded, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if out != nil {
		if err := json.NewDecoder(response.Body).Decode(out); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode
}

// TestDecodeWaitsForPrefill guards against an engine that decodes tokens for a run whose prefill is incomplete, and against
// cancelled runs that stay in the queue.
func TestDecodeWaitsForPrefill(t *testing.T) {
	c := fastConfig()
	c.Slots, c.PrefillChunkTokens = 1, 8
	e := &Engine{config: c, runs: map[string]*run{}, cache: newPrefixCache(16), wake: make(chan struct{}, 1)}
	first, _, _ := e.enqueueOrResume(newRequest("a", 2))
	second, _, _ := e.enqueueOrResume(newRequest("b", 2))
	next := e.planStep()
	e.applyStep(next)
	if next.prefillRun != first || first.isPrefilled || len(first.answerTokens) != 0 {
		t.Errorf("run has %d tokens after part of its prefill, expected none", len(first.answerTokens))
	}
	second.isCancelled = true
	e.planStep()
	if len(e.waitingRuns) != 0 || !second.hasEnded {
		t.Errorf("%d runs are waiting after the waiting run was cancelled, expected none", len(e.waitingRuns))
	}
	for !first.hasEnded {
		e.applyStep(e.planStep())
	}
	if !slices.Equal(first.answerTokens, Answer(prompt, 2)) {
		t.Errorf("answer is %v, expected the complete answer to the prompt", first.answerTokens)
	}
	if records := c.Ledger.Records(); len(records) != 1 || records[0].DecodedTokens != 2 || records[0].RunID != "a" {
		t.Errorf("run records are %+v, expected one record of run a with 2 decoded tokens", records)
	}
}

// TestChunkFaults guards against chunk faults that are not injected: then a system that accepts repeated or stale chunks
// would pass its tests.
func TestChunkFaults(t *testing.T) {
	e, baseURL := startEngine(t, fastConfig())
	e.SetFaults(Faults{RepeatEveryChunks: 2, StaleEveryChunks: 3})
	var tokens []string
	stale, repeated := 0, 0
	for _, chunk := range readAllChunks(t, baseURL, newRequest("a", 40)) {
		switch {
		case chunk.AttemptID != "a.1":
			stale++
		case chunk.Offset < len(tokens) && len(chunk.Tokens) > 0:
			repeated++
		default:
			tokens = append(tokens, chunk.Tokens...)
		}
	}
	if stale == 0 || repeated == 0 || !slices.Equal(tokens, Answer(prompt, 40)) {
		t.Errorf("%d stale and %d repeated chunks and an answer of %d tokens, expected some of both and the complete answer", stale, repeated, len(tokens))
	}
}

// TestExportImport guards against an imported KV cache that does not save the prefill, or that is used for another prompt.
func TestExportImport(t *testing.T) {
	c := fastConfig()
	_, sourceURL := startEngine(t, c)
	_, targetURL := startEngine(t, c)
	readAllChunks(t, sourceURL, newRequest("a", 10))
	var export engine.KVExport
	if status := postJSON(t, sourceURL+"/v1/runs/a/export", nil, &export); status != http.StatusOK {
		t.Fatalf("export has status %d, expected 200", status)
	}
	if status := postJSON(t, targetURL+"/v1/imports", engine.KVImportRequest{Handle: export.Handle, Source: sourceURL}, nil); status != http.StatusOK {
		t.Fatalf("import has status %d, expected 200", status)
	}
	otherPrompt := newRequest("b", 10)
	otherPrompt.Prompt, otherPrompt.KVHandle = "user: another question\n", export.Handle
	if startedChunk := readAllChunks(t, targetURL, otherPrompt)[0]; startedChunk.ComputedTokens == 0 {
		t.Error("run with another prompt used the imported KV cache")
	}
	continued := newRequest("a", 20)
	continued.Generated, continued.KVHandle = Answer(prompt, 10), export.Handle
	if startedChunk := readAllChunks(t, targetURL, continued)[0]; startedChunk.ComputedTokens != 0 {
		t.Errorf("%d tokens were computed after the import, expected 0", startedChunk.ComputedTokens)
	}
	if status := postJSON(t, targetURL+"/v1/imports", engine.KVImportRequest{Handle: "none", Source: sourceURL}, nil); status != http.StatusServiceUnavailable {
		t.Errorf("import of an unknown handle has status %d, expected 503", status)
	}
}

// TestOrders guards against an engine that follows orders of a former lease holder, and against a switch to a version whose
// load fails.
func TestOrders(t *testing.T) {
	e, baseURL := startEngine(t, fastConfig())
	ignoringConfig := fastConfig()
	ignoringConfig.IgnoreFencing = true
	_, ignoringBaseURL := startEngine(t, ignoringConfig)
	for _, b := range []string{baseURL, ignoringBaseURL} {
		postJSON(t, b+"/v1/orders", engine.Order{Kind: engine.OrderSetRole, Role: "prefill", Fence: 5}, nil)
	}
	oldOrder := engine.Order{Kind: engine.OrderSetRole, Role: "decode", Fence: 4}
	if status := postJSON(t, baseURL+"/v1/orders", oldOrder, nil); status != http.StatusConflict {
		t.Errorf("order with an outdated fencing token has status %d, expected 409", status)
	}
	if status := postJSON(t, ignoringBaseURL+"/v1/orders", oldOrder, nil); status != http.StatusOK {
		t.Errorf("order with an outdated fencing token has status %d on an engine that ignores fencing, expected 200", status)
	}
	e.SetFaults(Faults{FailVersions: []string{"bad"}})
	for _, load := range []struct{ version, want string }{{"bad", "v1"}, {"v2", "v2"}} {
		postJSON(t, baseURL+"/v1/orders", engine.Order{Kind: engine.OrderLoadVersion, ModelVersion: load.version, Fence: 6}, nil)
		for e.isLoading(load.version) {
			time.Sleep(time.Millisecond)
		}
		report, err := engine.NewClient(baseURL).LoadReport(context.Background())
		if err != nil || report.ModelVersion != load.want {
			t.Errorf("model version is %q after an order to load %q, expected %q (error: %v)", report.ModelVersion, load.version, load.want, err)
		}
	}
}

// TestRefusals guards against refusals with another status or with a run record: clients conclude from these statuses that
// nothing was run.
func TestRefusals(t *testing.T) {
	e, baseURL := startEngine(t, fastConfig())
	wrongVersion := newRequest("a", 1)
	wrongVersion.ModelVersion = "v9"
	unknownRun := newRequest("a", 1)
	unknownRun.Resume = true
	if status := postJSON(t, baseURL+"/v1/runs", wrongVersion, nil); status != http.StatusConflict {
		t.Errorf("run with another model version has status %d, expected 409", status)
	}
	if status := postJSON(t, baseURL+"/v1/runs", unknownRun, nil); status != http.StatusNotFound {
		t.Errorf("resume of an unknown run has status %d, expected 404", status)
	}
	e.SetFaults(Faults{RefuseRuns: true})
	if status := postJSON(t, baseURL+"/v1/runs", newRequest("a", 1), nil); status != http.StatusServiceUnavailable {
		t.Errorf("run refused by a fault has status %d, expected 503", status)
	}
	e.AnnounceReclaim(time.Now().Add(time.Minute), true)
	if status := postJSON(t, baseURL+"/v1/runs", newRequest("a", 1), nil); status != http.StatusGone {
		t.Errorf("run after a reclaim notice has status %d, expected 410", status)
	}
	e.mu.Lock()
	e.notice.receivedAt = time.Now().Add(-LateRunThreshold - time.Second)
	e.mu.Unlock()
	postJSON(t, baseURL+"/v1/runs", newRequest("late", 1), nil)
	if lateRuns := e.config.Ledger.LateRuns(); len(lateRuns) != 1 || lateRuns[0].RunID != "late" {
		t.Errorf("late runs are %v, expected only the last one", lateRuns)
	}
	report, err := engine.NewClient(baseURL).LoadReport(context.Background())
	if err != nil || !report.Leaving || report.LeavingInMillis == 0 {
		t.Errorf("load report is %+v (error: %v), expected Leaving and a positive LeavingInMillis", report, err)
	}
	if records := e.config.Ledger.Records(); len(records) != 0 {
		t.Errorf("%d run records of refused runs, expected none", len(records))
	}
}

// TestCacheEvents guards against dropped events that leave no gap in the sequence numbers, and against a delay that does not
// withhold events.
func TestCacheEvents(t *testing.T) {
	c := newPrefixCache(2)
	c.eventsToDrop = 1
	c.store([]uint64{1})
	c.store([]uint64{2, 3})
	page := c.eventsAfter(0, 0)
	if len(page.Events) != 2 || page.Events[0].Sequence != 2 || page.Events[1].Stored || page.Next != 3 {
		t.Errorf("events are %+v, expected stored blocks with number 2, after a gap, and evicted blocks with number 3", page)
	}
	if delayed := c.eventsAfter(0, time.Hour); len(delayed.Events) != 0 || delayed.Next != 0 {
		t.Errorf("events less than the delay old are %+v, expected none", delayed)
	}
}

// TestFreeze guards against a frozen engine that still responds, and against one that does no work after it is unfrozen.
func TestFreeze(t *testing.T) {
	e, baseURL := startEngine(t, fastConfig())
	e.SetFrozen(true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := engine.NewClient(baseURL).LoadReport(ctx); err == nil {
		t.Error("frozen engine sent a load report")
	}
	e.SetFrozen(false)
	readAllChunks(t, baseURL, newRequest("a", 3))
}
