package service

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

type config struct {
	dialTimeout, idleAge clock.Millis
	maxAnswer            poplarwinch.Bytes
}

// Option changes a setting of a Client.
type Option func(*config)

// WithDialTimeout sets the limit for establishing a connection (default 1 s).
func WithDialTimeout(m clock.Millis) Option { return func(c *config) { c.dialTimeout = m } }

// WithIdleAge sets how long an unused connection is kept for repeatable calls (default 15 s).
func WithIdleAge(m clock.Millis) Option { return func(c *config) { c.idleAge = m } }

// WithMaxAnswer sets the longest accepted answer body (default 16 MiB).
func WithMaxAnswer(n poplarwinch.Bytes) Option { return func(c *config) { c.maxAnswer = n } }
