package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/poplarwinch/poplarwinch"
)

func (e *Endpoint) newHandler() http.Handler {
	mux := http.NewServeMux()
	options := e.handlerOptions()
	mux.Handle(exchangeProcedure, connect.NewUnaryHandler(exchangeProcedure, e.handleExchange, options...))
	mux.Handle(probeProcedure, connect.NewUnaryHandler(probeProcedure, e.handleProbe, options...))
	mux.Handle(noticeProcedure, connect.NewUnaryHandler(noticeProcedure, e.handleNotice, options...))
	mux.Handle(manifestProcedure, connect.NewUnaryHandler(manifestProcedure, e.handleManifest, options...))
	accepted := newSecrets(e.accepted)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !accepted.accepts(r) {
			http.Error(w, "unknown secret", http.StatusUnauthorized)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), handlerTimeout)
		defer cancel()
		mux.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Serve serves calls on the listener until ctx ends.
func (e *Endpoint) Serve(ctx context.Context, listener net.Listener) error {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(e.tls != nil)
	protocols.SetUnencryptedHTTP2(e.tls == nil)
	server := &http.Server{
		Handler: e.handler, Protocols: protocols, HTTP2: http2Config(serverPingAfter),
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, ErrorLog: newErrorLog(e.log),
	}
	listener = &countingListener{listener, &e.traffic}
	ended := make(chan error, 1)
	go func() {
		if e.tls == nil {
			ended <- server.Serve(listener)
			return
		}
		server.TLSConfig = e.tls.Clone()
		ended <- server.ServeTLS(listener, "", "")
	}()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // senders retry calls that are still in flight
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func http2Config(pingAfter time.Duration) *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, WriteByteTimeout: pingAfter + pingTimeout}
}

// toConnectError converts an error of a function field to an error of a Connect call.
func toConnectError(err error) error {
	var typed *poplarwinch.Error
	if errors.As(err, &typed) && typed.Kind == poplarwinch.KindNotFound {
		return connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
