package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/poplarwinch/poplarwinch/internal/response"
)

// client distributes requests over the entry addresses in round-robin order.
type client struct {
	entries *entries
	http    *http.Client
	next    atomic.Uint64
}

// newClient returns a client that reuses connections, or opens a new one for each request if
// disableKeepAlives is set.
func newClient(entries *entries, disableKeepAlives bool) *client {
	return &client{entries: entries, http: &http.Client{Transport: response.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 4096,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		DisableKeepAlives:   disableKeepAlives,
	})}}
}

// do sends the request that build returns for an entry. It tries the next entry only if the
// connection was refused; after any other failure the request may have been executed.
func (c *client) do(ctx context.Context, build func(ctx context.Context, entry string) (*http.Request, error)) (*http.Response, error) {
	start, list := c.next.Add(1), *c.entries.list.Load()
	var refused error
	for i := range uint64(len(list)) {
		request, err := build(ctx, list[(start+i)%uint64(len(list))])
		if err != nil {
			return nil, err
		}
		reply, err := c.http.Do(request)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return reply, err
		}
		refused = err
	}
	return nil, refused
}
