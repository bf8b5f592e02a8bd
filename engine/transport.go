package engine

import (
	"net"
	"net/http"
)

func newTransport(c *config, fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: c.dialTimeout.Duration()}
	return &http.Transport{
		// Proxy stays nil: settings from the environment must not redirect calls to engines.
		DialContext:            dialer.DialContext,
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
