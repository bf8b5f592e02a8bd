package upstream

import "github.com/poplarwinch/poplarwinch/clock"

// Option configures a Registry.
type Option func(*Registry)

// WithClock sets the clock; the default is the system clock.
func WithClock(c *clock.Clock) Option { return func(r *Registry) { r.clock = c } }

// WithViolated sets the function that receives invariant violations; the default logs them.
func WithViolated(f func(name, detail string)) Option { return func(r *Registry) { r.violated = f } }

// WithOnDeath sets the function that is called once for each upstream process whose death is detected from an
// observation of a peer.
func WithOnDeath(f func(EndedProcess)) Option { return func(r *Registry) { r.died = f } }

// WithOnLeaving sets the function that receives the observations of upstreams that began to leave according to the
// instance list or a probe of this instance. It should broadcast them to the peers immediately.
func WithOnLeaving(f func([]Observation)) Option { return func(r *Registry) { r.leaving = f } }

// WithRefresh sets the interval at which an unchanged upstream is sent to peers again; the default is 1 s.
func WithRefresh(m clock.Millis) Option { return func(r *Registry) { r.refresh = m } }
