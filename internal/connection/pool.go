// Package connection provides pooled HTTP connections for the clients of the platform services.
package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/poplarwinch/poplarwinch/internal/response"
)

const (
	// maxIdleAge closes idle connections before common middleboxes silently drop their state.
	maxIdleAge = 20 * time.Second
	// maxIdle is the number of idle connections that are kept. It covers the concurrent calls of one instance; further
	// calls open new connections.
	maxIdle = 32
)

// Pool is a pool of HTTP/1.1 connections. It closes its idle connections after a call without a complete response.
type Pool struct {
	transport *response.Transport
	client    *http.Client
}

// New returns an empty pool that follows no redirects and uses no proxy.
func New() *Pool {
	base := response.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext,
		IdleConnTimeout:     maxIdleAge,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
	})
	return &Pool{transport: base, client: &http.Client{
		Transport: bufferingTransport{next: base},
		// Following a redirect would send the request body a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Client returns the HTTP client that uses the pool.
func (p *Pool) Client() *http.Client { return p.client }

// Call runs send with a context that ends after timeout. It reports whether the request may have been sent, which is
// the case once it has a connection. Without a complete response it closes the idle connections, since all open
// connections may have stopped delivering data.
func (p *Pool) Call(ctx context.Context, timeout time.Duration, send func(context.Context) error) (sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	err = send(ctx)
	var httpError interface{ HTTPStatusCode() int }
	if err != nil && (ctx.Err() != nil || !errors.As(err, &httpError)) {
		p.transport.CloseIdleConnections()
	}
	return connected.Load(), err
}
