package quarantine

import "github.com/poplarwinch/poplarwinch/clock"

// Option configures a Register.
type Option func(*Register)

// WithClock sets the clock; the default is the system clock.
func WithClock(c *clock.Clock) Option { return func(g *Register) { g.clock = c } }

// WithLimit sets the maximum number of suspects that are kept; the default is 8,192.
func WithLimit(n int) Option { return func(g *Register) { g.limit = n } }

// WithViolated sets the function that receives invariant violations; the default logs them.
func WithViolated(f func(name, detail string)) Option { return func(g *Register) { g.violated = f } }

// WithInstances sets the function that returns the number of live instances; the default returns 1.
func WithInstances(instances func() int) Option {
	return func(g *Register) { g.halfOpen.instances = instances }
}

// WithOnChange sets the function that is called after this instance has learned something of a suspect that its peers may not know.
func WithOnChange(f func()) Option { return func(g *Register) { g.onChange = f } }
