package fault

import (
	"math/rand/v2"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures a Gate.
type Option func(*Gate)

// WithClock sets the clock that delays and rates follow; the default is the system's.
func WithClock(c *clock.Clock) Option { return func(g *Gate) { g.clock = c } }

// WithSeed sets the seed that selects the affected share of requests.
func WithSeed(seed uint64) Option {
	return func(g *Gate) { g.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithLimited sets the reply to requests above a rate limit.
func WithLimited(r Response) Option { return func(g *Gate) { g.limited = r } }

// WithRestore sets the function that puts back the state of a point in time.
func WithRestore(f func(clock.Millis)) Option { return func(g *Gate) { g.restore = f } }
