// Package service is the client for calls of plain services, which never sends a call twice.
package service

import (
	"net/http"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Client sends calls to servers of plain services by address (IP:port).
type Client struct {
	config config
	pooled *http.Transport
	fresh  *http.Transport
}

// New returns a client with the given options.
func New(opts ...Option) *Client {
	c := config{
		dialTimeout: 1 * clock.Second,
		idleAge:     15 * clock.Second,
		maxAnswer:   16 << 20,
	}
	for _, o := range opts {
		o(&c)
	}
	return &Client{config: c, pooled: newTransport(&c, false), fresh: newTransport(&c, true)}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
