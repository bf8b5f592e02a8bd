package engine

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

type config struct {
	clock                  *clock.Clock
	prefillTokensPerSecond int64
	step                   clock.Millis
	capacity               poplarwinch.Tokens
	bytesPerToken          int
	maxRunning, maxWaiting int
	waitingInterval        clock.Millis
	retention              clock.Millis
	loadTime               clock.Millis
	checksFencing          bool
	role                   string
	models                 []Model
	crash                  func()
	started                func(Run)
	seed                   uint64
}

func newConfig(opts []Option) config {
	c := config{
		clock:                  clock.System(),
		prefillTokensPerSecond: 40_000,
		step:                   20,
		capacity:               400_000,
		bytesPerToken:          4,
		maxRunning:             256,
		maxWaiting:             1024,
		waitingInterval:        clock.Second,
		retention:              clock.Minute,
		role:                   "mixed",
		seed:                   1,
	}
	for _, o := range opts {
		o(&c)
	}
	return c
}

// Option changes a setting of an Engine.
type Option func(*config)

// WithClock sets the source of time (default clock.System).
func WithClock(c *clock.Clock) Option { return func(g *config) { g.clock = c } }

// WithPrefillRate sets the tokens that prefill and decode process in a second (default 40,000).
func WithPrefillRate(tokensPerSecond int64) Option {
	return func(g *config) { g.prefillTokensPerSecond = tokensPerSecond }
}

// WithStep sets the duration of one batch step, in which each running request gets one token (default 20 ms).
func WithStep(m clock.Millis) Option { return func(g *config) { g.step = m } }

// WithMemory sets the KV memory (default 400,000 tokens).
func WithMemory(t poplarwinch.Tokens) Option { return func(g *config) { g.capacity = t } }

// WithBytesPerToken sets the number of prompt bytes that count as one token (default 4).
func WithBytesPerToken(n int) Option { return func(g *config) { g.bytesPerToken = n } }

// WithMaxRunning sets the number of requests in the batch (default 256).
func WithMaxRunning(n int) Option { return func(g *config) { g.maxRunning = n } }

// WithMaxWaiting sets the number of waiting requests above which further ones are rejected (default 1,024).
func WithMaxWaiting(n int) Option { return func(g *config) { g.maxWaiting = n } }

// WithWaitingInterval sets the time between waiting comments (default 1 s).
func WithWaitingInterval(m clock.Millis) Option { return func(g *config) { g.waitingInterval = m } }

// WithRetention sets how long an ended stream can be resumed (default 60 s).
func WithRetention(m clock.Millis) Option { return func(g *config) { g.retention = m } }

// WithLoadTime sets the time from an order until a new model is loaded (default 0).
func WithLoadTime(m clock.Millis) Option { return func(g *config) { g.loadTime = m } }

// WithFencingChecks makes the engine reject orders with stale fencing numbers.
func WithFencingChecks() Option { return func(g *config) { g.checksFencing = true } }

// WithRole sets the initial role (default "mixed").
func WithRole(role string) Option { return func(g *config) { g.role = role } }

// WithModels sets the models that are loaded at the start.
func WithModels(models ...Model) Option { return func(g *config) { g.models = models } }

// WithCrash sets a function that runs when a prompt crashes the engine, after its state is dead.
func WithCrash(f func()) Option { return func(g *config) { g.crash = f } }

// WithSeed sets the seed of random faults (default 1).
func WithSeed(seed uint64) Option { return func(g *config) { g.seed = seed } }

// WithStarted sets a function that is called for each prompt when it enters the batch, one call at a time.
func WithStarted(f func(Run)) Option { return func(g *config) { g.started = f } }
