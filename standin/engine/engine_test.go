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

func serve(t *testing.T, c Config) (*Engine, string) {
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

func order(run string, tokens int) engine.RunRequest {
	return engine.RunRequest{RunID: run, AttemptID: run + ".1", ModelVersion: "v1", Prompt: prompt, MaxTokens: tokens}
}

// read returns all chunks of a run.
func read(t *testing.T, base string, o engine.RunRequest) []engine.Chunk {
	t.Helper()
	stream, err := engine.NewClient(base).Run(context.Background(), o)
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

func post(t *testing.T, url string, in, out any) int {
	t.Helper()
	raw, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := http.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	defer reply.Body.Close()
	if out != nil {
		if err := json.NewDecoder(reply.Body).Decode(out); err != nil {
			t.Fatal(err)
		}
	}
	return reply.StatusCode
}

// TestDecodeWaitsForPrefill guards against an engine that gives tokens to a run whose prompt is not computed yet and
// against cancelled runs that keep their place in the queue.
func TestDecodeWaitsForPrefill(t *testing.T) {
	c := fastConfig()
	c.Slots, c.PrefillChunkTokens = 1, 8
	e := &Engine{config: c, runs: map[string]*run{}, cache: newPrefixCache(16), wake: make(chan struct{}, 1)}
	first, _, _ := e.enter(order("a", 2))
	second, _, _ := e.enter(order("b", 2))
	next := e.plan()
	e.step(next)
	if next.prefill != first || first.started || len(first.tokens) != 0 {
		t.Errorf("run has %d tokens after a part of its prefill, expected none", len(first.tokens))
	}
	second.cancelled = true
	e.plan()
	if len(e.queue) != 0 || !second.ended {
		t.Errorf("queue holds %d runs after a cancel, expected none", len(e.queue))
	}
	for !first.ended {
		e.step(e.plan())
	}
	if !slices.Equal(first.tokens, Answer(prompt, 2)) {
		t.Errorf("answer is %v", first.tokens)
	}
	if records := c.Ledger.Records(); len(records) != 1 || records[0].Decoded != 2 || records[0].Run != "a" {
		t.Errorf("ledger is %+v, expected one record of run a", records)
	}
}

// TestChunkFaults guards against faults that do not happen: then a system that takes stale chunks would pass.
func TestChunkFaults(t *testing.T) {
	e, base := serve(t, fastConfig())
	e.SetFaults(Faults{RepeatEvery: 2, StaleEvery: 3})
	var tokens []string
	stale, repeated := 0, 0
	for _, chunk := range read(t, base, order("a", 40)) {
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
		t.Errorf("%d stale and %d repeated chunks, answer of %d tokens", stale, repeated, len(tokens))
	}
}

// TestExportImport guards against a KV cache that does not spare the prefill, or that serves another prompt.
func TestExportImport(t *testing.T) {
	c := fastConfig()
	_, source := serve(t, c)
	_, target := serve(t, c)
	read(t, source, order("a", 10))
	var export engine.KVExport
	if status := post(t, source+"/v1/runs/a/export", nil, &export); status != http.StatusOK {
		t.Fatalf("export has status %d", status)
	}
	if status := post(t, target+"/v1/imports", engine.KVImportRequest{Handle: export.Handle, Source: source}, nil); status != http.StatusOK {
		t.Fatalf("import has status %d", status)
	}
	other := order("b", 10)
	other.Prompt, other.KVHandle = "user: another question\n", export.Handle
	if started := read(t, target, other)[0]; started.ComputedTokens == 0 {
		t.Error("another prompt uses the imported KV cache")
	}
	next := order("a", 20)
	next.Generated, next.KVHandle = Answer(prompt, 10), export.Handle
	if started := read(t, target, next)[0]; started.ComputedTokens != 0 {
		t.Errorf("%d tokens were computed after the import, expected 0", started.ComputedTokens)
	}
	if status := post(t, target+"/v1/imports", engine.KVImportRequest{Handle: "none", Source: source}, nil); status != http.StatusServiceUnavailable {
		t.Errorf("import of an unknown handle has status %d, expected 503", status)
	}
}

// TestOrders guards against an engine that obeys an old lease holder, and against versions that load although they fail.
func TestOrders(t *testing.T) {
	e, base := serve(t, fastConfig())
	ignoring := fastConfig()
	ignoring.IgnoreFencing = true
	_, ignoringBase := serve(t, ignoring)
	for _, b := range []string{base, ignoringBase} {
		post(t, b+"/v1/orders", engine.Order{Kind: engine.OrderSetRole, Role: "prefill", Fence: 5}, nil)
	}
	old := engine.Order{Kind: engine.OrderSetRole, Role: "decode", Fence: 4}
	if status := post(t, base+"/v1/orders", old, nil); status != http.StatusConflict {
		t.Errorf("old order has status %d, expected 409", status)
	}
	if status := post(t, ignoringBase+"/v1/orders", old, nil); status != http.StatusOK {
		t.Errorf("old order has status %d on an engine that ignores fencing, expected 200", status)
	}
	e.SetFaults(Faults{FailVersions: []string{"bad"}})
	for _, load := range []struct{ version, want string }{{"bad", "v1"}, {"v2", "v2"}} {
		post(t, base+"/v1/orders", engine.Order{Kind: engine.OrderLoadVersion, ModelVersion: load.version, Fence: 6}, nil)
		for e.stillLoading(load.version) {
			time.Sleep(time.Millisecond)
		}
		report, err := engine.NewClient(base).LoadReport(context.Background())
		if err != nil || report.ModelVersion != load.want {
			t.Errorf("version is %q after an order for %q, expected %q (%v)", report.ModelVersion, load.version, load.want, err)
		}
	}
}

// TestRefusals guards against refusals that look like something else: callers rely on "not run".
func TestRefusals(t *testing.T) {
	e, base := serve(t, fastConfig())
	wrong := order("a", 1)
	wrong.ModelVersion = "v9"
	resume := order("a", 1)
	resume.Resume = true
	if status := post(t, base+"/v1/runs", wrong, nil); status != http.StatusConflict {
		t.Errorf("wrong version has status %d, expected 409", status)
	}
	if status := post(t, base+"/v1/runs", resume, nil); status != http.StatusNotFound {
		t.Errorf("resume of an unknown run has status %d, expected 404", status)
	}
	e.SetFaults(Faults{RefuseRuns: true})
	if status := post(t, base+"/v1/runs", order("a", 1), nil); status != http.StatusServiceUnavailable {
		t.Errorf("refused run has status %d, expected 503", status)
	}
	e.Leave(time.Now().Add(time.Minute), true)
	if status := post(t, base+"/v1/runs", order("a", 1), nil); status != http.StatusGone {
		t.Errorf("run on a leaving engine has status %d, expected 410", status)
	}
	e.mu.Lock()
	e.leaving.noticeAt = time.Now().Add(-LateAfter - time.Second)
	e.mu.Unlock()
	post(t, base+"/v1/runs", order("late", 1), nil)
	if late := e.config.Ledger.LateOffers(); len(late) != 1 || late[0].Run != "late" {
		t.Errorf("late offers are %v, expected only the last run", late)
	}
	report, err := engine.NewClient(base).LoadReport(context.Background())
	if err != nil || !report.Leaving || report.LeavingInMillis == 0 {
		t.Errorf("load report is %+v (%v), expected leaving with time left", report, err)
	}
	if records := e.config.Ledger.Records(); len(records) != 0 {
		t.Errorf("ledger has %d records of refused runs", len(records))
	}
}

// TestCacheEvents guards against gaps that do not show in the sequence and delays that do not hold events back.
func TestCacheEvents(t *testing.T) {
	c := newPrefixCache(2)
	c.drop = 1
	c.store([]uint64{1})
	c.store([]uint64{2, 3})
	page := c.eventsAfter(0, 0)
	if len(page.Events) != 2 || page.Events[0].Sequence != 2 || page.Events[1].Stored || page.Next != 3 {
		t.Errorf("events are %+v, expected a gap, one stored and one evicted", page)
	}
	if late := c.eventsAfter(0, time.Hour); len(late.Events) != 0 || late.Next != 0 {
		t.Errorf("late events are %+v, expected none", late)
	}
}

// TestFreeze guards against a frozen engine that still answers or does not come back.
func TestFreeze(t *testing.T) {
	e, base := serve(t, fastConfig())
	e.Freeze(true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := engine.NewClient(base).LoadReport(ctx); err == nil {
		t.Error("a frozen engine answers")
	}
	e.Freeze(false)
	read(t, base, order("a", 3))
}
