// Package service is the client for plain services. It never sends a call twice.
package service

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/response"
)

// Client sends calls to the servers of plain services by address (IP:port).
type Client struct {
	config config
	// transport opens a connection for each call. On one that was used before, a late copy of an earlier answer could not be told
	// from the answer to the call, since services need not name the call in their answers.
	transport *response.Transport
}

// New returns a client with the given options.
func New(opts ...Option) *Client {
	c := config{
		dialTimeout: 1 * clock.Second,
		maxResponse: 16 << 20,
	}
	for _, o := range opts {
		o(&c)
	}
	return &Client{config: c, transport: newTransport(&c)}
}
