package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures a Fleet.
type Option func(*Fleet)

// WithClock sets the clock; the default is monotonic.
func WithClock(c *clock.Clock) Option { return func(f *Fleet) { f.clock = c } }

// WithNotify sets the function that is called after the load or reachability of a server has changed at this instance.
func WithNotify(onChange func(r Reach)) Option { return func(f *Fleet) { f.onChange = onChange } }

// WithInstance sets the id of this instance.
func WithInstance(id poplarwinch.InstanceID) Option { return func(f *Fleet) { f.instance = id } }

// WithDomain sets the failure domain of this instance.
func WithDomain(name poplarwinch.FailureDomain) Option {
	return func(f *Fleet) { f.domain = name }
}
