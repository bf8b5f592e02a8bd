// Package entry is the HTTP server for callers. It serves model prompts, calls of plain services and the health checks
// of the load balancer.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/admission"
	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/internal/bytebudget"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/service"
	"github.com/poplarwinch/poplarwinch/token"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Server serves callers. Options must set the fields for which New sets no default.
type Server struct {
	clock           *clock.Clock
	log             log.Interface
	limits          Limits
	activeManifest  func() *manifest.Index
	upstreams       *upstream.Registry
	router          *routing.Router
	admission       *admission.Controller
	retryBudget     *admission.RetryBudget
	quarantine      *quarantine.Register
	quarantineGuard *quarantine.Guard
	engines         *engine.Client
	groupBuilder    *reservation.Builder
	services        *service.Client
	claims          *claim.Ledger
	signer          *token.Signer
	probe           func(ctx context.Context, u *upstream.Upstream)

	bodies          *bodyBudget
	reclaimBody     func() bool
	answers         *bytebudget.Budget
	tokenEstimator  tokenEstimator
	metrics         *requestMetrics
	ready           atomic.Bool
	stopping        atomic.Bool
	inFlight        atomic.Int64
	idle            chan struct{}
	streamCanceller canceller
	// background counts work that continues after the end of its request.
	background sync.WaitGroup
}

// New returns a server. It is not ready until SetReady(true).
func New(opts ...Option) *Server {
	s := &Server{
		clock: clock.System(), log: log.Log, limits: DefaultLimits(),
		probe: func(context.Context, *upstream.Upstream) {},
		idle:  make(chan struct{}, 1), metrics: newMetrics(), answers: bytebudget.New(defaultAnswerMemory),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.bodies = newBodyBudget(s.limits.BodyMemory, s.limits.MaxBody)
	s.bodies.reclaim = s.reclaimBody
	s.streamCanceller = canceller{engines: s.engines, clock: s.clock, log: s.log, pending: map[engine.StreamID]context.CancelFunc{}}
	return s
}

// Handler returns the handler for callers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", s.serveReady)
	r.Get("/v1/models", s.handle(s.serveModels))
	r.Get("/v1/models/{model}", s.handle(s.serveModel))
	r.Post("/v1/chat/completions", s.handle(s.serveChat))
	r.Post("/v1/completions", s.handle(s.serveText))
	r.Get("/v1/streams/{token}", s.handle(s.serveStream))
	r.HandleFunc("/services/{service}", s.handle(s.serveService))
	r.HandleFunc("/services/{service}/*", s.handle(s.serveService))
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &poplarwinch.Error{
			Kind: poplarwinch.KindNotFound, Outcome: poplarwinch.OutcomeNotRun,
			Message: "no such path: " + r.URL.Path, Remedy: "use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/",
		})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &poplarwinch.Error{
			Kind: poplarwinch.KindMethodNotAllowed, Outcome: poplarwinch.OutcomeNotRun,
			Message: r.Method + " is not allowed for " + r.URL.Path, Remedy: "use POST for completions and GET for the rest",
		})
	})
	return r
}

// SetReady sets whether the load balancer may send requests here.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready reports whether the load balancer may send requests here.
func (s *Server) Ready() bool {
	return s.ready.Load() && !s.stopping.Load() && s.activeManifest() != nil
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Rejections returns the number of requests that did not run since the start, by error kind.
func (s *Server) Rejections() map[poplarwinch.Kind]uint64 { return s.metrics.rejections() }

// Stop rejects new requests and waits until those in progress have ended. It returns the error of ctx if that ends
// first.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	for s.inFlight.Load() > 0 {
		select {
		case <-s.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.streamCanceller.shutdown()
	s.background.Wait()
	return nil
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// beginRequest counts a request as in progress; it reports false once the server is stopping.
func (s *Server) beginRequest() bool {
	s.inFlight.Add(1)
	if s.stopping.Load() {
		s.endRequest()
		return false
	}
	return true
}

func (s *Server) endRequest() {
	if s.inFlight.Add(-1) == 0 && s.stopping.Load() {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// canceller cancels engine streams that no caller reads any longer.
type canceller struct {
	engines *engine.Client
	clock   *clock.Clock
	log     log.Interface
	mutex   sync.Mutex
	pending map[engine.StreamID]context.CancelFunc
	running sync.WaitGroup
}
