package service

import (
	"net"
	"net/http"
)

// newTransport returns a transport with the settings.
func newTransport(c *config) *http.Transport {
	dialer := &net.Dialer{Timeout: c.dialTimeout.Duration()}
	return &http.Transport{
		// Proxy is nil so that environment variables can't redirect calls.
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
}
