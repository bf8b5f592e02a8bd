package service

import "github.com/poplarwinch/poplarwinch/clock"

type config struct {
	clock         *clock.Clock
	executionTime clock.Millis
	onCrash       func()
	onExecution   func(Execution)
}

// Option changes a setting of a Service.
type Option func(*config)

// WithClock sets the source of time (default clock.System).
func WithClock(c *clock.Clock) Option { return func(g *config) { g.clock = c } }

// WithDuration sets the execution time of a call (default 0).
func WithDuration(m clock.Millis) Option { return func(g *config) { g.executionTime = m } }

// WithOnCrash sets a callback that runs after a call has crashed the service.
func WithOnCrash(f func()) Option { return func(g *config) { g.onCrash = f } }

// WithOnExecution sets a callback that runs for each execution before its response is sent. Calls do not overlap.
func WithOnExecution(f func(Execution)) Option { return func(g *config) { g.onExecution = f } }
