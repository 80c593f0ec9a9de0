package engine

import (
	"context"
	"net/http"

	"lacewinghook.example/lacewinghook/core"
)

// Order tells an engine to bring itself to a state. Its error is
// [codes.OrderStale] if the engine has seen a newer fencing number.
func (c *Client) Order(ctx context.Context, up core.Upstream, order core.Order) error {
	var none struct{}
	return c.callJSON(ctx, target{up: up, method: http.MethodPost, path: "/v1/orders"}, order, &none)
}

// Ordered returns the last order that an engine took.
func (c *Client) Ordered(ctx context.Context, up core.Upstream) (core.Order, error) {
	var order core.Order
	err := c.callJSON(ctx, target{up: up, method: http.MethodGet, path: "/v1/state"}, nil, &order)
	return order, err
}
