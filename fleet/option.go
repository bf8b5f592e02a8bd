package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures a Fleet.
type Option func(*Fleet)

// WithClock sets the clock; the default is monotonic.
func WithClock(c *clock.Clock) Option { return func(f *Fleet) { f.clock = c } }

// WithTell sets the function that is called after own work changed.
func WithTell(tell func(r Reach)) Option { return func(f *Fleet) { f.tell = tell } }

// WithDomain sets the failure domain of this instance.
func WithDomain(name poplarwinch.FailureDomain) Option {
	return func(f *Fleet) { f.domain = name }
}
