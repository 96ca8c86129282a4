package engine

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// ExportKV copies the KV cache of a run, which goes on meanwhile. The copy can be imported until the engine's host goes away.
// It takes the number of tokens divided by the export rate, so that the caller bounds it by ctx.
func (c *Client) ExportKV(ctx context.Context, runID string) (KVExport, error) {
	var export KVExport
	err := c.call(ctx, http.MethodPost, "/v1/runs/"+runID+"/export", nil, &export)
	return export, errors.Wrapf(err, "export run %q", runID)
}

// ImportKV fetches an exported KV cache. A run with its handle then starts with these tokens cached. The caller bounds it by
// ctx.
func (c *Client) ImportKV(ctx context.Context, request KVImportRequest) error {
	return errors.Wrapf(c.call(ctx, http.MethodPost, "/v1/imports", request, nil), "import %q", request.Handle)
}
