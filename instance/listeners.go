package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
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
)

// listeners holds the listening sockets of an instance and the HTTP server for callers.
type listeners struct {
	caller       net.Listener
	peer         net.Listener
	operator     net.Listener
	callerServer *http.Server
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
	l.callerServer = &http.Server{
		Handler: i.entry.Handler(), ReadHeaderTimeout: i.settings.Caller.HeaderTimeout.Duration(),
		IdleTimeout: i.settings.Caller.IdleTimeout.Duration(), MaxHeaderBytes: maxHeaderBytes,
		ConnState: i.clients.guard.ConnState, ConnContext: clientlimit.ConnContext,
	}
	i.loops.Go(func() {
		if err := l.callerServer.Serve(i.clients.guard.Listen(l.caller)); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- fmt.Errorf("serve on %s: %w", l.caller.Addr(), err)
		}
	})
	return serveErrors
}

// disableKeepAlives makes callers open new connections, which the load balancer routes to other instances.
func (l *listeners) disableKeepAlives() {
	if l.callerServer != nil {
		l.callerServer.SetKeepAlivesEnabled(false)
	}
}

// close shuts the server for callers down, and closes the remaining connections when ctx ends.
func (l *listeners) close(ctx context.Context) {
	if l.callerServer.Shutdown(ctx) != nil {
		_ = l.callerServer.Close()
	}
}
