package service

import (
	"net"
	"net/http"

	"github.com/poplarwinch/poplarwinch/internal/response"
)

// newTransport returns a transport with the settings.
func newTransport(c *config) *response.Transport {
	dialer := &net.Dialer{Timeout: c.dialTimeout.Duration()}
	return response.NewTransport(&http.Transport{
		// Proxy is nil so that environment variables can't redirect calls.
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	})
}
