package engine

import (
	"context"
	"net/http"

	"lacewinghook.example/lacewinghook/core"
)

// Order instructs an engine to change to the state in order. The error is
// [codes.OrderStale] if the engine has seen a newer fencing number.
func (c *Client) Order(ctx context.Context, up core.Upstream, order core.EngineOrder) error {
	var none struct{}
	return c.callJSON(ctx, target{up: up, method: http.MethodPost, path: "/v1/orders"}, order, &none)
}

// LastOrder returns the last order that the engine accepted.
func (c *Client) LastOrder(ctx context.Context, up core.Upstream) (core.EngineOrder, error) {
	var order core.EngineOrder
	err := c.callJSON(ctx, target{up: up, method: http.MethodGet, path: "/v1/state"}, nil, &order)
	return order, err
}
