package operator

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/poplarwinch/poplarwinch"
)

const (
	// maxManifestBytes bounds a committed manifest, in bytes; the system is designed for manifests of about 1 MB.
	maxManifestBytes = 8 << 20
	// commitTimeout bounds a commit, including its writes to the object store and the table.
	commitTimeout = 30 * time.Second
	// shutdownTimeout bounds the wait for requests in progress when the server stops.
	shutdownTimeout = 5 * time.Second
)

// Server is the HTTP server for operators. Its function fields provide the data and must be set before the first
// request.
type Server struct {
	// Status returns the state of the instance.
	Status func() Status
	// Manifest returns the active manifest as JSON. If there is none, the error is a *poplarwinch.Error of kind not-found.
	Manifest func(ctx context.Context) ([]byte, ManifestVersion, error)
	// Commit commits a manifest that replaces the given version.
	Commit func(ctx context.Context, data []byte, replaces uint64, commitID string) (ManifestVersion, error)
	// Ready returns nil if the instance accepts requests, and otherwise the reason why not.
	Ready func() error
	// Metrics writes all metrics in the Prometheus text format. The default writes the global set and the process metrics.
	Metrics func(w io.Writer)

	log     log.Interface
	token   *[sha256.Size]byte
	handler http.Handler
}

// Option configures a Server.
type Option func(*Server)

// WithToken requires a bearer token on all paths except /healthz and /readyz. With an empty token none is required.
func WithToken(token string) Option {
	return func(s *Server) {
		if token != "" {
			hash := sha256.Sum256([]byte(token))
			s.token = &hash
		}
	}
}

// WithLog sets the log for failed incoming connections; the default is that of apex/log.
func WithLog(l log.Interface) Option {
	return func(s *Server) { s.log = l }
}

// New returns a server whose function fields, except Metrics, are not set.
func New(opts ...Option) *Server {
	s := &Server{log: log.Log, Metrics: func(w io.Writer) { metrics.WritePrometheus(w, true) }}
	for _, o := range opts {
		o(s)
	}
	s.handler = s.newHandler()
	return s
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler { return s.handler }

func (s *Server) newHandler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &poplarwinch.Error{
			Kind: poplarwinch.KindNotFound, Outcome: poplarwinch.OutcomeNotRun, Message: "no such path: " + r.URL.Path,
			Remedy: "use /status, /manifest, /metrics, /healthz or /readyz",
		})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, request *http.Request) { methodNotAllowed(r, w, request) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, "ok\n") })
	r.Get("/readyz", s.getReady)
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		r.Get("/status", s.getStatus)
		r.Get("/manifest", s.getManifest)
		r.Put("/manifest", s.putManifest)
		r.Get("/metrics", s.getMetrics)
	})
	return r
}

// Serve serves requests on the listener until ctx ends. It then waits up to shutdownTimeout for those in progress.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: s.handler, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: commitTimeout,
		WriteTimeout: 2 * commitTimeout, IdleTimeout: 2 * time.Minute, ErrorLog: newErrorLog(s.log),
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(listener) }()
	select {
	case err := <-serveResult:
		return err
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close() // aborts the requests that are still in progress
	}
	if err := <-serveResult; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		e := &poplarwinch.Error{
			Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun,
			Message: "not ready: " + err.Error(), Remedy: "wait until the instance has a manifest, or use another instance",
		}
		writeError(w, e)
		return
	}
	writeText(w, "ready\n")
}

func (s *Server) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.Metrics(w)
}
