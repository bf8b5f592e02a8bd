package service

import (
	"net"
	"net/http"
)

func newTransport(c *config, fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: c.dialTimeout.Duration()}
	return &http.Transport{
		// Proxy stays nil: settings from the environment must not redirect calls to services.
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    8,
		MaxIdleConns:           512,
		IdleConnTimeout:        c.idleAge.Duration(),
		MaxResponseHeaderBytes: 64 << 10,
	}
}
