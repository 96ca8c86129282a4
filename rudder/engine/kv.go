package engine

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// ExportKV copies the KV cache of a run, which continues meanwhile. The copy can be imported until the engine's host goes
// away. The export takes the number of tokens divided by the engine's export rate and is bounded only by ctx.
func (c *Client) ExportKV(ctx context.Context, runID string) (KVExport, error) {
	var export KVExport
	err := c.call(ctx, http.MethodPost, "/v1/runs/"+runID+"/export", nil, &export)
	return export, errors.Wrapf(err, "export KV cache of run %q", runID)
}

// ImportKV makes the engine fetch an exported KV cache from another engine. A run request with the handle then starts with
// the exported tokens cached. The import is bounded only by ctx.
func (c *Client) ImportKV(ctx context.Context, request KVImportRequest) error {
	return errors.Wrapf(c.call(ctx, http.MethodPost, "/v1/imports", request, nil), "import KV cache %q", request.Handle)
}
