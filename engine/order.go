package engine

import (
	"context"
	"net/http"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Order is the desired state of an engine.
type Order struct {
	FencingToken uint64 `json:"fencing-number"`
	// ValidUntil is the Unix time after which the engine rejects the order.
	ValidUntil clock.Millis `json:"valid-until-ms"`
	Role       string       `json:"role"`
	Models     []Model      `json:"models"`
}

// Order sends the desired state. ErrStaleOrder means that the engine rejected it without effect.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	return c.call(ctx, operation{name: "order", method: http.MethodPut, path: "/orders", send: o, fresh: true}, address)
}
