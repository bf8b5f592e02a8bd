package engine

import (
	"context"
	"net"
	"net/http"
)

func newTransport(c *config, fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: c.dialTimeout.Duration()}
	return &http.Transport{
		// Proxy stays nil: settings from the environment must not redirect calls to engines.
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			n, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: n, timeout: c.writeTimeout.Duration()}, nil
		},
		DisableKeepAlives:  fresh,
		DisableCompression: true,
		// An idle connection keeps two buffers of 4 KiB and two goroutines.
		MaxIdleConnsPerHost:    4,
		MaxIdleConns:           512,
		IdleConnTimeout:        c.idleAge.Duration(),
		ResponseHeaderTimeout:  c.headerTimeout.Duration(),
		MaxResponseHeaderBytes: 64 << 10,
	}
}
