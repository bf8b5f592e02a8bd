package roster

import "github.com/poplarwinch/poplarwinch/clock"

// Option configures a Server.
type Option func(*Server)

// WithClock sets the clock that delays and earlier states follow; the default is the system's.
func WithClock(c *clock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithSeed sets the seed that selects the affected share of requests.
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }

// WithEndpoints sets the first list.
func WithEndpoints(list []Endpoint) Option { return func(s *Server) { s.first = list } }
