package manifest

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Limits holds the limits that apply to the requests of all customers.
type Limits struct {
	// DefaultTimeout is the timeout of requests that don't set one.
	DefaultTimeout clock.Millis `json:"default-timeout-ms"`
	// MaxTimeout is the longest timeout that a request may set.
	MaxTimeout clock.Millis `json:"max-timeout-ms"`
	// MaxPromptTokens is the length of the longest accepted prompt.
	MaxPromptTokens poplarwinch.Tokens `json:"max-prompt-tokens"`
}
