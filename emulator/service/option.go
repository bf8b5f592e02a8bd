package service

import "github.com/poplarwinch/poplarwinch/clock"

type config struct {
	clock    *clock.Clock
	duration clock.Millis
	crash    func()
	executed func(Execution)
}

// Option changes a setting of a Service.
type Option func(*config)

// WithClock sets the source of time (default clock.System).
func WithClock(c *clock.Clock) Option { return func(g *config) { g.clock = c } }

// WithDuration sets how long the execution of a call takes (default 0).
func WithDuration(m clock.Millis) Option { return func(g *config) { g.duration = m } }

// WithCrash sets a function that runs when a call crashes the service, after its state is dead.
func WithCrash(f func()) Option { return func(g *config) { g.crash = f } }

// WithExecuted sets a function that is called for each execution before its answer is sent, one call at a time.
func WithExecuted(f func(Execution)) Option { return func(g *config) { g.executed = f } }
