package engine

import "github.com/poplarwinch/poplarwinch/clock"

type config struct {
	dialTimeout, writeTimeout, headerTimeout, callTimeout, idleTimeout, idleAge, quietPeriod clock.Millis
	maxLine                                                                                  int
	maxBody                                                                                  int64
}

// Option changes a setting of a Client.
type Option func(*config)

// WithDialTimeout sets the limit for establishing a connection (default 1 s).
func WithDialTimeout(m clock.Millis) Option { return func(c *config) { c.dialTimeout = m } }

// WithWriteTimeout sets the limit for each write of part of a request to a connection (default 3 s).
func WithWriteTimeout(m clock.Millis) Option { return func(c *config) { c.writeTimeout = m } }

// WithHeaderTimeout sets the limit from the end of the request to the response headers (default 3 s).
// Engines send the headers of a stream when they accept it, before prefill.
func WithHeaderTimeout(m clock.Millis) Option { return func(c *config) { c.headerTimeout = m } }

// WithCallTimeout sets the limit of a whole call other than a stream (default 5 s).
func WithCallTimeout(m clock.Millis) Option { return func(c *config) { c.callTimeout = m } }

// WithIdleTimeout sets the time without any byte after which a stream counts as stalled (default 5 s).
// Engines send a comment each second while a request waits.
func WithIdleTimeout(m clock.Millis) Option { return func(c *config) { c.idleTimeout = m } }

// WithIdleAge sets how long an unused connection is kept (default 15 s).
func WithIdleAge(m clock.Millis) Option { return func(c *config) { c.idleAge = m } }

// WithMaxLine sets the longest accepted line of an event stream in bytes (default 1 MiB).
func WithMaxLine(n int) Option { return func(c *config) { c.maxLine = n } }

// WithMaxBody sets the longest accepted body of a call other than a stream in bytes (default 64 MiB).
func WithMaxBody(n int64) Option { return func(c *config) { c.maxBody = n } }

// WithQuietPeriod sets the time without cache events after which they are read on a new connection (default 10 s).
func WithQuietPeriod(m clock.Millis) Option { return func(c *config) { c.quietPeriod = m } }
