// Package engine is the client of the model engine protocol: streams with verified event numbers, health, load, KV
// memory, cache events and orders.
package engine

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/response"
)

// Client calls model engines by address (IP:port).
type Client struct {
	config config
	// pooled reuses connections. fresh opens one for each call, which also works if the pooled ones are stalled.
	pooled *response.Transport
	fresh  *response.Transport
}

// New returns a client with the given options.
func New(opts ...Option) *Client {
	c := config{
		dialTimeout:     1 * clock.Second,
		writeTimeout:    3 * clock.Second,
		headerTimeout:   3 * clock.Second,
		callTimeout:     5 * clock.Second,
		idleTimeout:     5 * clock.Second,
		idleConnTimeout: 15 * clock.Second,
		quietPeriod:     10 * clock.Second,
		maxLineBytes:    1 << 20,
		maxBodyBytes:    64 << 20,
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
