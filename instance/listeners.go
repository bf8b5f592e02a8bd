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

	"github.com/poplarwinch/poplarwinch/settings"
)

const (
	// Callers' idle connections are closed after this time; load balancers usually keep theirs for a minute.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// Keep-alive probes find callers that are gone without a word within half a minute.
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
)

// listeners holds the sockets of an instance and the HTTP server for callers.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
	callers  *http.Server
}

// open binds the sockets, so that a wrong address fails before anything starts.
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

func listen(address netip.AddrPort, certFile, keyFile string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; free the address or change the settings", address, err)
	}
	if certFile == "" {
		return l, nil
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("load the certificate %s: %w", certFile, err), l.Close())
	}
	return tls.NewListener(l, &tls.Config{
		Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
	}), nil
}

// serve starts the server for callers. If it fails, it reports that on the channel.
func (l *listeners) serve(i *Instance) <-chan error {
	failed := make(chan error, 1)
	l.callers = &http.Server{
		Handler: i.entry.Handler(), ReadHeaderTimeout: i.settings.Caller.HeaderTimeout.Duration(),
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	i.loops.Go(func() {
		if err := l.callers.Serve(l.caller); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve on %s: %w", l.caller.Addr(), err)
		}
	})
	return failed
}

// leaveConnections asks callers to open new connections, which the load balancer sends elsewhere.
func (l *listeners) leaveConnections() {
	if l.callers != nil {
		l.callers.SetKeepAlivesEnabled(false)
	}
}

// close closes the callers' connections once they are idle.
func (l *listeners) close(ctx context.Context) {
	if l.callers.Shutdown(ctx) != nil {
		_ = l.callers.Close()
	}
}
