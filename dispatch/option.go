package dispatch

import (
	"context"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/admission"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithClock sets the clock; the default is monotonic.
func WithClock(c *clock.Clock) Option { return func(d *Dispatcher) { d.clock = c } }

// WithLog sets the log; the default is apex/log's own.
func WithLog(l log.Interface) Option { return func(d *Dispatcher) { d.log = l } }

// WithFleet sets the servers.
func WithFleet(f *fleet.Fleet) Option { return func(d *Dispatcher) { d.fleet = f } }

// WithDomain sets the failure domain of this instance.
func WithDomain(name poplarwinch.FailureDomain) Option {
	return func(d *Dispatcher) { d.domain = name }
}

// WithActive sets the function that returns the configuration in force, or nil while there is none.
func WithActive(active func() *route.Table) Option { return func(d *Dispatcher) { d.active = active } }

// WithSend sets the upstream client. An error is a *CallError.
func WithSend(send func(ctx context.Context, c *Call) (*Answer, error)) Option {
	return func(d *Dispatcher) { d.send = send }
}

// WithReachable sets the function that finds out whether a server still accepts connections.
func WithReachable(reachable func(ctx context.Context, s fleet.Server) bool) Option {
	return func(d *Dispatcher) { d.reachable = reachable }
}

// WithBudget sets the function that makes the retry budget of a service.
func WithBudget(budget func() *admission.SharedBudget) Option {
	return func(d *Dispatcher) { d.newBudget = budget }
}

// WithSuspects sets the register of requests that crash engines.
func WithSuspects(g *quarantine.Register) Option { return func(d *Dispatcher) { d.suspects = g } }

// WithMemory sets the builder of groups of reservations and the time for which a reservation lasts unless it is renewed.
func WithMemory(b *reservation.Builder, hold clock.Millis) Option {
	return func(d *Dispatcher) { d.memory, d.holdSpan = b, hold }
}

// WithListVersion sets the function that returns the version of the list of servers, for the log.
func WithListVersion(version func() replica.Version) Option {
	return func(d *Dispatcher) { d.listVersion = version }
}
