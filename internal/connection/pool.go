// Package connection provides HTTP connections for clients of the platform's services.
package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// maxIdleAge ends idle connections before common middleboxes drop their state for them without a notice.
	maxIdleAge = 20 * time.Second
	// maxIdle covers the concurrent calls of one instance; further ones open connections of their own.
	maxIdle = 32
)

// Pool is a set of HTTP/1.1 connections that is emptied after a call that got no answer.
type Pool struct {
	transport *http.Transport
	client    *http.Client
}

// New returns an empty pool that follows no redirects and uses no proxy.
func New() *Pool {
	t := &http.Transport{
		DialContext:         (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext,
		IdleConnTimeout:     maxIdleAge,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
	}
	return &Pool{transport: t, client: &http.Client{
		Transport: buffer{next: t},
		// A followed redirect would send the request body a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Client returns the HTTP client that uses the pool.
func (p *Pool) Client() *http.Client { return p.client }

// Call runs f with a context that ends after timeout. It reports whether the request may have been sent. If there
// was no complete answer it closes the idle connections, since all open connections may have stopped delivering data.
func (p *Pool) Call(ctx context.Context, timeout time.Duration, f func(context.Context) error) (sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	err = f(ctx)
	var answered interface{ HTTPStatusCode() int }
	if err != nil && (ctx.Err() != nil || !errors.As(err, &answered)) {
		p.transport.CloseIdleConnections()
	}
	return connected.Load(), err
}
