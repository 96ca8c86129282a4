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
	// bytesPerToken is the size of the KV cache of one token.
	bytesPerToken = 128 << 10
	fetchTimeout  = 5 * time.Second
)

// exported is a KV cache that another engine can fetch.
type exported struct {
	Prompt string `json:"prompt"` // PromptHash
	Tokens int    `json:"tokens"`
}

// exportRun copies the KV cache of a held run. Exports share the export rate: they go one after another. The run goes
// on meanwhile and its new tokens are copied too, so that the export lacks only the tokens of the last moment.
func (e *Engine) exportRun(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	entry := e.runs[mux.Vars(r)["run"]]
	refused := e.faults.RefuseExports
	e.mu.Unlock()
	if entry == nil || refused {
		refuse(w, http.StatusNotFound, "run has no KV cache to export")
		return
	}
	e.exportMu.Lock()
	defer e.exportMu.Unlock()
	copied := 0
	for {
		tokens, usable := e.exportable(entry)
		if !usable {
			refuse(w, http.StatusConflict, "run has no KV cache to export")
			return
		}
		last := copied > 0 && tokens-copied < engine.TokensPerBlock
		if !e.spend(r.Context(), tokens-copied, e.config.ExportTokensPerSecond) {
			return
		}
		copied = tokens
		if last {
			break
		}
	}
	export := engine.KVExport{Handle: uuid.NewString(), Tokens: copied, Bytes: int64(copied) * bytesPerToken}
	e.mu.Lock()
	e.exports[export.Handle] = exported{Prompt: PromptHash(entry.order.Prompt), Tokens: copied}
	e.stats.ExportedTokens += int64(copied)
	e.mu.Unlock()
	writeJSON(w, export)
}

// exportable returns how many tokens of the run are in the KV cache.
func (e *Engine) exportable(r *run) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.started || r.cancelled {
		return 0, false
	}
	return len(r.input) + len(r.tokens) - len(r.order.Generated), true
}

// spend takes the time that tokens need at a rate; false means that the engine or the caller went away.
func (e *Engine) spend(ctx context.Context, tokens int, perSecond float64) bool {
	timer := time.NewTimer(time.Duration(float64(tokens) / perSecond * float64(time.Second)))
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

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	export, found := e.exports[mux.Vars(r)["handle"]]
	e.mu.Unlock()
	if !found {
		refuse(w, http.StatusNotFound, "no such export")
		return
	}
	writeJSON(w, export)
}

// importExport fetches an exported KV cache from its engine.
func (e *Engine) importExport(w http.ResponseWriter, r *http.Request) {
	var order engine.KVImportRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	export, err := fetchExport(r.Context(), order)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "source: "+err.Error())
		return
	}
	if !e.spend(r.Context(), export.Tokens, e.config.ImportTokensPerSecond) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.LoseImports {
		e.cache.imports[order.Handle] = export
	}
	e.stats.ImportedTokens += int64(export.Tokens)
	writeJSON(w, struct{}{})
}

func fetchExport(ctx context.Context, order engine.KVImportRequest) (exported, error) {
	var export exported
	return export, fetch(ctx, order.Source+"/v1/exports/"+url.PathEscape(order.Handle), &export)
}

// statusError is an answer with another status than 200.
type statusError int

// Error names the status.
func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }

func fetch(ctx context.Context, address string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return statusError(reply.StatusCode)
	}
	return json.NewDecoder(reply.Body).Decode(out)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "after: not a number")
		return
	}
	e.mu.Lock()
	page := e.cache.eventsAfter(after, time.Duration(e.faults.EventDelayMillis)*time.Millisecond)
	e.mu.Unlock()
	writeJSON(w, page)
}
