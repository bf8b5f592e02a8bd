package memory

import "github.com/poplarwinch/poplarwinch/clock"

// Option configures a Platform.
type Option func(*Platform)

// WithClock sets the clock; the default is the system's, which is virtual inside a synctest bubble.
func WithClock(c *clock.Clock) Option { return func(p *Platform) { p.clock = c } }

// WithLatency sets the time that an answered call takes; the effect is in the middle of it. The default is 2 ms.
func WithLatency(m clock.Millis) Option { return func(p *Platform) { p.latency = m } }

// WithEffects sets the effects of the first calls, in the order of their start. Calls that start after quiet, counted
// from the start of the platform, succeed.
func WithEffects(effects []Effect, quiet clock.Millis) Option {
	return func(p *Platform) { p.effects, p.quiet = effects, quiet }
}

// WithOutages sets the outages.
func WithOutages(outages ...Outage) Option { return func(p *Platform) { p.outages = outages } }
