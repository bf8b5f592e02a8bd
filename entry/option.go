package entry

import (
	"context"

	"github.com/apex/log"

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

// Option configures a Server.
type Option func(*Server)

// WithClock sets the clock; the default is the system clock.
func WithClock(c *clock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithLog sets the logger; the default is apex/log's.
func WithLog(l log.Interface) Option { return func(s *Server) { s.log = l } }

// WithLimits sets the limits; the default is DefaultLimits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithClientMemory sets the function that ends the oldest incomplete upload if there is one, and the memory for answers in progress.
func WithClientMemory(reclaimBody func() bool, answers *bytebudget.Budget) Option {
	return func(s *Server) { s.reclaimBody, s.answers = reclaimBody, answers }
}

// WithActiveManifest sets the function that returns the active manifest, or nil if there is none.
func WithActiveManifest(f func() *manifest.Index) Option {
	return func(s *Server) { s.activeManifest = f }
}

// WithRouting sets the registry of upstreams and the router that selects among them.
func WithRouting(u *upstream.Registry, r *routing.Router) Option {
	return func(s *Server) { s.upstreams, s.router = u, r }
}

// WithAdmission sets the admission control and the retry budget.
func WithAdmission(c *admission.Controller, b *admission.RetryBudget) Option {
	return func(s *Server) { s.admission, s.retryBudget = c, b }
}

// WithQuarantine sets the register of requests that are suspected of crashing engines, and the guard that lets only one
// copy of a suspect run at a time.
func WithQuarantine(q *quarantine.Register, g *quarantine.Guard) Option {
	return func(s *Server) { s.quarantine, s.quarantineGuard = q, g }
}

// WithEngines sets the client for model engines and the builder of engine groups for prompts that don't fit on one
// engine.
func WithEngines(c *engine.Client, b *reservation.Builder) Option {
	return func(s *Server) { s.engines, s.groupBuilder = c, b }
}

// WithServices sets the client for plain services and the ledger for calls that must run at most once.
func WithServices(c *service.Client, l *claim.Ledger) Option {
	return func(s *Server) { s.services, s.claims = c, l }
}

// WithSigner sets the signer of resume tokens.
func WithSigner(t *token.Signer) Option { return func(s *Server) { s.signer = t } }

// WithProbe sets the function that probes an upstream after a failed request. It returns once the registry and the
// quarantine have the result.
func WithProbe(probe func(ctx context.Context, u *upstream.Upstream)) Option {
	return func(s *Server) { s.probe = probe }
}
