package dispatch

import (
	"context"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/admission"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/internal/bytebudget"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithClock sets the clock; the default is clock.Monotonic.
func WithClock(c *clock.Clock) Option { return func(d *Dispatcher) { d.clock = c } }

// WithLog sets the logger; the default is the standard logger of apex/log.
func WithLog(l log.Interface) Option { return func(d *Dispatcher) { d.log = l } }

// WithFleet sets the fleet of servers.
func WithFleet(f *fleet.Fleet) Option { return func(d *Dispatcher) { d.fleet = f } }

// WithDomain sets the failure domain of this instance.
func WithDomain(name poplarwinch.FailureDomain) Option {
	return func(d *Dispatcher) { d.domain = name }
}

// WithRegion sets the function that returns the region of a failure domain, or an empty name if it is not known, as without the option.
func WithRegion(region func(domain poplarwinch.FailureDomain) route.Region) Option {
	return func(d *Dispatcher) { d.region = region }
}

// WithHold sets the function that returns the time for which no request, reservation or probe is to be sent to servers, because this
// instance may have missed an evacuation; zero means now.
func WithHold(hold func() clock.Millis) Option { return func(d *Dispatcher) { d.hold = hold } }

// WithActive sets the function that returns the active configuration, or nil while there is none.
func WithActive(active func() *route.Table) Option { return func(d *Dispatcher) { d.active = active } }

// WithSend sets the function that sends a call to an upstream. Its errors are of type *CallError.
func WithSend(send func(ctx context.Context, c *Call) (*Answer, error)) Option {
	return func(d *Dispatcher) { d.send = send }
}

// WithReachable sets the function that probes whether a server accepts connections.
func WithReachable(reachable func(ctx context.Context, s fleet.Server) bool) Option {
	return func(d *Dispatcher) { d.reachable = reachable }
}

// WithBudget sets the function that creates the retry budget of a service.
func WithBudget(budget func() *admission.SharedRetryBudget) Option {
	return func(d *Dispatcher) { d.newBudget = budget }
}

// WithSuspects sets the register of requests and parts of prompts during which servers crashed.
func WithSuspects(g *quarantine.Register) Option { return func(d *Dispatcher) { d.suspects = g } }

// WithReservations sets the builder of reservation groups and the time after which a reservation expires unless it is renewed.
func WithReservations(b *reservation.Builder, ttl clock.Millis) Option {
	return func(d *Dispatcher) { d.reservations, d.reservationTTL = b, ttl }
}

// WithUnusedLimit sets the time for which a reservation may be held without being used, and the function that asks the engine at
// an address whether a reservation is in use. Without it, unused reservations are held as long as their attempt.
func WithUnusedLimit(limit clock.Millis, inUse func(ctx context.Context, address string, id engine.ReservationID) (bool, error)) Option {
	return func(d *Dispatcher) { d.unusedLimit, d.reservationInUse = limit, inUse }
}

// WithMemory sets the budget for the memory of buffered responses; the default has 64 MiB.
func WithMemory(b *bytebudget.Budget) Option { return func(d *Dispatcher) { d.memory = b } }

// WithListLoaded sets the function that reports whether the server list was loaded. Until then, requests wait for it for a while.
func WithListLoaded(loaded func() bool) Option { return func(d *Dispatcher) { d.listLoaded = loaded } }

// WithListVersion sets the function that returns the version of the server list, which is logged with each decision.
func WithListVersion(version func() replica.Version) Option {
	return func(d *Dispatcher) { d.listVersion = version }
}
