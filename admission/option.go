package admission

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
)

// Option configures a Controller.
type Option func(*Controller)

// WithClock sets the clock; the default is clock.System.
func WithClock(c *clock.Clock) Option { return func(a *Controller) { a.clock = c } }

// WithForecast sets the function that predicts the time to first token on the best engine. It reports false if no engine
// is known; the request is then admitted, and the router rejects it with the reason.
func WithForecast(f func(p *routing.Prompt) (routing.Forecast, bool)) Option {
	return func(a *Controller) { a.forecast = f }
}

// WithThreshold sets the predicted wait on the best engine above which requests queue; the default is 500 ms. Lower
// priorities queue at a multiple of it.
func WithThreshold(m clock.Millis) Option { return func(a *Controller) { a.threshold = m } }

// WithQueueLimit sets the largest number of queued requests; the default is 1,024.
func WithQueueLimit(n int) Option { return func(a *Controller) { a.queueLimit = n } }

// WithInstances sets the function that returns the number of live instances of the failure domain, which share the
// engines; the default is 1.
func WithInstances(f func() int) Option { return func(a *Controller) { a.instances = f } }

// WithViolated sets the function that is called with violated invariants; the default logs them.
func WithViolated(f func(name, detail string)) Option { return func(a *Controller) { a.violated = f } }
