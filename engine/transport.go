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
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    32,
		MaxIdleConns:           2048,
		IdleConnTimeout:        c.idleAge.Duration(),
		ResponseHeaderTimeout:  c.headerTimeout.Duration(),
		MaxResponseHeaderBytes: 64 << 10,
		WriteBufferSize:        32 << 10,
		ReadBufferSize:         8 << 10,
	}
}
