package engine

import (
	"context"
	"net"
	"net/http"

	"github.com/poplarwinch/poplarwinch/internal/response"
)

// newTransport returns a transport; with fresh it opens a new connection for each request.
func newTransport(c *config, fresh bool) *response.Transport {
	dialer := &net.Dialer{Timeout: c.dialTimeout.Duration()}
	return response.NewTransport(&http.Transport{
		// Proxy is nil, so that proxy settings in the environment do not redirect calls to engines.
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			n, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &writeTimeoutConn{Conn: n, timeout: c.writeTimeout.Duration()}, nil
		},
		DisableKeepAlives:  fresh,
		DisableCompression: true,
		// Each idle connection costs two 4 KiB buffers and two goroutines.
		MaxIdleConnsPerHost:    4,
		MaxIdleConns:           512,
		IdleConnTimeout:        c.idleConnTimeout.Duration(),
		ResponseHeaderTimeout:  c.headerTimeout.Duration(),
		MaxResponseHeaderBytes: 64 << 10,
	})
}
