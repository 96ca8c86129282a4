package engine

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// Export copies the KV cache of a run, which goes on meanwhile. The copy can be imported until the engine's host goes away.
// It takes the number of tokens divided by the export rate, so that the caller bounds it by ctx.
func (c *Client) Export(ctx context.Context, run string) (Export, error) {
	var export Export
	err := c.exchange(ctx, http.MethodPost, "/v1/runs/"+run+"/export", nil, &export)
	return export, errors.Wrapf(err, "export run %q", run)
}

// Import fetches an exported KV cache. A run with its handle then starts with these tokens cached. The caller bounds it by
// ctx.
func (c *Client) Import(ctx context.Context, order Import) error {
	return errors.Wrapf(c.exchange(ctx, http.MethodPost, "/v1/imports", order, nil), "import %q", order.Handle)
}
