package memory

import "github.com/poplarwinch/poplarwinch/clock"

// Option configures a Platform.
type Option func(*Platform)

// WithClock sets the clock (default clock.System, whose time is virtual inside a synctest bubble).
func WithClock(c *clock.Clock) Option { return func(p *Platform) { p.clock = c } }

// WithLatency sets the duration of an answered call, which takes effect halfway through (default 2 ms).
func WithLatency(m clock.Millis) Option { return func(p *Platform) { p.latency = m } }

// WithEffects sets the effects of the first calls, in the order of their start. It does not affect calls that start
// effectsUntil or later, counted from the start of the platform.
func WithEffects(effects []Effect, effectsUntil clock.Millis) Option {
	return func(p *Platform) { p.effects, p.effectsUntil = effects, effectsUntil }
}

// WithOutages sets the outages, which take precedence over WithEffects.
func WithOutages(outages ...Outage) Option { return func(p *Platform) { p.outages = outages } }
