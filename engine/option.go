package engine

import "github.com/poplarwinch/poplarwinch/clock"

type config struct {
	dialTimeout, writeTimeout, headerTimeout, callTimeout, idleTimeout, idleConnTimeout, quietPeriod clock.Millis
	maxLineBytes                                                                                     int
	maxBodyBytes                                                                                     int64
}

// Option changes a setting of a Client.
type Option func(*config)

// WithDialTimeout sets the timeout for establishing a connection (default 1 s).
func WithDialTimeout(m clock.Millis) Option { return func(c *config) { c.dialTimeout = m } }

// WithWriteTimeout sets the timeout for each write to a connection (default 3 s).
func WithWriteTimeout(m clock.Millis) Option { return func(c *config) { c.writeTimeout = m } }

// WithHeaderTimeout sets the timeout from the end of the request to the response headers (default 3 s). Engines send the
// headers of a stream when they accept it, before prefill.
func WithHeaderTimeout(m clock.Millis) Option { return func(c *config) { c.headerTimeout = m } }

// WithCallTimeout sets the timeout for a whole call other than a stream (default 5 s).
func WithCallTimeout(m clock.Millis) Option { return func(c *config) { c.callTimeout = m } }

// WithIdleTimeout sets the time without any data after which a stream is considered stalled (default 5 s). Engines send
// a comment every second while a request waits.
func WithIdleTimeout(m clock.Millis) Option { return func(c *config) { c.idleTimeout = m } }

// WithIdleConnTimeout sets how long an idle connection is kept in the pool (default 15 s).
func WithIdleConnTimeout(m clock.Millis) Option { return func(c *config) { c.idleConnTimeout = m } }

// WithMaxLine sets the maximum length in bytes of a line and of the data of an event in a stream (default 1 MiB).
func WithMaxLine(n int) Option { return func(c *config) { c.maxLineBytes = n } }

// WithMaxBody sets the maximum length of the response body of a call other than a stream, in bytes (default 64 MiB).
func WithMaxBody(n int64) Option { return func(c *config) { c.maxBodyBytes = n } }

// WithQuietPeriod sets the time without cache events after which CacheEvents opens a new connection (default 10 s).
func WithQuietPeriod(m clock.Millis) Option { return func(c *config) { c.quietPeriod = m } }
