package engine

import (
	"context"
	"net/http"
	"net/url"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// ExportID identifies a KV export.
type ExportID string

// Export is a copy of a stream's KV cache for its prompt. The engine holds it until it is deleted.
type Export struct {
	ID      ExportID               `json:"id"`
	Stream  StreamID               `json:"stream"`
	Owner   poplarwinch.InstanceID `json:"owner"`
	Request poplarwinch.RequestID  `json:"request"`
	// Tokens is the size of the memory that the export holds; it is set by the engine.
	Tokens poplarwinch.Tokens `json:"tokens,omitempty"`
	// Deadline is the Unix time after which other instances may delete the export.
	Deadline clock.Millis `json:"deadline-ms"`
}

// Export creates an export of a stream's prompt. A *RefusedError with status 507 means that the memory is full, and
// ErrUnknown that the stream is unknown.
func (c *Client) Export(ctx context.Context, address string, e Export) error {
	return c.call(ctx, operation{name: "export", method: http.MethodPost, path: "/kv/exports", send: e, fresh: true}, address)
}

// Exports lists all exports of an engine.
func (c *Client) Exports(ctx context.Context, address string) ([]Export, error) {
	var list []Export
	err := c.call(ctx, operation{name: "exports", method: http.MethodGet, path: "/kv/exports", receive: &list, fresh: true}, address)
	return list, err
}

// ExportData returns the data of an export.
func (c *Client) ExportData(ctx context.Context, address string, id ExportID) ([]byte, error) {
	var data []byte
	err := c.call(ctx, operation{name: "export data", method: http.MethodGet, path: exportPath(id), receive: &data, fresh: true}, address)
	return data, err
}

// DeleteExport deletes an export and frees its memory. It succeeds for an unknown export, too.
func (c *Client) DeleteExport(ctx context.Context, address string, id ExportID) error {
	return c.call(ctx, operation{name: "delete export", method: http.MethodDelete, path: exportPath(id), fresh: true}, address)
}

// Import adds the data of an export to an engine's prefix cache.
func (c *Client) Import(ctx context.Context, address string, blob []byte) error {
	return c.call(ctx, operation{name: "import", method: http.MethodPost, path: "/kv/imports", send: blob, fresh: true}, address)
}

func exportPath(id ExportID) string { return "/kv/exports/" + url.PathEscape(string(id)) }
