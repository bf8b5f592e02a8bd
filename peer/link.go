package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/poplarwinch/poplarwinch/clock"
)

// link holds the connection to one address. A connection that no longer delivers data can only
// be left by using another transport, so each address has its own.
type link struct {
	used      atomic.Int64 // Unix milliseconds
	transport atomic.Pointer[http.Transport]
	dial      func() *http.Transport

	exchange *connect.Client[exchangeRequest, exchangeReply]
	probe    *connect.Client[probeRequest, probeReply]
	notice   *connect.Client[noticeRequest, noticeReply]
	manifest *connect.Client[manifestRequest, manifestReply]
}

// Do sends a request over the current transport.
func (l *link) Do(r *http.Request) (*http.Response, error) {
	return l.transport.Load().RoundTrip(r)
}

// renew replaces the transport that a failed call used, unless that has been done already.
func (l *link) renew(failed *http.Transport) {
	if l.transport.CompareAndSwap(failed, l.dial()) {
		failed.CloseIdleConnections()
	}
}

// link returns the link to an address and drops the least recently used one when there are too many.
func (e *Endpoint) link(address string) *link {
	now := e.clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	l := e.links[address]
	if l == nil {
		if len(e.links) >= linkLimit {
			e.dropOldestLink(now)
		}
		l = e.newLink(address)
		e.links[address] = l
	}
	l.used.Store(int64(now))
	return l
}

func (e *Endpoint) dropOldestLink(now clock.Millis) {
	oldest, at := "", int64(now)+1
	for address, l := range e.links {
		if used := l.used.Load(); used < at {
			oldest, at = address, used
		}
	}
	if l := e.links[oldest]; l != nil {
		l.transport.Load().CloseIdleConnections()
		delete(e.links, oldest)
	}
}

func (e *Endpoint) newLink(address string) *link {
	l := &link{dial: e.newTransport}
	l.transport.Store(e.newTransport())
	scheme := "http://"
	if e.tls != nil {
		scheme = "https://"
	}
	url, options := scheme+address, e.clientOptions()
	l.exchange = connect.NewClient[exchangeRequest, exchangeReply](l, url+exchangeProcedure, options...)
	l.probe = connect.NewClient[probeRequest, probeReply](l, url+probeProcedure, options...)
	l.notice = connect.NewClient[noticeRequest, noticeReply](l, url+noticeProcedure, options...)
	l.manifest = connect.NewClient[manifestRequest, manifestReply](l, url+manifestProcedure, options...)
	return l
}

func (e *Endpoint) newTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(e.tls != nil)
	protocols.SetUnencryptedHTTP2(e.tls == nil)
	dialer := &net.Dialer{Timeout: callTimeout}
	t := &http.Transport{
		Protocols: protocols, HTTP2: http2Config(pingAfter), IdleConnTimeout: 2 * time.Minute, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{c, &e.traffic}, nil
		},
	}
	if e.tls != nil {
		t.TLSClientConfig = e.tls.Clone()
	}
	return t
}
