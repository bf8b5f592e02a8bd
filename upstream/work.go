package upstream

import "github.com/poplarwinch/poplarwinch"

// Work is the expected cost of one request on its upstream.
type Work struct {
	// Prefill counts the prompt tokens that are not known to be cached.
	Prefill poplarwinch.Tokens
	// Long marks a prompt of the long class.
	Long bool
}
