package engine

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// SendOrder orders the engine to load a model version or an adapter, or to change its role. ErrRefused means that the
// fencing token is lower than one that the engine has seen. The engine responds before the change is complete; its load
// report shows when it is.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	return errors.Wrapf(c.callWithTimeout(ctx, http.MethodPost, "/v1/orders", order, nil), "send order %s", order.Kind)
}
