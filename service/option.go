package service

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// config holds the settings of a Client.
type config struct {
	dialTimeout clock.Millis
	maxResponse poplarwinch.Bytes
}

// Option configures a Client.
type Option func(*config)

// WithDialTimeout sets the timeout for establishing a connection; the default is 1 s.
func WithDialTimeout(m clock.Millis) Option { return func(c *config) { c.dialTimeout = m } }

// WithMaxAnswer sets the largest accepted response body; the default is 16 MiB.
func WithMaxAnswer(n poplarwinch.Bytes) Option { return func(c *config) { c.maxResponse = n } }
