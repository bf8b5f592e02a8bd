package entry

import (
	"context"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/admission"
	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
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

// WithClock sets the clock; the default is the system's.
func WithClock(c *clock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithLog sets the logger; the default is the package log's.
func WithLog(l log.Interface) Option { return func(s *Server) { s.log = l } }

// WithLimits sets the limits; the default is DefaultLimits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithActive sets the function that returns the active manifest, or nil without one.
func WithActive(f func() *manifest.Index) Option { return func(s *Server) { s.active = f } }

// WithRouting sets the known upstreams and the router that selects among them.
func WithRouting(u *upstream.Registry, r *routing.Router) Option {
	return func(s *Server) { s.upstreams, s.router = u, r }
}

// WithAdmission sets the admission control and the retry budget.
func WithAdmission(c *admission.Controller, b *admission.RetryBudget) Option {
	return func(s *Server) { s.admission, s.retries = c, b }
}

// WithQuarantine sets the register of requests that are suspected of crashing engines, and the guard that lets one copy
// of them run at a time.
func WithQuarantine(q *quarantine.Register, g *quarantine.Guard) Option {
	return func(s *Server) { s.quarantine, s.guard = q, g }
}

// WithEngines sets the client for model engines and the builder of groups for prompts that one engine can't hold.
func WithEngines(c *engine.Client, b *reservation.Builder) Option {
	return func(s *Server) { s.engines, s.groups = c, b }
}

// WithServices sets the client for plain services and the ledger for calls that must run at most once.
func WithServices(c *service.Client, l *claim.Ledger) Option {
	return func(s *Server) { s.services, s.claims = c, l }
}

// WithSigner sets the signer of resume tokens.
func WithSigner(t *token.Signer) Option { return func(s *Server) { s.signer = t } }

// WithCheck sets the function that probes an upstream after a request to it failed, and that returns once the result is
// known to the registry and the quarantine.
func WithCheck(check func(ctx context.Context, u *upstream.Upstream)) Option {
	return func(s *Server) { s.check = check }
}
