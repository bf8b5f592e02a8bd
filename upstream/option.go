package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures a Registry.
type Option func(*Registry)

// WithClock sets the clock; the default is the system's.
func WithClock(c *clock.Clock) Option { return func(r *Registry) { r.clock = c } }

// WithViolated sets the function that receives broken invariants; the default logs them.
func WithViolated(f func(name, detail string)) Option { return func(r *Registry) { r.violated = f } }

// WithDied sets the function that is called once for each death that an observation of a peer reveals.
func WithDied(f func(poplarwinch.UpstreamID)) Option { return func(r *Registry) { r.died = f } }

// WithLeaving sets the function that receives observations of upstreams that began to leave by the list or a probe of
// this instance. Broadcast them to the peers at once.
func WithLeaving(f func([]Observation)) Option { return func(r *Registry) { r.leaving = f } }

// WithRefresh sets how often an unchanged upstream is told to peers; the default is 1 s.
func WithRefresh(m clock.Millis) Option { return func(r *Registry) { r.refresh = m } }
