package membership

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures Members.
type Option func(*Members)

// WithSelf sets the id, address and failure domain of this instance.
func WithSelf(self Member) Option {
	return func(m *Members) { m.self = self }
}

// WithClock sets the clock; the default is the system clock.
func WithClock(c *clock.Clock) Option {
	return func(m *Members) { m.clock = c }
}

// WithSeeds sets candidates that are tried for the whole run, whatever SetCandidates sets.
func WithSeeds(seeds ...Candidate) Option {
	return func(m *Members) { m.seeds = slices.Clone(seeds) }
}

// WithRandom sets the source of random numbers, for reproducible tests.
func WithRandom(r *rand.Rand) Option {
	return func(m *Members) { m.random = r }
}

// WithProbe sets Members.Probe.
func WithProbe(probe func(ctx context.Context, target Member, records []Member) ([]Member, error)) Option {
	return func(m *Members) { m.Probe = probe }
}

// WithProbeVia sets Members.ProbeVia.
func WithProbeVia(probe func(ctx context.Context, via, target Member) ([]Member, error)) Option {
	return func(m *Members) { m.ProbeVia = probe }
}

// WithExchange sets Members.Exchange.
func WithExchange(exchange func(ctx context.Context, target Member, request Message) (Message, error)) Option {
	return func(m *Members) { m.Exchange = exchange }
}
