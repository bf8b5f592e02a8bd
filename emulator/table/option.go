package table

import "github.com/poplarwinch/poplarwinch/clock"

// Option configures a Server.
type Option func(*Server)

// WithClock sets the clock for delays, rate limits and stale reads (default clock.System).
func WithClock(c *clock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithSeed sets the seed for choosing the requests that a fault affects (default 1).
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }
