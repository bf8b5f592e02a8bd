package upstream

import "github.com/poplarwinch/poplarwinch"

// Work is the expected cost of one request on an upstream.
type Work struct {
	// Prefill is the number of prompt tokens that are not known to be cached.
	Prefill poplarwinch.Tokens
	// Priority is the engine priority, from 0 to Priorities-1; lower values run first.
	Priority int
}
