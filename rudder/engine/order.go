package engine

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// SendOrder tells the engine to change what it serves. ErrRefused means that the fencing token is older than one that the
// engine has seen. The engine answers at once; the change shows in its load report.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	return errors.Wrapf(c.callWithTimeout(ctx, http.MethodPost, "/v1/orders", order, nil), "order %s", order.Kind)
}
