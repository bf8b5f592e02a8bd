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

// link holds the transport and clients for one peer address. Each address has its own transport, since a
// stalled HTTP/2 connection can be abandoned only by replacing its transport.
type link struct {
	lastUsedMillis atomic.Int64 // Unix milliseconds
	transport      atomic.Pointer[http.Transport]
	makeTransport  func() *http.Transport

	exchange *connect.Client[exchangeRequest, exchangeReply]
	probe    *connect.Client[probeRequest, probeReply]
	notice   *connect.Client[noticeRequest, noticeReply]
	manifest *connect.Client[manifestRequest, manifestReply]
}

// Do sends a request over the current transport.
func (l *link) Do(r *http.Request) (*http.Response, error) {
	return l.transport.Load().RoundTrip(r)
}

// replaceTransport replaces the transport that a failed call used, unless another call has replaced it already.
func (l *link) replaceTransport(failed *http.Transport) {
	if l.transport.CompareAndSwap(failed, l.makeTransport()) {
		failed.CloseIdleConnections()
	}
}

// link returns the link to an address. It evicts the least recently used link when a new one would
// exceed linkLimit.
func (e *Endpoint) link(address string) *link {
	now := e.clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	l := e.links[address]
	if l == nil {
		if len(e.links) >= linkLimit {
			e.evictLink(now)
		}
		l = e.newLink(address)
		e.links[address] = l
	}
	l.lastUsedMillis.Store(int64(now))
	return l
}

func (e *Endpoint) evictLink(now clock.Millis) {
	oldestAddress, oldestMillis := "", int64(now)+1
	for address, l := range e.links {
		if lastUsedMillis := l.lastUsedMillis.Load(); lastUsedMillis < oldestMillis {
			oldestAddress, oldestMillis = address, lastUsedMillis
		}
	}
	if l := e.links[oldestAddress]; l != nil {
		l.transport.Load().CloseIdleConnections()
		delete(e.links, oldestAddress)
	}
}

func (e *Endpoint) newLink(address string) *link {
	l := &link{makeTransport: e.newTransport}
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
		Protocols: protocols, HTTP2: http2Config(clientPingAfter), IdleConnTimeout: 2 * time.Minute, DisableCompression: true,
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
