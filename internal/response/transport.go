// Package response lets an HTTP/1.1 client accept only responses whose heads are well-formed and whose ends are known. net/http repairs or
// skips some malformed lines, which may change the length of the body, and takes some connections that were reset for closed ones.
package response

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport for HTTP/1.1 that fails with a *MalformedError if a response has a malformed head, and with a *ResetError if
// its connection was reset.
type Transport struct{ *http.Transport }

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport with the settings and the DialContext of t, which must not be used otherwise.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, address), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialTLS(ctx, dial, t.TLSClientConfig, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, address), nil
	}
	return &Transport{t}
}

// dialTLS opens a TLS connection.
func dialTLS(ctx context.Context, dial dialFunc, config *tls.Config, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	own := &tls.Config{}
	if config != nil {
		own = config.Clone()
	}
	own.ServerName = cmp.Or(own.ServerName, host)
	encrypted := tls.Client(c, own)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		_ = c.Close() // the error of the handshake is returned
		return nil, err
	}
	return encrypted, nil
}

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.expectHead()
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
