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

// listeners holds the sockets and HTTP servers of an instance.
type listeners struct {
	caller  net.Listener
	servers []*http.Server
	callers *http.Server
}

// open binds the sockets, so that a wrong address fails before anything starts.
func (l *listeners) open(s *settings.Settings) error {
	var err error
	l.caller, err = listen(s.Listen.Caller, s.TLS.CallerCertFile, s.TLS.CallerKeyFile)
	return err
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

// serve starts the HTTP servers. A server that fails reports it on the channel.
func (l *listeners) serve(i *Instance) <-chan error {
	failed := make(chan error, 3)
	l.callers = &http.Server{
		Handler: i.entry.Handler(), ReadHeaderTimeout: i.settings.Caller.HeaderTimeout.Duration(),
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	l.run(i, l.callers, l.caller, failed)
	return failed
}

func (l *listeners) run(i *Instance, server *http.Server, listener net.Listener, failed chan<- error) {
	l.servers = append(l.servers, server)
	i.loops.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve on %s: %w", listener.Addr(), err)
		}
	})
}

// leaveConnections asks callers to open new connections, which the load balancer sends elsewhere.
func (l *listeners) leaveConnections() {
	if l.callers != nil {
		l.callers.SetKeepAlivesEnabled(false)
	}
}

// close closes the sockets once their connections are idle.
func (l *listeners) close(ctx context.Context) {
	for _, s := range l.servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}
