package engine

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

type config struct {
	clock                  *clock.Clock
	prefillTokensPerSecond int64
	step                   clock.Millis
	kvCapacity             poplarwinch.Tokens
	bytesPerToken          int
	maxRunning, maxWaiting int
	waitingInterval        clock.Millis
	retention              clock.Millis
	loadTime               clock.Millis
	checksFencing          bool
	role                   string
	models                 []Model
	onCrash                func()
	onStart                func(Run)
	seed                   uint64
}

func newConfig(opts []Option) config {
	c := config{
		clock:                  clock.System(),
		prefillTokensPerSecond: 40_000,
		step:                   20,
		kvCapacity:             400_000,
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

// WithPrefillRate sets the number of tokens per second that prefill and decode process together (default 40,000).
func WithPrefillRate(tokensPerSecond int64) Option {
	return func(g *config) { g.prefillTokensPerSecond = tokensPerSecond }
}

// WithStep sets the duration of one batch step, in which each running request gets one token (default 20 ms).
func WithStep(m clock.Millis) Option { return func(g *config) { g.step = m } }

// WithMemory sets the KV memory (default 400,000 tokens).
func WithMemory(t poplarwinch.Tokens) Option { return func(g *config) { g.kvCapacity = t } }

// WithBytesPerToken sets the number of prompt bytes that count as one token (default 4).
func WithBytesPerToken(n int) Option { return func(g *config) { g.bytesPerToken = n } }

// WithMaxRunning sets the maximum number of requests in the batch (default 256).
func WithMaxRunning(n int) Option { return func(g *config) { g.maxRunning = n } }

// WithMaxWaiting sets the maximum number of waiting requests; further ones are rejected (default 1,024).
func WithMaxWaiting(n int) Option { return func(g *config) { g.maxWaiting = n } }

// WithWaitingInterval sets the interval of the comments that a stream carries before its first token (default 1 s).
func WithWaitingInterval(m clock.Millis) Option { return func(g *config) { g.waitingInterval = m } }

// WithRetention sets how long a stream can be resumed after its end (default 60 s).
func WithRetention(m clock.Millis) Option { return func(g *config) { g.retention = m } }

// WithLoadTime sets the time that loading a model takes (default 0).
func WithLoadTime(m clock.Millis) Option { return func(g *config) { g.loadTime = m } }

// WithFencingChecks makes the engine reject orders with stale fencing tokens.
func WithFencingChecks() Option { return func(g *config) { g.checksFencing = true } }

// WithRole sets the initial role (default "mixed").
func WithRole(role string) Option { return func(g *config) { g.role = role } }

// WithModels sets the models that are loaded at start.
func WithModels(models ...Model) Option { return func(g *config) { g.models = models } }

// WithOnCrash sets a callback that runs after a prompt has crashed the engine.
func WithOnCrash(f func()) Option { return func(g *config) { g.onCrash = f } }

// WithSeed sets the seed for random faults (default 1).
func WithSeed(seed uint64) Option { return func(g *config) { g.seed = seed } }

// WithOnStart sets a callback that runs when a prompt enters the batch. Calls do not overlap.
func WithOnStart(f func(Run)) Option { return func(g *config) { g.onStart = f } }
