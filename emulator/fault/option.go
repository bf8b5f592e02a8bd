package fault

import (
	"math/rand/v2"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures a Gate.
type Option func(*Gate)

// WithClock sets the clock for delays and rate limits (default clock.System).
func WithClock(c *clock.Clock) Option { return func(g *Gate) { g.clock = c } }

// WithSeed sets the seed for choosing the requests that a fault affects (default 1).
func WithSeed(seed uint64) Option {
	return func(g *Gate) { g.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithRateLimitResponse sets the response to requests above a rate limit (default status 429).
func WithRateLimitResponse(r Response) Option { return func(g *Gate) { g.rateLimitResponse = r } }

// WithRestore sets the function that resets the emulator to its state at a point in time.
func WithRestore(f func(clock.Millis)) Option { return func(g *Gate) { g.restore = f } }
