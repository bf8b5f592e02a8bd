package engine

import (
	"context"
	"net/http"

	"github.com/poplarwinch/poplarwinch"
)

// Health is the health report of an engine.
type Health struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// BootID changes whenever the engine's process starts.
	BootID string  `json:"boot-id"`
	Role   string  `json:"role"`
	Models []Model `json:"models"`
}

// Model is a model that an engine has loaded or is ordered to load.
type Model struct {
	Name     poplarwinch.ModelName `json:"name"`
	Version  string                `json:"version"`
	Adapters []Adapter             `json:"adapters"`
}

// Adapter is an adapter that an engine has loaded or is ordered to load.
type Adapter struct {
	Name    poplarwinch.AdapterName `json:"name"`
	Version string                  `json:"version"`
}

// Health reads an engine's health on a new connection, because a stalled pooled one would look like a dead engine.
func (c *Client) Health(ctx context.Context, address string) (Health, error) {
	var h Health
	err := c.call(ctx, operation{name: "health", method: http.MethodGet, path: "/health", receive: &h, fresh: true}, address)
	return h, err
}
