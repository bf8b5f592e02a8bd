package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/poplarwinch/poplarwinch/internal/clientlimit"
	"github.com/poplarwinch/poplarwinch/settings"
)

const (
	// maxHeaderBytes bounds the header of a request, in bytes, if the settings have a larger limit.
	maxHeaderBytes = 1 << 20
	// keepAliveIdle is the idle time before the first TCP keep-alive probe. With these three values, a caller that
	// vanished without closing its connection is detected within 30 s.
	keepAliveIdle = 15 * time.Second
	// keepAliveInterval is the time between keep-alive probes.
	keepAliveInterval = 5 * time.Second
	// keepAliveCount is the number of unanswered probes after which the connection is closed.
	keepAliveCount = 3
	// closePollInterval is the interval at which the last answers are checked before connections are closed.
	closePollInterval = 10 * time.Millisecond
)

// listeners holds the listening sockets of an instance and the HTTP server for callers.
type listeners struct {
	caller       net.Listener
	peer         net.Listener
	operator     net.Listener
	callerServer *http.Server
	guard        *clientlimit.Guard
	guarded      net.Listener
	// stopping is set once each response ends its connection.
	stopping atomic.Bool
}

// open binds the sockets before anything else starts, so that a wrong address is reported at once.
func (l *listeners) open(s *settings.Settings) error {
	var err error
	if l.caller, err = listen(s.Listen.Caller, s.TLS.CallerCertFile, s.TLS.CallerKeyFile); err != nil {
		return err
	}
	if l.peer, err = listen(s.Listen.Peer, "", ""); err != nil {
		return errors.Join(err, l.caller.Close())
	}
	if l.operator, err = listen(s.Listen.Operator, "", ""); err != nil {
		return errors.Join(err, l.caller.Close(), l.peer.Close())
	}
	return nil
}

// listen binds a TCP socket, with TLS if a certificate file is given.
func listen(address netip.AddrPort, certFile, keyFile string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; free the address or change the settings", address, err)
	}
	if certFile == "" {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("load the certificate %s: %w", certFile, err), listener.Close())
	}
	return tls.NewListener(listener, &tls.Config{
		Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
	}), nil
}

// serve starts the server for callers. The returned channel receives the error if the server fails.
func (l *listeners) serve(i *Instance) <-chan error {
	serveErrors := make(chan error, 1)
	l.guard, l.guarded = i.clients.guard, i.clients.guard.Listen(l.caller)
	l.callerServer = &http.Server{
		Handler: l.handler(i.entry.Handler()), ReadHeaderTimeout: i.settings.Caller.HeaderTimeout.Duration(),
		IdleTimeout: i.settings.Caller.IdleTimeout.Duration(), MaxHeaderBytes: maxHeaderBytes,
		ConnState: i.clients.guard.ConnState, ConnContext: clientlimit.ConnContext,
	}
	i.loops.Go(func() {
		if err := l.callerServer.Serve(l.guarded); !errors.Is(err, http.ErrServerClosed) && !l.stopping.Load() {
			serveErrors <- fmt.Errorf("serve on %s: %w", l.caller.Addr(), err)
		}
	})
	return serveErrors
}

// disableKeepAlives makes callers open new connections, which the load balancer routes to other instances.
func (l *listeners) disableKeepAlives() {
	if l.callerServer != nil {
		l.stopping.Store(true)
		l.guard.CloseIdle()
	}
}

// handler returns a handler whose responses tell callers that their connection ends while the instance stops.
func (l *listeners) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// close shuts the server for callers down, and closes the remaining connections when ctx ends.
func (l *listeners) close(ctx context.Context) {
	l.stopping.Store(true)
	_ = l.guarded.Close()
	for l.guard.CloseUnused(); l.guard.Requests() > 0 && ctx.Err() == nil; l.guard.CloseUnused() {
		select {
		case <-time.After(closePollInterval):
		case <-ctx.Done():
		}
	}
	_ = l.callerServer.Close()
}
