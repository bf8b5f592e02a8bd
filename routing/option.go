package routing

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures a Router.
type Option func(*Router)

// WithClock sets the clock; the default is the system clock.
func WithClock(c *clock.Clock) Option { return func(r *Router) { r.clock = c } }

// WithFailureDomain sets the own failure domain, whose upstreams are preferred.
func WithFailureDomain(d poplarwinch.FailureDomain) Option { return func(r *Router) { r.domain = d } }

// WithRandom sets the source of random numbers; the default is the runtime's, which takes no lock.
func WithRandom(f func() uint64) Option { return func(r *Router) { r.random = f } }

// WithPrefillRate sets the prefill rate in tokens per second that is assumed for engines that report none; the default
// is 10,000.
func WithPrefillRate(rate int64) Option { return func(r *Router) { r.prefillRate = rate } }

// WithInterference sets the delay that each running request adds to a prefill, in microseconds; the default is 500.
func WithInterference(micros int64) Option { return func(r *Router) { r.interferenceMicros = micros } }

// WithViolated sets the function that receives violated invariants; the default logs them.
func WithViolated(f func(name, detail string)) Option { return func(r *Router) { r.violated = f } }

// WithPrefixIndex sets the index of cached prefix blocks; the default is a new one.
func WithPrefixIndex(x *PrefixIndex) Option { return func(r *Router) { r.prefixes = x } }
