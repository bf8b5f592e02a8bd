package engine

import (
	"context"
	"net/http"
	"net/url"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// ExportID names a KV export.
type ExportID string

// Export is a copy of a stream's prompt cache that an engine holds until it is deleted.
type Export struct {
	ID      ExportID               `json:"id"`
	Stream  StreamID               `json:"stream"`
	Owner   poplarwinch.InstanceID `json:"owner"`
	Request poplarwinch.RequestID  `json:"request"`
	// Tokens is the memory that the export holds; the engine sets it.
	Tokens poplarwinch.Tokens `json:"tokens,omitempty"`
	// Deadline is the Unix time after which other instances may delete the export.
	Deadline clock.Millis `json:"deadline-ms"`
}

// Export creates an export of a stream's prompt. A *RefusedError with status 507 says that the memory is full,
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

// ExportData returns the blob of an export.
func (c *Client) ExportData(ctx context.Context, address string, id ExportID) ([]byte, error) {
	var data []byte
	err := c.call(ctx, operation{name: "export data", method: http.MethodGet, path: exportPath(id), receive: &data, fresh: true}, address)
	return data, err
}

// DeleteExport frees an export; it succeeds for unknown ones as well.
func (c *Client) DeleteExport(ctx context.Context, address string, id ExportID) error {
	return c.call(ctx, operation{name: "delete export", method: http.MethodDelete, path: exportPath(id), fresh: true}, address)
}

// Import adds the blob of an export to an engine's prefix cache.
func (c *Client) Import(ctx context.Context, address string, blob []byte) error {
	return c.call(ctx, operation{name: "import", method: http.MethodPost, path: "/kv/imports", send: blob, fresh: true}, address)
}

func exportPath(id ExportID) string { return "/kv/exports/" + url.PathEscape(string(id)) }
