package manifest

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Limits bounds the requests of all customers.
type Limits struct {
	// DefaultTimeout is the time limit of requests that name none.
	DefaultTimeout clock.Millis `json:"default-timeout-ms"`
	// MaxTimeout is the longest time limit that a request may name.
	MaxTimeout clock.Millis `json:"max-timeout-ms"`
	// MaxPromptTokens is the longest accepted prompt.
	MaxPromptTokens poplarwinch.Tokens `json:"max-prompt-tokens"`
}
