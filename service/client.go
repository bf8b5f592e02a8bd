// Package service is the client for plain services. It never sends a call twice.
package service

import (
	"net/http"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Client sends calls to the servers of plain services by address (IP:port).
type Client struct {
	config config
	// pooled reuses connections.
	pooled *http.Transport
	// unpooled opens a connection for each call.
	unpooled *http.Transport
}

// New returns a client with the given options.
func New(opts ...Option) *Client {
	c := config{
		dialTimeout:     1 * clock.Second,
		idleConnTimeout: 15 * clock.Second,
		maxResponse:     16 << 20,
	}
	for _, o := range opts {
		o(&c)
	}
	return &Client{config: c, pooled: newTransport(&c, false), unpooled: newTransport(&c, true)}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}
