package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"chestnutrudder.example/rudder/engine"
)

const (
	// bytesPerToken is the size of one token in the KV cache.
	bytesPerToken = 128 << 10
	httpTimeout   = 5 * time.Second
)

// exportedKV describes a KV cache that another engine can import.
type exportedKV struct {
	PromptHash string `json:"prompt"`
	Tokens     int    `json:"tokens"`
}

// serveExportKV exports the KV cache of a run. Exports share the export rate and therefore run one after another. The run
// continues meanwhile, and its new tokens are copied in further passes until a pass copies less than one block, so that the
// export lacks only the tokens generated during the last pass.
func (e *Engine) serveExportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	heldRun := e.runs[mux.Vars(r)["run"]]
	refuseExports := e.faults.RefuseExports
	e.mu.Unlock()
	if heldRun == nil || refuseExports {
		writeRefusal(w, http.StatusNotFound, "run has no KV cache to export")
		return
	}
	e.exportMu.Lock()
	defer e.exportMu.Unlock()
	copiedTokens := 0
	for {
		cachedTokens, canExport := e.exportableTokens(heldRun)
		if !canExport {
			writeRefusal(w, http.StatusConflict, "run has no KV cache to export")
			return
		}
		isLastPass := copiedTokens > 0 && cachedTokens-copiedTokens < engine.TokensPerBlock
		if !e.waitForTransfer(r.Context(), cachedTokens-copiedTokens, e.config.ExportTokensPerSecond) {
			return
		}
		copiedTokens = cachedTokens
		if isLastPass {
			break
		}
	}
	export := engine.KVExport{Handle: uuid.NewString(), Tokens: copiedTokens, Bytes: int64(copiedTokens) * bytesPerToken}
	e.mu.Lock()
	e.exports[export.Handle] = exportedKV{PromptHash: PromptHash(heldRun.request.Prompt), Tokens: copiedTokens}
	e.stats.ExportedTokens += int64(copiedTokens)
	e.mu.Unlock()
	writeJSON(w, export)
}

// exportableTokens returns how many tokens of the run are in the KV cache. It returns false if the run cannot be exported
// because its prefill is incomplete or it was cancelled.
func (e *Engine) exportableTokens(r *run) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.isPrefilled || r.isCancelled {
		return 0, false
	}
	return len(r.inputTokens) + len(r.answerTokens) - len(r.request.Generated), true
}

// waitForTransfer waits as long as a transfer of tokens takes at a rate. It returns false if ctx ends first, and aborts the
// handler if the engine crashes.
func (e *Engine) waitForTransfer(ctx context.Context, tokens int, tokensPerSecond float64) bool {
	timer := time.NewTimer(time.Duration(float64(tokens) / tokensPerSecond * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-e.crashed:
		panic(http.ErrAbortHandler)
	}
}

// serveExportedKV sends an export to the engine that imports it.
func (e *Engine) serveExportedKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	export, found := e.exports[mux.Vars(r)["handle"]]
	e.mu.Unlock()
	if !found {
		writeRefusal(w, http.StatusNotFound, "no such export")
		return
	}
	writeJSON(w, export)
}

// serveImportKV fetches an exported KV cache from the engine that exported it, and responds after the transfer time.
func (e *Engine) serveImportKV(w http.ResponseWriter, r *http.Request) {
	var request engine.KVImportRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	export, err := fetchExportedKV(r.Context(), request)
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, "source: "+err.Error())
		return
	}
	if !e.waitForTransfer(r.Context(), export.Tokens, e.config.ImportTokensPerSecond) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.DropImports {
		e.cache.imports[request.Handle] = export
	}
	e.stats.ImportedTokens += int64(export.Tokens)
	writeJSON(w, struct{}{})
}

func fetchExportedKV(ctx context.Context, request engine.KVImportRequest) (exportedKV, error) {
	var export exportedKV
	return export, getJSON(ctx, request.Source+"/v1/exports/"+url.PathEscape(request.Handle), &export)
}

// statusError is the status of an HTTP response other than 200.
type statusError int

// Error implements the error interface.
func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }

// getJSON sends a GET request and decodes the JSON response into out. It takes at most httpTimeout; a status other than 200
// is a statusError.
func getJSON(ctx context.Context, requestURL string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(out)
}

// serveCacheEvents sends the cache events after a sequence number.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, "after: not a number")
		return
	}
	e.mu.Lock()
	page := e.cache.eventsAfter(after, time.Duration(e.faults.EventDelayMillis)*time.Millisecond)
	e.mu.Unlock()
	writeJSON(w, page)
}
