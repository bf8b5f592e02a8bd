package engine

import (
	"context"
	"net/http"

	"github.com/poplarwinch/poplarwinch"
)

// Health is an engine's report about itself.
type Health struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// BootID changes whenever the engine process starts.
	BootID string  `json:"boot-id"`
	Role   string  `json:"role"`
	Models []Model `json:"models"`
}

// Model is a model that an engine has loaded or shall load.
type Model struct {
	Name     poplarwinch.ModelName `json:"name"`
	Version  string                `json:"version"`
	Adapters []Adapter             `json:"adapters"`
}

// Adapter is an adapter of a model that an engine has loaded or shall load.
type Adapter struct {
	Name    poplarwinch.AdapterName `json:"name"`
	Version string                  `json:"version"`
}

// Health reads an engine's health, on a new connection, so that a stalled pooled one does not look like a dead engine.
func (c *Client) Health(ctx context.Context, address string) (Health, error) {
	var h Health
	err := c.call(ctx, operation{name: "health", method: http.MethodGet, path: "/health", receive: &h, fresh: true}, address)
	return h, err
}
