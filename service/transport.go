package service

import (
	"net"
	"net/http"
)

// newTransport returns a transport with the settings; an unpooled one opens a connection for each request.
func newTransport(c *config, unpooled bool) *http.Transport {
	dialer := &net.Dialer{Timeout: c.dialTimeout.Duration()}
	return &http.Transport{
		// Proxy is nil so that environment variables can't redirect calls.
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    8,
		MaxIdleConns:           512,
		IdleConnTimeout:        c.idleConnTimeout.Duration(),
		MaxResponseHeaderBytes: 64 << 10,
	}
}
